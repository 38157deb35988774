package broker

import (
	"slices"
	"time"
)

// Bounds of what waits.
const (
	// retryAfterLeast and retryAfterMost bound what Retry-After says.
	retryAfterLeast = 200 * time.Millisecond
	retryAfterMost  = 3 * time.Second
	// patience is the part of a request's time after which it is refused when
	// its turn is not in sight: the caller still has time for another try.
	patience = 0.7
)

// shed refuses the waiting requests whose turn does not come in their time, as
// soon as that is clear: behind more work than the service does until then.
func (b *Broker) shed(now time.Time, service string) {
	q := b.queues[service]
	if len(q) == 0 {
		return
	}
	pace := b.pace(now, service)
	slices.SortStableFunc(q, func(x, y *waiting) int { return b.order(now, x, y) })
	ahead := 0.0
	kept := q[:0]
	for _, w := range q {
		left := w.endAt.Sub(now)
		away := b.away(now, service, w)
		turn := away
		if pace > 0 {
			turn += time.Duration(ahead / pace * float64(time.Second))
		}
		if left <= 0 || float64(turn) > patience*float64(left) {
			b.giveBack(w)
			b.refuse(w.key, Refusal{ID: w.ask.ID, After: retryAfter(turn), Turn: turn, Cause: cause(left, away)})
			continue
		}
		ahead += w.cost
		kept = append(kept, w)
	}
	clear(q[len(kept):])
	b.queues[service] = kept
}

func cause(left, away time.Duration) string {
	switch {
	case away > 0:
		return "NoTarget"
	case left <= 0:
		return "TimeOver"
	}
	return "Overload"
}

func retryAfter(turn time.Duration) time.Duration {
	return min(max(turn, retryAfterLeast), retryAfterMost)
}

// pace is how many units of work a service does in a second.
func (b *Broker) pace(now time.Time, service string) float64 {
	sum := 0.0
	for _, p := range b.roster.Of(service) {
		if t := b.targets[p.ID]; t != nil && t.blocked(now) == 0 {
			sum += float64(t.slots(b)) * float64(time.Second) / float64(t.speed())
		}
	}
	return sum
}

// away is how long it takes until some target of the service can be tried again
// for a request; 0 when one can be now, retryAfterMost when there is none.
func (b *Broker) away(now time.Time, service string, w *waiting) time.Duration {
	least := retryAfterMost
	for _, p := range b.roster.Of(service) {
		if t := b.targets[p.ID]; t != nil && !slices.Contains(w.ask.Avoid, p.ID) {
			if least = min(least, t.blockedFor(now, w.host)); least == 0 {
				return 0
			}
		}
	}
	return least
}
