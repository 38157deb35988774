package hosts

import (
	"net/netip"
	"slices"
	"time"
)

// Period is the time between two beats.
func (h *Hosts) Period() time.Duration {
	if len(h.members) < small {
		return smallPeriod
	}
	return largePeriod
}

// Due reports whether it is time for a beat: a period has passed, new hosts wait
// for an answer, or something has changed that others act on.
func (h *Hosts) Due(now time.Time) bool {
	return now.Sub(h.beatAt) >= h.Period() || len(h.greet) > 0 || h.urgent
}

// Recipients picks to whom the next beat goes: everybody in a small fleet, else
// the leader and some others at random. Seeds that are not alive are tried too.
func (h *Hosts) Recipients(now time.Time) []netip.AddrPort {
	to := h.Alive(now)
	if len(to) >= small {
		h.random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:fanout]
		if leader, ok := h.leader(now); ok && leader != h.self.Address && !slices.Contains(to, leader) {
			to = append(to, leader)
		}
	}
	for _, s := range h.seeds {
		if s != h.self.Address && !slices.Contains(to, s) {
			if m := h.members[s]; m == nil || !h.alive(m, now) {
				to = append(to, s)
			}
		}
	}
	// A new host waits for an answer from the seeds that it has asked.
	n := min(greetings, len(h.greet))
	for _, a := range h.greet[:n] {
		if !slices.Contains(to, a) {
			to = append(to, a)
		}
	}
	h.greet = h.greet[n:]
	// A dead host may be back behind a healed partition, unknown to all seeds.
	if dead := h.oneDead(now); dead.IsValid() && !slices.Contains(to, dead) {
		to = append(to, dead)
	}
	return to
}

func (h *Hosts) oneDead(now time.Time) netip.AddrPort {
	var dead []netip.AddrPort
	for a, m := range h.members {
		if !h.alive(m, now) && !m.beat.Leaving {
			dead = append(dead, a)
		}
	}
	if len(dead) == 0 {
		return netip.AddrPort{}
	}
	slices.SortFunc(dead, netip.AddrPort.Compare)
	return dead[h.random.IntN(len(dead))]
}

// Digest lists the latest beats of live hosts, for passing on: now and then all
// of a small fleet, else some at random and always the leader's, on which all
// must agree.
func (h *Hosts) Digest(now time.Time) []Heartbeat {
	if len(h.members) < small && h.self.Count%everyDigest != 0 {
		return nil
	}
	var beats []Heartbeat
	for _, a := range h.Alive(now) {
		// An old beat tells nothing that its receiver does not know.
		if m := h.members[a]; now.Sub(m.heard) <= passedOn {
			beats = append(beats, m.beat)
		}
	}
	if len(beats) < small {
		return beats
	}
	h.random.Shuffle(len(beats), func(i, j int) { beats[i], beats[j] = beats[j], beats[i] })
	leader, ok := h.leader(now)
	for i, b := range beats {
		if ok && b.Address == leader {
			beats[0], beats[i] = beats[i], beats[0]
		}
	}
	return beats[:digest]
}
