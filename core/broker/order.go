package broker

import (
	"cmp"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// Weights of the priority order.
const (
	// lateClassPenalty is how many classes a request ranks lower once its answer
	// can no longer start in time: below the next class, above the one after
	// that.
	lateClassPenalty = 1.5
	// classesPerTier is how many classes one tier outweighs: a workspace's tier
	// takes precedence over the route's class.
	classesPerTier = 8
)

// smallQueue is the length up to which a queue is sorted anew for each matching.
const smallQueue = 256

// order drops cancelled requests and sorts a queue by rank. In a long queue only new
// requests are ranked: the others were when the queue was last looked through.
func (b *Broker) order(now time.Time, queue []*queuedRequest) []*queuedRequest {
	ranked := len(queue)
	if len(queue) <= smallQueue {
		ranked = 0
	}
	for ranked > 0 && !queue[ranked-1].ranked {
		ranked--
	}
	added := slices.DeleteFunc(slices.Clone(queue[ranked:]), func(q *queuedRequest) bool { return q.cancelled })
	b.sort(now, added)
	return merge(queue, ranked, added)
}

// merge merges sorted requests into the sorted beginning of a queue, in its place.
func merge(queue []*queuedRequest, sorted int, added []*queuedRequest) []*queuedRequest {
	end := sorted + len(added)
	for i, j, k := sorted-1, len(added)-1, end-1; j >= 0; k-- {
		if i >= 0 && compare(queue[i], added[j]) > 0 {
			queue[k] = queue[i]
			i--
		} else {
			queue[k] = added[j]
			j--
		}
	}
	clear(queue[end:])
	return queue[:end]
}

// sort ranks and sorts requests.
func (b *Broker) sort(now time.Time, queue []*queuedRequest) {
	for _, q := range queue {
		q.rank, q.ranked = b.rank(now, q), true
	}
	b.work += uint64(len(queue))
	slices.SortStableFunc(queue, func(x, y *queuedRequest) int {
		b.work++
		return compare(x, y)
	})
}

// compare compares requests by tier, then by class, with late requests ranked one and a
// half classes lower, then by value per unit of cost. Requests that can no longer be in
// time yield to the others, so that under overload the most value is served in time;
// without overload all are.
func compare(x, y *queuedRequest) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.tag, y.tag), cmp.Compare(y.valuePerCost, x.valuePerCost), x.startBy.Compare(y.startBy))
}

// rank is lower for more urgent requests.
func (b *Broker) rank(now time.Time, q *queuedRequest) float64 {
	rank := priority(q.request.Tier, q.request.Class)
	if now.Add(b.startLatency(q)).After(q.startBy) {
		rank += lateClassPenalty
	}
	return rank
}

// priority is the rank of requests that are not late.
func priority(tier, class model.Tier) float64 { return classesPerTier*float64(tier) + float64(class) }

// startLatency is the estimated time from the grant to the first part of the
// answer, at the fastest target.
func (b *Broker) startLatency(q *queuedRequest) time.Duration {
	return time.Duration(float64(b.unscaledLatency(q)) * b.fastFactor(q.request.Service))
}

// startLatencyAt is the same estimate for one target.
func (b *Broker) startLatencyAt(q *queuedRequest, t *target) time.Duration {
	return time.Duration(float64(b.unscaledLatency(q)) * b.slowness(t))
}

// unscaledLatency is the same estimate for a target of slowness 1.
func (b *Broker) unscaledLatency(q *queuedRequest) time.Duration {
	e := b.latencies[q.request.Service]
	if e == nil {
		return 0
	}
	return e.base + time.Duration(float64(e.perPromptToken)*float64(q.request.PromptTokens))
}

// prefillTime is the estimated time that a target takes to read a request's
// prompt.
func (b *Broker) prefillTime(q *queuedRequest, t *target) time.Duration {
	e := b.latencies[q.request.Service]
	if e == nil {
		return 0
	}
	return time.Duration(float64(e.perPromptToken) * float64(q.request.PromptTokens) * b.slowness(t))
}

// slowness is the ratio of a target's time per unit of work to that of the
// fastest target of its service; 1 while either is unknown. If the targets state
// their slowdown, it is the ratio to a target of slowdown 1.
func (b *Broker) slowness(t *target) float64 {
	if b.sharesMachines(t.published.Service) {
		return cmp.Or(t.factor, 1) * t.ramp.Factor()
	}
	e := b.latencies[t.published.Service]
	if e == nil || e.fastestTokenTime == 0 || t.tokenTime == 0 {
		return t.ramp.Factor()
	}
	return float64(t.tokenTime) / float64(e.fastestTokenTime) * t.ramp.Factor()
}

// sizeKey groups the requests over which the mean size is taken.
type sizeKey struct {
	service string
	class   model.Tier
}

// Weights of the value of a request. It has a part that is equal for all requests
// of a class and a part proportional to its size, as stated by the deployments.
const (
	fixedValueShare = 0.3
	sizeValueShare  = 0.7
	outputTokenSize = 10 // size of an output token, in prompt tokens
	maxValue        = 4
	meanSizeWeight  = 0.02 // of a new request in the moving mean
)

// valueOf returns the value of a request relative to the mean size of its class.
func (b *Broker) valueOf(r Request) float64 {
	size := float64(r.PromptTokens + outputTokenSize*r.OutputTokens)
	if size == 0 {
		return 1
	}
	k := sizeKey{r.Service, r.Class}
	mean := b.meanSizes[k]
	if mean == 0 {
		mean = size
	}
	mean += meanSizeWeight * (size - mean)
	b.meanSizes[k] = mean
	return min(fixedValueShare+sizeValueShare*size/mean, maxValue)
}
