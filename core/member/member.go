// Package member decides which listed hosts are alive. Hosts gossip heartbeat
// counters: one whose counter has not advanced for some time, as seen from
// here, counts as dead. No host's word about another's death is taken.
package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// Times and bounds of the exchange.
const (
	periodLeast    = 250 * time.Millisecond // between exchanges of a small fleet
	periodMost     = time.Second            // between exchanges of a large one
	periodHosts    = 32                     // hosts for each further periodStep
	periodStep     = 100 * time.Millisecond
	deadRounds     = 4 // periods for each doubling of the fleet
	leastDoublings = 2
	strangerEvery  = 8   // exchanges to one with a host not believed alive
	maxBeats       = 128 // beats in a message
	countStep      = 100 * time.Millisecond
)

// Heartbeat is a heartbeat counter of one host: its index in the list of the
// message's ListRevision, and how far its counter is behind the sender's. A
// counter is the host's own clock in steps of 100 ms, advanced with each
// message, so that a restarted host goes on above its former counter.
type Heartbeat [2]int64

// CrashID tells records apart: the process that saw the crash, and its count.
type CrashID struct {
	Observer uint64 `cbor:"1,keyasint,omitempty" json:"Seer"`
	Serial   uint64 `cbor:"2,keyasint,omitempty"`
}

// Answer tells that a target has answered a content whole of which crashes are
// recorded.
type Answer struct {
	Fingerprint model.Fingerprint `cbor:"1,keyasint,omitempty"`
	Age         time.Duration     `cbor:"2,keyasint,omitempty"` // since the answer
}

// Crash is a record of a request content that broke its target.
type Crash struct {
	ID          CrashID           `cbor:"1,keyasint,omitempty"`
	Fingerprint model.Fingerprint `cbor:"2,keyasint,omitempty"`
	Target      netip.AddrPort    `cbor:"3,keyasint,omitempty"`
	Age         time.Duration     `cbor:"4,keyasint,omitempty"` // since the crash
	Took        time.Duration     `cbor:"5,keyasint,omitempty"` // from sending the request to the crash
}

// Exchange is the whole state that two hosts trade in one message.
type Exchange struct {
	From           netip.AddrPort
	Incarnation    model.Incarnation
	ListRevision   model.Revision
	ConfigRevision model.Revision
	Count          int64                 // the sender's own counter
	Beats          []Heartbeat           `json:",omitempty"`
	Crashes        []Crash               `json:",omitempty"`
	Answers        []Answer              `json:",omitempty"`
	Lowest         map[string]model.Tier `json:",omitempty"` // least urgent tier waiting, by service
}

type seen struct {
	count int64
	at    time.Time // when the counter last advanced
}

// Members is one host's knowledge of the others. One goroutine owns it.
type Members struct {
	self   netip.AddrPort
	count  int64
	list   *model.HostList
	index  map[netip.AddrPort]int
	seen   map[netip.AddrPort]seen
	random *rand.Rand
}

// New returns the knowledge of a host that has heard from nobody.
func New(self netip.AddrPort, seed uint64) *Members {
	return &Members{
		self:   self,
		list:   &model.HostList{},
		index:  map[netip.AddrPort]int{},
		seen:   map[netip.AddrPort]seen{},
		random: rand.New(rand.NewPCG(seed, uint64(self.Port()))),
	}
}

// SetHostList takes a newer list. Hosts that are no longer listed are forgotten.
func (m *Members) SetHostList(l *model.HostList) {
	m.list = l
	m.index = make(map[netip.AddrPort]int, len(l.Hosts))
	for i, h := range l.Hosts {
		m.index[h.Peer] = i
	}
	for a := range m.seen {
		if _, listed := m.index[a]; !listed {
			delete(m.seen, a)
		}
	}
}

// Period is the time between two exchanges that this host starts.
func (m *Members) Period() time.Duration {
	extra := time.Duration(len(m.list.Hosts)/periodHosts) * periodStep
	return min(periodLeast+extra, periodMost)
}

// DeadAfter is how long a counter may stand still.
func (m *Members) DeadAfter() time.Duration {
	doublings := max(bits.Len(uint(len(m.list.Hosts))), leastDoublings)
	return m.Period() * time.Duration(deadRounds*doublings)
}

// PickPeer chooses the peer of the next exchange. Mostly it is one believed alive;
// now and then any listed one, so that the two sides of a healed partition
// find each other.
func (m *Members) PickPeer(now time.Time) (netip.AddrPort, bool) {
	var alive, others []netip.AddrPort
	for _, h := range m.list.Hosts {
		switch {
		case h.Peer == m.self:
		case m.Alive(now, h.Peer):
			alive = append(alive, h.Peer)
		default:
			others = append(others, h.Peer)
		}
	}
	from := alive
	if len(alive) == 0 || (len(others) > 0 && m.random.IntN(strangerEvery) == 0) {
		from = others
	}
	if len(from) == 0 {
		return netip.AddrPort{}, false
	}
	return from[m.random.IntN(len(from))], true
}

// RandomAlive returns up to n random hosts that are alive.
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

// Message builds this host's part of an exchange and advances its counter.
func (m *Members) Message(now time.Time) Exchange {
	m.count = max(m.count+1, now.UnixMilli()/countStep.Milliseconds())
	return Exchange{
		From:         m.self,
		ListRevision: m.list.Revision,
		Count:        m.count,
		Beats:        m.beats(now),
	}
}

// beats picks the counters to pass on: half of them the freshest, which still
// spread, the rest at random, so that none is left out for long.
func (m *Members) beats(now time.Time) []Heartbeat {
	var known []heard
	for i, h := range m.list.Hosts {
		if s, ok := m.seen[h.Peer]; ok && m.Alive(now, h.Peer) {
			known = append(known, heard{index: i, seen: s})
		}
	}
	if len(known) > maxBeats {
		slices.SortFunc(known, func(a, b heard) int { return b.at.Compare(a.at) })
		rest := known[maxBeats/2:]
		m.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		known = known[:maxBeats]
	}
	beats := make([]Heartbeat, 0, len(known))
	for _, k := range known {
		beats = append(beats, Heartbeat{int64(k.index), m.count - k.count})
	}
	return beats
}

// heard is what is known of the host at an index of the list.
type heard struct {
	index int
	seen
}

// Receive takes in a message. Beats are used only when both sides mean the same
// list.
func (m *Members) Receive(now time.Time, x Exchange) {
	m.advance(now, x.From, x.Count)
	if x.ListRevision != m.list.Revision {
		return
	}
	for _, b := range x.Beats {
		if b[0] >= 0 && b[0] < int64(len(m.list.Hosts)) {
			m.advance(now, m.list.Hosts[b[0]].Peer, x.Count-b[1])
		}
	}
}

func (m *Members) advance(now time.Time, host netip.AddrPort, count int64) {
	_, listed := m.index[host]
	if listed && host != m.self && count > m.seen[host].count {
		m.seen[host] = seen{count: count, at: now}
	}
}

// Alive reports whether a host's counter has advanced lately.
func (m *Members) Alive(now time.Time, host netip.AddrPort) bool {
	s, ok := m.seen[host]
	return ok && now.Sub(s.at) < m.DeadAfter()
}

// AliveSet lists the hosts that are alive, this one left out.
func (m *Members) AliveSet(now time.Time) map[netip.AddrPort]bool {
	set := map[netip.AddrPort]bool{}
	for a := range m.seen {
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
