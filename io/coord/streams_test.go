package coord

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/broker"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/logs"
)

// streamFleet is a small fleet before targets of two software versions.
type streamFleet struct {
	t       *testing.T
	network *network
	hosts   []*Coordinator // nil for those that are down
	stops   []func()
	nextID  uint64
	begun   map[uint64]string // version that began a stream, by its key
	targets []roster.Target
}

// recordDelay is longer than a host takes to tell others of a stream.
const recordDelay = 4 * tellPeriod

func newStreamFleet(t *testing.T, count int, versions ...string) *streamFleet {
	f := &streamFleet{
		t: t, network: &network{hosts: map[netip.AddrPort]*Coordinator{}, partitioned: map[netip.AddrPort]bool{}, sent: map[string]int{}},
		hosts: make([]*Coordinator, count), stops: make([]func(), count), begun: map[uint64]string{},
	}
	f.publish(versions...)
	for i := range count {
		f.start(i)
	}
	for i := range count {
		awaitLeader(t, f.hosts[i], hostAt(0))
	}
	time.Sleep(2 * hostsHeard)
	return f
}

// hostsHeard is longer than the hosts of a small fleet take to hear of each other.
const hostsHeard = 300 * time.Millisecond

// publish replaces the targets by one of each version.
func (f *streamFleet) publish(versions ...string) {
	f.targets = nil
	for i, v := range versions {
		f.targets = append(f.targets, roster.Target{
			ID: fmt.Sprint("t", i), Service: "lm", Version: v, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), uint16(i+1)), Slots: 64, Revision: uint64(len(versions)),
		})
	}
	for _, c := range f.hosts {
		if c != nil {
			f.feed(c)
		}
	}
}

func (f *streamFleet) feed(c *Coordinator) {
	c.FeedListing(roster.Position{Revision: uint64(len(f.targets))}, f.targets, nil)
}

// start starts a host. Of the live ones, the first leads.
func (f *streamFleet) start(i int) {
	log, err := logs.New(io.Discard, "error")
	assert.NilError(f.t, err)
	var seeds []netip.AddrPort
	for n := range f.hosts {
		seeds = append(seeds, hostAt(n))
	}
	f.nextID++
	c, stop := New(f.t.Context(), Settings{
		Self: hostAt(i), Zone: "a", Incarnation: f.nextID, CPUShare: 100 - i, Seeds: seeds, Log: log, Now: time.Now,
		Tolerance: quota.Tolerance{Window: 8 * time.Second}, BootTime: func() time.Duration { return 0 },
	})
	f.t.Cleanup(stop)
	f.hosts[i], f.stops[i] = c, stop
	f.network.mu.Lock()
	f.network.hosts[hostAt(i)] = c
	f.network.mu.Unlock()
	assert.NilError(f.t, c.Attach(f.t.Context(), endpoint{f.network, hostAt(i)}))
	c.FeedConfig(&routes.Config{
		Version: 1, Services: []routes.Service{{Name: "lm", Engine: true, Slots: 64}},
		Routes: []routes.Route{{Name: "r", Kind: routes.Stream, Resumable: true, Shares: []routes.Share{{Service: "lm", Weight: 1}}, Timeout: 10 * time.Second}},
	})
	f.feed(c)
}

// kill ends hosts at the same moment, as if their processes were killed.
func (f *streamFleet) kill(killed ...int) {
	f.network.mu.Lock()
	for _, i := range killed {
		delete(f.network.hosts, hostAt(i))
	}
	for _, c := range f.network.hosts {
		for _, i := range killed {
			go c.MessagesLost(hostAt(i))
		}
	}
	f.network.mu.Unlock()
	for _, i := range killed {
		f.stops[i]()
		f.hosts[i] = nil
	}
}

// restart starts hosts again and waits until they know the others.
func (f *streamFleet) restart(restarted ...int) {
	for _, i := range restarted {
		f.start(i)
	}
	for _, c := range f.hosts {
		if c != nil {
			awaitLeader(f.t, c, f.first())
		}
	}
	time.Sleep(2 * hostsHeard)
}

// first returns the address of the first host that is up.
func (f *streamFleet) first() netip.AddrPort {
	for i, c := range f.hosts {
		if c != nil {
			return hostAt(i)
		}
	}
	return netip.AddrPort{}
}

func (f *streamFleet) versionOf(target string) string {
	for _, t := range f.targets {
		if t.ID == target {
			return t.Version
		}
	}
	return ""
}

// begin begins streams through each live host.
func (f *streamFleet) begin(perHost int) {
	for i, c := range f.hosts {
		for range perHost {
			if c == nil {
				continue
			}
			f.nextID++
			key := f.nextID << 32
			id, d := submit(f.t, c, broker.Request{Stream: key})
			assert.Assert(f.t, d.Target != "", "host %d: %v", i, d.Refusal)
			f.begun[key] = f.versionOf(d.Target)
			defer c.ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Broken})
		}
	}
}

// takeUp takes all streams up through a host and returns how many went on, and how many of
// these at another version.
func (f *streamFleet) takeUp(c *Coordinator) (wentOn, elsewhere int) {
	for key, version := range f.begun {
		id, d := submit(f.t, c, broker.Request{Stream: key, Resumed: true, LastPart: 5})
		if d.Target == "" {
			assert.Equal(f.t, d.Refusal.Cause, "VersionUnknown")
			continue
		}
		wentOn++
		if f.versionOf(d.Target) != version {
			elsewhere++
		}
		c.ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Good, Took: time.Millisecond})
	}
	return wentOn, elsewhere
}

// Guards against records of streams being lost with the host that leads and that began them:
// other hosts refused the streams that its callers took up.
func TestStreamsAreKnownAfterTheLossOfTheirHosts(t *testing.T) {
	const perHost = 6
	for _, c := range []struct {
		name  string
		hosts int
		lose  func(f *streamFleet)
	}{
		{"the leader", 3, func(f *streamFleet) { f.kill(0) }},
		{"the leader, and then the next one", 3, func(f *streamFleet) {
			f.kill(0)
			awaitLeader(f.t, f.hosts[2], hostAt(1))
			f.kill(1)
		}},
		{"the leader and another host", 3, func(f *streamFleet) { f.kill(0, 2) }},
		{"all but one host", 6, func(f *streamFleet) { f.kill(0, 1, 2, 3, 4) }},
		{"the leader, which leads again", 3, func(f *streamFleet) {
			f.kill(0)
			f.restart(0)
		}},
		{"all hosts, one after the other", 3, func(f *streamFleet) {
			for i := range f.hosts {
				f.kill(i)
				f.restart(i)
			}
		}},
		{"a host that was cut off when they began", 3, func(f *streamFleet) {
			f.network.setPartitioned(hostAt(2), true)
			awaitLeader(f.t, f.hosts[2], hostAt(2))
			f.begin(2)
			f.network.setPartitioned(hostAt(2), false)
			awaitLeader(f.t, f.hosts[2], hostAt(0))
			time.Sleep(2 * hostsHeard)
			f.kill(0, 2)
		}},
		{"a host that is back, and then all others", 4, func(f *streamFleet) {
			f.kill(0)
			f.restart(0)
			f.kill(1, 2, 3)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newStreamFleet(t, c.hosts, "v1", "v2")
			f.begin(perHost)
			time.Sleep(recordDelay)
			c.lose(f)
			for i, h := range f.hosts {
				if h == nil {
					continue
				}
				awaitLeader(t, h, f.first())
				wentOn, elsewhere := f.takeUp(h)
				assert.Check(t, wentOn == len(f.begun) && elsewhere == 0, "host %d: %d of %d streams went on, %d at another version", i, wentOn, len(f.begun), elsewhere)
			}
		})
	}
}

// Guards against streams that began before their service had a second version: other hosts were
// not told of them.
func TestStreamsOfAServiceThatGetsASecondVersionAreKnown(t *testing.T) {
	const perHost = 4
	f := newStreamFleet(t, 3, "v1")
	f.begin(perHost)
	time.Sleep(recordDelay)
	before := f.sentRecords()
	f.publish("v1", "v2")
	time.Sleep(recordDelay)
	assert.Assert(t, f.sentRecords() > before)
	f.kill(0)
	awaitLeader(t, f.hosts[2], f.first())
	wentOn, elsewhere := f.takeUp(f.hosts[2])
	assert.Check(t, wentOn == len(f.begun) && elsewhere == 0, "%d of %d streams went on, %d at another version", wentOn, len(f.begun), elsewhere)
}

// sentRecords returns the number of messages with records of streams.
func (f *streamFleet) sentRecords() int {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.sent[methodStreams]
}

func TestHostsAreToldOfNoStreamsWhereServicesHaveOneVersion(t *testing.T) {
	f := newStreamFleet(t, 3, "v1", "v1")
	before := f.sentRecords()
	f.begin(4)
	time.Sleep(recordDelay)
	wentOn, _ := f.takeUp(f.hosts[1])
	assert.Equal(t, wentOn, len(f.begun))
	assert.Equal(t, f.sentRecords(), before)
}

// setDeaf has a host hear no other, though others hear it. An invalid address ends that.
func (f *streamFleet) setDeaf(host netip.AddrPort) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.deaf = host
}

// Guards against a grant that its host has not heard of: the host led itself meanwhile and sent
// the stream to another version, and the leader of the others had it go on at the one that it
// had granted.
func TestStreamGoesOnWhereAHostThatHeardNoOtherBeganIt(t *testing.T) {
	const streams = 12
	f := newStreamFleet(t, 3, "v1", "v2")
	f.setDeaf(hostAt(1))
	type asked struct {
		key      uint64
		decision <-chan Decision
	}
	var all []asked
	for range streams {
		f.nextID++
		r := broker.Request{Stream: f.nextID << 32, Service: "lm", StartWithin: time.Second, ExpiresIn: 8 * time.Second}
		if len(all)%2 == 0 {
			// Of the host's streams, the leader sees every second one beside another.
			id, d := submit(t, f.hosts[2], broker.Request{Stream: r.Stream + 1})
			defer f.hosts[2].ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Broken})
		}
		_, decision := f.hosts[1].Submit(r)
		all = append(all, asked{r.Stream, decision})
		time.Sleep(tickPeriod)
	}
	for _, a := range all {
		d := <-a.decision
		assert.Assert(t, d.Target != "", "%v", d.Refusal)
		f.begun[a.key] = f.versionOf(d.Target)
	}
	for _, h := range []*Coordinator{f.hosts[2], f.hosts[0]} {
		_, elsewhere := f.takeUp(h)
		assert.Check(t, elsewhere == 0, "%d of %d streams went on at another version", elsewhere, len(f.begun))
	}
	f.setDeaf(netip.AddrPort{})
	awaitLeader(t, f.hosts[1], hostAt(0))
	time.Sleep(recordDelay)
	wentOn, elsewhere := f.takeUp(f.hosts[2])
	assert.Check(t, wentOn == len(f.begun) && elsewhere == 0, "%d of %d streams went on, %d at another version", wentOn, len(f.begun), elsewhere)
}

// beginInFleet begins streams through each host of a large fleet, and returns the version that
// began each, by its key.
func beginInFleet(t *testing.T, f *fleet, perHost int) map[uint64]string {
	begun := map[uint64]string{}
	for i, h := range f.hosts {
		for n := range perHost {
			key := uint64(i+1)<<32 + uint64(n)
			id, d := submit(t, h.Coordinator, broker.Request{Stream: key})
			assert.Assert(t, d.Target != "", "host %d: %v", i, d.Refusal)
			begun[key] = h.View().Roster.Targets[d.Target].Version
			h.ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Broken})
		}
	}
	return begun
}

// Guards against losses that take all records of a stream in a large fleet, where only some
// hosts keep them.
func TestStreamsAreKnownAfterLossesInALargeFleet(t *testing.T) {
	const hosts, perHost, leaderChange = 60, 2, 10 * time.Second
	for _, c := range []struct {
		name   string
		isLost func(f *fleet, n int, leader *fleetHost) bool
		share  float64 // of the streams that must go on
	}{
		{"the leader", func(f *fleet, n int, leader *fleetHost) bool { return f.hosts[n] == leader }, 1},
		{"the leader's zone", func(f *fleet, n int, leader *fleetHost) bool { return f.hosts[n].zone == leader.zone }, 1},
		{"all hosts that may lead, but one", func(_ *fleet, n int, _ *fleetHost) bool { return n%bigHostEvery == 0 && n > 0 }, 1},
		{"three of four hosts, the leader among them", func(f *fleet, n int, leader *fleetHost) bool { return n%4 != 0 || f.hosts[n] == leader }, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, hosts)
				f.publishTargets([]roster.Target{
					{ID: "t0", Service: "lm", Version: "v1", Address: netip.MustParseAddrPort("10.9.0.1:1"), Slots: 64},
					{ID: "t1", Service: "lm", Version: "v2", Address: netip.MustParseAddrPort("10.9.0.2:1"), Slots: 64},
				})
				time.Sleep(8 * time.Second)
				begun := beginInFleet(t, f, perHost)
				time.Sleep(2 * farTellPeriod)
				leader := f.hosts[f.byAddress[leaderOf(t, f.hosts[0].Coordinator)]]
				var lost []*fleetHost
				var left *fleetHost
				for n, h := range f.hosts {
					if c.isLost(f, n, leader) {
						lost = append(lost, h)
					} else {
						left = h
					}
				}
				f.set(lost, func(h *fleetHost) { h.dark = true })
				time.Sleep(leaderChange)
				wentOn, elsewhere := 0, 0
				for key, version := range begun {
					id, d := submit(t, left.Coordinator, broker.Request{Stream: key, Resumed: true})
					if d.Target == "" {
						continue
					}
					wentOn++
					if left.View().Roster.Targets[d.Target].Version != version {
						elsewhere++
					}
					left.ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Good, Took: time.Millisecond})
				}
				t.Logf("%d of %d streams went on", wentOn, len(begun))
				assert.Check(t, float64(wentOn) >= c.share*float64(len(begun)) && elsewhere == 0, "%d of %d streams went on, %d at another version", wentOn, len(begun), elsewhere)
			})
		})
	}
}
