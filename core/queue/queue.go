// Package queue implements a priority queue of waiting work, ordered by tier, then
// by fair share among workspaces, then by deadline. It returns both the best item,
// which runs next, and the worst, which is evicted under overload.
package queue

import (
	"container/heap"
	"time"

	"yuccadoor/core/model"
)

// Rank is the sort key of an item.
type Rank struct {
	Tier      model.Tier
	Workspace string
	Deadline  time.Time
}

// LoadFunc returns a workspace's current use divided by its share. Best prefers the
// workspace with the lowest load.
type LoadFunc func(workspace string) float64

// Queue is a priority queue of items that are identified by key. It is not safe for
// concurrent use.
type Queue[K comparable, T any] struct {
	items map[K]*item[K, T]
	tiers []map[string]*workspaceQueue[K, T] // by tier, then workspace
	sizes []int                              // number of items by tier
}

type item[K comparable, T any] struct {
	key   K
	value T
	rank  Rank
	index [2]int // positions in the two heaps of its workspaceQueue, by order
}

// Orders of a deadlineHeap.
const (
	earliestFirst = 0
	latestFirst   = 1
)

// workspaceQueue holds the waiting items of one workspace in one tier, in two heaps
// over the same items.
type workspaceQueue[K comparable, T any] struct {
	earliest deadlineHeap[K, T]
	latest   deadlineHeap[K, T]
}

// deadlineHeap is a heap of items by deadline. It implements heap.Interface.
type deadlineHeap[K comparable, T any] struct {
	order int // earliestFirst or latestFirst
	items []*item[K, T]
}

func (h *deadlineHeap[K, T]) Len() int { return len(h.items) }

func (h *deadlineHeap[K, T]) Less(i, j int) bool {
	if h.order == latestFirst {
		i, j = j, i
	}
	return h.items[i].rank.Deadline.Before(h.items[j].rank.Deadline)
}

func (h *deadlineHeap[K, T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.order] = i
	h.items[j].index[h.order] = j
}

// Push implements heap.Interface.
func (h *deadlineHeap[K, T]) Push(x any) {
	it := x.(*item[K, T])
	it.index[h.order] = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[K, T]) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}

// New returns an empty queue.
func New[K comparable, T any]() *Queue[K, T] {
	return &Queue[K, T]{items: map[K]*item[K, T]{}}
}

// Len returns the number of items.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// TierLen returns the number of items in one tier.
func (q *Queue[K, T]) TierLen(t model.Tier) int {
	if int(t) >= len(q.sizes) {
		return 0
	}
	return q.sizes[t]
}

// LowestTier returns the least urgent tier that has an item, if any.
func (q *Queue[K, T]) LowestTier() (model.Tier, bool) {
	for t := len(q.sizes) - 1; t >= 0; t-- {
		if q.sizes[t] > 0 {
			return model.Tier(t), true
		}
	}
	return 0, false
}

// Get returns the item with the given key.
func (q *Queue[K, T]) Get(key K) (T, bool) {
	it, ok := q.items[key]
	if !ok {
		var none T
		return none, false
	}
	return it.value, true
}

// Add inserts an item. It replaces an item with the same key.
func (q *Queue[K, T]) Add(key K, rank Rank, value T) {
	q.Remove(key)
	for int(rank.Tier) >= len(q.tiers) {
		q.tiers = append(q.tiers, map[string]*workspaceQueue[K, T]{})
		q.sizes = append(q.sizes, 0)
	}
	it := &item[K, T]{key: key, value: value, rank: rank}
	q.items[key] = it
	q.sizes[rank.Tier]++
	w := q.tiers[rank.Tier][rank.Workspace]
	if w == nil {
		w = &workspaceQueue[K, T]{
			earliest: deadlineHeap[K, T]{order: earliestFirst},
			latest:   deadlineHeap[K, T]{order: latestFirst},
		}
		q.tiers[rank.Tier][rank.Workspace] = w
	}
	heap.Push(&w.earliest, it)
	heap.Push(&w.latest, it)
}

// Remove deletes the item with the given key and reports whether there was one.
func (q *Queue[K, T]) Remove(key K) bool {
	it, ok := q.items[key]
	if !ok {
		return false
	}
	delete(q.items, key)
	q.sizes[it.rank.Tier]--
	workspaces := q.tiers[it.rank.Tier]
	w := workspaces[it.rank.Workspace]
	heap.Remove(&w.earliest, it.index[earliestFirst])
	heap.Remove(&w.latest, it.index[latestFirst])
	if w.earliest.Len() == 0 {
		delete(workspaces, it.rank.Workspace)
	}
	return true
}

// Best returns the item to run next, without removing it: in the most urgent tier,
// of the workspace with the lowest load, the item with the earliest deadline.
func (q *Queue[K, T]) Best(load LoadFunc) (K, T, bool) {
	for _, workspaces := range q.tiers {
		if it := bestInTier(workspaces, load); it != nil {
			return it.key, it.value, true
		}
	}
	var k K
	var t T
	return k, t, false
}

func bestInTier[K comparable, T any](workspaces map[string]*workspaceQueue[K, T], load LoadFunc) *item[K, T] {
	var best *item[K, T]
	var lowestLoad float64
	for name, w := range workspaces {
		head := w.earliest.items[0]
		l := load(name)
		if best == nil || l < lowestLoad || (l == lowestLoad && before(head, best)) {
			best, lowestLoad = head, l
		}
	}
	return best
}

// before orders items by deadline, then by workspace. The fixed order of ties makes
// decisions independent of map iteration order.
func before[K comparable, T any](a, b *item[K, T]) bool {
	if !a.rank.Deadline.Equal(b.rank.Deadline) {
		return a.rank.Deadline.Before(b.rank.Deadline)
	}
	return a.rank.Workspace < b.rank.Workspace
}

// Worst returns the item to evict, without removing it: in the least urgent tier, of
// the workspace with the most waiting items, the item with the latest deadline. It
// considers only tiers that are less urgent than limit.
func (q *Queue[K, T]) Worst(limit model.Tier) (K, T, bool) {
	for t := len(q.tiers) - 1; t > int(limit); t-- {
		var worst *item[K, T]
		most := 0
		for _, w := range q.tiers[t] {
			last := w.latest.items[0]
			if n := w.latest.Len(); n > most || (n == most && before(worst, last)) {
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

// Each calls f for each item in unspecified order until f returns false.
func (q *Queue[K, T]) Each(f func(K, T) bool) {
	for k, it := range q.items {
		if !f(k, it.value) {
			return
		}
	}
}
