// Package queue holds waiting work in order of tier, then fairness among
// workspaces, then deadline. It finds both the best item, to run next, and the
// worst, to displace.
package queue

import (
	"container/heap"
	"time"

	"yuccadoor/core/model"
)

// Rank is what orders an item.
type Rank struct {
	Tier      model.Tier
	Workspace string
	Deadline  time.Time
}

// LoadFunc gives a workspace's present use divided by its share; Best serves the
// lowest first.
type LoadFunc func(workspace string) float64

// Queue is an ordered set of items by key. It is not safe for concurrent use.
type Queue[K comparable, T any] struct {
	items map[K]*item[K, T]
	tiers []map[string]*lane[K, T] // by tier, then workspace
	sizes []int                    // items by tier
}

type item[K comparable, T any] struct {
	key   K
	value T
	rank  Rank
	index [2]int // position in the lane's heaps: by earliest, by latest
}

// lane is the waiting work of one workspace in one tier.
type lane[K comparable, T any] struct {
	earliest side[K, T]
	latest   side[K, T]
}

// side is one heap over a lane's items.
type side[K comparable, T any] struct {
	which int // 0: earliest deadline first; 1: latest first
	items []*item[K, T]
}

func (s *side[K, T]) Len() int { return len(s.items) }

func (s *side[K, T]) Less(i, j int) bool {
	if s.which == 1 {
		i, j = j, i
	}
	return s.items[i].rank.Deadline.Before(s.items[j].rank.Deadline)
}

func (s *side[K, T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.items[i].index[s.which] = i
	s.items[j].index[s.which] = j
}

// Push implements heap.Interface.
func (s *side[K, T]) Push(x any) {
	it := x.(*item[K, T])
	it.index[s.which] = len(s.items)
	s.items = append(s.items, it)
}

// Pop implements heap.Interface.
func (s *side[K, T]) Pop() any {
	last := len(s.items) - 1
	it := s.items[last]
	s.items[last] = nil
	s.items = s.items[:last]
	return it
}

// New returns an empty queue.
func New[K comparable, T any]() *Queue[K, T] {
	return &Queue[K, T]{items: map[K]*item[K, T]{}}
}

// Len is the number of waiting items.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// TierLen is the number of waiting items of one tier.
func (q *Queue[K, T]) TierLen(t model.Tier) int {
	if int(t) >= len(q.sizes) {
		return 0
	}
	return q.sizes[t]
}

// LowestTier is the least urgent tier with a waiting item.
func (q *Queue[K, T]) LowestTier() (model.Tier, bool) {
	for t := len(q.sizes) - 1; t >= 0; t-- {
		if q.sizes[t] > 0 {
			return model.Tier(t), true
		}
	}
	return 0, false
}

// Get returns the item under key.
func (q *Queue[K, T]) Get(key K) (T, bool) {
	it, ok := q.items[key]
	if !ok {
		var none T
		return none, false
	}
	return it.value, true
}

// Add puts an item in. An item already under key is replaced.
func (q *Queue[K, T]) Add(key K, rank Rank, value T) {
	q.Remove(key)
	for int(rank.Tier) >= len(q.tiers) {
		q.tiers = append(q.tiers, map[string]*lane[K, T]{})
		q.sizes = append(q.sizes, 0)
	}
	it := &item[K, T]{key: key, value: value, rank: rank}
	q.items[key] = it
	q.sizes[rank.Tier]++
	l := q.tiers[rank.Tier][rank.Workspace]
	if l == nil {
		l = &lane[K, T]{latest: side[K, T]{which: 1}}
		q.tiers[rank.Tier][rank.Workspace] = l
	}
	heap.Push(&l.earliest, it)
	heap.Push(&l.latest, it)
}

// Remove takes the item under key out and reports whether there was one.
func (q *Queue[K, T]) Remove(key K) bool {
	it, ok := q.items[key]
	if !ok {
		return false
	}
	delete(q.items, key)
	q.sizes[it.rank.Tier]--
	lanes := q.tiers[it.rank.Tier]
	l := lanes[it.rank.Workspace]
	heap.Remove(&l.earliest, it.index[0])
	heap.Remove(&l.latest, it.index[1])
	if l.earliest.Len() == 0 {
		delete(lanes, it.rank.Workspace)
	}
	return true
}

// Best returns the item to run next: of the most urgent tier, of the workspace
// with the lowest load, the one with the earliest deadline. The item stays in.
func (q *Queue[K, T]) Best(load LoadFunc) (K, T, bool) {
	for _, lanes := range q.tiers {
		if it := bestOf(lanes, load); it != nil {
			return it.key, it.value, true
		}
	}
	var k K
	var t T
	return k, t, false
}

func bestOf[K comparable, T any](lanes map[string]*lane[K, T], load LoadFunc) *item[K, T] {
	var best *item[K, T]
	var lowest float64
	for w, l := range lanes {
		head := l.earliest.items[0]
		at := load(w)
		if best == nil || at < lowest || (at == lowest && before(head, best)) {
			best, lowest = head, at
		}
	}
	return best
}

// before breaks ties in a fixed order, so that a decision does not depend on
// the iteration order of a map.
func before[K comparable, T any](a, b *item[K, T]) bool {
	if !a.rank.Deadline.Equal(b.rank.Deadline) {
		return a.rank.Deadline.Before(b.rank.Deadline)
	}
	return a.rank.Workspace < b.rank.Workspace
}

// Worst returns the item to displace: of the least urgent tier below limit, of
// the workspace with the most waiting, the one with the latest deadline. Only
// tiers less urgent than limit are looked at.
func (q *Queue[K, T]) Worst(limit model.Tier) (K, T, bool) {
	for t := len(q.tiers) - 1; t > int(limit); t-- {
		var worst *item[K, T]
		most := 0
		for _, l := range q.tiers[t] {
			last := l.latest.items[0]
			if n := l.latest.Len(); n > most || (n == most && before(worst, last)) {
				worst, most = last, n
			}
		}
		if worst != nil {
			return worst.key, worst.value, true
		}
	}
	var k K
	var v T
	return k, v, false
}

// Each calls f for every item, in no particular order, until it returns false.
func (q *Queue[K, T]) Each(f func(K, T) bool) {
	for k, it := range q.items {
		if !f(k, it.value) {
			return
		}
	}
}
