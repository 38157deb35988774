package burn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var key = Key{Service: "lm", Tier: "Order", Zone: "a"}

func TestReportSumsHostsAndSortsByRate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	one, two := NewLog(), NewLog()
	for range 90 {
		one.Add(now, Event{Key: key})
	}
	for range 10 {
		two.Add(now, Event{Key: key, Cause: "Shed"})
	}
	two.Add(now, Event{Key: Key{Service: "orders"}})
	rows := Report(append(one.Counts(now), two.Counts(now)...), func(string) float64 { return 0.95 })
	assert.Equal(t, len(rows), 2*len(Windows))
	worst := rows[0]
	assert.Equal(t, worst.Key, key)
	assert.Equal(t, worst.Total, 100)
	assert.Equal(t, worst.Missed, 10)
	assert.Equal(t, worst.Causes["Shed"], 10)
	assert.Assert(t, worst.Rate > 1.99 && worst.Rate < 2.01, "%v", worst.Rate)
	assert.Assert(t, worst.Left < 0, "the error budget was overspent by a factor of two")
}

func TestCountsExpireFromTheirWindows(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	cases := []struct {
		after   time.Duration
		windows int // in which the event still counts
	}{{0, 3}, {10 * time.Minute, 2}, {2 * time.Hour, 1}, {7 * time.Hour, 0}}
	for _, c := range cases {
		l := NewLog()
		l.Add(start, Event{Key: key})
		assert.Equal(t, len(l.Counts(start.Add(c.after))), c.windows, "after %s", c.after)
	}
}
