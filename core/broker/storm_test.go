package broker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
)

// Costs of a leader with 0.8 of a core.
const (
	messageCost   = 50 * time.Microsecond // to receive or send one message
	itemCost      = 10 * time.Microsecond // to decode or encode one request, end or decision of it
	workCost      = 80 * time.Nanosecond  // to look at one request or target
	stormDelay    = 1500 * time.Microsecond
	stormTick     = 50 * time.Millisecond
	maxRecoveryIn = 15 * time.Second // after a storm, as the platform asks
)

// stormRoute is one kind of request of a storm.
type stormRoute struct {
	service        string
	class          model.Tier
	rate           float64 // a second
	aim, patience  time.Duration
	prompt, output int
	took           time.Duration // at an idle target
}

// stormRoutes are the requests of a large deployment.
var stormRoutes = []stormRoute{
	{"engine", 0, 438, 800 * time.Millisecond, 6300 * time.Millisecond, 3720, 120, 568 * time.Millisecond},
	{"engine", 1, 200, 800 * time.Millisecond, 4900 * time.Millisecond, 2890, 50, 258 * time.Millisecond},
	{"engine", 2, 663, 600 * time.Millisecond, 6300 * time.Millisecond, 1110, 170, 740 * time.Millisecond},
	{"plain", 0, 325, 200 * time.Millisecond, 2400 * time.Millisecond, 0, 0, 30 * time.Millisecond},
	{"plain", 1, 130, 150 * time.Millisecond, 2400 * time.Millisecond, 0, 0, 30 * time.Millisecond},
}

// stormEvent is something that happens at a time of a storm.
type stormEvent struct {
	at time.Time
	n  int // in the order of scheduling
	do func()
}

type stormEvents []stormEvent

func (e stormEvents) Len() int { return len(e) }
func (e stormEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e stormEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *stormEvents) Push(x any)   { *e = append(*e, x.(stormEvent)) }
func (e *stormEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// stormRequest is one request of a caller.
type stormRequest struct {
	id       uint64
	host     netip.AddrPort
	route    *stormRoute
	arrived  time.Time
	sent     bool
	target   string
	ended    bool
	isRetry  bool
	firstTry time.Time
}

// storm plays a fleet before a leader whose work takes time, and counts what is served.
type storm struct {
	b           *Broker
	roster      *roster.Roster
	random      *rand.Rand
	now         time.Time
	events      stormEvents
	scheduled   int
	hosts       []netip.AddrPort
	requests    map[uint64]*stormRequest
	inbox       []stormMessage // at the leader
	leaderBusy  bool
	pausedUntil time.Time
	rate        float64 // factor of all rates
	speed       float64 // of engines
	nextID      uint64
	revision    uint64
	asked       map[int]int // by second
	inTime      map[int]int
	byRoute     map[*stormRoute][2]int // asked and in time, of the seconds of the storm
	cost        time.Duration
	freeAt      map[string][]time.Time // when each slot of a target is free
	paces       map[netip.AddrPort]*Pace
	outgoing    map[netip.AddrPort][]func(now time.Time) // of hosts, not yet sent
}

// stormMessage is a message that waits for its turn at the leader.
type stormMessage struct {
	at      time.Time
	updates []func(now time.Time)
}

func newStorm(hosts, targets int, rate float64, seed uint64) *storm {
	s := &storm{
		b: New(quota.Tolerance{}, 1), roster: roster.New(), random: rand.New(rand.NewPCG(seed, 0)), now: start, rate: rate,
		requests: map[uint64]*stormRequest{}, asked: map[int]int{}, inTime: map[int]int{}, outgoing: map[netip.AddrPort][]func(time.Time){},
		paces: map[netip.AddrPort]*Pace{}, byRoute: map[*stormRoute][2]int{}, freeAt: map[string][]time.Time{},
	}
	s.b.SetConfig(s.now, (&routes.Config{Version: 1, Services: []routes.Service{
		{Name: "engine", Engine: true, Slots: 4, ColdPerSecond: 8}, {Name: "plain"},
	}}).Index())
	for n := range hosts {
		s.hosts = append(s.hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % 5), byte(n >> 8), byte(n)}), 1))
	}
	for _, host := range s.hosts {
		s.paces[host] = &Pace{}
	}
	for n := range targets {
		s.put(roster.Target{ID: fmt.Sprint("engine-", n), Service: "engine", Slots: 4, Zone: fmt.Sprint("zone-", n%5)})
	}
	for n := range int(6 * rate) {
		s.put(roster.Target{ID: fmt.Sprint("plain-", n), Service: "plain", Slots: 6, Zone: fmt.Sprint("zone-", n%5)})
	}
	s.b.SetRoster(s.now, s.roster.Snapshot())
	for n := range stormRoutes {
		s.at(0, func() { s.arrive(&stormRoutes[n]) })
	}
	s.at(stormTick, s.tick)
	return s
}

func (s *storm) put(t roster.Target) {
	s.revision++
	t.Revision = s.revision
	t.Address = netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(s.revision))
	s.roster.Put(t)
}

func (s *storm) at(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, stormEvent{s.now.Add(d), s.scheduled, do})
}

func (s *storm) run(until time.Duration) {
	for len(s.events) > 0 && !s.events[0].at.After(start.Add(until)) {
		e := heap.Pop(&s.events).(stormEvent)
		s.now = e.at
		e.do()
	}
}

// arrive has a caller send a request, and the next one arrive.
func (s *storm) arrive(r *stormRoute) {
	s.at(time.Duration(s.random.ExpFloat64()/(r.rate*s.rate)*float64(time.Second)), func() { s.arrive(r) })
	s.asked[s.second(s.now)]++
	s.count(r, 0, s.now)
	s.ask(&stormRequest{route: r, firstTry: s.now})
}

func (s *storm) count(r *stormRoute, what int, at time.Time) {
	if second := s.second(at); second >= 4 && second < 9 {
		c := s.byRoute[r]
		c[what]++
		s.byRoute[r] = c
	}
}

func (s *storm) second(at time.Time) int { return int(at.Sub(start) / time.Second) }

func (s *storm) ask(r *stormRequest) {
	s.nextID++
	r.id, r.arrived, r.host = s.nextID, s.now, s.hosts[s.random.IntN(len(s.hosts))]
	if !s.paces[r.host].Admit(s.now, 0, r.route.class) {
		s.retry(r, s.paces[r.host].Lag(s.now))
		return
	}
	s.requests[r.id] = r
	s.toLeader(r.host, func(now time.Time) {
		waited := now.Sub(r.arrived)
		s.b.Submit(now, r.host, s.request(r, waited))
	})
	s.at(r.route.patience, func() { s.giveUp(r) })
}

func (s *storm) request(r *stormRequest, waited time.Duration) Request {
	return Request{
		ID: r.id, Service: r.route.service, Class: r.route.class, StartWithin: r.route.aim - waited, ExpiresIn: r.route.patience - waited,
		PromptTokens: r.route.prompt, OutputTokens: r.route.output, Zone: "zone-0",
	}
}

// giveUp has a caller leave that has no answer.
func (s *storm) giveUp(r *stormRequest) {
	if r.ended || r.target != "" {
		return
	}
	s.end(r)
	s.toLeader(r.host, func(time.Time) { s.b.Cancel(r.host, r.id) })
	s.retry(r, 0)
}

func (s *storm) end(r *stormRequest) {
	r.ended = true
	delete(s.requests, r.id)
}

func (s *storm) retry(r *stormRequest, after time.Duration) {
	if !r.isRetry {
		s.at(after, func() { s.ask(&stormRequest{route: r.route, firstTry: r.firstTry, isRetry: true}) })
	}
}

// decide delivers the leader's decisions, and tells how late they are.
func (s *storm) decide(lag time.Duration) {
	grants, refusals := s.b.TakeDecisions(s.now)
	for _, host := range s.hosts {
		n := len(grants[host]) + len(refusals[host])
		if n == 0 {
			continue
		}
		s.cost += messageCost + time.Duration(n)*itemCost
		s.at(stormDelay, func() {
			s.paces[host].SetLag(s.now, lag)
			for _, g := range grants[host] {
				s.serve(host, g)
			}
			for _, refusal := range refusals[host] {
				if r := s.requests[refusal.ID]; r != nil && r.target == "" {
					s.end(r)
					s.retry(r, refusal.RetryAfter)
				}
			}
		})
	}
}

func (s *storm) complete(host netip.AddrPort, c Completion) {
	s.toLeader(host, func(now time.Time) { s.b.Complete(now, host, c) })
}

// serve runs a granted request, or returns the grant of one whose caller has left.
func (s *storm) serve(host netip.AddrPort, g Grant) {
	r := s.requests[g.ID]
	if r == nil || r.target != "" {
		s.complete(host, Completion{ID: g.ID, Target: g.Target, Outcome: Unused})
		return
	}
	r.target = g.Target
	first := time.Duration(r.route.prompt) * time.Second / 63900
	took := r.route.took
	if r.route.output > 0 {
		took = time.Duration(float64(took) / s.speed)
	}
	if r.route.output == 0 {
		first = took
	}
	wait := s.occupy(g.Target, took)
	first, took = first+wait, took+wait
	if s.now.Add(first).Sub(r.firstTry) <= r.route.aim {
		s.inTime[s.second(r.firstTry)]++
		s.count(r.route, 1, r.firstTry)
	}
	s.at(took+2*stormDelay, func() {
		s.end(r)
		s.complete(host, Completion{ID: g.ID, Target: g.Target, Outcome: Good, Took: took, TimeToFirstPart: first, OutputTokens: r.route.output})
	})
}

// occupy occupies a slot of a target from when one is free, and returns how long that takes.
func (s *storm) occupy(target string, took time.Duration) time.Duration {
	if s.freeAt[target] == nil {
		s.freeAt[target] = make([]time.Time, s.roster.Snapshot().Targets[target].Slots)
	}
	slots := s.freeAt[target]
	next := 0
	for n, at := range slots {
		if at.Before(slots[next]) {
			next = n
		}
	}
	wait := max(slots[next].Sub(s.now), 0)
	slots[next] = s.now.Add(wait + took)
	return wait
}

// toLeader sends an update of a host to the leader.
func (s *storm) toLeader(host netip.AddrPort, update func(now time.Time)) {
	s.outgoing[host] = append(s.outgoing[host], update)
	s.flush(host)
}

func (s *storm) flush(host netip.AddrPort) {
	updates := s.outgoing[host]
	if len(updates) == 0 || !s.paces[host].Take(s.now) {
		return
	}
	delete(s.outgoing, host)
	s.at(stormDelay, func() { s.enqueue(updates...) })
}

func (s *storm) enqueue(updates ...func(now time.Time)) {
	s.inbox = append(s.inbox, stormMessage{s.now, updates})
	s.wake()
}

func (s *storm) tick() {
	s.at(stormTick, s.tick)
	for _, host := range s.hosts {
		s.flush(host)
	}
	s.enqueue(s.b.Tick)
}

// wake has the leader handle a batch of what waits, if it does nothing else.
func (s *storm) wake() {
	if s.leaderBusy || len(s.inbox) == 0 {
		return
	}
	s.leaderBusy = true
	ready := func() { s.leaderBusy = false; s.wake() }
	if pause := s.pausedUntil.Sub(s.now); pause > 0 {
		s.at(pause, ready)
		return
	}
	n := min(len(s.inbox), 65) // as package ring does
	batch := s.inbox[:n]
	s.inbox = s.inbox[n:]
	before := s.b.Work()
	s.cost = 0
	for _, m := range batch {
		s.cost += messageCost + time.Duration(len(m.updates))*itemCost
		for _, update := range m.updates {
			update(s.now)
		}
	}
	lag := s.now.Sub(batch[0].at)
	s.b.SetLag(lag)
	s.decide(lag)
	s.at(s.cost+time.Duration(s.b.Work()-before)*workCost, ready)
}

// strike has a storm of five seconds begin: a burst, engines that turn cold, targets that
// change, hosts that send their whole state, and a leader that stands still for a moment.
func (s *storm) strike(rate float64, targets int) {
	s.rate *= rate
	s.at(5*time.Second, func() { s.rate /= rate })
	for n := range targets / 5 {
		s.at(time.Second+time.Duration(n)*10*time.Millisecond, func() { s.change(n, 3*time.Second) })
	}
	for n := range 100 {
		s.at(time.Duration(n)*100*time.Millisecond, func() { s.change(n%targets, 0) })
	}
	for n, host := range s.hosts {
		if n%3 == 0 {
			s.at(2*time.Second, func() { s.sync(host) })
		}
	}
	s.at(3*time.Second, func() { s.pausedUntil = s.now.Add(time.Second) })
}

func (s *storm) change(n int, cold time.Duration) {
	t := *s.roster.Snapshot().Targets[fmt.Sprint("engine-", n)]
	t.ColdUntil = time.Time{}
	if cold > 0 {
		t.ColdUntil = s.now.Add(cold)
	}
	s.put(t)
	s.enqueue(func(now time.Time) { s.b.SetRoster(now, s.roster.Snapshot()) })
}

// sync has a host send its whole state.
func (s *storm) sync(host netip.AddrPort) {
	s.toLeader(host, func(now time.Time) {
		var running []RunningRequest
		var requests []Request
		for _, r := range s.requests {
			switch {
			case r.host != host:
			case r.target != "":
				running = append(running, RunningRequest{ID: r.id, Target: r.target})
			default:
				requests = append(requests, s.request(r, now.Sub(r.arrived)))
			}
		}
		s.b.Sync(now, host, running, requests)
	})
}

// served returns the share of the requests of some seconds that was answered in time.
func (s *storm) served(from, to int) float64 {
	asked, inTime := 0, 0
	for second := from; second < to; second++ {
		asked += s.asked[second]
		inTime += s.inTime[second]
	}
	return float64(inTime) / float64(asked)
}

// Regression test: the work for each message grew with what waited, so that a leader that had
// fallen behind stayed behind until all hosts were restarted.
func TestFleetRecoversFromAStorm(t *testing.T) {
	const begin = 4 * time.Second
	for _, c := range []struct {
		name           string
		hosts, targets int
		rate, burst    float64
		speed          float64 // of engines
	}{
		{"large fleet", 295, 240, 1, 2, 1},
		{"planned fleet", 320, 600, 3.7, 1.4, 1.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStorm(c.hosts, c.targets, c.rate, 77)
			s.speed = c.speed
			s.run(begin)
			before := s.served(1, 4)
			s.strike(c.burst, c.targets)
			back := begin + 5*time.Second + maxRecoveryIn
			s.run(back + 4*time.Second)
			after := s.served(s.second(start.Add(back)), s.second(start.Add(back))+3)
			for second := range 28 {
				t.Logf("%2d s: %d of %d in time", second, s.inTime[second], s.asked[second])
			}
			for n := range stormRoutes {
				t.Logf("in the storm, %s class %d: %v", stormRoutes[n].service, stormRoutes[n].class, s.byRoute[&stormRoutes[n]])
			}
			t.Logf("%d messages wait, %d requests wait", len(s.inbox), s.b.WaitingCount())
			assert.Assert(t, before >= 0.9, "served in time before the storm %.2f", before)
			assert.Assert(t, after >= 0.9*before, "served in time before the storm %.2f, %s after it %.2f", before, maxRecoveryIn, after)
		})
	}
}
