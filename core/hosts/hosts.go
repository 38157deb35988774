// Package hosts tracks which hosts are alive and elects a leader among them. Hosts
// discover each other through a few seed addresses and by gossip. Each host sends
// heartbeats, and an observer considers a host dead once it has received none for
// some time. A host is never considered dead because another one says so. Package
// member is the counterpart for the serve command, where the platform publishes a
// list of hosts and no leader is needed.
package hosts

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Parameters of the membership protocol.
const (
	// ForgetAfter is how long a dead host still counts toward the size of the fleet.
	ForgetAfter = 2 * time.Minute
	// SettleTime is how long a newly started host waits for others before it elects
	// itself; running seeds answer its first heartbeat at once. A host that elects
	// itself by mistake uses only its fraction of each limit, and soon hears of the
	// others.
	SettleTime = 250 * time.Millisecond
	// smallFleet is the fleet size up to which each host sends its heartbeats to all
	// others.
	smallFleet = 16
	// fanout is the number of random hosts that receive a heartbeat in a larger
	// fleet, in addition to the leader. digestSize is the number of other hosts'
	// heartbeats that are forwarded with it.
	fanout     = 3
	digestSize = 6
	// digestInterval is the number of heartbeats between two digests in a small
	// fleet, where only newly joined hosts need them.
	digestInterval = 4
	// distrustPeriod is the minimum time for which a host is considered dead after
	// its connection broke.
	distrustPeriod = 2 * time.Second
	// maxReplies is the number of hosts answered with one heartbeat. When a whole
	// fleet starts, all hosts contact the few seeds at once.
	maxReplies = 64
	// maxDeadFollowers is the number of dead hosts that a leader tries each period, so
	// that a zone of a large fleet is reached within seconds after a partition.
	maxDeadFollowers = 32
	// maxDigestAge is the age up to which a heartbeat is forwarded. It exceeds the
	// interval between two digests.
	maxDigestAge = 3 * time.Second
	// maxMissedHeartbeats is the number of periods that may pass without a heartbeat
	// before a host is considered dead by one that it sends all heartbeats to. A lost
	// packet is retransmitted only after some 200 ms.
	maxMissedHeartbeats = 4
	// startBucketSeconds is the resolution of Heartbeat.Started. Hosts that start
	// together share a value, so that small clock differences do not order them.
	startBucketSeconds = 8
)

// Heartbeat periods, by the size of the fleet.
const (
	smallPeriod = 250 * time.Millisecond
	largePeriod = time.Second
)

// Heartbeat is the state that a host announces about itself.
type Heartbeat struct {
	Address     netip.AddrPort `cbor:"1,keyasint,omitempty"` // for other hosts
	Zone        string         `cbor:"2,keyasint,omitempty"`
	Incarnation uint64         `cbor:"3,keyasint,omitempty"`
	Count       uint64         `cbor:"4,keyasint,omitempty"` // increases with each heartbeat
	CPUShare    int            `cbor:"5,keyasint,omitempty"` // in hundredths of a core
	Started     int64          `cbor:"6,keyasint,omitempty"` // StartBucket of the start time by the host's own clock
	Leaving     bool           `cbor:"7,keyasint,omitempty"`
	ReadFailing bool           `cbor:"8,keyasint,omitempty"` // its attempts to read the published facts fail
	Known       int            `cbor:"9,keyasint,omitempty"` // hosts that it knows, with itself; 0 if not stated
	// KeepsStreams is set if the host keeps records of the streams of other hosts, and can be
	// asked for them.
	KeepsStreams bool `cbor:"10,keyasint,omitempty"`
}

// StartBucket returns the value of Heartbeat.Started for a start time.
func StartBucket(t time.Time) int64 { return t.Unix() / startBucketSeconds }

// member is what is known about another host.
type member struct {
	heartbeat       Heartbeat
	lastHeard       time.Time // when heartbeat.Count last increased
	distrustedSince time.Time // when its connection broke; zero if it is trusted
}

// Hosts is one host's view of the membership. It must be used by one goroutine
// only.
type Hosts struct {
	self         Heartbeat
	seeds        []netip.AddrPort
	members      map[netip.AddrPort]*member
	started      time.Time
	random       *rand.Rand
	isLeader     bool // whether this host led at the last call of Leader
	lastSent     time.Time
	sendNow      bool             // something changed that other hosts act on
	readFailedAt time.Time        // when this host last failed to read; zero if reads succeed
	unanswered   []netip.AddrPort // hosts that know too few others
	assignment   assignment       // of readers, by the leader
	reassigned   []netip.AddrPort // hosts to be told that they became readers or ceased to be
	informedAt   time.Time        // when Followers last returned hosts
	answers      answers          // of the store, to any host
}

// deadAfter is how long a host counts as alive without a heartbeat. In a small
// fleet every heartbeat arrives here. In a larger one only some do, so the time
// grows with the fleet. That is good enough to elect a leader, whose own failure is
// detected by its connection; for what must be noticed within seconds, see aliveByRole.
func (h *Hosts) deadAfter() time.Duration {
	n := len(h.members) + 1
	if n <= smallFleet {
		return maxMissedHeartbeats * h.Period()
	}
	return time.Duration(maxMissedHeartbeats*n/(2*fanout)) * h.Period()
}

// New returns the membership of a newly started host, which knows no others.
func New(now time.Time, self Heartbeat, seeds []netip.AddrPort, seed uint64) *Hosts {
	return &Hosts{
		self: self, seeds: slices.Clone(seeds), started: now,
		members: map[netip.AddrPort]*member{},
		random:  rand.New(rand.NewPCG(seed, uint64(self.Address.Port()))),
		answers: answers{applyWithin: DefaultApplyWithin},
	}
}

// SetSeeds replaces the addresses used for discovery.
func (h *Hosts) SetSeeds(seeds []netip.AddrPort) { h.seeds = slices.Clone(seeds) }

// NextHeartbeat advances this host's counter and returns its heartbeat.
func (h *Hosts) NextHeartbeat(now time.Time) Heartbeat {
	h.self.Count++
	h.self.Known = len(h.members) + 1
	h.lastSent, h.sendNow = now, false
	return h.self
}

// Leave marks this host as leaving, so that another one is elected.
func (h *Hosts) Leave() { h.self.Leaving = true }

// Receive processes the heartbeats of one message: first the sender's own, then
// those that it forwards. It reports whether the set of live hosts may have changed.
func (h *Hosts) Receive(now time.Time, heartbeats ...Heartbeat) bool {
	changed := false
	for i, b := range heartbeats {
		if i == 0 && h.knowsTooFew(b) && !slices.Contains(h.unanswered, b.Address) {
			h.unanswered = append(h.unanswered, b.Address)
		}
		if i == 0 && h.restoreTrust(now, b) {
			changed = true
		}
		if b.Address != h.self.Address && h.update(now, b) {
			changed = true
		}
	}
	return changed
}

// knowsTooFew reports whether the sender of a heartbeat must be answered: it is new, or it
// still knows so few hosts that it takes a large fleet for a small one. One answer does not
// suffice, since the seeds of a starting fleet know few others themselves.
func (h *Hosts) knowsTooFew(b Heartbeat) bool {
	return h.members[b.Address] == nil || b.Known > 0 && b.Known < smallFleet && len(h.members) >= smallFleet
}

// update records a heartbeat if it is newer than the known one, and reports whether
// the host was unknown or dead, has restarted, or has changed Leaving. A heartbeat of
// another incarnation is newer if its process did not start earlier, or if the host
// is dead here, since its clock may have been set back.
func (h *Hosts) update(now time.Time, b Heartbeat) bool {
	m := h.members[b.Address]
	if m == nil {
		h.members[b.Address] = &member{heartbeat: b, lastHeard: now}
		return true
	}
	newer := b.Incarnation != m.heartbeat.Incarnation && (b.Started >= m.heartbeat.Started || !h.alive(m, now)) ||
		b.Incarnation == m.heartbeat.Incarnation && b.Count > m.heartbeat.Count
	if !newer {
		return false
	}
	changed := !h.alive(m, now) || m.heartbeat.Leaving != b.Leaving || m.heartbeat.Incarnation != b.Incarnation
	if m.heartbeat.Incarnation != b.Incarnation {
		m.distrustedSince = time.Time{}
	} else {
		// Hosts of earlier versions forward heartbeats without this.
		b.KeepsStreams = b.KeepsStreams || m.heartbeat.KeepsStreams
	}
	m.heartbeat, m.lastHeard = b, now
	return changed
}

// restoreTrust trusts a host again after its connection broke, once distrustPeriod
// has passed and a heartbeat arrives from the host itself. Forwarded heartbeats do
// not suffice, since other hosts may still forward old ones. The delay is needed
// because heartbeats keep arriving if only the other direction is cut.
func (h *Hosts) restoreTrust(now time.Time, b Heartbeat) bool {
	m := h.members[b.Address]
	if m == nil || m.distrustedSince.IsZero() || now.Sub(m.distrustedSince) < distrustPeriod {
		return false
	}
	m.distrustedSince = time.Time{}
	return true
}

// ConnectionLost records that the connection to a host broke. The host is considered
// dead until it is trusted again; see restoreTrust.
func (h *Hosts) ConnectionLost(now time.Time, address netip.AddrPort) {
	if m := h.members[address]; m != nil {
		m.distrustedSince = now
	}
}

// aliveByRole is alive with a shorter timeout if this host is the leader, which all
// hosts send every heartbeat to.
func (h *Hosts) aliveByRole(m *member, now time.Time) bool {
	if !h.isLeader {
		return h.alive(m, now)
	}
	return m.distrustedSince.IsZero() && now.Sub(m.lastHeard) <= maxMissedHeartbeats*h.Period()
}

func (h *Hosts) alive(m *member, now time.Time) bool {
	return m.distrustedSince.IsZero() && now.Sub(m.lastHeard) <= h.deadAfter()
}

// IsAlive reports whether another host is alive.
func (h *Hosts) IsAlive(now time.Time, address netip.AddrPort) bool {
	m := h.members[address]
	return m != nil && h.aliveByRole(m, now)
}

// Alive returns the other hosts that are alive, in the order of their addresses.
func (h *Hosts) Alive(now time.Time) []netip.AddrPort {
	var alive []netip.AddrPort
	for a, m := range h.members {
		if h.aliveByRole(m, now) {
			alive = append(alive, a)
		}
	}
	slices.SortFunc(alive, netip.AddrPort.Compare)
	return alive
}

// Counts returns the number of live hosts, including this one, and the number of
// known hosts. Dead hosts count as known until they are forgotten.
func (h *Hosts) Counts(now time.Time) (alive, known int) {
	alive, known = 1, 1
	for a, m := range h.members {
		if now.Sub(m.lastHeard) > max(ForgetAfter, 2*h.deadAfter()) {
			delete(h.members, a)
			continue
		}
		if m.heartbeat.Leaving && !h.aliveByRole(m, now) {
			continue
		}
		known++
		if h.aliveByRole(m, now) {
			alive++
		}
	}
	return alive, max(known, len(h.seeds))
}

// Incarnation returns the incarnation of a host; 0 if unknown.
func (h *Hosts) Incarnation(address netip.AddrPort) uint64 {
	if address == h.self.Address {
		return h.self.Incarnation
	}
	if m := h.members[address]; m != nil {
		return m.heartbeat.Incarnation
	}
	return 0
}

// Zone returns the availability zone of another host; empty if unknown.
func (h *Hosts) Zone(address netip.AddrPort) string {
	if m := h.members[address]; m != nil {
		return m.heartbeat.Zone
	}
	return ""
}
