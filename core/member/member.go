// Package member decides which listed hosts are alive. Hosts gossip heartbeat
// counters, and a host whose counter has not advanced here for DeadAfter is
// considered dead. A host is never considered dead because another one says so.
// Package hosts is the counterpart for the edge command, which discovers hosts
// without a list and elects a leader.
package member

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// Parameters of the gossip protocol. DeadAfter grows with the logarithm of the fleet
// size.
const (
	minPeriod          = 250 * time.Millisecond // between exchanges in a small fleet
	maxPeriod          = time.Second            // between exchanges in a large fleet
	hostsPerPeriodStep = 32                     // number of hosts that adds one periodStep to the period
	periodStep         = 100 * time.Millisecond
	periodsPerDoubling = 4 // periods until a host is dead, for each doubling of the fleet size
	minDoublings       = 2
	deadPeerOdds       = 8   // 1 in 8 exchanges goes to a host not believed alive, if there is one
	maxHeartbeats      = 128 // heartbeats in a message
	counterStep        = 100 * time.Millisecond
)

// Heartbeat is the heartbeat counter of one host, as its index in the host list of
// the message's ListRevision and its counter's distance behind the sender's. A
// counter follows the host's own clock in steps of 100 ms and advances with each
// message, so that a restarted host continues above its previous counter.
type Heartbeat [2]int64

// CrashID identifies a crash record: the process that observed the crash, and a
// serial number in that process.
type CrashID struct {
	Seer   uint64 `cbor:"1,keyasint,omitempty"`
	Serial uint64 `cbor:"2,keyasint,omitempty"`
}

// String returns the id as it is written to logs.
func (id CrashID) String() string { return fmt.Sprintf("%x-%d", id.Seer, id.Serial) }

// Process identifies one run of a target's process. Two crashes of a target are crashes of
// different processes.
type Process struct {
	Address netip.AddrPort
	Born    uint64 // published lifetime; 0 if not known
}

// Timing errors of crash records of different hosts. The age of a record is that at its sending,
// so that messages make it appear later.
const (
	transitSlack = 300 * time.Millisecond
	// processSlack is for records that name the same process, of which messages may be late
	// as well. It is limited, since a restarted target is known by its former lifetime until it
	// has published the new one.
	processSlack = 2 * time.Second
)

// Slack returns by how much the times of two reports of one crash may differ, of which q is the
// process in the other. It returns false if the processes differ, so that they are no reports of
// one crash. sameHost is set if one host made both.
func (p Process) Slack(q Process, sameHost bool) (time.Duration, bool) {
	known := p.Born != 0 && q.Born != 0
	switch {
	case p.Address != q.Address || known && p.Born != q.Born:
		return 0, false
	case known:
		return processSlack, true
	case sameHost:
		return 0, true
	}
	return transitSlack, true
}

// Answer records that a target completed a request whose content has crash
// records.
type Answer struct {
	Fingerprint model.Fingerprint `cbor:"1,keyasint,omitempty"`
	Age         time.Duration     `cbor:"2,keyasint,omitempty"` // time since the answer
}

// Crash is a record of a request content that crashed its target.
type Crash struct {
	ID          CrashID           `cbor:"1,keyasint,omitempty"`
	Fingerprint model.Fingerprint `cbor:"2,keyasint,omitempty"`
	Target      netip.AddrPort    `cbor:"3,keyasint,omitempty"`
	Age         time.Duration     `cbor:"4,keyasint,omitempty"` // time since the crash
	Took        time.Duration     `cbor:"5,keyasint,omitempty"` // time from sending the request to the crash
	// Born is the published lifetime of the target; 0 if not known, as from an earlier build.
	Born uint64 `cbor:"6,keyasint,omitempty"`
}

// Process returns the process that crashed.
func (c *Crash) Process() Process { return Process{Address: c.Target, Born: c.Born} }

// Exchange is the state that a host sends in one gossip message.
type Exchange struct {
	From           netip.AddrPort
	Incarnation    model.Incarnation
	ListRevision   model.Revision
	ConfigRevision model.Revision
	Count          int64                 // the sender's own counter
	Beats          []Heartbeat           `json:",omitempty"`
	Crashes        []Crash               `json:",omitempty"`
	Answers        []Answer              `json:",omitempty"`
	Lowest         map[string]model.Tier `json:",omitempty"` // least urgent tier with waiting requests, by service
}

// observation is the latest counter received for a host.
type observation struct {
	count int64
	at    time.Time // when the counter last advanced
}

// Members is one host's view of the membership. It must be used by one goroutine
// only.
type Members struct {
	self     netip.AddrPort
	count    int64 // this host's own counter
	list     *model.HostList
	index    map[netip.AddrPort]int // into list.Hosts
	observed map[netip.AddrPort]observation
	random   *rand.Rand
}

// New returns the membership of a host that has not heard from any other.
func New(self netip.AddrPort, seed uint64) *Members {
	return &Members{
		self:     self,
		list:     &model.HostList{},
		index:    map[netip.AddrPort]int{},
		observed: map[netip.AddrPort]observation{},
		random:   rand.New(rand.NewPCG(seed, uint64(self.Port()))),
	}
}

// SetHostList installs a newer host list and forgets hosts that it does not
// contain.
func (m *Members) SetHostList(l *model.HostList) {
	m.list = l
	m.index = make(map[netip.AddrPort]int, len(l.Hosts))
	for i, h := range l.Hosts {
		m.index[h.Peer] = i
	}
	for a := range m.observed {
		if _, listed := m.index[a]; !listed {
			delete(m.observed, a)
		}
	}
}

// Period is the interval between exchanges that this host initiates.
func (m *Members) Period() time.Duration {
	extra := time.Duration(len(m.list.Hosts)/hostsPerPeriodStep) * periodStep
	return min(minPeriod+extra, maxPeriod)
}

// DeadAfter is how long a host's counter may stay unchanged before the host is
// considered dead.
func (m *Members) DeadAfter() time.Duration {
	doublings := max(bits.Len(uint(len(m.list.Hosts))), minDoublings)
	return m.Period() * time.Duration(periodsPerDoubling*doublings)
}

// PickPeer picks the peer of the next exchange. Most exchanges go to a host believed
// alive, and one in deadPeerOdds to another listed host, so that the two sides of a
// healed partition find each other.
func (m *Members) PickPeer(now time.Time) (netip.AddrPort, bool) {
	var alive, dead []netip.AddrPort
	for _, h := range m.list.Hosts {
		switch {
		case h.Peer == m.self:
		case m.Alive(now, h.Peer):
			alive = append(alive, h.Peer)
		default:
			dead = append(dead, h.Peer)
		}
	}
	candidates := alive
	if len(alive) == 0 || (len(dead) > 0 && m.random.IntN(deadPeerOdds) == 0) {
		candidates = dead
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[m.random.IntN(len(candidates))], true
}

// RandomAlive returns up to n other hosts that are alive, chosen at random.
func (m *Members) RandomAlive(now time.Time, n int) []netip.AddrPort {
	var alive []netip.AddrPort
	for _, h := range m.list.Hosts {
		if h.Peer != m.self && m.Alive(now, h.Peer) {
			alive = append(alive, h.Peer)
		}
	}
	m.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// Message advances this host's counter and builds its message for an exchange.
func (m *Members) Message(now time.Time) Exchange {
	m.count = max(m.count+1, now.UnixMilli()/counterStep.Milliseconds())
	return Exchange{
		From:         m.self,
		ListRevision: m.list.Revision,
		Count:        m.count,
		Beats:        m.heartbeats(now),
	}
}

// heartbeats picks the counters to forward. If there are more than maxHeartbeats,
// half of them are the most recently advanced, which are still spreading, and the
// rest are random, so that none is left out for long.
func (m *Members) heartbeats(now time.Time) []Heartbeat {
	var known []indexedObservation
	for i, h := range m.list.Hosts {
		if o, ok := m.observed[h.Peer]; ok && m.Alive(now, h.Peer) {
			known = append(known, indexedObservation{index: i, observation: o})
		}
	}
	if len(known) > maxHeartbeats {
		slices.SortFunc(known, func(a, b indexedObservation) int { return b.at.Compare(a.at) })
		rest := known[maxHeartbeats/2:]
		m.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		known = known[:maxHeartbeats]
	}
	heartbeats := make([]Heartbeat, 0, len(known))
	for _, k := range known {
		heartbeats = append(heartbeats, Heartbeat{int64(k.index), m.count - k.count})
	}
	return heartbeats
}

// indexedObservation is the observation of the host at an index of the host list.
type indexedObservation struct {
	index int
	observation
}

// Receive processes a message. The heartbeats of other hosts are used only if both
// sides have the same revision of the host list, since they refer to it by index.
func (m *Members) Receive(now time.Time, x Exchange) {
	m.advance(now, x.From, x.Count)
	if x.ListRevision != m.list.Revision {
		return
	}
	for _, b := range x.Beats {
		index, lag := b[0], b[1]
		if index >= 0 && index < int64(len(m.list.Hosts)) {
			m.advance(now, m.list.Hosts[index].Peer, x.Count-lag)
		}
	}
}

// advance records a counter of a listed host if it is newer than the known one.
func (m *Members) advance(now time.Time, host netip.AddrPort, count int64) {
	_, listed := m.index[host]
	if listed && host != m.self && count > m.observed[host].count {
		m.observed[host] = observation{count: count, at: now}
	}
}

// Alive reports whether a host's counter has advanced within DeadAfter.
func (m *Members) Alive(now time.Time, host netip.AddrPort) bool {
	o, ok := m.observed[host]
	return ok && now.Sub(o.at) < m.DeadAfter()
}

// AliveSet returns the other hosts that are alive.
func (m *Members) AliveSet(now time.Time) map[netip.AddrPort]bool {
	set := map[netip.AddrPort]bool{}
	for a := range m.observed {
		if m.Alive(now, a) {
			set[a] = true
		}
	}
	return set
}

// Listed reports whether the platform lists the host.
func (m *Members) Listed(host netip.AddrPort) bool {
	_, ok := m.index[host]
	return ok
}
