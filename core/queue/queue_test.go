package queue

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/model"
)

// reference is a reference implementation of the queue that sorts a plain list.
type reference struct {
	ranks map[int]Rank
}

func (r *reference) best(load LoadFunc) (int, bool) {
	keys := r.sorted(func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(load(a.Workspace), load(b.Workspace)),
			a.Deadline.Compare(b.Deadline), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(keys) == 0 {
		return 0, false
	}
	return keys[0], true
}

func (r *reference) worst(limit model.Tier) (int, bool) {
	waiting := map[string]int{}
	lowest := model.Tier(0)
	for _, rank := range r.ranks {
		lowest = max(lowest, rank.Tier)
	}
	if lowest <= limit {
		return 0, false
	}
	for _, rank := range r.ranks {
		if rank.Tier == lowest {
			waiting[rank.Workspace]++
		}
	}
	keys := r.sorted(func(a, b Rank) int {
		return cmp.Or(cmp.Compare(b.Tier, a.Tier), cmp.Compare(waiting[b.Workspace], waiting[a.Workspace]),
			b.Deadline.Compare(a.Deadline), cmp.Compare(b.Workspace, a.Workspace))
	})
	return keys[0], true
}

func (r *reference) sorted(compare func(a, b Rank) int) []int {
	var keys []int
	for k := range r.ranks {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b int) int { return compare(r.ranks[a], r.ranks[b]) })
	return keys
}

// The queue returns the same items as a plain sorted list.
func TestQueueMatchesReferenceImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, ref := New[int, int](), &reference{ranks: map[int]Rank{}}
		use := map[string]float64{"x": 0, "y": 0.5, "z": 2}
		load := func(w string) float64 { return use[w] }
		base := time.Unix(1000, 0)
		for key := range rapid.IntRange(1, 60).Draw(t, "items") {
			r := Rank{
				Tier:      model.Tier(rapid.IntRange(0, 2).Draw(t, "tier")),
				Workspace: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace"),
				Deadline:  base.Add(time.Duration(key*7919%1000) * time.Millisecond),
			}
			q.Add(key, r, key)
			ref.ranks[key] = r
			if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				removed := rapid.IntRange(0, key).Draw(t, "removed")
				_, present := ref.ranks[removed]
				assert.Equal(t, q.Remove(removed), present)
				delete(ref.ranks, removed)
			}
			limit := model.Tier(rapid.IntRange(0, 2).Draw(t, "limit"))
			got, _, ok := q.Best(load)
			want, wantOK := ref.best(load)
			assert.Equal(t, fmt.Sprint(got, ok), fmt.Sprint(want, wantOK))
			got, _, ok = q.Worst(limit)
			want, wantOK = ref.worst(limit)
			assert.Equal(t, fmt.Sprint(got, ok), fmt.Sprint(want, wantOK))
			assert.Equal(t, q.Len(), len(ref.ranks))
		}
	})
}

func BenchmarkQueueAt10000(b *testing.B) {
	q := New[int, int]()
	base := time.Unix(1000, 0)
	rank := func(i int) Rank {
		return Rank{Tier: model.Tier(i % 3), Workspace: fmt.Sprint(i % 50), Deadline: base.Add(time.Duration(i*7919%10007) * time.Millisecond)}
	}
	for i := range 10000 {
		q.Add(i, rank(i), i)
	}
	ranks := make([]Rank, 10000)
	for i := range ranks {
		ranks[i] = rank(i)
	}
	load := func(string) float64 { return 0 }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k, _, _ := q.Best(load)
		q.Remove(k)
		q.Add(k, ranks[k], k)
	}
}
