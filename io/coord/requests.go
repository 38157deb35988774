package coord

import (
	"slices"
	"time"

	"yuccadoor/core/broker"
)

// Verdict is the decision on a request: a target, or a refusal.
type Verdict struct {
	Target  string // id; empty for a refusal
	Refusal *broker.Refusal
}

// granted is a request that may run.
type granted struct {
	target    string
	workspace string
	tokens    float64 // that the grant used of the workspace's allowance
}

type pending struct {
	ask     broker.Request
	asked   time.Time
	sent    bool
	verdict chan Verdict
}

// Submit hands in a request and returns its number and where its verdict will
// come.
func (c *Coord) Submit(a broker.Request) (uint64, <-chan Verdict) {
	p := &pending{ask: a, asked: c.settings.Now(), verdict: make(chan Verdict, 1)}
	id := make(chan uint64, 1)
	c.post(func(time.Time) {
		c.nextID++
		p.ask.ID = c.nextID
		if c.spread != nil {
			c.choose(p)
		} else {
			c.pending[p.ask.ID] = p
			c.fresh = append(c.fresh, p.ask.ID)
		}
		id <- p.ask.ID
	})
	select {
	case n := <-id:
		return n, p.verdict
	case <-c.calls.Done():
		p.verdict <- Verdict{Refusal: &broker.Refusal{Cause: "Stopping"}}
		return 0, p.verdict
	}
}

// choose decides on a request without asking anyone.
func (c *Coord) choose(p *pending) {
	var ids []string
	for _, t := range c.roster.Snapshot().Of(p.ask.Service) {
		if !slices.Contains(p.ask.ExcludedTargets, t.ID) && !c.bound.Forbids(c.settings.Now(), t) {
			ids = append(ids, t.ID)
		}
	}
	target := c.spread.Choose(p.ask.Service, ids)
	if target == "" {
		p.verdict <- Verdict{Refusal: &broker.Refusal{ID: p.ask.ID, Cause: "NoTarget"}}
		return
	}
	c.running[p.ask.ID] = granted{target: target}
	p.verdict <- Verdict{Target: target}
}

// Cancel drops a request that waits. If it was granted meanwhile, the grant is
// given back.
func (c *Coord) Cancel(id uint64) {
	c.post(func(now time.Time) {
		if p := c.pending[id]; p != nil {
			delete(c.pending, id)
			if p.sent {
				c.out.Cancels = append(c.out.Cancels, id)
			}
			return
		}
		if g, ok := c.running[id]; ok {
			c.finish(now, broker.Completion{ID: id, Target: g.target, Outcome: broker.Unused})
		}
	})
}

// Done reports how a granted request ended.
func (c *Coord) Done(d broker.Completion) {
	c.post(func(now time.Time) { c.finish(now, d) })
}

// Broke reports a run that ended without its answer.
func (c *Coord) Broke(k broker.BrokenRun) {
	c.post(func(now time.Time) { c.broker.ReportBrokenRun(now, k) })
}

func (c *Coord) finish(now time.Time, d broker.Completion) {
	g, ok := c.running[d.ID]
	if !ok {
		return
	}
	delete(c.running, d.ID)
	if c.spread != nil {
		c.spread.Done(g.target)
		return
	}
	if d.Outcome.NotRun() && g.tokens > 0 {
		c.usage.Add(now, g.workspace, -g.tokens)
	}
	c.out.Dones = append(c.out.Dones, d)
}
