package member

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
)

// fleet simulates hosts that gossip in rounds.
type fleet struct {
	now     time.Time
	members []*Members
	down    map[int]bool
	bytes   int // total size of all messages
	rounds  int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), down: map[int]bool{}}
	l := &model.HostList{Revision: 1}
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		l.Hosts = append(l.Hosts, model.Host{Peer: a, Zone: fmt.Sprint(i % 7), State: model.Live})
	}
	for i := range n {
		m := New(l.Hosts[i].Peer, uint64(i))
		m.SetHostList(l)
		f.members = append(f.members, m)
	}
	return f
}

// round lets each running host initiate one exchange.
func (f *fleet) round(t testing.TB) {
	f.now = f.now.Add(f.members[0].Period())
	f.rounds++
	for i, m := range f.members {
		to, ok := m.PickPeer(f.now)
		if f.down[i] || !ok {
			continue
		}
		request := f.send(t, m.Message(f.now))
		j := m.index[to]
		if f.down[j] {
			continue
		}
		f.members[j].Receive(f.now, request)
		m.Receive(f.now, f.send(t, f.members[j].Message(f.now)))
	}
}

// send encodes and decodes a message, and counts its bytes.
func (f *fleet) send(t testing.TB, x Exchange) Exchange {
	raw, err := json.Marshal(x)
	assert.NilError(t, err)
	f.bytes += len(raw)
	var got Exchange
	assert.NilError(t, json.Unmarshal(raw, &got))
	return got
}

// agree reports whether every running host sees as many others alive as are
// running.
func (f *fleet) agree() bool {
	up := len(f.members) - len(f.down)
	for i, m := range f.members {
		if !f.down[i] && len(m.AliveSet(f.now)) != up-1 {
			return false
		}
	}
	return true
}

// until runs rounds until all agree, for at most the given time, and returns how
// long it took.
func (f *fleet) until(t testing.TB, limit time.Duration, what string) time.Duration {
	start := f.now
	for !f.agree() {
		f.round(t)
		if f.now.Sub(start) > limit {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
	return f.now.Sub(start)
}

func TestFleetAgreesOnLiveHosts(t *testing.T) {
	cases := []struct{ hosts, lost int }{{2, 1}, {8, 2}, {45, 3}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			f := newFleet(c.hosts)
			joined := f.until(t, time.Minute, "all hosts see all")
			for i := range c.lost {
				f.down[i] = true
			}
			detected := f.until(t, time.Minute, "the lost hosts are detected")
			for range 30 { // no live host is considered dead
				f.round(t)
				assert.Assert(t, f.agree())
			}
			clear(f.down)
			recovered := f.until(t, time.Minute, "all hosts see all again")
			t.Logf("hosts %d: joined %s, detected %s, recovered %s", c.hosts, joined, detected, recovered)
		})
	}
}

// Heartbeats refer to hosts by index in the sender's host list, so a receiver with
// another list revision must ignore them.
func TestHeartbeatsOfAnotherListAreIgnored(t *testing.T) {
	f := newFleet(3)
	x := f.members[0].Message(f.now)
	x.ListRevision = 9
	x.Beats = []Heartbeat{{2, -1 << 40}}
	f.members[1].Receive(f.now, x)
	assert.Assert(t, f.members[1].Alive(f.now, x.From))
	assert.Equal(t, len(f.members[1].AliveSet(f.now)), 1)
}

func BenchmarkExchangeAt320Hosts(b *testing.B) {
	f := newFleet(320)
	f.until(b, time.Minute, "all hosts see all")
	f.bytes, f.rounds = 0, 0
	b.ReportAllocs()
	for b.Loop() {
		f.round(b)
	}
	perSecond := float64(f.bytes) / float64(f.rounds) / 320 / f.members[0].Period().Seconds()
	b.ReportMetric(2*perSecond, "bytes/s/host") // sent and received
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/320, "ns/host/round")
}

// BenchmarkDetectionAt320Hosts reports how long a fleet of 320 hosts, the size
// designed for, takes until all hosts see all, and until all have detected the loss
// of twelve hosts at once.
func BenchmarkDetectionAt320Hosts(b *testing.B) {
	for b.Loop() {
		f := newFleet(320)
		met := f.until(b, 5*time.Minute, "all hosts see all")
		for i := range 12 {
			f.down[i] = true
		}
		lost := f.until(b, 5*time.Minute, "the lost hosts are detected")
		b.ReportMetric(met.Seconds(), "met-s")
		b.ReportMetric(lost.Seconds(), "lost-s")
	}
}
