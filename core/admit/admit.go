package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// Control is the state of one service.
type Control struct {
	classes  map[Class]*class
	bookings *bookings
	recent   average // arrivals in the last quarter of a second, in units of cost a second
	normal   demand
	// burstSince is when demand began to exceed both the capacity and the normal demand; zero
	// while it does not.
	burstSince time.Time
}

// burstFactor is the ratio to the normal demand from which demand counts as a burst.
const burstFactor = 1.3

// contendedShare is the ratio of demand to capacity from which a class counts as contended.
// Both are measured within a tenth or two, and an order by value serves more in time while
// nearly all can be.
const contendedShare = 1.2

// maxBurst is the longest time that a burst is expected to last on.
const maxBurst = 5 * time.Second

// New returns the state of a service without requests.
func New() *Control {
	return &Control{classes: map[Class]*class{}, bookings: newBookings()}
}

// Arrive records the arrival of a request and returns its flow.
func (c *Control) Arrive(now time.Time, k Class, workspace string, size, cost float64) *Flow {
	g := c.classes[k]
	if g == nil {
		g = newClass()
		c.classes[k] = g
	}
	c.recent.add(now, cost, recentTime)
	c.normal.add(now, cost*c.normal.normalPart(now, cost))
	return g.arrive(now, workspace, size, cost)
}

// Observe compares the demand with the capacity, in units of cost a second.
func (c *Control) Observe(now time.Time, capacity float64) {
	c.bookings.expire(now)
	c.findContended(now, capacity)
	recent := c.recent.rate(now, recentTime)
	switch {
	case recent <= capacity || recent <= burstFactor*c.normal.rate:
		c.burstSince = time.Time{}
	case c.burstSince.IsZero():
		c.burstSince = now
	}
}

// findContended finds the classes that are not served whole.
func (c *Control) findContended(now time.Time, capacity float64) {
	sum := 0.0
	for _, k := range slices.SortedFunc(maps.Keys(c.classes), func(x, y Class) int {
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.Class, y.Class))
	}) {
		g := c.classes[k]
		sum += g.recent.rate(now, recentTime)
		g.contended, g.bias = sum > contendedShare*capacity, g.biasNow(now)
	}
}

// Spare returns when and at what rate there is capacity for retries behind waiting work. A
// burst is expected to last as long again as it has lasted; the demand after it is the
// normal one.
func (c *Control) Spare(now time.Time, capacity, waiting float64) (wait time.Duration, rate float64) {
	demand := c.recent.rate(now, recentTime)
	if !c.burstSince.IsZero() {
		demand = c.normal.rate
		wait = min(now.Sub(c.burstSince), maxBurst)
	}
	rate = max(capacity-demand, minSpare*capacity, minRate)
	return wait + time.Duration(min(waiting/rate, maxBurst.Seconds())*float64(time.Second)), rate
}

// Book books capacity for a refused request and returns after what time its caller is to come
// back: at the earliest after a wait, at the latest after a third of the time that the caller
// waits in all, 0 if not stated.
func (c *Control) Book(now time.Time, k Booking, wait, callerWait time.Duration, spare float64) time.Duration {
	latest := DefaultReturn
	if callerWait > 0 {
		latest = max(time.Duration(callerShare*float64(callerWait)), MinReturn)
	}
	wait = min(max(wait, MinReturn), latest)
	slot := c.bookings.find(slotOf(now.Add(wait)), slotOf(now.Add(latest)), k.Rank, spare)
	after := min(max(time.Unix(0, slot*int64(slotLength)).Sub(now), wait), latest)
	k.Due = now.Add(after)
	if k.Content != 0 {
		c.bookings.put(k)
	}
	return after
}

// Comeback is how a caller came back.
type Comeback int

// How a caller came back.
const (
	NotBooked Comeback = iota
	Early              // before it was told to
	OnTime
)

// Claim ends the booking of a request that has come back.
func (c *Control) Claim(now time.Time, content model.Fingerprint) (Booking, Comeback) {
	k, ok := c.bookings.byContent[content]
	switch {
	case !ok || now.After(k.Due.Add(grace)):
		return Booking{}, NotBooked
	case now.Before(k.Due.Add(-early)):
		c.bookings.drop(content)
		return k, Early
	}
	c.bookings.drop(content)
	return k, OnTime
}

// Restore takes over a booking of another leader, unless it is known.
func (c *Control) Restore(now time.Time, k Booking) {
	c.bookings.expire(now)
	if _, ok := c.bookings.byContent[k.Content]; !ok {
		c.bookings.put(k)
	}
}

// Booked is the cost that callers were told to come back with in a time span and that has not
// come back, of requests at least as urgent as a rank.
func (c *Control) Booked(from, to time.Time, rank float64) float64 {
	return c.bookings.due(from, to, rank)
}

// FlowStatus is the state of a flow as shown to operators.
type FlowStatus struct {
	Class
	Workspace string
	Band      string
	Demand    float64 // normal, in output tokens a second
	Counts
}

// Flows returns the state of all flows.
func (c *Control) Flows() []FlowStatus {
	var all []FlowStatus
	for k, g := range c.classes {
		for _, f := range g.flows {
			all = append(all, FlowStatus{k, f.Workspace, f.Band.String(), f.demand.rate, f.Counts})
		}
	}
	slices.SortFunc(all, func(x, y FlowStatus) int {
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.Class.Class, y.Class.Class), cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Band, y.Band))
	})
	return all
}
