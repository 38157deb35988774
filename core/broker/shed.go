package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
)

// Limits for waiting requests.
const (
	// minRetryAfter and maxRetryAfter bound the value of Retry-After.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// maxWaitShare is the share of a request's remaining time that its estimated
	// wait may take before it is refused: the caller then still has time for
	// another try.
	maxWaitShare = 0.7
)

// shed refuses the waiting requests that would not be granted a target in time,
// as soon as that is clear: the work ahead of them takes the service longer than
// they can wait.
func (b *Broker) shed(now time.Time, service string) {
	q := b.queues[service]
	if len(q) == 0 {
		return
	}
	pace := b.throughput(now, service)
	slices.SortStableFunc(q, func(x, y *queuedRequest) int { return b.compare(now, x, y) })
	ahead := 0.0
	kept := q[:0]
	for _, w := range q {
		left := w.expiresAt.Sub(now)
		away := b.unavailableFor(now, service, w.host, w.request.ExcludedTargets)
		turn := away
		if pace > 0 {
			turn += time.Duration(ahead / pace * float64(time.Second))
		}
		if left <= 0 || float64(turn) > maxWaitShare*float64(left) {
			b.returnTokens(w)
			b.refuse(w.requestKey, Refusal{ID: w.request.ID, RetryAfter: b.refusalRetryAfter(now, w, turn), ExpectedWait: turn, Cause: refusalCause(left, away)})
			continue
		}
		ahead += w.cost
		kept = append(kept, w)
	}
	clear(q[len(kept):])
	b.queues[service] = kept
}

// refusalCause names the reason of a refusal.
func refusalCause(left, away time.Duration) string {
	switch {
	case away > 0:
		return "NoTarget"
	case left <= 0:
		return "TimeOver"
	}
	return "Overload"
}

// limitRetryAfter limits an estimated wait to the range of Retry-After.
func limitRetryAfter(turn time.Duration) time.Duration {
	return min(max(turn, minRetryAfter), maxRetryAfter)
}

// throughput is how many units of work a service completes per second.
func (b *Broker) throughput(now time.Time, service string) float64 {
	sum := 0.0
	for _, p := range b.roster.Of(service) {
		if t := b.targets[p.ID]; t != nil && !t.notice.Leaving() && t.blockedForAll(now) == 0 {
			sum += float64(t.slots(b)) * float64(time.Second) / float64(t.unitTime())
		}
	}
	return sum
}

// refusalRetryAfter returns the Retry-After of a refused request. The caller's
// next try excludes no target, so the target available first counts, whichever it
// is.
func (b *Broker) refusalRetryAfter(now time.Time, w *queuedRequest, turn time.Duration) time.Duration {
	if back := b.unavailableFor(now, w.request.Service, w.host, nil); back > 0 {
		return max(back, minRetryAfter)
	}
	return limitRetryAfter(turn)
}

// unavailableFor is the time until a host can send a request to some target of
// the service that is not excluded: 0 if it can now, maxRetryAfter if there is no
// such target. It exceeds maxRetryAfter only for targets that asked for a longer
// pause.
func (b *Broker) unavailableFor(now time.Time, service string, host netip.AddrPort, avoid []string) time.Duration {
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
		return maxRetryAfter
	}
	return least
}
