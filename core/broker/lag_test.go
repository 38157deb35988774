package broker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
)

// Regression test: while the leader lagged, the slots of plain targets were idle for as long as
// the ends of their requests were on their way.
func TestPlainTargetsAreNotIdleWhileDecisionsLag(t *testing.T) {
	const slots = 2
	for _, c := range []struct {
		name   string
		took   time.Duration
		lag    time.Duration
		output int // in tokens; 0 for a plain service
		want   int
	}{
		{"no lag", 30 * time.Millisecond, 0, 0, slots},
		{"little lag", 30 * time.Millisecond, minLag / 2, 0, slots},
		{"more lag than work", 30 * time.Millisecond, 100 * time.Millisecond, 0, maxAdvance * slots},
		{"half as much lag as work", 100 * time.Millisecond, 40 * time.Millisecond, 0, slots + 1},
		{"work not known", 0, 100 * time.Millisecond, 0, slots},
		{"engine", 300 * time.Millisecond, 10 * time.Second, 10, slots},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(0, routes.Service{Name: "s", Engine: c.output > 0, Slots: slots})
			s.putTarget(roster.Target{ID: "t", Service: "s", Slots: slots})
			if c.took > 0 {
				id := s.submit(hostA, Request{Service: "s"})
				s.b.Complete(s.now, hostA, Completion{ID: id, Target: "t", Outcome: Good, Took: c.took, OutputTokens: c.output})
			}
			for range 100 {
				s.b.SetLag(c.lag)
			}
			granted := 0
			for range 4 * slots {
				if id := s.submit(hostA, Request{Service: "s"}); s.granted(hostA, id) != "" {
					granted++
				}
			}
			assert.Equal(t, granted, c.want)
		})
	}
}
