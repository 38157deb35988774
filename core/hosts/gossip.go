package hosts

import (
	"net/netip"
	"slices"
	"time"
)

// Period is the interval between two heartbeats of a host.
func (h *Hosts) Period() time.Duration {
	if len(h.members) < smallFleet {
		return smallPeriod
	}
	return largePeriod
}

// Due reports whether a heartbeat must be sent: a period has passed, hosts that know few
// others wait for an answer, or something changed that other hosts act on.
func (h *Hosts) Due(now time.Time) bool {
	return now.Sub(h.lastSent) >= h.Period() || len(h.unanswered) > 0 || h.sendNow
}

// Recipients picks the hosts that the next heartbeat is sent to: all live hosts in a
// small fleet, otherwise the leader and fanout random hosts. Seeds that are not
// alive are added in both cases.
func (h *Hosts) Recipients(now time.Time) []netip.AddrPort {
	to := h.Alive(now)
	if len(to) >= smallFleet {
		h.random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:fanout]
		if leader, ok := h.leader(now); ok && leader != h.self.Address && !slices.Contains(to, leader) {
			to = append(to, leader)
		}
	}
	add := func(hosts []netip.AddrPort) {
		for _, a := range hosts {
			if a != h.self.Address && !slices.Contains(to, a) {
				to = append(to, a)
			}
		}
	}
	add(slices.DeleteFunc(slices.Clone(h.seeds), func(s netip.AddrPort) bool {
		m := h.members[s]
		return m != nil && h.alive(m, now)
	}))
	n := min(maxReplies, len(h.unanswered))
	add(h.unanswered[:n])
	h.unanswered = h.unanswered[n:]
	add(h.reassigned)
	h.reassigned = nil
	// After a partition heals, a dead host may be reachable again without any seed
	// knowing of it.
	add(h.randomDead(now, 1))
	return to
}

// Followers returns the hosts that must hear this host's heartbeat if it leads a large
// fleet and a period has passed since the last call that returned any: all live ones and
// some dead ones. The heartbeat carries the assignment of readers, and a host whose
// connection to the leader broke trusts it again only after hearing from it.
func (h *Hosts) Followers(now time.Time) []netip.AddrPort {
	if !h.isLeader || len(h.members) < smallFleet || now.Sub(h.informedAt) < h.Period() {
		return nil
	}
	h.informedAt = now
	return append(h.Alive(now), h.randomDead(now, maxDeadFollowers)...)
}

// randomDead returns at most count random hosts that are dead and did not announce that
// they leave.
func (h *Hosts) randomDead(now time.Time, count int) []netip.AddrPort {
	var dead []netip.AddrPort
	for a, m := range h.members {
		if !h.aliveByRole(m, now) && !m.heartbeat.Leaving {
			dead = append(dead, a)
		}
	}
	slices.SortFunc(dead, netip.AddrPort.Compare)
	h.random.Shuffle(len(dead), func(i, j int) { dead[i], dead[j] = dead[j], dead[i] })
	return dead[:min(count, len(dead))]
}

// Digest returns heartbeats of live hosts to forward with the next one: in a small
// fleet all of them with every digestInterval-th heartbeat and with an answer, otherwise
// digestSize random ones that include the leader's, since all hosts must agree on the leader.
func (h *Hosts) Digest(now time.Time) []Heartbeat {
	if len(h.members) < smallFleet && h.self.Count%digestInterval != 0 && len(h.unanswered) == 0 {
		return nil
	}
	var heartbeats []Heartbeat
	for _, a := range h.Alive(now) {
		// Receivers already know of an old heartbeat.
		if m := h.members[a]; now.Sub(m.lastHeard) <= maxDigestAge {
			heartbeats = append(heartbeats, m.heartbeat)
		}
	}
	if len(heartbeats) < smallFleet {
		return heartbeats
	}
	h.random.Shuffle(len(heartbeats), func(i, j int) { heartbeats[i], heartbeats[j] = heartbeats[j], heartbeats[i] })
	leader, ok := h.leader(now)
	for i, b := range heartbeats {
		if ok && b.Address == leader {
			heartbeats[0], heartbeats[i] = heartbeats[i], heartbeats[0]
		}
	}
	return heartbeats[:digestSize]
}
