package storm

import (
	"net/netip"
	"time"

	"yuccadoor/core/broker"
)

// The faults of a storm.
const (
	coldShare      = 5 // one in so many engines turns cold
	coldTime       = 3 * time.Second
	coldAt         = time.Second
	coldSpacing    = 10 * time.Millisecond
	changes        = 100 // of published targets
	changeSpacing  = 100 * time.Millisecond
	syncShare      = 3 // one in so many hosts sends its whole state
	syncAt         = 2 * time.Second
	pauseAt, pause = 3 * time.Second, time.Second // of the leader
)

// leader is the state of the leader beside its broker.
type leader struct {
	inbox       []message
	busy        bool
	pausedUntil time.Time
}

// message is a message that waits for its turn at the leader.
type message struct {
	at      time.Time
	updates []func(now time.Time)
}

func (p *player) enqueue(updates ...func(now time.Time)) {
	p.inbox = append(p.inbox, message{p.now, updates})
	p.wake()
}

// wake has the leader handle a batch of what waits, if it does nothing else.
func (p *player) wake() {
	if p.busy || len(p.inbox) == 0 {
		return
	}
	p.busy = true
	ready := func() { p.busy = false; p.wake() }
	if left := p.pausedUntil.Sub(p.now); left > 0 {
		p.at(left, ready)
		return
	}
	n := min(len(p.inbox), maxBatch)
	batch := p.inbox[:n]
	p.inbox = p.inbox[n:]
	before, cost := p.broker.Work(), time.Duration(0)
	for _, m := range batch {
		cost += messageCost + time.Duration(len(m.updates))*itemCost
		for _, update := range m.updates {
			update(p.now)
		}
	}
	lag := p.now.Sub(batch[0].at)
	p.broker.SetLag(lag)
	cost += p.decide(lag)
	p.at(cost+time.Duration(p.broker.Work()-before)*workCost, ready)
}

// decide delivers the leader's decisions, and tells how late they are. It returns their cost.
func (p *player) decide(lag time.Duration) (cost time.Duration) {
	grants, refusals := p.broker.TakeDecisions(p.now)
	for _, host := range p.hosts {
		n := len(grants[host]) + len(refusals[host])
		if n == 0 {
			continue
		}
		cost += messageCost + time.Duration(n)*itemCost
		p.at(networkDelay, func() { p.deliver(host, grants[host], refusals[host], lag) })
	}
	return cost
}

func (p *player) deliver(host netip.AddrPort, grants []broker.Grant, refusals []broker.Refusal, lag time.Duration) {
	p.paces[host].SetLag(p.now, lag)
	for _, g := range grants {
		p.serve(host, g)
	}
	for _, refusal := range refusals {
		if r := p.requests[refusal.ID]; r != nil && r.target == "" {
			p.end(r)
			p.retry(r, refusal.RetryAfter)
		}
	}
}

// strike has the storm begin: a burst, engines that turn cold, targets that change, hosts that
// send their whole state, and a leader that stands still for a moment.
func (p *player) strike(c Config) {
	p.rate *= c.Burst
	p.at(Length, func() { p.rate /= c.Burst })
	for n := range c.Engines / coldShare {
		p.at(coldAt+time.Duration(n)*coldSpacing, func() { p.change(n, coldTime) })
	}
	for n := range changes {
		p.at(time.Duration(n)*changeSpacing, func() { p.change(n%c.Engines, 0) })
	}
	for n, host := range p.hosts {
		if n%syncShare == 0 {
			p.at(syncAt, func() { p.toLeader(host, func(now time.Time) { p.sync(now, host) }) })
		}
	}
	p.at(pauseAt, func() { p.pausedUntil = p.now.Add(pause) })
}

// change publishes a changed entry of an engine, which is cold for a time.
func (p *player) change(n int, cold time.Duration) {
	t := *p.roster.Snapshot().Targets[engineID(n)]
	t.ColdUntil = time.Time{}
	if cold > 0 {
		t.ColdUntil = p.now.Add(cold)
	}
	p.put(t)
	p.enqueue(func(now time.Time) { p.broker.SetRoster(now, p.roster.Snapshot()) })
}

// sync replaces what the leader knows of a host by its whole state.
func (p *player) sync(now time.Time, host netip.AddrPort) {
	var running []broker.RunningRequest
	var waiting []broker.Request
	for id := uint64(1); id <= p.nextID; id++ {
		r := p.requests[id]
		switch {
		case r == nil || r.host != host:
		case r.target != "":
			running = append(running, broker.RunningRequest{ID: id, Target: r.target})
		default:
			waiting = append(waiting, p.brokerRequest(r, now))
		}
	}
	p.broker.Sync(now, host, running, waiting)
}
