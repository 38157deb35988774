package hosts

import (
	"cmp"
	"net/netip"
	"time"

	"yuccadoor/core/place"
)

// Leader returns the leader as seen by this host: the live host with the largest CPU
// share, and among those the one that started first. It returns false if that is
// this host and it has been up for less than SettleTime, so that a new host does not
// lead before it has heard from others. If all hosts are leaving, this host leads.
func (h *Hosts) Leader(now time.Time) (netip.AddrPort, bool) {
	leader, ok := h.leader(now)
	if ok && h.isSilent(now, leader) {
		h.ConnectionLost(now, leader)
		leader, ok = h.leader(now)
	}
	h.isLeader = ok && leader == h.self.Address
	return leader, ok
}

// Successor returns the host that leads if the present leader is lost.
func (h *Hosts) Successor(now time.Time) (netip.AddrPort, bool) {
	leader, ok := h.leader(now)
	if !ok {
		return netip.AddrPort{}, false
	}
	return h.bestExcept(now, leader)
}

func (h *Hosts) leader(now time.Time) (netip.AddrPort, bool) {
	return h.bestExcept(now, netip.AddrPort{})
}

// bestExcept returns the leader if one host is left out.
func (h *Hosts) bestExcept(now time.Time, except netip.AddrPort) (netip.AddrPort, bool) {
	best, found := h.self, !h.self.Leaving
	for _, m := range h.members {
		if !h.alive(m, now) || m.heartbeat.Leaving || m.heartbeat.Address == except {
			continue
		}
		if !found || outranks(m.heartbeat, best) {
			best, found = m.heartbeat, true
		}
	}
	if !found {
		return h.self.Address, true
	}
	if best.Address == h.self.Address && now.Sub(h.started) < SettleTime {
		return netip.AddrPort{}, false
	}
	return best.Address, true
}

// outranks reports whether a is preferred to b as leader. Ties are broken by a hash
// of the address.
func outranks(a, b Heartbeat) bool {
	if order := cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Started, b.Started)); order != 0 {
		return order < 0
	}
	return place.HashAddr(a.Address) > place.HashAddr(b.Address)
}
