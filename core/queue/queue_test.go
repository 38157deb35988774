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

// naive is the queue as a plain list.
type naive struct {
	ranks map[int]Rank
}

func (n *naive) best(load LoadFunc) (int, bool) {
	keys := n.sorted(func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(load(a.Workspace), load(b.Workspace)),
			a.Deadline.Compare(b.Deadline), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(keys) == 0 {
		return 0, false
	}
	return keys[0], true
}

func (n *naive) worst(below model.Tier) (int, bool) {
	waiting := map[string]int{}
	lowest := model.Tier(0)
	for _, r := range n.ranks {
		lowest = max(lowest, r.Tier)
	}
	if lowest <= below {
		return 0, false
	}
	for _, r := range n.ranks {
		if r.Tier == lowest {
			waiting[r.Workspace]++
		}
	}
	keys := n.sorted(func(a, b Rank) int {
		return cmp.Or(cmp.Compare(b.Tier, a.Tier), cmp.Compare(waiting[b.Workspace], waiting[a.Workspace]),
			b.Deadline.Compare(a.Deadline), cmp.Compare(b.Workspace, a.Workspace))
	})
	return keys[0], true
}

func (n *naive) sorted(compare func(a, b Rank) int) []int {
	var keys []int
	for k := range n.ranks {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b int) int { return compare(n.ranks[a], n.ranks[b]) })
	return keys
}

// The queue decides as a plain sorted list would.
func TestQueueDecidesAsANaiveOneDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, n := New[int, int](), &naive{ranks: map[int]Rank{}}
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
			n.ranks[key] = r
			if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				gone := rapid.IntRange(0, key).Draw(t, "gone")
				_, there := n.ranks[gone]
				assert.Equal(t, q.Remove(gone), there)
				delete(n.ranks, gone)
			}
			below := model.Tier(rapid.IntRange(0, 2).Draw(t, "below"))
			got, _, ok := q.Best(load)
			want, wantOK := n.best(load)
			assert.Equal(t, fmt.Sprint(got, ok), fmt.Sprint(want, wantOK))
			got, _, ok = q.Worst(below)
			want, wantOK = n.worst(below)
			assert.Equal(t, fmt.Sprint(got, ok), fmt.Sprint(want, wantOK))
			assert.Equal(t, q.Len(), len(n.ranks))
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
