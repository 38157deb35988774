package broker

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/notice"
	"yuccadoor/core/roster"
)

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	s := newSimulation(2)
	assert.Assert(t, s.b.RecordNotice(s.now, hostB, notice.Notice{Target: "t0", Leaving: true}))
	assert.Assert(t, !s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Leaving: true}), "known already")
	for range 4 {
		s.submit(hostA, Request{})
	}
	for _, g := range s.grants[hostA] {
		assert.Equal(t, g.Target, "t1")
	}
	assert.Equal(t, len(s.grants[hostA]), 2)
	// Its entry is removed and returns unchanged, then with a later start.
	back := *s.roster.Snapshot().Targets["t0"]
	s.serial++
	s.roster.Remove(s.now, "t0", roster.Position{Revision: s.serial}, false)
	s.b.SetRoster(s.now, s.roster.Snapshot())
	s.putTarget(back)
	assert.Equal(t, len(s.grants[hostA]), 2)
	back.Born = 7
	s.putTarget(back)
	s.collect()
	assert.Equal(t, len(s.grants[hostA]), 4)
}

func TestPauseBindsTheHostThatWasAskedForIt(t *testing.T) {
	s := newSimulation(1)
	s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Pause: time.Second})
	a, b := s.submit(hostA, Request{}), s.submit(hostB, Request{})
	assert.Equal(t, s.granted(hostA, a), "")
	assert.Equal(t, s.granted(hostB, b), "t0")
	s.advance(time.Second)
	assert.Equal(t, s.granted(hostA, a), "t0")
}

// Pauses of two hosts together apply to all hosts. One host's pause and another's
// failure to connect do not add up.
func TestPausesOfTwoHostsBindAll(t *testing.T) {
	hostC := netip.MustParseAddrPort("10.0.0.3:1")
	s := newSimulation(1)
	s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Pause: time.Second})
	s.complete(hostB, s.submit(hostB, Request{}), NoConnect, time.Millisecond)
	assert.Equal(t, s.granted(hostC, s.submit(hostC, Request{})), "t0")
	s.b.RecordNotice(s.now, hostB, notice.Notice{Target: "t0", Pause: 2 * time.Second})
	late := s.submit(hostC, Request{})
	assert.Equal(t, s.granted(hostC, late), "")
	s.advance(time.Second)
	assert.Equal(t, s.granted(hostC, late), "t0", "the earliest pause is over")
}

func TestRefusalTellsWhenTheFirstPauseIsOver(t *testing.T) {
	s := newSimulation(2)
	for i, id := range []string{"t0", "t1"} {
		s.b.RecordNotice(s.now, hostA, notice.Notice{Target: id, Pause: time.Duration(20+i) * time.Second})
	}
	id := s.submit(hostA, Request{ExpiresIn: 8 * time.Second, ExcludedTargets: []string{"t0"}})
	s.advance(100 * time.Millisecond)
	r := s.refused(hostA, id)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Cause, "NoTarget")
	assert.Assert(t, r.RetryAfter > 19*time.Second && r.RetryAfter <= 20*time.Second, "after %s", r.RetryAfter)
}

// A request does not wait for a target that is leaving, though it is still
// listed.
func TestLeavingTargetsAreNotWaitedFor(t *testing.T) {
	s := newSimulation(1)
	s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Leaving: true})
	id := s.submit(hostA, Request{ExpiresIn: 2 * time.Second})
	s.advance(100 * time.Millisecond)
	r := s.refused(hostA, id)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Cause, "NoTarget")
	assert.Equal(t, len(s.b.roster.ForService("engine")), 1)
}

// grantedWithin keeps a queue of requests for a target with a limit and returns how many
// are granted within a duration.
func (s *simulation) grantedWithin(d time.Duration) int {
	ids, granted := map[uint64]bool{}, 0
	for end := s.now.Add(d); s.now.Before(end); s.advance(50 * time.Millisecond) {
		for len(ids) < 4 {
			ids[s.submit(hostA, Request{})] = true
		}
		for id := range ids {
			if s.granted(hostA, id) != "" {
				granted++
				s.complete(hostA, id, Good, time.Millisecond)
				delete(ids, id)
			} else if s.refused(hostA, id) != nil {
				delete(ids, id)
			}
		}
	}
	return granted
}

// A limit holds over all hosts: a leader uses the share of the fleet that it reaches, and
// one that has just begun waits before its first grant.
func TestLimitOfATargetPacesItsGrants(t *testing.T) {
	limited := notice.Notice{Target: "t0", Limit: 2}
	for _, c := range []struct {
		name     string
		notices  []notice.Notice
		alive    int // of four hosts
		min, max int // grants in 10 s
	}{
		{"no limit", nil, 4, 100, 1000},
		{"limit", []notice.Notice{limited}, 4, 18, 20},
		{"half of the fleet", []notice.Notice{limited}, 2, 9, 10},
		{"a host alone", []notice.Notice{limited}, 1, 4, 5},
		{"changed limit", []notice.Notice{limited, {Target: "t0", Limit: 1}}, 4, 9, 11},
		{"limit that has ended", []notice.Notice{limited, {Target: "t0", Unlimited: true}}, 4, 100, 1000},
		{"endless number", []notice.Notice{{Target: "t0", Limit: 1e300}}, 4, 100, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(1)
			s.b.SetReachableShare(c.alive, 4)
			for _, n := range c.notices {
				s.b.RecordNotice(s.now, hostA, n)
			}
			if first := s.submit(hostA, Request{}); c.max < 100 {
				assert.Equal(t, s.granted(hostA, first), "")
				s.b.Cancel(hostA, first)
			}
			got := s.grantedWithin(10 * time.Second)
			assert.Assert(t, got >= c.min && got <= c.max, "%d grants", got)
		})
	}
}

// Work that a limited target cannot take goes elsewhere, or is refused with the wait for
// its turn.
func TestRequestsAreNotHeldForATargetWithALimit(t *testing.T) {
	for _, targets := range []int{1, 2} {
		s := newSimulation(targets)
		s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Limit: 0.2})
		var ids []uint64
		for range 3 {
			ids = append(ids, s.submit(hostA, Request{ExpiresIn: 2 * time.Second}))
		}
		s.advance(50 * time.Millisecond)
		for i, id := range ids {
			switch r := s.refused(hostA, id); {
			case targets == 2 && i < 2:
				assert.Equal(t, s.granted(hostA, id), "t1")
			case targets == 1:
				assert.Assert(t, r != nil && r.Cause == "TargetLimit" && r.RetryAfter > time.Second, "%v", r)
			}
		}
	}
}
