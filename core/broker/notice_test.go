package broker

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/notice"
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
	s.roster.Remove(s.now, "t0", s.serial, false)
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
