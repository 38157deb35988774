package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// warmed returns the limiter of a target after n times the result r.
func warmed(n int, r Result) *Limiter {
	l := NewLimiter(Bounds{ColdSlots: 2, WarmupResults: 3, WarmSlots: 16})
	for range n {
		l.Observe(r)
	}
	return l
}

func TestTargetWarmsUpWithGoodResults(t *testing.T) {
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
			l := warmed(40, c.usual)
			turned := false
			for _, r := range c.then {
				turned = l.Observe(r) || turned
			}
			assert.Assert(t, turned)
			assert.Assert(t, l.Cold())
		})
	}
}

// The durations of calls to one service differ by a factor of a hundred. Judging each
// call by itself kept warm targets at their cold limit under a heavy-tailed load.
func TestOneLongCallDoesNotTurnTargetCold(t *testing.T) {
	l := warmed(40, Result{Kind: Completed, Pace: time.Millisecond})
	assert.Assert(t, !l.Observe(Result{Kind: Completed, Pace: 100 * time.Millisecond}))
	assert.Equal(t, l.Slots(), 16)
	l = warmed(40, Result{Kind: Completed, Pace: time.Millisecond, Units: 20})
	assert.Assert(t, !l.Observe(Result{Kind: Completed, Pace: 100 * time.Millisecond, Units: 2}))
	assert.Equal(t, l.Slots(), 16)
}
