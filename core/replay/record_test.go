package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/burn"
)

// The records of a day without overload are replayed with the same arrivals and
// sizes, and every request is in time.
func TestRecordsAreReplayedAsMeasured(t *testing.T) {
	shape, ok := ShapeByName("half")
	assert.Assert(t, ok)
	start := time.Unix(1_000_000, 0)
	var day []Record
	for n := range 400 {
		r := Record{
			Arrived: start.Add(time.Duration(n) * 25 * time.Millisecond), Class: "review", Service: "lm",
			Target: []string{"a", "b", "c"}[n%3], Outcome: burn.InTime, Objective: 700 * time.Millisecond, Prompt: 1000, Events: 4,
			TimeToFirstByte: 30 * time.Millisecond,
		}
		switch {
		case n%4 == 3:
			r = Record{
				Arrived: r.Arrived, Class: "stock", Service: "shop", Target: "s", Outcome: burn.InTime, Objective: 90 * time.Millisecond,
				Waited: 2 * time.Millisecond, TimeToFirstByte: 12 * time.Millisecond, Priority: 2,
			}
		case n%40 == 0:
			r.Outcome, r.Events, r.TimeToFirstByte = burn.Refused, 0, 0
		case n%41 == 0:
			r.Outcome = burn.NotOwed
		}
		day = append(day, r)
	}
	day = append(day, Record{Arrived: start, Class: "never", Service: "shop", Outcome: burn.Failed})

	p, stats := PatternFromRecords(shape, day)
	assert.Equal(t, len(p.Services), 2)
	assert.Equal(t, p.Services[0].Name, "lm")
	assert.Equal(t, p.Services[0].Targets, 3)
	assert.Assert(t, p.Services[1].Profile.Plain)
	assert.Equal(t, len(stats), 2)
	review := stats[0]
	assert.Equal(t, review.Class, "review")
	assert.Equal(t, review.Refused, 10)
	assert.Equal(t, review.Median, 30*time.Millisecond)
	assert.Equal(t, p.Classes[0].Objective, 700*time.Millisecond)
	for _, a := range p.Recorded {
		if a.Class == "review" {
			assert.Equal(t, a.Output, 4*shape.TokensPerEvent) // the median, also for refused requests
		} else {
			assert.Equal(t, a.Work, 10*time.Millisecond)
		}
	}
	r := Play(p, brokerPolicy, 1)
	for i, c := range r.Classes {
		assert.Equal(t, c.Requests, stats[i].Requests)
		assert.Equal(t, c.InTime, c.Requests) // the day has no overload
	}
}

func TestNoRecordsGiveNoStats(t *testing.T) {
	shape, _ := ShapeByName("tenth")
	_, stats := PatternFromRecords(shape, nil)
	assert.Equal(t, len(stats), 0)
}
