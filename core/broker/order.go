package broker

import (
	"cmp"
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

// compare compares requests by tier, then by class, with late requests ranked one
// and a half classes lower, then by value per unit of cost. Requests that can no
// longer be in time yield to the others, so that under overload the most value is
// served in time; without overload all are.
func (b *Broker) compare(now time.Time, x, y *queuedRequest) int {
	b.work++
	return cmp.Or(cmp.Compare(b.rank(now, x), b.rank(now, y)), cmp.Compare(y.valuePerCost, x.valuePerCost), x.startBy.Compare(y.startBy))
}

// rank is lower for more urgent requests.
func (b *Broker) rank(now time.Time, q *queuedRequest) float64 {
	rank := classesPerTier*float64(q.request.Tier) + float64(q.request.Class)
	if now.Add(b.startLatency(q)).After(q.startBy) {
		rank += lateClassPenalty
	}
	return rank
}

// startLatency is the estimated time from the grant to the first part of the
// answer, at the fastest target.
func (b *Broker) startLatency(q *queuedRequest) time.Duration {
	e := b.latencies[q.request.Service]
	if e == nil {
		return 0
	}
	return e.base + time.Duration(float64(e.perPromptToken)*float64(q.request.PromptTokens))
}

// startLatencyAt is the same estimate for one target.
func (b *Broker) startLatencyAt(q *queuedRequest, t *target) time.Duration {
	return time.Duration(float64(b.startLatency(q)) * b.slowness(t))
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
// fastest target of its service; 1 while either is unknown.
func (b *Broker) slowness(t *target) float64 {
	e := b.latencies[t.published.Service]
	if e == nil || e.fastestTokenTime == 0 || t.tokenTime == 0 {
		return 1
	}
	return float64(t.tokenTime) / float64(e.fastestTokenTime)
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
