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

// wires carry the messages between the hosts of a test, in the order of sending.
type wires struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*Coord // guarded by mu
	cut   map[netip.AddrPort]bool   // guarded by mu; hosts that reach no other
}

// setCut cuts a host off from the others, or heals that.
func (w *wires) setCut(host netip.AddrPort, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[host] = on
}

// end is one host's side.
type end struct {
	wires *wires
	self  netip.AddrPort
}

// Send implements Mesh.
func (e end) Send(to netip.AddrPort, method string, params any) {
	text, err := json.Marshal(params)
	if err != nil {
		panic(err)
	}
	e.wires.mu.Lock()
	c := e.wires.hosts[to]
	if e.wires.cut[to] || e.wires.cut[e.self] {
		c = nil
	}
	e.wires.mu.Unlock()
	if c != nil {
		c.Receive(e.self, method, text)
	}
}

func hostAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 9)
}

// startHosts starts hosts before two targets of one service. Stopping one is as
// if its process were killed.
func startHosts(t *testing.T, n int) (w *wires, hosts []*Coord, kill func(i int)) {
	t.Helper()
	log, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	w = &wires{hosts: map[netip.AddrPort]*Coord{}, cut: map[netip.AddrPort]bool{}}
	var seeds []netip.AddrPort
	for i := range n {
		seeds = append(seeds, hostAt(i))
	}
	var stops []func()
	for i := range n {
		c, stop := New(t.Context(), Settings{
			Self: hostAt(i), Zone: "a", Incarnation: uint64(i + 1), Power: 100 - i, Seeds: seeds, Log: log, Now: time.Now,
			Tolerance: quota.Tolerance{Window: 8 * time.Second},
			Awake:     func() time.Duration { return 0 },
		})
		t.Cleanup(stop)
		hosts, stops = append(hosts, c), append(stops, stop)
		w.mu.Lock()
		w.hosts[hostAt(i)] = c
		w.mu.Unlock()
	}
	for i, c := range hosts {
		assert.NilError(t, c.Attach(t.Context(), end{w, hostAt(i)}))
		c.FeedConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "lm", Engine: true, Slots: 4}}, Workspaces: []routes.Workspace{
			{Name: "bounded", Allowance: routes.Allowance{PerSecond: 1, Burst: 100, InTokens: true}},
		}})
		c.FeedListing(1, []roster.Target{
			{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("127.0.0.9:1"), Slots: 4, Revision: 1},
			{ID: "t1", Service: "lm", Address: netip.MustParseAddrPort("127.0.0.9:2"), Slots: 4, Revision: 1},
		}, nil)
	}
	return w, hosts, func(i int) {
		w.mu.Lock()
		delete(w.hosts, hostAt(i))
		for _, c := range w.hosts {
			go c.Lost(hostAt(i))
		}
		w.mu.Unlock()
		stops[i]()
	}
}

// ask asks for a target and waits for the verdict.
func ask(t *testing.T, c *Coord, a broker.Request) (uint64, Verdict) {
	t.Helper()
	a.Service, a.StartWithin, a.ExpiresIn = "lm", time.Second, 4*time.Second
	id, verdict := c.Submit(a)
	select {
	case v := <-verdict:
		return id, v
	case <-time.After(5 * time.Second):
		t.Fatal("no verdict")
		return 0, Verdict{}
	}
}

func leaderOf(t *testing.T, c *Coord) netip.AddrPort {
	s, err := c.Status(t.Context())
	assert.NilError(t, err)
	return s.Leader
}

func awaitLeader(t *testing.T, c *Coord, want netip.AddrPort) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := leaderOf(t, c); got != want {
			return poll.Continue("%s leads", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// crashes is how many get a content refused.
const crashes = 3

// crash lets a request of a content crash its target, as its host sees it: the
// answer breaks off, and the target takes no connections.
func crash(t *testing.T, c *Coord, a broker.Request) {
	t.Helper()
	id, v := ask(t, c, a)
	assert.Assert(t, v.Target != "", "%v", v.Refusal)
	const took = 5 * time.Millisecond
	c.Done(broker.Completion{ID: id, Target: v.Target, Outcome: broker.Broken, Took: took})
	address := c.View().Roster.Targets[v.Target].Address
	c.Broke(broker.BrokenRun{Content: a.Content, Target: v.Target, Address: address, EndedAt: time.Now(), Took: took, ConnectRefused: true})
	time.Sleep(2 * took) // the target is back
}

// What was recorded of contents went with the leader, so that a content could
// crash three more targets under each new one.
func TestCrashesAreKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	const content = 77
	for range crashes {
		crash(t, hosts[2], broker.Request{Content: content})
	}
	_, v := ask(t, hosts[1], broker.Request{Content: content})
	assert.Assert(t, v.Refusal != nil && v.Refusal.Cause == "CrashesTargets", "%v", v)
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	_, v = ask(t, hosts[2], broker.Request{Content: content})
	assert.Assert(t, v.Refusal != nil && v.Refusal.Cause == "CrashesTargets", "%v", v)
	id, v := ask(t, hosts[2], broker.Request{Content: content + 1})
	assert.Assert(t, v.Target != "", "%v", v.Refusal)
	hosts[2].Done(broker.Completion{ID: id, Target: v.Target, Outcome: broker.Good, Took: time.Millisecond})
}

// What hosts had recorded while they were cut off from each other was handed on in
// part or not at all.
func TestCrashesAreKnownAcrossACut(t *testing.T) {
	const content, many = 77, 40
	for _, c := range []struct {
		name      string
		seer, ask int // hosts that see the crashes, and that must know of them
	}{
		{"to the host that was cut off", 2, 1},
		{"from the host that was cut off", 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, hosts, kill := startHosts(t, 3)
			for _, h := range hosts {
				awaitLeader(t, h, hostAt(0))
			}
			w.setCut(hostAt(1), true)
			awaitLeader(t, hosts[1], hostAt(1))
			for range crashes {
				crash(t, hosts[c.seer], broker.Request{Content: content})
			}
			for i := range many { // requests that ran beside other crashes
				hosts[c.seer].Broke(broker.BrokenRun{
					Content: model.Fingerprint(content + 1 + i), Target: "t0",
					Address: netip.MustParseAddrPort("127.0.0.9:1"), EndedAt: time.Now(), ConnectRefused: true,
				})
			}
			w.setCut(hostAt(1), false)
			awaitLeader(t, hosts[1], hostAt(0))
			next := hostAt(1)
			if c.seer == 1 { // the one that saw them dies, after it has met the others
				kill(1)
				next = hostAt(0)
			} else {
				kill(0)
			}
			awaitLeader(t, hosts[c.ask], next)
			_, v := ask(t, hosts[c.ask], broker.Request{Content: content})
			assert.Assert(t, v.Refusal != nil && v.Refusal.Cause == "CrashesTargets", "%v", v)
		})
	}
}

// The burst of a workspace was served once more under each new leader.
func TestAllowanceIsNotServedAgainByTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, h := range hosts {
		awaitLeader(t, h, hostAt(0))
	}
	// Two of three hosts hold two thirds of the burst of 100.
	const first, second = 60, 50
	id, v := ask(t, hosts[2], broker.Request{Workspace: "bounded", QuotaTokens: first})
	assert.Assert(t, v.Target != "", "%v", v.Refusal)
	hosts[2].Done(broker.Completion{ID: id, Target: v.Target, Outcome: broker.Good, Took: time.Millisecond})
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	_, v = ask(t, hosts[2], broker.Request{Workspace: "bounded", QuotaTokens: second})
	assert.Assert(t, v.Refusal != nil && v.Refusal.OverQuota, "%v", v)
	_, v = ask(t, hosts[2], broker.Request{Workspace: "other", QuotaTokens: second})
	assert.Assert(t, v.Target != "", "%v", v.Refusal)
}

// Requests on their way to a leader that was lost passed at the next one whatever
// their workspace had left.
func TestRequestsOfALostLeaderAreChargedByTheNext(t *testing.T) {
	w, hosts, _ := startHosts(t, 3)
	for _, h := range hosts {
		awaitLeader(t, h, hostAt(0))
	}
	w.setCut(hostAt(0), true)
	var verdicts []<-chan Verdict
	for range 4 {
		_, v := hosts[2].Submit(broker.Request{Service: "lm", Workspace: "bounded", QuotaTokens: 45, StartWithin: time.Second, ExpiresIn: 10 * time.Second})
		verdicts = append(verdicts, v)
	}
	granted, refused := 0, 0
	for _, v := range verdicts {
		select {
		case v := <-v:
			if v.Refusal != nil && v.Refusal.OverQuota {
				refused++
			} else if v.Target != "" {
				granted++
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no verdict")
		}
	}
	assert.Assert(t, granted <= 2, "%d granted of an allowance for two", granted)
	assert.Equal(t, granted+refused, len(verdicts))
}

// Only the host that had got the answer, and the leader that it told, would know.
func TestLeavingOfATargetIsKnownToTheNextLeader(t *testing.T) {
	w, hosts, kill := startHosts(t, 4)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[3].Noticed(notice.Notice{Target: "t0", Leaving: true})
	_, ok := hosts[3].View().MaySend(time.Now(), "t0")
	assert.Assert(t, !ok, "the host that got the answer is bound at once")
	kill(3) // with what it had heard
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s, err := hosts[0].Status(t.Context()); err != nil || s.Leaving != 1 {
			return poll.Continue("%+v %v", s, err)
		}
		return poll.Success()
	})
	// Another host leads for a while.
	w.setCut(hostAt(0), true)
	awaitLeader(t, hosts[1], hostAt(1))
	w.setCut(hostAt(0), false)
	awaitLeader(t, hosts[1], hostAt(0))
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	for range 4 {
		_, v := ask(t, hosts[2], broker.Request{})
		assert.Equal(t, v.Target, "t1")
	}
}

// A host that is cut off leads itself and is bound by what it has heard.
func TestHostThatIsCutOffKeepsToWhatTargetsHaveSaid(t *testing.T) {
	w, hosts, _ := startHosts(t, 2)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[1].Noticed(notice.Notice{Target: "t0", Leaving: true})
	hosts[1].Noticed(notice.Notice{Target: "t1", Pause: time.Minute})
	w.setCut(hostAt(1), true)
	awaitLeader(t, hosts[1], hostAt(1))
	_, v := ask(t, hosts[1], broker.Request{})
	assert.Assert(t, v.Refusal != nil && v.Refusal.Cause == "NoTarget", "%v", v)
	assert.Assert(t, v.Refusal.RetryAfter > 50*time.Second, "%s", v.Refusal.RetryAfter)
	// The other side was told before the cut: t0 leaves, t1 is paused for one host.
	for range 4 {
		_, v = ask(t, hosts[0], broker.Request{})
		assert.Equal(t, v.Target, "t1")
	}
}

// In fleets that beat to a few hosts a second, the news that a target leaves took
// some seconds to reach all.
func TestDepartureReachesALargeFleetAtOnce(t *testing.T) {
	const many = 24
	_, hosts, _ := startHosts(t, many)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, err := hosts[5].Status(t.Context())
		if err != nil || len(s.Alive) < many-1 {
			return poll.Continue("%d alive", len(s.Alive))
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.NilError(t, hosts[5].do(t.Context(), func(time.Time) { hosts[5].reading = true }))
	hosts[5].FeedTarget(roster.Target{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("127.0.0.9:1"), Slots: 4, Draining: true, Revision: 2})
	hosts[5].FeedRemoved("t1", 3)
	hosts[5].FeedZone("z", true, 4)
	const prompt = 500 * time.Millisecond // half of a beat's period
	time.Sleep(prompt)
	late := 0
	for _, c := range hosts {
		if v := c.View().Roster; v.Usable("t0") != nil || v.Usable("t1") != nil || !v.Out["z"] {
			late++
		}
	}
	assert.Equal(t, late, 0, "%d of %d hosts do not know yet", late, many)
}

// Any host may lead next, also when the one that was told and the leader are gone at
// once.
func TestLeavingOfATargetIsToldToAllHosts(t *testing.T) {
	_, hosts, kill := startHosts(t, 4)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
		_, v := ask(t, c, broker.Request{}) // the leader has its state
		assert.Assert(t, v.Target != "", "%v", v.Refusal)
	}
	hosts[3].Noticed(notice.Notice{Target: "t0", Leaving: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, c := range hosts {
			if _, may := c.View().MaySend(time.Now(), "t0"); may {
				return poll.Continue("host %d does not know", i)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
	kill(3)
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	_, v := ask(t, hosts[2], broker.Request{})
	assert.Equal(t, v.Target, "t1")
}

// What a target asks of one host binds the next leader's grants to that host.
func TestPauseIsKnownToTheNextLeader(t *testing.T) {
	_, hosts, kill := startHosts(t, 3)
	for _, c := range hosts {
		awaitLeader(t, c, hostAt(0))
	}
	hosts[2].Noticed(notice.Notice{Target: "t0", Pause: time.Minute})
	kill(0)
	awaitLeader(t, hosts[2], hostAt(1))
	for range 4 {
		_, v := ask(t, hosts[2], broker.Request{})
		assert.Equal(t, v.Target, "t1")
	}
	_, v := ask(t, hosts[1], broker.Request{})
	assert.Equal(t, v.Target, "t0", "the other host may send there")
}
