package hosts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/place"
)

// Parameters of the assignment of readers.
const (
	// readerCount is the number of hosts that read the published facts from the store;
	// the others receive them from the readers. With three readers, in different zones
	// if possible, facts arrive as long as any one of them can read, and the load on
	// the store does not grow with the fleet.
	readerCount = 3
	// maxStandIns is how many hosts stand in when most readers fail: a store that is
	// silent fails each of them for a second or more, and a change must be in force on all
	// hosts within two.
	maxStandIns = 8
	// readFailureTimeout is how long a former reader whose reads failed counts as
	// unable to read. It is many times a reader's own retry interval, so that an
	// unreachable store receives few more attempts than those of the first readers.
	readFailureTimeout = 10 * time.Second
	// maxReaderSilence is the age of a reader's last heartbeat from which another host
	// reads in addition: two periods of a large fleet and a delayed heartbeat. It
	// leaves time to read and spread a configuration within 4 s.
	maxReaderSilence = 2500 * time.Millisecond
	// assignmentTimeout is how long an assignment is valid, and its leader followed,
	// without a heartbeat that repeats it: three periods of a large fleet.
	assignmentTimeout = 3 * time.Second
	// minAssignmentInterval is the time between two changes of the assignment. While
	// the store refuses all hosts, each change adds readers that fail at once.
	minAssignmentInterval = 500 * time.Millisecond
)

// assignment is a leader's choice of the hosts that read the store.
type assignment struct {
	readers   []netip.AddrPort
	by        netip.AddrPort // the leader
	confirmed time.Time      // when the leader last chose or repeated it
	changed   time.Time      // when this host, as the leader, last changed it
}

func (a *assignment) valid(now time.Time) bool {
	return !a.confirmed.IsZero() && now.Sub(a.confirmed) <= assignmentTimeout
}

// AssignReaders chooses the readers if this host leads, and reports whether they changed.
// The next heartbeat is then due at once, and goes to the hosts affected. The leader
// decides, since it receives every heartbeat: in a large fleet other hosts learn too late
// that a reader has failed. Callers call it periodically, after Leader.
func (h *Hosts) AssignReaders(now time.Time) bool {
	if !h.isLeader {
		return false
	}
	h.assignment.by, h.assignment.confirmed = h.self.Address, now
	if now.Sub(h.assignment.changed) < minAssignmentInterval {
		return false
	}
	former, readers := h.assignment.readers, h.chooseReaders(now)
	if slices.Equal(former, readers) {
		return false
	}
	for _, a := range slices.Concat(former, readers) {
		if slices.Contains(former, a) != slices.Contains(readers, a) && a != h.self.Address {
			h.reassigned = append(h.reassigned, a)
		}
	}
	h.assignment.readers, h.assignment.changed = readers, now
	h.sendNow = true
	return true
}

// AssignedReaders returns the readers that this host has assigned; none unless it leads.
func (h *Hosts) AssignedReaders() []netip.AddrPort {
	if !h.isLeader {
		return nil
	}
	return h.assignment.readers
}

// isSilent reports whether the leader has stopped repeating its assignment. Its
// connection does not tell if its process is stopped.
func (h *Hosts) isSilent(now time.Time, leader netip.AddrPort) bool {
	return leader != h.self.Address && leader == h.assignment.by && !h.assignment.valid(now)
}

// Resume records that this process was paused, so that what it did not hear meanwhile
// says nothing about the leader, nor about the age of the store's latest answer.
func (h *Hosts) Resume(now time.Time) {
	h.answers.latest = time.Time{}
	if !h.assignment.confirmed.IsZero() {
		h.assignment.confirmed = now
	}
}

// ReceiveAssignment records the readers that a host has assigned, if it is the leader.
func (h *Hosts) ReceiveAssignment(now time.Time, from netip.AddrPort, readers []netip.AddrPort) {
	if leader, ok := h.leader(now); ok && leader == from && from != h.self.Address && len(readers) > 0 {
		h.assignment = assignment{readers: readers, by: from, confirmed: now}
	}
}

// chooseReaders chooses among all live hosts and, in addition, among those that are able
// to read; thus a failing reader keeps trying while another one stands in.
func (h *Hosts) chooseReaders(now time.Time) []netip.AddrPort {
	live := h.liveCandidates(now)
	slices.SortFunc(live, candidate.compare)
	able := slices.DeleteFunc(slices.Clone(live), func(c candidate) bool {
		return c.ReadFailing || h.isLeader && c.Address != h.self.Address && now.Sub(h.members[c.Address].lastHeard) > maxReaderSilence
	})
	standIns := readerCount
	if len(live)-len(able) > readerCount/2 {
		standIns = maxStandIns
	}
	readers := selectReaders(live, readerCount)
	for _, a := range selectReaders(able, standIns) {
		if !slices.Contains(readers, a) {
			readers = append(readers, a)
		}
	}
	return readers
}

// liveCandidates returns all live hosts as candidates, in no order.
func (h *Hosts) liveCandidates(now time.Time) []candidate {
	live := []candidate{h.candidate(&h.self)}
	for _, m := range h.members {
		if h.aliveByRole(m, now) && !m.heartbeat.Leaving {
			live = append(live, h.candidate(&m.heartbeat))
		}
	}
	return live
}

// candidate is a host that may become a reader.
type candidate struct {
	*Heartbeat
	preference int // the higher, the sooner it is selected
	hash       uint64
}

// candidate returns a host as a candidate. A leader prefers itself, since it reaches all
// hosts at once, and then the present readers, so that they change only when they must.
func (h *Hosts) candidate(b *Heartbeat) candidate {
	c := candidate{Heartbeat: b, hash: place.HashAddr(b.Address)}
	switch {
	case h.isLeader && b.Address == h.self.Address:
		c.preference = 2
	case slices.Contains(h.assignment.readers, b.Address):
		c.preference = 1
	}
	return c
}

func (c candidate) compare(d candidate) int {
	return cmp.Or(cmp.Compare(d.preference, c.preference), cmp.Compare(d.hash, c.hash))
}

// selectReaders returns count of the sorted candidates: the first of each zone, then the
// first of all zones.
func selectReaders(candidates []candidate, count int) []netip.AddrPort {
	var selected []netip.AddrPort
	zones := map[string]bool{}
	for pass := range 2 {
		for _, c := range candidates {
			if firstOfZone := !zones[c.Zone]; firstOfZone != (pass == 0) || len(selected) == count || slices.Contains(selected, c.Address) {
				continue
			}
			zones[c.Zone] = true
			selected = append(selected, c.Address)
		}
	}
	return selected
}

// IsReader reports whether this host reads the published facts: as assigned by the leader
// or, while there is no valid assignment, by this host's own view of the fleet; in either
// case also if it stands in for readers that have no answer. Callers call it periodically,
// since it also clears this host's read failure after its timeout.
func (h *Hosts) IsReader(now time.Time) bool {
	readers := h.assignment.readers
	if !h.assignment.valid(now) {
		readers = h.chooseReaders(now)
	}
	isReader := slices.Contains(readers, h.self.Address) || h.standsIn(now, readers)
	h.expireReadFailure(now, isReader)
	return isReader
}

// SetReadFailing records whether this host's reads of the published facts fail.
func (h *Hosts) SetReadFailing(now time.Time, failing bool) {
	h.readFailedAt = time.Time{}
	if failing {
		h.readFailedAt = now
	}
	h.announceReadFailing(failing)
}

// StopReading records that this host is no longer a reader. If its reads failed,
// it keeps announcing that for readFailureTimeout. Otherwise, while the store is
// unreachable, hosts would replace each other as readers many times a second.
func (h *Hosts) StopReading(now time.Time) {
	if h.self.ReadFailing {
		h.readFailedAt = now
	}
}

// expireReadFailure clears the read failure of a host that is no longer a reader,
// after readFailureTimeout.
func (h *Hosts) expireReadFailure(now time.Time, isReader bool) {
	if h.self.ReadFailing && !isReader && now.Sub(h.readFailedAt) >= readFailureTimeout {
		h.announceReadFailing(false)
	}
}

// announceReadFailing sets the state in this host's heartbeat, and sends it early if
// it changed.
func (h *Hosts) announceReadFailing(failing bool) {
	h.sendNow = h.sendNow || h.self.ReadFailing != failing
	h.self.ReadFailing = failing
}
