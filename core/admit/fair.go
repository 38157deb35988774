// Package admit decides in which order requests of one class are served, and when refused
// callers should come back, while callers compete for too little capacity. Requests form
// flows by workspace and size band; the flows of a class share its capacity by weighted fair
// queueing. The package does no I/O; one goroutine owns a Control.
package admit

import (
	"slices"
	"time"

	"yuccadoor/core/model"
)

// Band is a size band of a class.
type Band uint8

// The size bands.
const (
	Smaller Band = iota
	Middle       // the fifth below the largest tenth
	Largest      // the largest tenth
)

// String returns the name of the band in metrics.
func (b Band) String() string { return [...]string{"Smaller", "Middle", "Largest"}[b] }

// Parameters of the size bands and of fair queueing.
const (
	middleFrom  = 0.7 // of a class's requests, by size
	largestFrom = 0.9
	// recentSizes is the number of sizes of which the bands are taken; they are taken anew
	// after each resizeEvery requests, which costs some ten comparisons for each.
	recentSizes = 256
	resizeEvery = 64
	// smallBias is the greatest weight of smaller requests relative to their demand. Value
	// grows less than size does, so that smaller requests go first as long as the largest
	// are served often enough.
	smallBias = 8
	// The largest requests are owed half of the service of their class. Smaller ones have
	// the greatest weight while the largest get ampleService of it or more, and only their
	// share at scarceService, so that it stays between the two.
	scarceService = 0.65
	ampleService  = 0.8
	// serviceTime is the time over which that is measured: less than most bursts last.
	serviceTime = 2 * time.Second
	// minShare is the least share of its class's demand that a flow's weight stands for, so
	// that a flow not seen before is served soon.
	minShare = 0.002
)

// Class identifies the requests that flows compete with.
type Class struct{ Tier, Class model.Tier }

type flowKey struct {
	workspace string
	band      Band
}

// class is the state of one class: its flows, and the bands of its sizes.
type class struct {
	flows map[flowKey]*Flow
	// contended is set while the class and the more urgent ones want more than there is. Only
	// then flows have shares.
	contended   bool
	recent      average // arrivals in the last quarter of a second
	bias        float64 // weight of smaller requests relative to their demand
	all         service
	largest     service // of the largest band
	workspaces  map[string]*demand
	demand      demand
	virtual     float64   // start tag of the request that was granted last
	sizes       []float64 // of recent requests
	next        int       // index in sizes
	middleFrom  float64   // sizes over this are of the middle band
	largestFrom float64
}

func newClass() *class {
	return &class{flows: map[flowKey]*Flow{}, workspaces: map[string]*demand{}, bias: smallBias}
}

// band returns the band of a size, and takes the size into account.
func (c *class) band(size float64) Band {
	if len(c.sizes) < recentSizes {
		c.sizes = append(c.sizes, size)
	} else {
		c.sizes[c.next%recentSizes] = size
	}
	if c.next++; c.next%resizeEvery == 0 {
		sorted := slices.Sorted(slices.Values(c.sizes))
		c.middleFrom = sorted[int(middleFrom*float64(len(sorted)))]
		c.largestFrom = sorted[int(largestFrom*float64(len(sorted)))]
	}
	switch {
	case c.next < resizeEvery || size <= c.middleFrom:
		return Smaller
	case size <= c.largestFrom:
		return Middle
	}
	return Largest
}

// service is how many requests have arrived and were granted lately.
type service struct{ arrived, granted average }

func (s *service) share(now time.Time) float64 {
	return s.granted.rate(now, serviceTime) / max(s.arrived.rate(now, serviceTime), minRate)
}

// biasNow is the weight of smaller requests by how often the largest ones were served lately.
func (c *class) biasNow(now time.Time) float64 {
	ratio := c.largest.share(now) / max(min(c.all.share(now), 1), minRate)
	return 1 + (smallBias-1)*min(max((ratio-scarceService)/(ampleService-scarceService), 0), 1)
}

// Flow is the requests of one workspace, class and size band.
type Flow struct {
	Workspace string
	Band      Band
	Counts    Counts
	class     *class
	demand    demand
	served    float64 // finish tag of the request that was granted last
	last      float64 // finish tag of the waiting request that comes last
}

// Counts is how the requests of a flow ended.
type Counts struct {
	Granted  int
	Refused  int
	Booked   int // refused with a time at which there is capacity
	Returned int // came back when they were told to
	Early    int // came back earlier
}

// weight is the flow's share of its class.
func (f *Flow) weight() float64 {
	w := max(f.demand.rate, minShare*f.class.demand.rate, minRate)
	if f.Band != Largest {
		w *= f.class.bias
	}
	return w
}

// Tag returns the start tag of a request that waits behind the flow's others. Requests are
// served in the order of their tags. A flow that has had less than its share has lower ones.
// Without contention all tags are equal.
func (f *Flow) Tag(cost float64) float64 {
	if !f.class.contended {
		return 0
	}
	tag := max(f.class.virtual, f.last)
	f.last = tag + cost/f.weight()
	return tag
}

// Front returns the start tag of a request that goes before the flow's others.
func (f *Flow) Front() float64 {
	if !f.class.contended {
		return 0
	}
	return f.class.virtual
}

// Rewind forgets the requests that wait, so that they can be given new tags in another order.
func (f *Flow) Rewind() { f.last = f.served }

// Grant records that a request is served.
func (f *Flow) Grant(now time.Time, tag, cost float64) {
	f.class.all.granted.add(now, 1, serviceTime)
	if f.Band == Largest {
		f.class.largest.granted.add(now, 1, serviceTime)
	}
	f.served = max(f.served, f.class.virtual) + cost/f.weight()
	f.last = max(f.last, f.served)
	f.class.virtual = max(f.class.virtual, tag)
	f.Counts.Granted++
}

// arrive records the arrival of a request.
func (c *class) arrive(now time.Time, workspace string, size, cost float64) *Flow {
	k := flowKey{workspace, c.band(size)}
	f := c.flows[k]
	if f == nil {
		f = &Flow{Workspace: workspace, Band: k.band, class: c}
		c.flows[k] = f
	}
	w := c.workspaces[workspace]
	if w == nil {
		w = &demand{}
		c.workspaces[workspace] = w
	}
	c.recent.add(now, cost, recentTime)
	c.all.arrived.add(now, 1, serviceTime)
	if f.Band == Largest {
		c.largest.arrived.add(now, 1, serviceTime)
	}
	normal := cost * w.normalPart(now, cost)
	w.add(now, normal)
	f.demand.add(now, normal)
	c.demand.add(now, normal)
	return f
}
