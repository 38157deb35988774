package broker

import (
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
	// shedSpacing is the time between two looks through a queue for each request in it,
	// which bounds their cost.
	shedSpacing = 20 * time.Microsecond
)

// shed refuses the waiting requests that would not be granted a target in time,
// as soon as that is clear: the work ahead of them takes the service longer than
// they can wait.
func (b *Broker) shed(now time.Time, service string) {
	queue := slices.DeleteFunc(b.queues[service], func(q *queuedRequest) bool { return q.cancelled })
	if len(queue) == 0 {
		b.queues[service] = queue
		return
	}
	b.work += uint64(len(queue))
	b.refreshSpeeds(now, service)
	unitsPerSecond := b.throughput(now, service, meanCost(queue))
	b.sort(now, queue)
	unitsAhead := 0.0
	kept := queue[:0]
	for _, q := range queue {
		remaining := q.expiresAt.Sub(now)
		excluded := b.withOtherVersions(q, q.request.ExcludedTargets)
		unavailable := b.unavailableFor(now, q, excluded)
		limited := b.limitedFor(now, service, q.host, excluded)
		wait := unavailable + limited
		if unitsPerSecond > 0 {
			wait += time.Duration(unitsAhead / unitsPerSecond * float64(time.Second))
		}
		if remaining <= 0 || float64(wait) > maxWaitShare*float64(remaining) {
			b.returnTokens(q)
			b.refuse(q.requestKey, Refusal{ID: q.request.ID, RetryAfter: b.refusalRetryAfter(now, q, wait), ExpectedWait: wait, Cause: refusalCause(remaining, unavailable, limited)})
			continue
		}
		unitsAhead += q.cost
		kept = append(kept, q)
	}
	clear(queue[len(kept):])
	b.queues[service] = kept
}

// refusalCause names the reason of a refusal.
func refusalCause(remaining, unavailable, limited time.Duration) string {
	switch {
	case unavailable > 0:
		return "NoTarget"
	case limited > 0:
		return "TargetLimit"
	case remaining <= 0:
		return "TimeOver"
	}
	return "Overload"
}

// limitRetryAfter limits an estimated wait to the range of Retry-After.
func limitRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// meanCost returns the mean cost of the requests in a queue that is not empty.
func meanCost(queue []*queuedRequest) float64 {
	sum := 0.0
	for _, q := range queue {
		sum += q.cost
	}
	return sum / float64(len(queue))
}

// throughput is how many units of work a service completes per second, given the mean
// cost of its requests.
func (b *Broker) throughput(now time.Time, service string, requestCost float64) float64 {
	sum := 0.0
	b.work += uint64(len(b.roster.ForService(service)))
	for _, p := range b.roster.ForService(service) {
		if t := b.targets[p.ID]; t != nil && !t.notice.Leaving() && t.blockedForAll(now) == 0 {
			units := float64(t.ramp.Limit(now, t.slots(b))) * float64(time.Second) / float64(b.unitTime(t))
			if limit, ok := t.notice.Limit(); ok {
				units = min(units, limit*requestCost)
			}
			sum += units
		}
	}
	return sum
}

// refusalRetryAfter returns the Retry-After of a refused request. The caller's
// next try excludes no target, so the target available first counts, whichever it
// is.
func (b *Broker) refusalRetryAfter(now time.Time, q *queuedRequest, wait time.Duration) time.Duration {
	if unavailable := b.unavailableFor(now, q, b.withOtherVersions(q, nil)); unavailable > 0 {
		return max(unavailable, minRetryAfter)
	}
	return limitRetryAfter(wait)
}

// unavailableFor is the time until a request's host can send it to some target of
// its service that is not excluded: 0 if it can now, maxRetryAfter if there is no
// such target. It exceeds maxRetryAfter only for targets that asked for a longer
// pause.
func (b *Broker) unavailableFor(now time.Time, q *queuedRequest, excluded []string) time.Duration {
	shortest := notice.MaxPause + 1
	for _, p := range b.roster.ForService(q.request.Service) {
		b.work++
		t := b.targets[p.ID]
		if t == nil || t.notice.Leaving() || slices.Contains(excluded, p.ID) {
			continue
		}
		if shortest = min(shortest, max(t.blockedFor(now, q.host), b.pathWait(now, q.request.Zone, t))); shortest == 0 {
			return 0
		}
	}
	if shortest > notice.MaxPause {
		return maxRetryAfter
	}
	return shortest
}
