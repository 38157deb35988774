package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func TestBudgetRunsOutAndRefills(t *testing.T) {
	b := New(Bounds{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	n := 0
	for b.TakeRetry(start, "s") {
		n++
	}
	assert.Equal(t, n, 15, "the usable part of the slack")
	for range 10 {
		b.RecordRequest(start, "s")
	}
	assert.Assert(t, b.TakeRetry(start, "s"), "ten requests earn one retry")
	assert.Assert(t, !b.TakeRetry(start, "s"))
	assert.Assert(t, b.TakeRetry(start.Add(time.Second), "s"))
	assert.Assert(t, b.TakeRetry(start, "other"), "services do not share a budget")
}

// All hosts together stay within the bounds, whenever they start and under any traffic.
func TestAllHostsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		budgets := make([]*Budget, hosts)
		reset := func(i int) {
			budgets[i] = New(bounds)
			budgets[i].SetHosts(hosts)
		}
		for i := range budgets {
			reset(i)
		}
		var requests, retries []time.Time
		now := start
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			budgets[i].RecordRequest(now, "s")
			requests = append(requests, now)
			for budgets[i].TakeRetry(now, "s") {
				retries = append(retries, now)
			}
		}
		in := func(all []time.Time, from time.Time, w time.Duration) (n float64) {
			for _, at := range all {
				if !at.Before(from) && at.Sub(from) < w {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			counted := max(in(requests, from, bounds.Window), in(requests, from.Add(-bounds.Window), bounds.Window))
			bound := bounds.Ratio*counted + bounds.Slack
			got := in(retries, from, bounds.Window)
			assert.Assert(t, got <= bound, "%v retries of at most %v", got, bound)
		}
	})
}
