package broker

import (
	"cmp"
	"time"

	"yuccadoor/core/model"
)

// Weights of the order in which requests wait.
const (
	// lateClasses is how many classes an answer that is late already ranks behind
	// one that can still be in time: more than the next class, less than two.
	lateClasses = 1.5
	// tierWeight is how many classes one tier stands above: a workspace's tier
	// goes before the route's class.
	tierWeight = 8
)

// order ranks requests: by tier, then by class, those that would be late one and
// a half classes lower, then by what they are worth for the work that they take.
// Those that can no longer be in time make way, so that under overload the most
// worth is served in time, and otherwise all are.
func (b *Broker) order(now time.Time, x, y *waiting) int {
	return cmp.Or(cmp.Compare(b.rank(now, x), b.rank(now, y)), cmp.Compare(y.density, x.density), x.aimAt.Compare(y.aimAt))
}

func (b *Broker) rank(now time.Time, w *waiting) float64 {
	rank := tierWeight*float64(w.ask.Tier) + float64(w.ask.Class)
	if now.Add(b.firstPart(w)).After(w.aimAt) {
		rank += lateClasses
	}
	return rank
}

// firstPart is how long the first part of an answer probably takes from the
// grant, at the fastest target.
func (b *Broker) firstPart(w *waiting) time.Duration {
	s := b.services[w.ask.Service]
	if s == nil {
		return 0
	}
	return s.first + time.Duration(float64(s.prompt)*float64(w.ask.PromptTokens))
}

// firstAt is the same at one target.
func (b *Broker) firstAt(w *waiting, t *target) time.Duration {
	return time.Duration(float64(b.firstPart(w)) * b.slowness(t))
}

// prefillTime is how long a target probably reads a request's prompt.
func (b *Broker) prefillTime(w *waiting, t *target) time.Duration {
	s := b.services[w.ask.Service]
	if s == nil {
		return 0
	}
	return time.Duration(float64(s.prompt) * float64(w.ask.PromptTokens) * b.slowness(t))
}

// slowness is a target's time for a unit of work against the fastest's of its
// service; 1 while unknown.
func (b *Broker) slowness(t *target) float64 {
	s := b.services[t.published.Service]
	if s == nil || s.fastest == 0 || t.rate == 0 {
		return 1
	}
	return float64(t.rate) / float64(s.fastest)
}

// sizeKey tells requests apart that are compared in size.
type sizeKey struct {
	service string
	class   model.Tier
}

// Weights of what a request is worth: a part that each of a class has and a part
// that grows with its size, as deployments state it.
const (
	equalPart  = 0.3
	sizePart   = 0.7
	outputSize = 10 // an output token counts as so many of a prompt
	mostWorth  = 4
	sizeWeight = 0.02 // of a new request in the mean
)

// worthOf gives a request's worth against the mean of its class.
func (b *Broker) worthOf(a Request) float64 {
	size := float64(a.PromptTokens + outputSize*a.OutputTokens)
	if size == 0 {
		return 1
	}
	k := sizeKey{a.Service, a.Class}
	mean := b.sizes[k]
	if mean == 0 {
		mean = size
	}
	mean += sizeWeight * (size - mean)
	b.sizes[k] = mean
	return min(equalPart+sizePart*size/mean, mostWorth)
}
