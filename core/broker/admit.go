package broker

import (
	"cmp"
	"slices"
	"time"

	"yuccadoor/core/admit"
)

// giveUpMargin is the time before the end of a caller's patience at which a request that
// waits is refused, so that the caller can come back: two looks through a queue, and the way.
const giveUpMargin = 150 * time.Millisecond

// admission is what the order and the refusal of a request depend on where services adapt.
type admission struct {
	flow *admit.Flow // nil where the service does not adapt
	tag  float64     // requests of one rank are served in the order of their tags
	// returned is set if the caller has come back when it was told to.
	returned bool
	refusal  Refusal // decided, not yet sent
}

// RestoreReturns takes over what a host's callers were told under another leader. A new leader
// may not know yet that the service adapts.
func (b *Broker) RestoreReturns(now time.Time, returns []admit.Return) {
	for _, r := range returns {
		b.control(r.Service).Restore(now, admit.Booking{
			Content: r.Content, Due: now.Add(r.DueIn), Cost: r.Cost, StartBy: now.Add(r.StartIn), Rank: priority(r.Tier, r.Class),
		})
	}
}

// CostOf returns the cost of a request, in output tokens.
func CostOf(r Request) float64 { return costOf(r) }

// granted records with its flow that a request is served.
func (q *queuedRequest) granted(now time.Time) {
	if q.flow != nil {
		q.flow.Grant(now, q.tag, q.cost)
	}
}

// Flows returns the state of the flows of each service that adapts.
func (b *Broker) Flows() map[string][]admit.FlowStatus {
	all := map[string][]admit.FlowStatus{}
	for service, c := range b.controls {
		if b.adapts(service) {
			all[service] = c.Flows()
		}
	}
	return all
}

// shedService refuses the waiting requests of a service that would not be granted a target
// in time.
func (b *Broker) shedService(now time.Time, service string) {
	if b.adapts(service) {
		b.shedContended(now, service)
		return
	}
	b.shed(now, service)
}

// control returns the state of a service that adapts.
func (b *Broker) control(service string) *admit.Control {
	c := b.controls[service]
	if c == nil {
		c = admit.New()
		b.controls[service] = c
	}
	return c
}

// enter assigns a new request of a service that adapts to its flow. A request that comes back
// is in time by its caller's first try.
func (b *Broker) enter(now time.Time, q *queuedRequest) {
	r := &q.request
	if !b.adapts(r.Service) {
		return
	}
	c := b.control(r.Service)
	q.flow = c.Arrive(now, admit.Class{Tier: r.Tier, Class: r.Class}, r.Workspace, q.cost, q.cost)
	if r.Content != 0 && !r.InProgress() {
		b.claim(now, c, q)
	}
	q.tag = q.flow.Front()
	if !q.returned {
		q.tag = q.flow.Tag(q.cost)
	}
}

// claim finds the booking of a request that comes back. Requests without a prompt may be
// alike without being the same, so that only those that come on time are known again.
func (b *Broker) claim(now time.Time, c *admit.Control, q *queuedRequest) {
	booking, how := c.Claim(now, q.request.Content)
	switch {
	case how == admit.OnTime:
		q.returned = true
		q.flow.Counts.Returned++
	case how == admit.Early:
		q.flow.Counts.Early++
	}
	if how == admit.OnTime || how == admit.Early && q.request.PromptTokens > 0 {
		if booking.StartBy.Before(q.startBy) {
			q.startBy = booking.StartBy
		}
	}
}

// shedContended gives the waiting requests of a service that adapts their places anew, and
// refuses those that cannot start within their callers' patience.
func (b *Broker) shedContended(now time.Time, service string) {
	queue := slices.DeleteFunc(b.queues[service], func(q *queuedRequest) bool { return q.cancelled })
	b.queues[service] = queue
	if len(queue) == 0 {
		return
	}
	c := b.control(service)
	capacity := b.throughput(now, service, meanCost(queue))
	c.Observe(now, capacity)
	b.retag(now, queue)
	b.sort(now, queue)
	kept, refused := queue[:0], []*queuedRequest(nil)
	ahead := 0.0
	for _, q := range queue {
		if wait, cause := b.hopeless(now, c, q, ahead, capacity); cause != "" {
			b.giveUp(now, q, wait, cause, &refused)
			continue
		}
		ahead += q.cost
		kept = append(kept, q)
	}
	b.queues[service] = kept
	b.book(now, c, refused, capacity, ahead)
	clear(queue[len(kept):])
}

// retag gives requests their tags anew. Within a flow those that have come back go first,
// then those that can be in time by value per unit of cost, then late ones whose callers
// leave soonest.
func (b *Broker) retag(now time.Time, queue []*queuedRequest) {
	b.work += uint64(len(queue))
	for _, q := range queue {
		q.rank, q.ranked = b.rank(now, q), true
		if q.flow == nil {
			b.enter(now, q)
		}
		q.flow.Rewind()
	}
	slices.SortStableFunc(queue, func(x, y *queuedRequest) int {
		b.work++
		return cmp.Or(cmp.Compare(x.rank, y.rank), compareInFlow(x, y))
	})
	for _, q := range queue {
		if q.returned {
			q.tag = q.flow.Front()
			continue
		}
		q.tag = q.flow.Tag(q.cost)
	}
}

// compareInFlow compares requests of one rank.
func compareInFlow(x, y *queuedRequest) int {
	if x.returned != y.returned {
		if x.returned {
			return -1
		}
		return 1
	}
	if x.rank != priority(x.request.Tier, x.request.Class) {
		return x.expiresAt.Compare(y.expiresAt)
	}
	return cmp.Compare(y.valuePerCost, x.valuePerCost)
}

// hopeless returns the cause for which a request cannot start within its caller's patience,
// and the expected wait; an empty cause if it can.
func (b *Broker) hopeless(now time.Time, c *admit.Control, q *queuedRequest, ahead, capacity float64) (time.Duration, string) {
	remaining := q.expiresAt.Sub(now)
	excluded := b.withOtherVersions(q, q.request.ExcludedTargets)
	unavailable := b.unavailableFor(now, q, excluded)
	limited := b.limitedFor(now, q.request.Service, q.host, excluded)
	if unavailable+limited > 0 && float64(unavailable+limited) > maxWaitShare*float64(remaining) {
		return unavailable + limited, refusalCause(remaining, unavailable, limited)
	}
	wait := unavailable + limited
	if capacity > 0 {
		wait += time.Duration(ahead / capacity * float64(time.Second))
		if late := q.rank != priority(q.request.Tier, q.request.Class); late && !q.returned {
			wait += time.Duration(c.Booked(now, now.Add(wait), q.rank) / capacity * float64(time.Second))
		}
	}
	switch {
	case remaining <= giveUpMargin:
		return wait, "TimeOver"
	case float64(wait) > maxWaitShare*float64(remaining):
		return wait, "Overload"
	}
	return wait, ""
}

// giveUp refuses a request, or adds it to those for which capacity is booked.
func (b *Broker) giveUp(now time.Time, q *queuedRequest, wait time.Duration, cause string, refused *[]*queuedRequest) {
	q.flow.Counts.Refused++
	if cause == "Overload" || cause == "TimeOver" {
		q.refusal = Refusal{ID: q.request.ID, ExpectedWait: wait, Cause: cause}
		*refused = append(*refused, q)
		return
	}
	b.returnTokens(q)
	b.refuse(q.requestKey, Refusal{ID: q.request.ID, RetryAfter: b.refusalRetryAfter(now, q, wait), ExpectedWait: wait, Cause: cause})
}

// book refuses requests, the most urgent first, and books capacity for each behind the
// waiting work.
func (b *Broker) book(now time.Time, c *admit.Control, refused []*queuedRequest, capacity, waiting float64) {
	wait, spare := c.Spare(now, capacity, waiting)
	for _, q := range refused {
		r := q.refusal
		if q.returned || q.request.InProgress() {
			// Its caller has had its second try, or must not try again.
			r.RetryAfter = limitRetryAfter(wait)
		} else {
			k := admit.Booking{Content: q.request.Content, Cost: q.cost, StartBy: q.startBy, Rank: priority(q.request.Tier, q.request.Class)}
			r.RetryAfter = c.Book(now, k, wait, q.callerWait(now), spare)
			r.Booked = true
			q.flow.Counts.Booked++
		}
		b.returnTokens(q)
		b.refuse(q.requestKey, r)
	}
}

// callerWait is how long the caller still waits in all; 0 if it has not stated that.
func (q *queuedRequest) callerWait(now time.Time) time.Duration {
	if q.request.CallerWait <= 0 {
		return 0
	}
	return max(q.request.CallerWait-now.Sub(q.queuedAt), admit.MinReturn)
}
