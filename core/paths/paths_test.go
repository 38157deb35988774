package paths

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func target(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
}

// One broken path says nothing of the others; several, and no success since, do.
func TestHostIsIsolatedBySeveralBrokenPaths(t *testing.T) {
	p, now := New(), start
	p.RecordBroken(now, target(1))
	assert.Assert(t, !p.TryDirect(now, target(1)))
	assert.Assert(t, p.TryDirect(now, target(2)), "one path is broken")
	p.RecordBroken(now, target(2))
	assert.Assert(t, p.Isolated())
	assert.Assert(t, p.TryDirect(now, target(3)), "the first probe")
	assert.Assert(t, !p.TryDirect(now, target(4)), "one probe at a time")
	now = now.Add(probeInterval)
	assert.Assert(t, p.TryDirect(now, target(4)))
	p.RecordDirect(now, target(4))
	assert.Assert(t, !p.Isolated())
	assert.Assert(t, p.TryDirect(now, target(5)))
	assert.Assert(t, !p.TryDirect(now, target(1)), "its own path may still be broken")
	assert.Assert(t, p.TryDirect(now.Add(retryDelay), target(1)))
}

// Regression test: hosts of a zone that was cut off asked each other only, and never found out.
func TestHostMayBeIsolatedBeforeOthersReachItsTargets(t *testing.T) {
	p := New()
	p.RecordFailure(target(1))
	assert.Assert(t, !p.MayBeIsolated())
	p.RecordFailure(target(2))
	assert.Assert(t, p.MayBeIsolated() && !p.Isolated())
	p.RecordDirect(start, target(3))
	assert.Assert(t, !p.MayBeIsolated())
}

// Hosts that could not help are asked last for a while.
func TestHostsThatCouldNotHelpGoLast(t *testing.T) {
	p := New()
	p.Avoid(start, target(1))
	all := []netip.AddrPort{target(1), target(2), target(3)}
	assert.Assert(t, slices.Equal(p.Order(start, all, 2), []netip.AddrPort{target(2), target(3)}))
	assert.Assert(t, slices.Equal(p.Order(start, all, 3), []netip.AddrPort{target(2), target(3), target(1)}))
	assert.Assert(t, slices.Equal(p.Order(start.Add(avoidTime), all, 1), []netip.AddrPort{target(1)}))
}
