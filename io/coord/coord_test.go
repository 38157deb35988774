package coord

import (
	"encoding/json"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"yuccadoor/core/broker"
	"yuccadoor/core/model"
	"yuccadoor/core/notice"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/logs"
)

// network delivers messages between the hosts of a test, in the order of sending.
type network struct {
	mu          sync.Mutex
	hosts       map[netip.AddrPort]*Coordinator // guarded by mu
	partitioned map[netip.AddrPort]bool         // guarded by mu; hosts that reach no other
	sent        map[string]int                  // guarded by mu; messages by method; nil if not counted
	deaf        netip.AddrPort                  // guarded by mu; host that hears no other; invalid for none
}

// setPartitioned partitions a host from the others, or heals the partition.
func (n *network) setPartitioned(host netip.AddrPort, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[host] = on
}

// endpoint is the Mesh of one host.
type endpoint struct {
	network *network
	self    netip.AddrPort
}

// Send implements Mesh.
func (e endpoint) Send(to netip.AddrPort, method string, params any) {
	text, err := json.Marshal(params)
	if err != nil {
		panic(err)
	}
	e.network.mu.Lock()
	c := e.network.hosts[to]
	if e.network.sent != nil {
		e.network.sent[method]++
	}
	if e.network.partitioned[to] || e.network.partitioned[e.self] || e.network.deaf == to {
		c = nil
	}
	e.network.mu.Unlock()
	if c != nil {
		c.Receive(e.self, method, text)
	}
}

func hostAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 9)
}

// startHosts starts count hosts that serve two targets of one service. The function kill
// stops a host as if its process were killed.
func startHosts(t *testing.T, count int) (n *network, hosts []*Coordinator, kill func(i int)) {
	t.Helper()
	log, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	n = &network{hosts: map[netip.AddrPort]*Coordinator{}, partitioned: map[netip.AddrPort]bool{}}
	var seeds []netip.AddrPort
	for i := range count {
		seeds = append(seeds, hostAt(i))
	}
	var stops []func()
	for i := range count {
		c, stop := New(t.Context(), Settings{
			Self: hostAt(i), Zone: "a", Incarnation: uint64(i + 1), CPUShare: 100 - i, Seeds: seeds, Log: log, Now: time.Now,
			Tolerance: quota.Tolerance{Window: 8 * time.Second},
			BootTime:  func() time.Duration { return 0 },
		})
		t.Cleanup(stop)
		hosts, stops = append(hosts, c), append(stops, stop)
		n.mu.Lock()
		n.hosts[hostAt(i)] = c
		n.mu.Unlock()
	}
	for i, c := range hosts {
		assert.NilError(t, c.Attach(t.Context(), endpoint{n, hostAt(i)}))
		c.FeedConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "lm", Engine: true, Slots: 4}}, Workspaces: []routes.Workspace{
			{Name: "bounded", Allowance: routes.Allowance{PerSecond: 1, Burst: 100, InTokens: true}},
		}})
		c.FeedListing(roster.Position{Revision: 1}, []roster.Target{
			{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("127.0.0.9:1"), Slots: 4, Revision: 1},
			{ID: "t1", Service: "lm", Address: netip.MustParseAddrPort("127.0.0.9:2"), Slots: 4, Revision: 1},
		}, nil)
	}
	return n, hosts, func(i int) {
		n.mu.Lock()
		delete(n.hosts, hostAt(i))
		for _, c := range n.hosts {
			go c.MessagesLost(hostAt(i))
		}
		n.mu.Unlock()
		stops[i]()
	}
}

// submit submits a request and waits for the decision.
func submit(t *testing.T, c *Coordinator, r broker.Request) (uint64, Decision) {
	t.Helper()
	r.Service, r.StartWithin, r.ExpiresIn = "lm", time.Second, 4*time.Second
	id, decision := c.Submit(r)
	select {
	case d := <-decision:
		return id, d
	case <-time.After(5 * time.Second):
		t.Fatal("no decision")
		return 0, Decision{}
	}
}

func leaderOf(t *testing.T, c *Coordinator) netip.AddrPort {
	s, err := c.Status(t.Context())
	assert.NilError(t, err)
	return s.Leader
}

func awaitLeader(t *testing.T, c *Coordinator, want netip.AddrPort) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := leaderOf(t, c); got != want {
			return poll.Continue("leader is %s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// crashThreshold is the number of crashes after which a content is refused.
const crashThreshold = 3

// crash submits a request of a content and reports that it crashed its target: the
// response is cut off, and the target then refuses connections.
func crash(t *testing.T, c *Coordinator, r broker.Request) {
	t.Helper()
	id, d := submit(t, c, r)
	assert.Assert(t, d.Target != "", "%v", d.Refusal)
	const took = 5 * time.Millisecond
	c.ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Broken, Took: took})
	address := c.View().Roster.Targets[d.Target].Address
	c.ReportBrokenRun(broker.BrokenRun{Content: r.Content, SharedParts: r.SharedParts, Target: d.Target, Address: address, EndedAt: time.Now(), Took: took, ConnectRefused: true})
	time.Sleep(2 * took) // the target has restarted
}

// Guards against losing crash records with the leader: a content could then crash
// three more targets under each new leader.
func TestCrashesAreKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	const content = 77
	for range crashThreshold {
		crash(t, hosts[2], broker.Request{Content: content})
	}
	_, d := submit(t, hosts[1], broker.Request{Content: content})
	assert.Assert(t, d.Refusal != nil && d.Refusal.Cause == "CrashesTargets", "%v", d)
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	_, d = submit(t, hosts[2], broker.Request{Content: content})
	assert.Assert(t, d.Refusal != nil && d.Refusal.Cause == "CrashesTargets", "%v", d)
	id, d := submit(t, hosts[2], broker.Request{Content: content + 1})
	assert.Assert(t, d.Target != "", "%v", d.Refusal)
	hosts[2].ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Good, Took: time.Millisecond})
}

// Guards against losing crashes by parts of prompts with the leader.
func TestPartsThatCrashTargetsAreKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	request := broker.Request{SharedParts: model.PromptParts{77}}
	for i := range crashThreshold {
		crash(t, hosts[1+i%2], request)
		time.Sleep(400 * time.Millisecond) // until all hosts can have reported it
	}
	for i := range 2 {
		_, d := submit(t, hosts[2-i], request)
		assert.Assert(t, d.Refusal != nil && d.Refusal.Cause == "PartCrashesTargets" && d.Refusal.RetryAfter > 9*time.Minute, "%v", d)
		if i == 0 {
			kill(0)
			awaitLeader(t, hosts[1], hostAt(1))
		}
	}
	_, d := submit(t, hosts[2], broker.Request{SharedParts: model.PromptParts{78}})
	assert.Assert(t, d.Target != "", "%v", d.Refusal)
}

// Guards against incomplete exchange of crash records after a partition: records made
// during it were passed on only in part or not at all.
func TestCrashesAreKnownAcrossAPartition(t *testing.T) {
	const content, many = 77, 40
	for _, c := range []struct {
		name                string
		observer, requester int // host that sees the crashes, and host that must know of them
	}{
		{"to the partitioned host", 2, 1},
		{"from the partitioned host", 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, hosts, kill := startHosts(t, 3)
			for _, h := range hosts {
				awaitLeader(t, h, hostAt(0))
			}
			n.setPartitioned(hostAt(1), true)
			awaitLeader(t, hosts[1], hostAt(1))
			for range crashThreshold {
				crash(t, hosts[c.observer], broker.Request{Content: content})
			}
			for i := range many { // requests that ran concurrently with other crashes
				hosts[c.observer].ReportBrokenRun(broker.BrokenRun{
					Content: model.Fingerprint(content + 1 + i), Target: "t0",
					Address: netip.MustParseAddrPort("127.0.0.9:1"), EndedAt: time.Now(), ConnectRefused: true,
				})
			}
			n.setPartitioned(hostAt(1), false)
			awaitLeader(t, hosts[1], hostAt(0))
			next := hostAt(1)
			if c.observer == 1 { // the observer is killed after it has rejoined the others
				kill(1)
				next = hostAt(0)
			} else {
				kill(0)
			}
			awaitLeader(t, hosts[c.requester], next)
			_, d := submit(t, hosts[c.requester], broker.Request{Content: content})
			assert.Assert(t, d.Refusal != nil && d.Refusal.Cause == "CrashesTargets", "%v", d)
		})
	}
}

// Guards against granting a workspace's burst once more under each new leader.
func TestAllowanceIsNotGrantedAgainByTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, h := range hosts {
		awaitLeader(t, h, hostAt(0))
	}
	// Two of three hosts may use two thirds of the burst of 100.
	const first, second = 60, 50
	id, d := submit(t, hosts[2], broker.Request{Workspace: "bounded", QuotaTokens: first})
	assert.Assert(t, d.Target != "", "%v", d.Refusal)
	hosts[2].ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Good, Took: time.Millisecond})
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	_, d = submit(t, hosts[2], broker.Request{Workspace: "bounded", QuotaTokens: second})
	assert.Assert(t, d.Refusal != nil && d.Refusal.OverQuota, "%v", d)
	_, d = submit(t, hosts[2], broker.Request{Workspace: "other", QuotaTokens: second})
	assert.Assert(t, d.Target != "", "%v", d.Refusal)
}

// Guards against granting requests without charging their workspace: requests that were
// sent to a leader which was then lost counted as already charged at the next leader.
func TestRequestsOfALostLeaderAreChargedByTheNext(t *testing.T) {
	n, hosts, _ := startHosts(t, 3)
	for _, h := range hosts {
		awaitLeader(t, h, hostAt(0))
	}
	n.setPartitioned(hostAt(0), true)
	var decisions []<-chan Decision
	for range 4 {
		_, decision := hosts[2].Submit(broker.Request{Service: "lm", Workspace: "bounded", QuotaTokens: 45, StartWithin: time.Second, ExpiresIn: 10 * time.Second})
		decisions = append(decisions, decision)
	}
	granted, refused := 0, 0
	for _, decision := range decisions {
		select {
		case d := <-decision:
			if d.Refusal != nil && d.Refusal.OverQuota {
				refused++
			} else if d.Target != "" {
				granted++
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no decision")
		}
	}
	assert.Assert(t, granted <= 2, "%d granted of an allowance for two", granted)
	assert.Equal(t, granted+refused, len(decisions))
}

// Guards against losing the notice of a leaving target: only the host that received it
// and that host's leader knew of it, and both may be gone.
func TestLeavingOfATargetIsKnownToTheNextLeader(t *testing.T) {
	n, hosts, kill := startHosts(t, 4)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[3].ReportNotice(notice.Notice{Target: "t0", Leaving: true})
	_, ok := hosts[3].View().MaySend(time.Now(), "t0")
	assert.Assert(t, !ok, "the host that received the notice must not send to the target")
	kill(3) // and with it the notice that it received
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s, err := hosts[0].Status(t.Context()); err != nil || s.Leaving != 1 {
			return poll.Continue("%+v %v", s, err)
		}
		return poll.Success()
	})
	// Another host becomes leader for a while.
	n.setPartitioned(hostAt(0), true)
	awaitLeader(t, hosts[1], hostAt(1))
	n.setPartitioned(hostAt(0), false)
	awaitLeader(t, hosts[1], hostAt(0))
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	for range 4 {
		_, d := submit(t, hosts[2], broker.Request{})
		assert.Equal(t, d.Target, "t1")
	}
}

// Guards against a limit over all hosts being lost with the leader, or with the host that
// was told of it.
func TestLimitOfATargetIsKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 4)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[3].ReportNotice(notice.Notice{Target: "t0", Limit: 0.5})
	limited := func(c *Coordinator) bool {
		v := c.View()
		return !v.Restrictions.LimitedAt(v.Roster.Targets["t0"]).IsZero()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !limited(hosts[1]) || !limited(hosts[2]) {
			return poll.Continue("the limit is not known")
		}
		return poll.Success()
	})
	kill(3)
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	granted := map[string]int{}
	for range 8 {
		id, d := submit(t, hosts[2], broker.Request{})
		granted[d.Target]++
		hosts[2].ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Good, Took: time.Millisecond})
	}
	assert.Assert(t, granted["t0"] <= 1, "%v", granted)
	hosts[1].ReportNotice(notice.Notice{Target: "t0", Unlimited: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if limited(hosts[2]) {
			return poll.Continue("the limit has not ended")
		}
		return poll.Success()
	})
}

// Guards against a leader that alone knows what a cold target has told: the next one
// granted it as many requests as it runs at once.
func TestColdTimeOfATargetIsKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 4)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
		c.FeedConfig(&routes.Config{Version: 2, Services: []routes.Service{{Name: "lm", Engine: true, Slots: 4, ColdPerSecond: 0.5}}})
	}
	hosts[3].ReportNotice(notice.Notice{Target: "t0", Cold: time.Minute})
	_, d := submit(t, hosts[2], broker.Request{ExcludedTargets: []string{"t0"}}) // the leader has had the notice by now
	assert.Equal(t, d.Target, "t1")
	time.Sleep(tickPeriod)
	kill(3)
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	granted := map[string]int{}
	for range 8 {
		id, d := submit(t, hosts[2], broker.Request{})
		granted[d.Target]++
		hosts[2].ReportCompletion(broker.Completion{ID: id, Target: d.Target, Outcome: broker.Good, Took: time.Millisecond})
	}
	assert.Assert(t, granted["t0"] <= 1, "%v", granted)
}

// A partitioned host becomes its own leader and must still honor the notices that it has
// received.
func TestPartitionedHostHonorsNotices(t *testing.T) {
	n, hosts, _ := startHosts(t, 2)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[1].ReportNotice(notice.Notice{Target: "t0", Leaving: true})
	hosts[1].ReportNotice(notice.Notice{Target: "t1", Pause: time.Minute})
	n.setPartitioned(hostAt(1), true)
	awaitLeader(t, hosts[1], hostAt(1))
	_, d := submit(t, hosts[1], broker.Request{})
	assert.Assert(t, d.Refusal != nil && d.Refusal.Cause == "NoTarget", "%v", d)
	assert.Assert(t, d.Refusal.RetryAfter > 50*time.Second, "%s", d.Refusal.RetryAfter)
	// The other host learned before the partition that t0 leaves; t1 asked only one host
	// to pause.
	for range 4 {
		_, d = submit(t, hosts[0], broker.Request{})
		assert.Equal(t, d.Target, "t1")
	}
}

// Guards against slow propagation of departures: large fleets send heartbeats to only a
// few hosts per second, so departures took some seconds to reach all hosts.
func TestDepartureReachesALargeFleetAtOnce(t *testing.T) {
	const count = 24
	_, hosts, _ := startHosts(t, count)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, err := hosts[5].Status(t.Context())
		if err != nil || len(s.Alive) < count-1 {
			return poll.Continue("%d alive", len(s.Alive))
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.NilError(t, hosts[5].do(t.Context(), func(time.Time) { hosts[5].reading = true }))
	hosts[5].FeedTarget(roster.Target{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("127.0.0.9:1"), Slots: 4, Draining: true, Revision: 2})
	hosts[5].FeedTargetRemoval("t1", roster.Position{Revision: 3})
	hosts[5].FeedZone("z", true, roster.Position{Revision: 4})
	const delay = 500 * time.Millisecond // half of the heartbeat period
	time.Sleep(delay)
	late := 0
	for _, c := range hosts {
		if s := c.View().Roster; s.Usable("t0") != nil || s.Usable("t1") != nil || !s.ZonesOut["z"] {
			late++
		}
	}
	assert.Equal(t, late, 0, "%d of %d hosts have not received the departures", late, count)
}

// Any host may be the next leader, even if the leader and the host that received the
// notice are lost at the same time.
func TestLeavingOfATargetIsSentToAllHosts(t *testing.T) {
	_, hosts, kill := startHosts(t, 4)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
		_, d := submit(t, c, broker.Request{}) // the leader now has its state
		assert.Assert(t, d.Target != "", "%v", d.Refusal)
	}
	hosts[3].ReportNotice(notice.Notice{Target: "t0", Leaving: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, c := range hosts {
			if _, may := c.View().MaySend(time.Now(), "t0"); may {
				return poll.Continue("host %d has not received the notice", i)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
	kill(3)
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	_, d := submit(t, hosts[2], broker.Request{})
	assert.Equal(t, d.Target, "t1")
}

// A pause that a target asked of one host applies to the next leader's grants to that
// host, and to no other host.
func TestPauseIsKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[2].ReportNotice(notice.Notice{Target: "t0", Pause: time.Minute})
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	for range 4 {
		_, d := submit(t, hosts[2], broker.Request{})
		assert.Equal(t, d.Target, "t1")
	}
	_, d := submit(t, hosts[1], broker.Request{})
	assert.Equal(t, d.Target, "t0", "the pause must not apply to another host")
}

// Hosts of a version without eras state none. Beside them revisions alone order changes, as
// they did before.
func TestPeerThatStatesNoEraIsInThePresentOne(t *testing.T) {
	c := &Coordinator{roster: roster.New()}
	c.roster.Replace(time.Now(), roster.Position{Era: 3, Revision: 10}, nil, nil, roster.ListingOptions{})
	for _, p := range []struct {
		era, revision uint64
		want          roster.Position
	}{
		{0, 12, roster.Position{Era: 3, Revision: 12}},
		{2, 12, roster.Position{Era: 2, Revision: 12}},
		{0, 0, roster.Position{}}, // no list yet
	} {
		assert.Equal(t, c.peerPosition(p.era, p.revision), p.want)
	}
	changes := c.changes(time.Now(), PublishedState{Revision: 12, Targets: []Target{{Target: roster.Target{ID: "t", Revision: 11}}}, Gone: []roster.Removal{{ID: "u", Revision: 12}}})
	assert.Equal(t, changes.Targets[0].Era, uint64(3))
	assert.Equal(t, changes.Removed[0].Era, uint64(3))
}
