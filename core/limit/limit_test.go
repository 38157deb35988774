package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// warmed returns a target that has given n good results.
func warmed(n int, r Result) *Limiter {
	w := NewLimiter(Bounds{ColdSlots: 2, WarmupResults: 3, WarmSlots: 16})
	for range n {
		w.Observe(r)
	}
	return w
}

func TestTargetWarmsByGoodResultsUpToItsBound(t *testing.T) {
	good := Result{Kind: Completed, Pace: time.Millisecond, Units: 20}
	cases := []struct {
		results int
		slots   int
	}{{0, 2}, {2, 2}, {3, 3}, {10, 10}, {16, 16}, {100, 16}}
	for _, c := range cases {
		assert.Equal(t, warmed(c.results, good).Slots(), c.slots, "%d results", c.results)
	}
}

func TestTargetTurnsColdAtOnce(t *testing.T) {
	cases := []struct {
		name  string
		usual Result
		then  []Result
	}{
		{"slow tokens", Result{Completed, time.Millisecond, 20}, []Result{{Completed, 5 * time.Millisecond, 20}}},
		{"broken", Result{Completed, time.Millisecond, 20}, []Result{{Kind: Broken}}},
		{"silent", Result{Completed, time.Millisecond, 20}, []Result{{Kind: Silent}}},
		{"refuses", Result{Completed, time.Millisecond, 20}, []Result{{Kind: Overloaded}}},
		{"slow calls", Result{Kind: Completed, Pace: time.Millisecond}, []Result{
			{Kind: Completed, Pace: 20 * time.Millisecond},
			{Kind: Completed, Pace: 20 * time.Millisecond},
			{Kind: Completed, Pace: 20 * time.Millisecond},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := warmed(40, c.usual)
			turned := false
			for _, r := range c.then {
				turned = w.Observe(r) || turned
			}
			assert.Assert(t, turned)
			assert.Assert(t, w.Cold())
		})
	}
}

// Calls of one service differ a hundredfold. Judging each by itself kept warm
// targets at their cold limit under a heavy-tailed load.
func TestOneLongCallIsNoSignOfCold(t *testing.T) {
	w := warmed(40, Result{Kind: Completed, Pace: time.Millisecond})
	assert.Assert(t, !w.Observe(Result{Kind: Completed, Pace: 100 * time.Millisecond}))
	assert.Equal(t, w.Slots(), 16)
	w = warmed(40, Result{Kind: Completed, Pace: time.Millisecond, Units: 20})
	assert.Assert(t, !w.Observe(Result{Kind: Completed, Pace: 100 * time.Millisecond, Units: 2}))
	assert.Equal(t, w.Slots(), 16)
}
