package hosts

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

// keeping returns a membership that has heard of count other hosts in three zones, of which
// those that keep records say so.
func keeping(count int, keeps func(n int) bool) (*Hosts, time.Time) {
	h := New(start, Heartbeat{Address: address(0), Zone: "a", Incarnation: 1, CPUShare: 40}, nil, 1)
	for n := 1; n <= count; n++ {
		h.Receive(start, Heartbeat{
			Address: address(n), Zone: string(rune('a' + n%3)), Incarnation: 1, Count: 1, CPUShare: 50 - min(n, 10), KeepsStreams: keeps(n),
		})
	}
	h.Leader(start)
	return h, start
}

func TestRecordsAreKeptByOtherHosts(t *testing.T) {
	all := func(int) bool { return true }
	for _, c := range []struct {
		name   string
		others int
		keeps  func(n int) bool
		want   int
	}{
		{"two hosts", 1, all, 1},
		{"small fleet: all others", 7, all, 7},
		{"small fleet of two versions: none that does not know them", 7, func(n int) bool { return n%2 == 0 }, 3},
		{"large fleet", 300, all, farKeepers},
		{"large fleet in which few keep records", 300, func(n int) bool { return n == 100 || n == 200 }, 2},
		{"large fleet of an earlier version", 300, func(int) bool { return false }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, now := keeping(c.others, c.keeps)
			keepers := h.OwnKeepers(now)
			assert.Equal(t, len(keepers), c.want)
			for _, a := range keepers {
				assert.Assert(t, a != h.self.Address && h.members[a].heartbeat.KeepsStreams)
			}
		})
	}
}

// Guards against one loss that takes all records: of a zone, or of the leader and the next one.
func TestNoZoneAndNoPairOfLeadersHoldsAllRecords(t *testing.T) {
	for n := range 50 {
		h, now := keeping(300, func(int) bool { return true })
		h.self.Address = address(1000 + n)
		keepers := h.OwnKeepers(now)
		leader, _ := h.Leader(now)
		successor, _ := h.Successor(now)
		var zones []string
		for _, a := range keepers {
			zones = append(zones, h.Zone(a))
		}
		assert.Assert(t, !slices.Contains(keepers, leader) && !slices.Contains(keepers, successor))
		assert.Assert(t, slices.Contains(zones, "b") && slices.Contains(zones, "c"), "%v", zones)
		assert.Assert(t, !slices.Contains(zones, h.self.Zone), "%v", zones)
	}
}

// Guards against forgetting that a host keeps records when another one, of a version that does
// not know of it, forwards its heartbeat.
func TestForwardedHeartbeatDoesNotEndTheKeepingOfRecords(t *testing.T) {
	h, now := keeping(2, func(int) bool { return true })
	forwarded := Heartbeat{Address: address(2), Zone: "c", Incarnation: 1, Count: 2, CPUShare: 48}
	h.Receive(now, forwarded)
	assert.Equal(t, len(h.RecordKeepers(now)), 2)
	forwarded.Incarnation, forwarded.Count = 2, 1 // another process, of another version
	h.Receive(now, forwarded)
	assert.DeepEqual(t, h.RecordKeepers(now), []netip.AddrPort{address(1)}, cmpopts.EquateComparable(netip.AddrPort{}))
}
