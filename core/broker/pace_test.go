package broker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
)

// The least urgent requests are refused first, and only as many as the lag demands.
func TestRequestsAreRefusedWhileTheLeaderLags(t *testing.T) {
	for _, c := range []struct {
		name     string
		lag, age time.Duration
		admitted [3]int // of 100 requests of each class
	}{
		{"no lag", 0, 0, [3]int{100, 100, 100}},
		{"tolerable lag", maxLag, 0, [3]int{100, 100, 100}},
		{"half of the requests", 2 * maxLag, 0, [3]int{100, 50, 0}},
		{"a third", 3 * maxLag, 0, [3]int{100, 0, 0}},
		{"a sixth", 6 * maxLag, 0, [3]int{50, 0, 0}},
		{"a lag told long ago", 6 * maxLag, 3 * lagHalfLife, [3]int{100, 100, 100}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Pace
			for n := range 3 * recentRanks {
				p.Admit(start, 0, model.Tier(n%3))
			}
			p.SetLag(start, c.lag)
			var admitted [3]int
			for n := range 300 {
				if p.Admit(start.Add(c.age), 0, model.Tier(n%3)) {
					admitted[n%3]++
				}
			}
			for class, want := range c.admitted {
				const tolerance = 4 // the recent requests are not a multiple of three
				assert.Assert(t, admitted[class] >= want-tolerance && admitted[class] <= want+tolerance, "class %d: %d admitted, want %d", class, admitted[class], want)
			}
		})
	}
}

// Updates are spaced by the lag, up to a bound.
func TestUpdatesAreSpacedByTheLag(t *testing.T) {
	for _, c := range []struct {
		lag  time.Duration
		sent int // in 1.5 s
	}{{0, 1500}, {30 * time.Millisecond, 50}, {10 * time.Second, 10}} {
		var p Pace
		sent := 0
		for n := range 1500 {
			now := start.Add(time.Duration(n) * time.Millisecond)
			p.SetLag(now, c.lag)
			if p.Take(now) {
				sent++
			}
		}
		assert.Equal(t, sent, c.sent, "lag %s", c.lag)
	}
}
