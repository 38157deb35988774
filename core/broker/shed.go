package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
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
		away := b.away(now, service, w.host, w.ask.ExcludedTargets)
		turn := away
		if pace > 0 {
			turn += time.Duration(ahead / pace * float64(time.Second))
		}
		if left <= 0 || float64(turn) > patience*float64(left) {
			b.giveBack(w)
			b.refuse(w.key, Refusal{ID: w.ask.ID, RetryAfter: b.comeBack(now, w, turn), ExpectedWait: turn, Cause: cause(left, away)})
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
		if t := b.targets[p.ID]; t != nil && !t.notice.Leaving() && t.blocked(now) == 0 {
			sum += float64(t.slots(b)) * float64(time.Second) / float64(t.speed())
		}
	}
	return sum
}

// comeBack is what Retry-After says to a request that is refused. Its caller's next
// try avoids no target, so that the earliest of all counts if none is there now.
func (b *Broker) comeBack(now time.Time, w *waiting, turn time.Duration) time.Duration {
	if back := b.away(now, w.ask.Service, w.host, nil); back > 0 {
		return max(back, retryAfterLeast)
	}
	return retryAfter(turn)
}

// away is how long it takes until a host can send a request to some target of the
// service again, but those to be avoided; 0 when it can now, retryAfterMost when
// there is none. Only targets that have asked for a pause are away for longer.
func (b *Broker) away(now time.Time, service string, host netip.AddrPort, avoid []string) time.Duration {
	least := notice.MaxPause + 1
	for _, p := range b.roster.Of(service) {
		t := b.targets[p.ID]
		if t == nil || t.notice.Leaving() || slices.Contains(avoid, p.ID) {
			continue
		}
		if least = min(least, t.blockedFor(now, host)); least == 0 {
			return 0
		}
	}
	if least > notice.MaxPause {
		return retryAfterMost
	}
	return least
}
