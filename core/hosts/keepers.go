package hosts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/place"
)

// farKeepers is the number of hosts that keep the records of a host of a large fleet. They are
// of different zones, none of them its own, if possible.
const farKeepers = 3

// RecordKeepers returns the live hosts that other hosts can ask for records of streams.
func (h *Hosts) RecordKeepers(now time.Time) []netip.AddrPort {
	return slices.DeleteFunc(h.Alive(now), func(a netip.AddrPort) bool { return !h.members[a].heartbeat.KeepsStreams })
}

// Telling returns the hosts that tell others of their streams, dead ones too.
func (h *Hosts) Telling() []netip.AddrPort {
	var telling []netip.AddrPort
	for a, m := range h.members {
		if m.heartbeat.KeepsStreams {
			telling = append(telling, a)
		}
	}
	return telling
}

// OldestKeepers returns the hosts of RecordKeepers, those that started first before others.
func (h *Hosts) OldestKeepers(now time.Time) []netip.AddrPort {
	keepers := h.RecordKeepers(now)
	slices.SortStableFunc(keepers, func(a, b netip.AddrPort) int {
		return cmp.Compare(h.members[a].heartbeat.Started, h.members[b].heartbeat.Started)
	})
	return keepers
}

// OwnKeepers returns the hosts that keep the records of this one: in a small fleet all others,
// so that any one is enough, in a large fleet farKeepers of those that are neither the leader,
// which knows its grants, nor its successor, which may be lost with it.
func (h *Hosts) OwnKeepers(now time.Time) []netip.AddrPort {
	keepers := h.RecordKeepers(now)
	leader, _ := h.leader(now)
	if h.IsSmall() {
		return keepers
	}
	successor, _ := h.bestExcept(now, leader)
	var far, near []candidate
	self := place.HashAddr(h.self.Address)
	for _, a := range keepers {
		c := candidate{Heartbeat: &h.members[a].heartbeat, hash: place.Score(self, a)}
		switch {
		case a == leader || a == successor:
		case c.Zone == h.self.Zone:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	byHash := func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(far, byHash)
	slices.SortFunc(near, byHash)
	own := selectReaders(far, farKeepers)
	return append(own, selectReaders(near, farKeepers-len(own))...)
}

// IsSmall reports whether the fleet is small, so that each host sends its heartbeats to all
// others.
func (h *Hosts) IsSmall() bool { return len(h.members) < smallFleet }
