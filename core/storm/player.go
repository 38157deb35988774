package storm

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
)

const (
	zones       = 5
	engineSlots = 4
	plainSlots  = 6
	// plainPerRate is the number of plain targets at a rate of one.
	plainPerRate = 6
)

// start is when each play begins.
var start = time.Unix(1_700_000_000, 0)

// request is one request of a caller.
type request struct {
	id       uint64
	host     netip.AddrPort
	route    int
	arrived  time.Time
	firstTry time.Time
	target   string // once it was sent to one
	isRetry  bool
	ended    bool
}

// player plays callers, hosts, targets and the leader.
type player struct {
	config    Config
	broker    *broker.Broker
	roster    *roster.Roster
	random    *rand.Rand
	now       time.Time
	events    events
	scheduled int
	rate      float64
	hosts     []netip.AddrPort
	paces     map[netip.AddrPort]*broker.Pace
	outgoing  map[netip.AddrPort][]func(now time.Time) // of hosts, not yet sent
	requests  map[uint64]*request
	nextID    uint64
	revision  uint64
	freeAt    map[string][]time.Time // when each slot of a target is free
	leader
	result Result
}

func newPlayer(c Config) *player {
	p := &player{
		config: c, broker: broker.New(quota.Tolerance{}, 1), roster: roster.New(), random: rand.New(rand.NewPCG(c.Seed, 0)), now: start, rate: c.Rate,
		paces: map[netip.AddrPort]*broker.Pace{}, outgoing: map[netip.AddrPort][]func(time.Time){}, requests: map[uint64]*request{},
		freeAt: map[string][]time.Time{},
	}
	p.broker.SetConfig(p.now, (&routes.Config{Version: 1, Services: []routes.Service{
		{Name: "engine", Engine: true, Slots: engineSlots, ColdPerSecond: 8}, {Name: "plain"},
	}}).Index())
	for n := range c.Hosts {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % zones), byte(n >> 8), byte(n)}), 1)
		p.hosts, p.paces[host] = append(p.hosts, host), &broker.Pace{}
	}
	for n := range c.Engines {
		p.put(roster.Target{ID: engineID(n), Service: "engine", Slots: engineSlots, Zone: fmt.Sprint("zone-", n%zones)})
	}
	for n := range int(plainPerRate * c.Rate) {
		p.put(roster.Target{ID: fmt.Sprint("plain-", n), Service: "plain", Slots: plainSlots, Zone: fmt.Sprint("zone-", n%zones)})
	}
	p.broker.SetRoster(p.now, p.roster.Snapshot())
	for n := range Routes {
		p.at(0, func() { p.arrive(n) })
	}
	p.at(tickPeriod, p.tick)
	return p
}

func engineID(n int) string { return fmt.Sprint("engine-", n) }

func (p *player) put(t roster.Target) {
	p.revision++
	t.Revision = p.revision
	t.Address = netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(p.revision))
	p.roster.Put(t)
}

func (p *player) at(d time.Duration, do func()) {
	p.scheduled++
	heap.Push(&p.events, event{p.now.Add(d), p.scheduled, do})
}

// arrive has a caller send a request, and the next one arrive.
func (p *player) arrive(route int) {
	p.at(time.Duration(p.random.ExpFloat64()/(Routes[route].rate*p.rate)*float64(time.Second)), func() { p.arrive(route) })
	p.count(route, p.now, Count{Asked: 1})
	p.ask(&request{route: route, firstTry: p.now})
}

// count adds to what was asked at a time.
func (p *player) count(route int, at time.Time, c Count) {
	add := func(sum *Count) { sum.Asked, sum.InTime = sum.Asked+c.Asked, sum.InTime+c.InTime }
	since := at.Sub(start)
	add(&p.result.Seconds[int(since/time.Second)])
	if since >= Calm && since < Calm+Length {
		add(&p.result.InStorm[route])
	}
}

// ask has a caller send a request to a host, which asks the leader for a target.
func (p *player) ask(r *request) {
	p.nextID++
	r.id, r.arrived, r.host = p.nextID, p.now, p.hosts[p.random.IntN(len(p.hosts))]
	route := &Routes[r.route]
	if pace := p.paces[r.host]; !pace.Admit(p.now, 0, route.Class) {
		p.retry(r, pace.Refusal(p.now, r.id).RetryAfter)
		return
	}
	p.requests[r.id] = r
	p.toLeader(r.host, func(now time.Time) { p.broker.Submit(now, r.host, p.brokerRequest(r, now)) })
	p.at(route.patience, func() { p.giveUp(r) })
}

func (p *player) brokerRequest(r *request, now time.Time) broker.Request {
	route, waited := &Routes[r.route], now.Sub(r.arrived)
	return broker.Request{
		ID: r.id, Service: route.Service, Class: route.Class, StartWithin: route.aim - waited, ExpiresIn: route.patience - waited,
		PromptTokens: route.prompt, OutputTokens: route.output, Zone: "zone-0",
	}
}

// giveUp has a caller leave that has no answer.
func (p *player) giveUp(r *request) {
	if r.ended || r.target != "" {
		return
	}
	p.end(r)
	p.toLeader(r.host, func(time.Time) { p.broker.Cancel(r.host, r.id) })
	p.retry(r, 0)
}

func (p *player) end(r *request) {
	r.ended = true
	delete(p.requests, r.id)
}

// retry has a caller try again, once.
func (p *player) retry(r *request, after time.Duration) {
	if !r.isRetry {
		p.at(after, func() { p.ask(&request{route: r.route, firstTry: r.firstTry, isRetry: true}) })
	}
}

// serve runs a granted request, or returns the grant of one whose caller has left.
func (p *player) serve(host netip.AddrPort, g broker.Grant) {
	r := p.requests[g.ID]
	if r == nil || r.target != "" {
		p.complete(host, broker.Completion{ID: g.ID, Target: g.Target, Outcome: broker.Unused})
		return
	}
	r.target = g.Target
	route := &Routes[r.route]
	first, took := route.took, route.took
	if route.output > 0 {
		first = time.Duration(float64(route.prompt) / promptTokensPerMs * float64(time.Millisecond))
		took = time.Duration(float64(took) / p.config.Speed)
	}
	wait := p.occupy(g.Target, took)
	first, took = first+wait, took+wait
	if p.now.Add(first).Sub(r.firstTry) <= route.aim {
		p.count(r.route, r.firstTry, Count{InTime: 1})
	}
	p.at(took+2*networkDelay, func() {
		p.end(r)
		p.complete(host, broker.Completion{ID: g.ID, Target: g.Target, Outcome: broker.Good, Took: took, TimeToFirstPart: first, OutputTokens: route.output})
	})
}

// occupy occupies a slot of a target from when one is free, and returns how long that takes.
func (p *player) occupy(target string, took time.Duration) time.Duration {
	if p.freeAt[target] == nil {
		p.freeAt[target] = make([]time.Time, p.roster.Snapshot().Targets[target].Slots)
	}
	slots := p.freeAt[target]
	next := 0
	for n, at := range slots {
		if at.Before(slots[next]) {
			next = n
		}
	}
	wait := max(slots[next].Sub(p.now), 0)
	slots[next] = p.now.Add(wait + took)
	return wait
}

func (p *player) complete(host netip.AddrPort, c broker.Completion) {
	p.toLeader(host, func(now time.Time) { p.broker.Complete(now, host, c) })
}

// toLeader has a host send an update to the leader, as soon as its pace allows.
func (p *player) toLeader(host netip.AddrPort, update func(now time.Time)) {
	p.outgoing[host] = append(p.outgoing[host], update)
	p.flush(host)
}

func (p *player) flush(host netip.AddrPort) {
	updates := p.outgoing[host]
	if len(updates) == 0 || !p.paces[host].Take(p.now) {
		return
	}
	delete(p.outgoing, host)
	p.at(networkDelay, func() { p.enqueue(updates...) })
}

func (p *player) tick() {
	p.at(tickPeriod, p.tick)
	for _, host := range p.hosts {
		p.flush(host)
	}
	p.enqueue(p.broker.Tick)
}
