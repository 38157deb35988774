package coord

import (
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/model"
)

// Decision is the outcome of a submitted request: a target to send it to, or a refusal.
type Decision struct {
	Target  string // id; empty for a refusal
	Refusal *broker.Refusal
}

// grantedRequest is a request that was granted a target and has not ended yet.
type grantedRequest struct {
	target    string
	workspace string
	tokens    float64 // charged to the workspace's allowance by the grant
	parts     model.PromptParts
}

// pendingRequest is a request that waits for its decision.
type pendingRequest struct {
	request   broker.Request
	submitted time.Time
	sent      bool          // to the leader
	decision  chan Decision // buffered, so that delivering the decision never blocks
}

// Submit submits a request and returns its id and the channel on which its
// decision is delivered.
func (c *Coordinator) Submit(r broker.Request) (uint64, <-chan Decision) {
	p := &pendingRequest{request: r, submitted: c.settings.Now(), decision: make(chan Decision, 1)}
	id := make(chan uint64, 1)
	c.post(func(now time.Time) {
		c.nextID++
		p.request.ID = c.nextID
		switch {
		case c.localSelector != nil:
			c.chooseTarget(p)
		case !p.request.InProgress() && !c.pace.Admit(now, p.request.Tier, p.request.Class):
			p.decision <- Decision{Refusal: c.pace.Refusal(now, p.request.ID)}
		default:
			c.returns.Remove(p.request.Content)
			c.pending[p.request.ID] = p
			c.unsent = append(c.unsent, p.request.ID)
		}
		id <- p.request.ID
	})
	select {
	case n := <-id:
		return n, p.decision
	case <-c.events.Done():
		p.decision <- Decision{Refusal: &broker.Refusal{Cause: "Stopping"}}
		return 0, p.decision
	}
}

// chooseTarget decides on a request with the local policy, without a leader.
func (c *Coordinator) chooseTarget(p *pendingRequest) {
	var ids []string
	for _, t := range c.roster.Snapshot().ForService(p.request.Service) {
		if !slices.Contains(p.request.ExcludedTargets, t.ID) && !c.restrictions.Forbids(c.settings.Now(), t) {
			ids = append(ids, t.ID)
		}
	}
	target := c.localSelector.Choose(p.request.Service, ids)
	if target == "" {
		p.decision <- Decision{Refusal: &broker.Refusal{ID: p.request.ID, Cause: "NoTarget"}}
		return
	}
	c.running[p.request.ID] = grantedRequest{target: target}
	p.decision <- Decision{Target: target}
}

// Cancel cancels a waiting request. If it was granted meanwhile, the grant is returned
// unused.
func (c *Coordinator) Cancel(id uint64) {
	c.post(func(now time.Time) {
		if p := c.pending[id]; p != nil {
			delete(c.pending, id)
			if p.sent {
				c.outgoing.Cancellations = append(c.outgoing.Cancellations, id)
			}
			return
		}
		if g, ok := c.running[id]; ok {
			c.finish(now, broker.Completion{ID: id, Target: g.target, Outcome: broker.Unused})
		}
	})
}

// ReportCompletion reports how a granted request ended.
func (c *Coordinator) ReportCompletion(completion broker.Completion) {
	c.post(func(now time.Time) { c.finish(now, completion) })
}

// ReportBrokenRun reports a request that ended without a complete response, possibly
// because its target crashed.
func (c *Coordinator) ReportBrokenRun(run broker.BrokenRun) {
	c.post(func(now time.Time) { c.broker.ReportBrokenRun(now, run) })
}

// finish ends a granted request and reports that to the leader.
func (c *Coordinator) finish(now time.Time, completion broker.Completion) {
	g, ok := c.running[completion.ID]
	if !ok {
		return
	}
	delete(c.running, completion.ID)
	if c.localSelector != nil {
		c.localSelector.Done(g.target)
		return
	}
	if completion.Outcome.NotRun() && g.tokens > 0 {
		c.usage.Add(now, g.workspace, -g.tokens)
	}
	c.outgoing.Completions = append(c.outgoing.Completions, completion)
}
