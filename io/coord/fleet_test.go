package coord

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/hosts"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/logs"
)

// Properties of a simulated fleet.
const (
	fleetZones     = 5
	fleetSeeds     = 3
	bigHostEvery   = 20 // every so many hosts, one has the larger CPU share
	bigCPUShare    = 80
	smallCPUShare  = 19
	bigHostLead    = 30 * time.Millisecond // by which the processes of big hosts start sooner
	bigHostSpread  = time.Millisecond      // between two starts of big hosts
	startSpread    = 50 * time.Millisecond // between the first and the last of the others
	networkDelay   = 1500 * time.Microsecond
	connectFailure = 400 * time.Millisecond // until a host without power is given up
	breakDetection = 900 * time.Millisecond // until unacknowledged data breaks a connection
	storeDelay     = 10 * time.Millisecond
	// storeSilence is how long a reader takes to find that a store does not respond:
	// its watch and then a new connection time out.
	storeSilence = 2200 * time.Millisecond
	// maxConfigDelay is the time within which a published configuration must be in
	// force on all hosts.
	maxConfigDelay = 4 * time.Second
)

// fleet is a large deployment in the virtual time of a synctest bubble: hosts, the
// network between them, and the store.
type fleet struct {
	t       *testing.T
	seeds   []netip.AddrPort
	reading sync.WaitGroup // readers of the store

	mu        sync.Mutex
	hosts     []*fleetHost           // guarded by mu
	byAddress map[netip.AddrPort]int // guarded by mu
	links     map[linkKey]*fleetLink // guarded by mu
	config    *routes.Config         // guarded by mu; the published one
	targets   []roster.Target        // guarded by mu; the published ones, as of revision
	revision  uint64                 // guarded by mu
	cutZone   string                 // guarded by mu; reaches no other zone; empty for none
}

// fleetHost is one host of a fleet; its fields are guarded by fleet.mu.
type fleetHost struct {
	*Coordinator
	stop    func()
	dark    bool // without power: neither receives nor sends
	noStore bool // the store does not respond to it
	refused bool // the store refuses it at once
	zone    string
	reading bool
}

type linkKey struct{ from, to netip.AddrPort }

// fleetLink is the connection of one host to another.
type fleetLink struct{ open, failing bool }

func fleetAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % fleetZones), byte(n >> 8), byte(n)}), 7600)
}

// startFleet starts count hosts, the big ones first and the seeds as the last of them.
func startFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, hosts: make([]*fleetHost, count), byAddress: map[netip.AddrPort]int{}, links: map[linkKey]*fleetLink{}}
	for n := range fleetSeeds {
		f.seeds = append(f.seeds, fleetAddress(((count-1)/bigHostEvery-n)*bigHostEvery))
	}
	f.publish(1)
	f.publishTargets([]roster.Target{{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("10.9.0.1:1"), Slots: 4}})
	for n := 0; n < count; n += bigHostEvery {
		f.start(n)
		time.Sleep(bigHostSpread)
	}
	time.Sleep(bigHostLead)
	for n := range count {
		if n%bigHostEvery != 0 {
			f.start(n)
			time.Sleep(startSpread / time.Duration(count))
		}
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) start(n int) {
	log, err := logs.New(io.Discard, "error")
	assert.NilError(f.t, err)
	share := smallCPUShare
	if n%bigHostEvery == 0 {
		share = bigCPUShare
	}
	h := &fleetHost{zone: fmt.Sprint("zone-", n%fleetZones)}
	h.Coordinator, h.stop = New(f.t.Context(), Settings{
		Self: fleetAddress(n), Zone: h.zone, Incarnation: uint64(n + 1), CPUShare: share, Seeds: f.seeds,
		Log: log, Now: time.Now, BootTime: func() time.Duration { return 0 }, Tolerance: quota.Tolerance{Window: 8 * time.Second},
		SetReading: func(on bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if h.reading = on; on {
				f.reading.Go(func() { f.read(h) })
			}
		},
	})
	f.mu.Lock()
	f.hosts[n], f.byAddress[fleetAddress(n)] = h, n
	f.mu.Unlock()
	assert.NilError(f.t, h.Attach(f.t.Context(), fleetEndpoint{f, fleetAddress(n)}))
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.stop()
	}
	f.set(f.hosts, func(h *fleetHost) { h.reading = false })
	f.reading.Wait()
}

// publish publishes a version of the configuration.
func (f *fleet) publish(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = &routes.Config{Version: version, Services: []routes.Service{{Name: "lm", Engine: true, Slots: 4}}, Routes: []routes.Route{
		{Name: "r", Prefix: "/", Kind: routes.Stream, Resumable: true, Timeout: 30 * time.Second, Shares: []routes.Share{{Service: "lm", Weight: 1}}},
	}}
}

// publishTargets replaces the published targets.
func (f *fleet) publishTargets(targets []roster.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	for i := range targets {
		targets[i].Revision = f.revision
	}
	f.targets = targets
}

// read plays the reader of the store on one host while reading is switched on.
func (f *fleet) read(h *fleetHost) {
	var config *routes.Config // the last one that was read
	var listed uint64         // revision of the targets that were read last
	responded := time.Now()
	for ; ; time.Sleep(storeDelay) {
		f.mu.Lock()
		reading, refused, reached, published := h.reading, h.refused, !h.noStore && !h.dark, f.config
		targets, revision := f.targets, f.revision
		f.mu.Unlock()
		switch {
		case !reading:
			return
		case refused:
			h.FeedStoreState(false, nil)
			continue
		case !reached:
			if time.Since(responded) >= storeSilence {
				h.FeedStoreState(false, nil)
			}
			continue
		case listed < revision:
			h.FeedListing(roster.Position{Revision: revision}, targets, nil)
			listed = revision
		}
		if config != published {
			config = published
			own := *config // the host indexes it
			h.FeedConfig(&own)
		}
		h.FeedAnswer()
		h.FeedStoreState(true, nil)
		responded = time.Now()
	}
}

// readers returns the hosts that read the store.
func (f *fleet) readers() []*fleetHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var readers []*fleetHost
	for _, h := range f.hosts {
		if h.reading {
			readers = append(readers, h)
		}
	}
	return readers
}

// set changes properties of hosts.
func (f *fleet) set(hosts []*fleetHost, change func(h *fleetHost)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		change(h)
	}
}

// awaitVersion waits until a version is in force on all hosts but the excluded ones, and
// returns the number of hosts that still lack it after maxConfigDelay.
func (f *fleet) awaitVersion(version uint64, excluded []*fleetHost) (missing int) {
	for end := time.Now().Add(maxConfigDelay); time.Now().Before(end); time.Sleep(storeDelay) {
		missing = 0
		for _, h := range f.hosts {
			if v := h.View(); !slices.Contains(excluded, h) && (v.Config == nil || v.Config.Version < version) {
				missing++
			}
		}
		if missing == 0 {
			return 0
		}
	}
	return missing
}

// fleetEndpoint is the Mesh of one host.
type fleetEndpoint struct {
	fleet *fleet
	self  netip.AddrPort
}

// Send implements Mesh. What is sent to or by a dark host, or out of or into a zone that is
// cut off, is lost, and the sender's connection breaks after a while.
func (e fleetEndpoint) Send(to netip.AddrPort, method string, params any) {
	text, err := json.Marshal(params)
	assert.NilError(e.fleet.t, err)
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	sender := f.hosts[f.byAddress[e.self]]
	if _, started := f.byAddress[to]; !started {
		time.AfterFunc(networkDelay, func() { sender.MessagesLost(to) })
		return
	}
	receiver := f.hosts[f.byAddress[to]]
	link := f.links[linkKey{e.self, to}]
	if link == nil {
		link = &fleetLink{}
		f.links[linkKey{e.self, to}] = link
	}
	isCut := sender.zone != receiver.zone && (sender.zone == f.cutZone || receiver.zone == f.cutZone)
	if !sender.dark && !receiver.dark && !isCut {
		link.open = true
		time.AfterFunc(networkDelay, func() { receiver.Receive(e.self, method, text) })
		return
	}
	if link.failing {
		return
	}
	timeout := connectFailure
	if link.open {
		timeout = breakDetection
	}
	link.open, link.failing = false, true
	time.AfterFunc(timeout, func() {
		f.mu.Lock()
		link.failing = false
		f.mu.Unlock()
		sender.MessagesLost(to)
	})
}

// Regression test: hosts heard by gossip only that all readers of the store were lost,
// so no other host read it for longer than a configuration may take.
func TestConfigurationIsInForceAlthoughAllReadersAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(h *fleetHost)
	}{
		{"the store does not respond to them", func(h *fleetHost) { h.noStore = true }},
		{"they lose power", func(h *fleetHost) { h.dark = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 295)
				time.Sleep(8 * time.Second)
				lost := f.readers()
				f.set(lost, c.lose)
				f.publish(2)
				missing := f.awaitVersion(2, lost)
				assert.Equal(t, missing, 0, "hosts without the configuration after %s, of %d; %d readers were lost", maxConfigDelay, len(f.hosts), len(lost))
			})
		})
	}
}

// Regression test: the seeds answered a new host once, when they knew few others
// themselves; it then heard from nobody for many seconds and led itself.
func TestHostsThatStartTogetherFollowOneLeader(t *testing.T) {
	const maxStartTime = 5 * time.Second // from then on a host must keep all bounds
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 295)
		time.Sleep(maxStartTime)
		followers := map[netip.AddrPort]int{}
		for _, h := range f.hosts {
			followers[leaderOf(t, h.Coordinator)]++
		}
		assert.Equal(t, len(followers), 1, "hosts by the leader that they follow: %v", followers)
	})
}

// Regression test: while the store refuses all hosts, the readers change all the time. Each
// change postponed the leader's heartbeat, and hosts took the leader for silent.
func TestLeaderIsFollowedWhileTheStoreRefusesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 60)
		time.Sleep(10 * time.Second)
		leader := leaderOf(t, f.hosts[0].Coordinator)
		f.set(f.hosts, func(h *fleetHost) { h.refused = true })
		for range 40 {
			time.Sleep(200 * time.Millisecond)
			for _, h := range f.hosts {
				assert.Equal(t, leaderOf(t, h.Coordinator), leader)
			}
		}
	})
}

// Regression test: a zone that had been cut off went on under a leader of its own for up to
// a minute, since the leader of the others tried one of its hosts a second.
func TestZoneFollowsTheLeaderOfAllAfterACut(t *testing.T) {
	const maxReturnTime = 5 * time.Second // from then on a host must keep all bounds
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 295)
		time.Sleep(3 * time.Second)
		leader := leaderOf(t, f.hosts[0].Coordinator)
		setCut := func(zone string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cutZone = zone
		}
		setCut("zone-3")
		time.Sleep(6 * time.Second)
		setCut("")
		time.Sleep(maxReturnTime)
		apart := 0
		for _, h := range f.hosts {
			if leaderOf(t, h.Coordinator) != leader {
				apart++
			}
		}
		assert.Equal(t, apart, 0, "hosts that follow another leader %s after the cut", maxReturnTime)
	})
}

// startAlone starts one host of a fleet without the others.
func startAlone(t *testing.T) (*Coordinator, func()) {
	log, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	return New(t.Context(), Settings{
		Self: fleetAddress(0), Zone: "zone-0", Incarnation: 1, Log: log, Now: time.Now, BootTime: func() time.Duration { return 0 },
	})
}

// silentPeers is a Mesh whose peers respond to no fetch but one.
type silentPeers struct {
	answering  netip.AddrPort
	answer     func()
	unanswered atomic.Int32 // fetches
}

// Send implements Mesh.
func (p *silentPeers) Send(to netip.AddrPort, method string, _ any) {
	switch {
	case method == methodFetch && to == p.answering:
		time.AfterFunc(networkDelay, p.answer)
	case method == methodFetch:
		p.unanswered.Add(1)
	}
}

// Regression test: a host went on to fetch from peers whose announcements it had caught up
// with. They had nothing to send, and each of them held up all other fetches for a while.
func TestOutdatedAnnouncementsDoNotDelayAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startAlone(t)
		defer stop()
		reader := fleetAddress(1)
		peers := &silentPeers{answering: reader, answer: func() { c.FeedConfig(&routes.Config{Version: 2}) }}
		assert.NilError(t, c.Attach(t.Context(), peers))
		c.FeedConfig(&routes.Config{Version: 1})
		announce := func(from netip.AddrPort, m HeartbeatMessage) {
			m.Heartbeats = []hosts.Heartbeat{{Address: from, Zone: "zone-0", Incarnation: 1, Count: 1}}
			assert.NilError(t, c.do(t.Context(), func(now time.Time) { c.handleHeartbeat(now, from, m, now) }))
		}
		for n := range 20 {
			announce(fleetAddress(fleetZones*(n+1)), HeartbeatMessage{Version: 1, Revision: 5})
		}
		c.FeedListing(roster.Position{Revision: 5}, nil, nil)
		announce(reader, HeartbeatMessage{Version: 2, Revision: 5})
		time.Sleep(maxConfigDelay)
		assert.Equal(t, c.View().Config.Version, uint64(2))
		assert.Assert(t, peers.unanswered.Load() <= 1, "%d fetches from peers with nothing newer", peers.unanswered.Load())
	})
}

// lossyMesh is a Mesh whose queues are full.
type lossyMesh struct{ c *Coordinator }

// Send implements Mesh.
func (m lossyMesh) Send(to netip.AddrPort, _ string, _ any) { m.c.MessagesLost(to) }

// Regression test: a message that found its queue full was reported by an event that
// waited for room in the event queue, on the only goroutine that makes room.
func TestFullQueuesDoNotStopTheEventLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startAlone(t)
		defer stop()
		assert.NilError(t, c.Attach(t.Context(), lossyMesh{c}))
		full := make(chan struct{})
		c.post(func(time.Time) {
			<-full
			for n := range 2 {
				c.mesh.Send(fleetAddress(n+1), methodBeat, nil)
			}
		})
		synctest.Wait()
		for c.events.Offer(func(time.Time) {}) {
		}
		close(full)
		time.Sleep(time.Second)
		assert.Equal(t, c.WaitingEvents(), 0, "events that wait a second later")
	})
}

// Regression test: when the store came back from an outage, a host that had begun to read in
// it took the lapsed entries for removed ones, and most targets were out of use for seconds.
func TestNewReaderKeepsTargetsThatLapsedInAnOutage(t *testing.T) {
	target := func(n int) roster.Target {
		return roster.Target{ID: fmt.Sprint("t", n), Service: "lm", Address: netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(n+1)), Slots: 4, Revision: uint64(n + 1)}
	}
	for _, c := range []struct {
		name         string
		listed       int // of 12 targets, in the first listing after the outage
		wantAtOnce   int
		wantInTheEnd int
	}{
		{"most entries lapsed", 2, 12, 3},
		{"some targets were removed", 9, 9, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host, stop := startAlone(t)
				defer stop()
				assert.NilError(t, host.Attach(t.Context(), lossyMesh{host}))
				var all []roster.Target
				for n := range 12 {
					all = append(all, target(n))
				}
				host.FeedListing(roster.Position{Revision: 12}, all, nil)
				time.Sleep(4 * time.Second) // another host reads
				assert.NilError(t, host.do(t.Context(), func(time.Time) { host.reading = true }))
				host.FeedStoreState(true, nil)
				host.FeedListing(roster.Position{Revision: 20}, all[:c.listed], nil)
				time.Sleep(roster.ReturnGrace / 2)
				assert.Equal(t, len(host.View().Roster.Targets), c.wantAtOnce)
				if c.listed == 2 {
					back := target(5)
					back.Revision = 21
					host.FeedTarget(back)
				}
				time.Sleep(roster.ReturnGrace)
				assert.Equal(t, len(host.View().Roster.Targets), c.wantInTheEnd)
			})
		})
	}
}

// probedMesh is a Mesh that records which hosts are probed.
type probedMesh struct{ probed chan netip.AddrPort }

// Send implements Mesh.
func (probedMesh) Send(netip.AddrPort, string, any) {}

// Probe implements prober.
func (m probedMesh) Probe(host netip.AddrPort) { m.probed <- host }

// Regression tests: when a zone with the leader was cut off, hosts turned to another host of that
// zone, and requests waited until its silence was noticed as well. When connections were reset,
// some hosts turned to another leader, and both granted most of each allowance.
func TestLeaderIsLostIfItAcceptsNoNewConnection(t *testing.T) {
	for _, c := range []struct {
		name        string
		unreachable []int // hosts that are reported lost again when they are probed
		want        int
	}{
		{"connection was reset", nil, 1},
		{"leader is gone", []int{1}, 2},
		{"zone is cut off", []int{1, 2}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host, stop := startAlone(t)
				defer stop()
				m := probedMesh{make(chan netip.AddrPort, 4)}
				assert.NilError(t, host.Attach(t.Context(), m))
				for n, share := range []int{900, 800, 700} {
					h := hosts.Heartbeat{Address: fleetAddress(n + 1), Zone: "zone-1", Incarnation: 1, Count: 1, CPUShare: share}
					assert.NilError(t, host.do(t.Context(), func(now time.Time) {
						host.handleHeartbeat(now, h.Address, HeartbeatMessage{Heartbeats: []hosts.Heartbeat{h}}, now)
					}))
				}
				time.Sleep(tickPeriod)
				host.MessagesLost(fleetAddress(1))
				synctest.Wait()
				probed := []netip.AddrPort{<-m.probed, <-m.probed}
				assert.Assert(t, slices.Equal(probed, []netip.AddrPort{fleetAddress(1), fleetAddress(2)}))
				for _, n := range c.unreachable {
					host.MessagesLost(fleetAddress(n))
				}
				time.Sleep(tickPeriod)
				assert.NilError(t, host.do(t.Context(), func(time.Time) { assert.Equal(t, host.leader, fleetAddress(c.want)) }))
			})
		})
	}
}
