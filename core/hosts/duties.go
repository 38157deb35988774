package hosts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/place"
)

// Leader returns the leader as seen by this host: the live host with the largest CPU
// share, and among those the one that started first. It returns false if that is
// this host and it has been up for less than SettleTime, so that a new host does not
// lead before it has heard from others. If all hosts are leaving, this host leads.
func (h *Hosts) Leader(now time.Time) (netip.AddrPort, bool) {
	leader, ok := h.leader(now)
	h.isLeader = ok && leader == h.self.Address
	return leader, ok
}

func (h *Hosts) leader(now time.Time) (netip.AddrPort, bool) {
	best, found := h.self, !h.self.Leaving
	for _, m := range h.members {
		if !h.alive(m, now) || m.heartbeat.Leaving {
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
	return cmp.Or(
		cmp.Compare(b.CPUShare, a.CPUShare),
		cmp.Compare(a.Started, b.Started),
		cmp.Compare(place.HashAddr(b.Address), place.HashAddr(a.Address)),
	) < 0
}

// readerCount is the number of hosts that read the published facts from the store;
// the others receive them from the readers. With three readers, in different zones
// if possible, facts arrive as long as any one of them can read, and the load on the
// store does not grow with the fleet.
const readerCount = 3

// readFailureTimeout is how long a former reader whose reads failed counts as unable
// to read. It is many times a reader's own retry interval, so that an unreachable
// store receives few more attempts than those of the first readers.
const readFailureTimeout = 10 * time.Second

// IsReader reports whether this host reads the published facts. Readers are selected
// among all live hosts and, in addition, among those whose reads do not fail; thus a
// failing reader keeps trying while another one stands in. Callers call it
// periodically, since it also clears this host's read failure after its timeout.
func (h *Hosts) IsReader(now time.Time) bool {
	live := []Heartbeat{h.self}
	for _, m := range h.members {
		if h.alive(m, now) && !m.heartbeat.Leaving {
			live = append(live, m.heartbeat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int {
		return cmp.Compare(place.HashAddr(b.Address), place.HashAddr(a.Address))
	})
	able := slices.DeleteFunc(slices.Clone(live), func(b Heartbeat) bool { return b.ReadFailing })
	isReader := h.isSelected(live) || h.isSelected(able)
	h.expireReadFailure(now, isReader)
	return isReader
}

// isSelected reports whether this host is among the readers selected from the
// candidates: the first of each zone, then the first of all zones.
func (h *Hosts) isSelected(candidates []Heartbeat) bool {
	zones := map[string]bool{}
	selected := 0
	for pass := range 2 {
		for _, b := range candidates {
			if firstOfZone := !zones[b.Zone]; firstOfZone != (pass == 0) || selected == readerCount {
				continue
			}
			zones[b.Zone] = true
			selected++
			if b.Address == h.self.Address {
				return true
			}
		}
	}
	return false
}
