// Package hosts decides which hosts of the system are alive and which of them
// leads. Hosts find each other from a few seed addresses and by what others
// tell; each sends beats, and one whose beats stop counts as dead after a
// while, from where one stands. No host's word about another's death is taken.
package hosts

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Times and bounds of membership.
const (
	// ForgetAfter is how long a dead host still counts in the size of the fleet.
	ForgetAfter = 2 * time.Minute
	// SettleTime is how long a host that has just started waits for others before it
	// leads alone: seeds that are up answer its first beat at once. One that is
	// wrong about it uses its part of what is bounded, and hears of the others soon.
	SettleTime = 250 * time.Millisecond
	// small is up to how many hosts each one sends its beats to all others.
	small = 16
	// fanout is to how many hosts a beat goes in a larger fleet, beside the
	// leader, and digest how many others' beats it passes on.
	fanout = 3
	digest = 6
	// everyDigest is the number of beats of which one passes others' on, in a
	// small fleet, where that only serves hosts that are new.
	everyDigest = 4
	// distrust is how long a host counts as dead after its connection broke.
	distrust = 2 * time.Second
	// greetings is how many new hosts are answered at one beat: when a whole
	// fleet starts, all ask the few seeds.
	greetings = 64
	// passedOn is how old a beat may be that is passed on: older than the time
	// between two digests.
	passedOn = 3 * time.Second
	// missed is how many beats a live host may miss towards one that it sends
	// all to: a lost packet is sent again after some 200 ms.
	missed = 4
	// startUnit groups hosts that start together, in seconds, so that their
	// clocks' small differences do not order them.
	startUnit = 8
)

// Periods between two beats of one host, by the size of the fleet.
const (
	smallPeriod = 250 * time.Millisecond
	largePeriod = time.Second
)

// Heartbeat is what a host tells of itself.
type Heartbeat struct {
	Address     netip.AddrPort `cbor:"1,keyasint,omitempty"` // towards other hosts
	Zone        string         `cbor:"2,keyasint,omitempty"`
	Incarnation uint64         `cbor:"3,keyasint,omitempty"`
	Count       uint64         `cbor:"4,keyasint,omitempty"` // grows with each beat
	Power       int            `cbor:"5,keyasint,omitempty"` // processor share in hundredths of a core
	Started     int64          `cbor:"6,keyasint,omitempty"` // by its own clock, in units of startUnit seconds
	Leaving     bool           `cbor:"7,keyasint,omitempty"`
	ReadFailing bool           `cbor:"8,keyasint,omitempty"` // it tried to read the published facts, and could not
}

// StartBucket gives the value of Beat.Started for a time.
func StartBucket(t time.Time) int64 { return t.Unix() / startUnit }

type member struct {
	beat  Heartbeat
	heard time.Time // when Count last grew
	lost  time.Time // when its connection broke; zero once it is trusted again
}

// Hosts is the membership as one host sees it, owned by one goroutine.
type Hosts struct {
	self    Heartbeat
	seeds   []netip.AddrPort
	members map[netip.AddrPort]*member
	started time.Time
	random  *rand.Rand
	leads   bool // this host leads, as last decided
	beatAt  time.Time
	urgent  bool             // something has changed that others act on
	failed  time.Time        // when this host last failed to read; zero for never
	greet   []netip.AddrPort // hosts that are new here and do not know of this one
}

// dead is how long a silent host still counts as alive. In a small fleet every
// beat is heard. In a larger one some are, and the list of live hosts only
// serves to find a leader and to share out duties; that the leader itself is gone
// shows at the connection to it.
func (h *Hosts) dead() time.Duration {
	n := len(h.members) + 1
	if n <= small {
		return missed * h.Period()
	}
	return time.Duration(missed*n/(2*fanout)) * h.Period()
}

// New returns the membership of a host that has just started.
func New(now time.Time, self Heartbeat, seeds []netip.AddrPort, seed uint64) *Hosts {
	return &Hosts{
		self: self, seeds: slices.Clone(seeds), started: now,
		members: map[netip.AddrPort]*member{},
		random:  rand.New(rand.NewPCG(seed, uint64(self.Address.Port()))),
	}
}

// SetSeeds replaces the addresses where hosts are looked for.
func (h *Hosts) SetSeeds(seeds []netip.AddrPort) { h.seeds = slices.Clone(seeds) }

// NextHeartbeat advances this host's counter and returns its beat.
func (h *Hosts) NextHeartbeat(now time.Time) Heartbeat {
	h.self.Count++
	h.beatAt, h.urgent = now, false
	return h.self
}

// Leave marks this host as leaving, so that another leads.
func (h *Hosts) Leave() { h.self.Leaving = true }

// Receive takes in beats, first the sender's own, then those passed on by it. It
// reports whether the set of live hosts may have changed.
func (h *Hosts) Receive(now time.Time, beats ...Heartbeat) bool {
	changed := false
	for i, b := range beats {
		if i == 0 && h.members[b.Address] == nil {
			h.greet = append(h.greet, b.Address)
		}
		if i == 0 && h.regained(now, b) {
			changed = true
		}
		if b.Address != h.self.Address && h.heard(now, b) {
			changed = true
		}
	}
	return changed
}

func (h *Hosts) heard(now time.Time, b Heartbeat) bool {
	m := h.members[b.Address]
	if m == nil {
		h.members[b.Address] = &member{beat: b, heard: now}
		return true
	}
	newer := b.Incarnation != m.beat.Incarnation && (b.Started >= m.beat.Started || !h.alive(m, now)) ||
		b.Incarnation == m.beat.Incarnation && b.Count > m.beat.Count
	if !newer {
		return false
	}
	changed := !h.alive(m, now) || m.beat.Leaving != b.Leaving || m.beat.Incarnation != b.Incarnation
	if m.beat.Incarnation != b.Incarnation {
		m.lost = time.Time{}
	}
	m.beat, m.heard = b, now
	return changed
}

// regained trusts a host again that was lost, once its own beat arrives and some
// time has passed: others may go on passing old beats of it on, and where only
// one direction is cut its beats arrive all the while.
func (h *Hosts) regained(now time.Time, b Heartbeat) bool {
	m := h.members[b.Address]
	if m == nil || m.lost.IsZero() || now.Sub(m.lost) < distrust {
		return false
	}
	m.lost = time.Time{}
	return true
}

// ConnectionLost takes in that the connection to a host broke: it counts as dead until it
// is trusted again.
func (h *Hosts) ConnectionLost(now time.Time, address netip.AddrPort) {
	if m := h.members[address]; m != nil {
		m.lost = now
	}
}

// heardHere reports whether a host is alive as the leader sees it, to which all
// send each beat.
func (h *Hosts) heardHere(m *member, now time.Time) bool {
	if !h.leads {
		return h.alive(m, now)
	}
	return m.lost.IsZero() && now.Sub(m.heard) <= missed*h.Period()
}

func (h *Hosts) alive(m *member, now time.Time) bool {
	return m.lost.IsZero() && now.Sub(m.heard) <= h.dead()
}

// Alive lists the other hosts that are alive.
func (h *Hosts) Alive(now time.Time) []netip.AddrPort {
	var alive []netip.AddrPort
	for a, m := range h.members {
		if h.heardHere(m, now) {
			alive = append(alive, a)
		}
	}
	slices.SortFunc(alive, netip.AddrPort.Compare)
	return alive
}

// Counts tells how many hosts are alive, this one included, and how many there
// are as far as is known: dead ones count until they are forgotten.
func (h *Hosts) Counts(now time.Time) (alive, known int) {
	alive, known = 1, 1
	for a, m := range h.members {
		if now.Sub(m.heard) > max(ForgetAfter, 2*h.dead()) {
			delete(h.members, a)
			continue
		}
		if m.beat.Leaving && !h.heardHere(m, now) {
			continue
		}
		known++
		if h.heardHere(m, now) {
			alive++
		}
	}
	return alive, max(known, len(h.seeds))
}

// SetReadFailing notes whether this host fails to read the published facts.
func (h *Hosts) SetReadFailing(now time.Time, failing bool) {
	h.failed = time.Time{}
	if failing {
		h.failed = now
	}
	h.setUnread(failing)
}

// StopReading notes that this host reads no more. Had it failed to read, that is
// believed for a while: were it able again at once, hosts before a store that is
// away would take the reading over from each other in turn, many times a second.
func (h *Hosts) StopReading(now time.Time) {
	if h.self.ReadFailing {
		h.failed = now
	}
}

// forgetFailure ends the belief that a host which reads no more cannot read.
func (h *Hosts) forgetFailure(now time.Time, reads bool) {
	if h.self.ReadFailing && !reads && now.Sub(h.failed) >= believeFailure {
		h.setUnread(false)
	}
}

func (h *Hosts) setUnread(failing bool) {
	h.urgent = h.urgent || h.self.ReadFailing != failing
	h.self.ReadFailing = failing
}

// Incarnation tells the process that runs at a host's address; 0 if unknown.
func (h *Hosts) Incarnation(a netip.AddrPort) uint64 {
	if a == h.self.Address {
		return h.self.Incarnation
	}
	if m := h.members[a]; m != nil {
		return m.beat.Incarnation
	}
	return 0
}

// Zone gives the availability zone of a host; empty when unknown.
func (h *Hosts) Zone(a netip.AddrPort) string {
	if m := h.members[a]; m != nil {
		return m.beat.Zone
	}
	return ""
}
