package hosts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/place"
)

// Leader returns the host that leads as seen from here: the strongest, then the
// one that started first. A host that has just started leads only once it has
// heard from others or waited for them.
func (h *Hosts) Leader(now time.Time) (netip.AddrPort, bool) {
	leader, ok := h.leader(now)
	h.leads = ok && leader == h.self.Address
	return leader, ok
}

func (h *Hosts) leader(now time.Time) (netip.AddrPort, bool) {
	best, found := h.self, !h.self.Leaving
	for _, m := range h.members {
		if !h.alive(m, now) || m.beat.Leaving {
			continue
		}
		if !found || better(m.beat, best) {
			best, found = m.beat, true
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

func better(a, b Heartbeat) bool {
	return cmp.Or(
		cmp.Compare(b.Power, a.Power),
		cmp.Compare(a.Started, b.Started),
		cmp.Compare(place.HashAddr(b.Address), place.HashAddr(a.Address)),
	) < 0
}

// readers is how many hosts read the published facts themselves; the others
// hear from them. With three, in different zones where there are such, facts
// arrive while any one can read, at a cost that does not grow with the fleet.
const readers = 3

// believeFailure is how long a host that failed to read and was relieved counts
// as unable: many of a reader's own pauses, so that a store that is away is asked
// little more often than by the first few alone.
const believeFailure = 10 * time.Second

// IsReader reports whether this host is one of those that read the published
// facts: the first few of those that can, and of all, so that one that could not
// goes on trying. It is asked often: with time it forgets that this host failed.
func (h *Hosts) IsReader(now time.Time) bool {
	all := []Heartbeat{h.self}
	for _, m := range h.members {
		if h.alive(m, now) && !m.beat.Leaving {
			all = append(all, m.beat)
		}
	}
	slices.SortFunc(all, func(a, b Heartbeat) int {
		return cmp.Compare(place.HashAddr(b.Address), place.HashAddr(a.Address))
	})
	able := slices.DeleteFunc(slices.Clone(all), func(b Heartbeat) bool { return b.ReadFailing })
	reads := h.among(all) || h.among(able)
	h.forgetFailure(now, reads)
	return reads
}

// among reports whether this host is one of the readers picked from the given:
// the first of each zone, then the first of all.
func (h *Hosts) among(beats []Heartbeat) bool {
	zones := map[string]bool{}
	picked := 0
	for pass := range 2 {
		for _, b := range beats {
			if first := !zones[b.Zone]; first != (pass == 0) || picked == readers {
				continue
			}
			zones[b.Zone] = true
			picked++
			if b.Address == h.self.Address {
				return true
			}
		}
	}
	return false
}
