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

// crowd is a fleet of members that exchange in rounds.
type crowd struct {
	now     time.Time
	members []*Members
	down    map[int]bool
	bytes   int // of all messages
	rounds  int
}

func newCrowd(n int) *crowd {
	c := &crowd{now: time.Unix(1_700_000_000, 0), down: map[int]bool{}}
	l := &model.HostList{Revision: 1}
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		l.Hosts = append(l.Hosts, model.Host{Peer: a, Zone: fmt.Sprint(i % 7), State: model.Live})
	}
	for i := range n {
		m := New(l.Hosts[i].Peer, uint64(i))
		m.SetHostList(l)
		c.members = append(c.members, m)
	}
	return c
}

// round lets each host that is up start one exchange.
func (c *crowd) round(t testing.TB) {
	c.now = c.now.Add(c.members[0].Period())
	c.rounds++
	for i, m := range c.members {
		to, ok := m.PickPeer(c.now)
		if c.down[i] || !ok {
			continue
		}
		ask := c.send(t, m.Message(c.now))
		j := m.index[to]
		if c.down[j] {
			continue
		}
		c.members[j].Receive(c.now, ask)
		m.Receive(c.now, c.send(t, c.members[j].Message(c.now)))
	}
}

// send carries a message as bytes.
func (c *crowd) send(t testing.TB, x Exchange) Exchange {
	raw, err := json.Marshal(x)
	assert.NilError(t, err)
	c.bytes += len(raw)
	var got Exchange
	assert.NilError(t, json.Unmarshal(raw, &got))
	return got
}

// agree reports whether every host that is up sees exactly the others that are.
func (c *crowd) agree() bool {
	up := len(c.members) - len(c.down)
	for i, m := range c.members {
		if !c.down[i] && len(m.AliveSet(c.now)) != up-1 {
			return false
		}
	}
	return true
}

func (c *crowd) until(t testing.TB, most time.Duration, what string) time.Duration {
	began := c.now
	for !c.agree() {
		c.round(t)
		if c.now.Sub(began) > most {
			t.Fatalf("%s: not after %s", what, most)
		}
	}
	return c.now.Sub(began)
}

func TestFleetSeesWhoIsAlive(t *testing.T) {
	cases := []struct{ hosts, lost int }{{2, 1}, {8, 2}, {45, 3}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			fleet := newCrowd(c.hosts)
			met := fleet.until(t, time.Minute, "all see all")
			for i := range c.lost {
				fleet.down[i] = true
			}
			lost := fleet.until(t, time.Minute, "all miss the lost ones")
			for range 30 { // nobody alive is taken for dead
				fleet.round(t)
				assert.Assert(t, fleet.agree())
			}
			clear(fleet.down)
			back := fleet.until(t, time.Minute, "all see all again")
			t.Logf("hosts %d: met %s, lost %s, back %s", c.hosts, met, lost, back)
		})
	}
}

// A host whose list differs must not take indexes for its own.
func TestBeatsOfAnotherListAreIgnored(t *testing.T) {
	c := newCrowd(3)
	x := c.members[0].Message(c.now)
	x.ListRevision = 9
	x.Beats = []Heartbeat{{2, -1 << 40}}
	c.members[1].Receive(c.now, x)
	assert.Assert(t, c.members[1].Alive(c.now, x.From))
	assert.Equal(t, len(c.members[1].AliveSet(c.now)), 1)
}

func BenchmarkExchangeAt320Hosts(b *testing.B) {
	c := newCrowd(320)
	c.until(b, time.Minute, "all see all")
	c.bytes, c.rounds = 0, 0
	b.ReportAllocs()
	for b.Loop() {
		c.round(b)
	}
	perSecond := float64(c.bytes) / float64(c.rounds) / 320 / c.members[0].Period().Seconds()
	b.ReportMetric(2*perSecond, "bytes/s/host") // sent and received
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/320, "ns/host/round")
}

// BenchmarkDetectionAt320Hosts reports how long a fleet of the size designed
// for takes to see all, and to miss twelve hosts that are lost at once.
func BenchmarkDetectionAt320Hosts(b *testing.B) {
	for b.Loop() {
		c := newCrowd(320)
		met := c.until(b, 5*time.Minute, "all see all")
		for i := range 12 {
			c.down[i] = true
		}
		lost := c.until(b, 5*time.Minute, "all miss the lost ones")
		b.ReportMetric(met.Seconds(), "met-s")
		b.ReportMetric(lost.Seconds(), "lost-s")
	}
}
