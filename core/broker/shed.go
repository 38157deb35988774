package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
)

// Limits for waiting requests.
const (
	// retryAfterLeast and retryAfterMost bound the value of Retry-After.
	retryAfterLeast = 200 * time.Millisecond
	retryAfterMost  = 3 * time.Second
	// patience is the share of a request's remaining time that its estimated wait
	// may take before it is refused: the caller then still has time for another
	// try.
	patience = 0.7
)

// shed refuses the waiting requests that would not be granted a target in time,
// as soon as that is clear: the work ahead of them takes the service longer than
// they can wait.
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

// cause names the reason of a refusal.
func cause(left, away time.Duration) string {
	switch {
	case away > 0:
		return "NoTarget"
	case left <= 0:
		return "TimeOver"
	}
	return "Overload"
}

// retryAfter limits an estimated wait to the range of Retry-After.
func retryAfter(turn time.Duration) time.Duration {
	return min(max(turn, retryAfterLeast), retryAfterMost)
}

// pace is how many units of work a service completes per second.
func (b *Broker) pace(now time.Time, service string) float64 {
	sum := 0.0
	for _, p := range b.roster.Of(service) {
		if t := b.targets[p.ID]; t != nil && !t.notice.Leaving() && t.blocked(now) == 0 {
			sum += float64(t.slots(b)) * float64(time.Second) / float64(t.speed())
		}
	}
	return sum
}

// comeBack returns the Retry-After of a refused request. The caller's next try
// excludes no target, so the target available first counts, whichever it is.
func (b *Broker) comeBack(now time.Time, w *waiting, turn time.Duration) time.Duration {
	if back := b.away(now, w.ask.Service, w.host, nil); back > 0 {
		return max(back, retryAfterLeast)
	}
	return retryAfter(turn)
}

// away is the time until a host can send a request to some target of the service
// that is not excluded: 0 if it can now, retryAfterMost if there is no such
// target. It exceeds retryAfterMost only for targets that asked for a longer
// pause.
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
