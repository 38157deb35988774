package broker

import (
	"math"
	"slices"
	"time"
)

// Bounds of the search for a target, so that the cost of a decision does not grow with the
// fleet.
const (
	// maxCandidates is the number of free targets of which the best is taken: nearly as
	// good as the best of all.
	maxCandidates = 64
	// maxFruitless is the number of requests of one kind for which no free target was
	// found, after which others of that kind are not tried before the next matching.
	maxFruitless = 8
	// promptClass is the range of prompt tokens that count as alike.
	promptClass = 512
)

// searchKey groups requests for which the same targets are suitable.
type searchKey struct {
	rank   float64
	zone   string
	prompt int
}

func (q *queuedRequest) searchKey() searchKey {
	return searchKey{q.rank, q.request.Zone, q.request.PromptTokens / promptClass}
}

// hasOwnTargets reports whether a request is bound to particular targets, unlike others of
// its kind.
func (q *queuedRequest) hasOwnTargets() bool {
	return q.pinned || q.unresolved || len(q.request.ExcludedTargets) > 0
}

// freeTargets returns the targets of a service that can be granted a request now.
func (b *Broker) freeTargets(now time.Time, service string) []*target {
	var free []*target
	b.work += uint64(len(b.roster.ForService(service)))
	for _, p := range b.roster.ForService(service) {
		if t := b.targets[p.ID]; t != nil && t.hasCapacity(now, b) {
			free = append(free, t)
		}
	}
	return free
}

// findTarget returns an allowed target for a request, or nil. fruitless counts the searches that
// found none, by kind of request: beyond maxFruitless a kind is not tried again. A request
// that is bound to particular targets, or whose host backs off from some, says nothing of
// others of its kind.
func (b *Broker) findTarget(now time.Time, q *queuedRequest, free []*target, allowed func(time.Time, *queuedRequest, *target) bool, fruitless map[searchKey]int) *target {
	kind, ordinary := q.searchKey(), !q.hasOwnTargets()
	if ordinary && fruitless[kind] >= maxFruitless || !now.Before(q.expiresAt) || !b.mayRun(now, q.request) {
		return nil
	}
	t, blocked := b.pickTarget(now, q, free, allowed)
	if t == nil && ordinary && !blocked {
		fruitless[kind]++
	}
	return t
}

// pickTarget returns the best of the first free targets that are allowed, or nil. Each
// request begins at another one. blocked is set if the request's host backs off from one of
// them.
func (b *Broker) pickTarget(now time.Time, q *queuedRequest, free []*target, allowed func(time.Time, *queuedRequest, *target) bool) (best *target, blocked bool) {
	lowest := math.Inf(1)
	first := 0
	if len(free) > maxCandidates {
		first = int(q.request.ID % uint64(len(free)))
	}
	for i := range free {
		if i >= maxCandidates && best != nil {
			break
		}
		b.work++
		t := free[(first+i)%len(free)]
		if !q.allows(t.published) || slices.Contains(q.request.ExcludedTargets, t.published.ID) || !t.hasCapacity(now, b) {
			continue
		}
		if t.blockedFor(now, q.host) > 0 || b.pathWait(now, q.request.Zone, t) > 0 || !t.silence.mayTry(now, q.host, q.request.Repeatable) {
			blocked = true
			continue
		}
		if !allowed(now, q, t) || !b.keepsEventGaps(now, q, t) || !b.mayTry(now, q, t) {
			continue
		}
		if s := b.score(now, q, t); s < lowest {
			best, lowest = t, s
		}
	}
	return best, blocked
}
