package broker

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/notice"
)

func TestLeavingTargetGetsNothingFromAnyHost(t *testing.T) {
	w := newHarness(2)
	assert.Assert(t, w.b.RecordNotice(w.now, hostB, notice.Notice{Target: "t0", Leaving: true}))
	assert.Assert(t, !w.b.RecordNotice(w.now, hostA, notice.Notice{Target: "t0", Leaving: true}), "known already")
	for range 4 {
		w.ask(hostA, Request{})
	}
	for _, g := range w.grants[hostA] {
		assert.Equal(t, g.Target, "t1")
	}
	assert.Equal(t, len(w.grants[hostA]), 2)
	// Its entry is removed and returns unchanged, then with a later start.
	back := *w.roster.Snapshot().Targets["t0"]
	w.serial++
	w.roster.Remove(w.now, "t0", w.serial, false)
	w.b.SetRoster(w.now, w.roster.Snapshot())
	w.putTarget(back)
	assert.Equal(t, len(w.grants[hostA]), 2)
	back.Born = 7
	w.putTarget(back)
	w.collect()
	assert.Equal(t, len(w.grants[hostA]), 4)
}

func TestPauseBindsTheHostThatWasAskedForIt(t *testing.T) {
	w := newHarness(1)
	w.b.RecordNotice(w.now, hostA, notice.Notice{Target: "t0", Pause: time.Second})
	a, b := w.ask(hostA, Request{}), w.ask(hostB, Request{})
	assert.Equal(t, w.granted(hostA, a), "")
	assert.Equal(t, w.granted(hostB, b), "t0")
	w.advance(time.Second)
	assert.Equal(t, w.granted(hostA, a), "t0")
}

// Pauses of two hosts together apply to all hosts. One host's pause and another's
// failure to connect do not add up.
func TestPausesOfTwoHostsBindAll(t *testing.T) {
	hostC := netip.MustParseAddrPort("10.0.0.3:1")
	w := newHarness(1)
	w.b.RecordNotice(w.now, hostA, notice.Notice{Target: "t0", Pause: time.Second})
	w.done(hostB, w.ask(hostB, Request{}), NoConnect, time.Millisecond)
	assert.Equal(t, w.granted(hostC, w.ask(hostC, Request{})), "t0")
	w.b.RecordNotice(w.now, hostB, notice.Notice{Target: "t0", Pause: 2 * time.Second})
	late := w.ask(hostC, Request{})
	assert.Equal(t, w.granted(hostC, late), "")
	w.advance(time.Second)
	assert.Equal(t, w.granted(hostC, late), "t0", "the earliest pause is over")
}

func TestRefusalTellsWhenTheFirstPauseIsOver(t *testing.T) {
	w := newHarness(2)
	for i, id := range []string{"t0", "t1"} {
		w.b.RecordNotice(w.now, hostA, notice.Notice{Target: id, Pause: time.Duration(20+i) * time.Second})
	}
	id := w.ask(hostA, Request{ExpiresIn: 8 * time.Second, ExcludedTargets: []string{"t0"}})
	w.advance(100 * time.Millisecond)
	r := w.refused(hostA, id)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Cause, "NoTarget")
	assert.Assert(t, r.RetryAfter > 19*time.Second && r.RetryAfter <= 20*time.Second, "after %s", r.RetryAfter)
}

// A request does not wait for a target that is leaving, though it is still
// listed.
func TestLeavingTargetsAreNoneToWaitFor(t *testing.T) {
	w := newHarness(1)
	w.b.RecordNotice(w.now, hostA, notice.Notice{Target: "t0", Leaving: true})
	id := w.ask(hostA, Request{ExpiresIn: 2 * time.Second})
	w.advance(100 * time.Millisecond)
	r := w.refused(hostA, id)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Cause, "NoTarget")
	assert.Equal(t, len(w.b.roster.Of("engine")), 1)
}
