package broker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/routes"
)

// Regression guard: a target that was back under its id after it had taken no connections got all
// its slots at once, although it was cold and its entry did not tell yet.
func TestTargetThatTookNoConnectionsIsTakenForCold(t *testing.T) {
	const slots, coldPerSecond, window = 8, 4, time.Second
	for _, c := range []struct {
		name     string
		answered bool // a request that it was running before
		born     bool // its entry tells of a start, and that it is warm
		after    time.Duration
		cold     bool
	}{
		{name: "at once", cold: true},
		{name: "before a restart would be known", after: restartPublishDelay - 1100*time.Millisecond, cold: true},
		{name: "after a restart would be known", after: restartPublishDelay + time.Second},
		{name: "a request was answered meanwhile", answered: true},
		{name: "its entry tells", born: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(1, routes.Service{Name: "engine", Engine: true, Slots: slots, ColdPerSecond: coldPerSecond})
			before := s.submit(hostA, Request{})
			s.advance(10 * time.Millisecond)
			for _, id := range []uint64{s.submit(hostA, Request{}), s.submit(hostB, Request{})} {
				host := hostA
				if s.granted(host, id) == "" {
					host = hostB
				}
				s.complete(host, id, NoConnect, time.Millisecond)
			}
			if c.answered {
				s.complete(hostA, before, Good, 10*time.Millisecond)
			}
			s.advance(2 * minBackoff)
			if c.born {
				published := *s.roster.Snapshot().Targets["t0"]
				published.Born++
				s.putTarget(published)
			}
			grants := func(length time.Duration) int {
				granted := 0
				for range int(length / (20 * time.Millisecond)) {
					id := s.submit(hostA, Request{})
					if s.granted(hostA, id) != "" {
						granted++
						s.complete(hostA, id, Good, 10*time.Millisecond)
					} else {
						s.b.Cancel(hostA, id)
					}
					s.advance(20 * time.Millisecond)
				}
				return granted
			}
			grants(c.after)
			got := grants(window)
			assert.Equal(t, got <= coldPerSecond+1, c.cold, "%d grants in a second", got)
		})
	}
}
