package permit

import (
	"time"

	"yuccadoor/core/model"
	"yuccadoor/core/queue"
)

// waitingAsk is an ask in the queue of a managed target.
type waitingAsk struct {
	Ask
	deadline time.Time
	startBy  time.Time // latest start that meets the objective; zero without one or if missed
}

// ranksPerTier is the number of queue ranks per tier. Asks that can still meet their
// objective are ranked before asks of the same tier that no longer can. Otherwise,
// under overload, every request would start just too late.
const ranksPerTier = 2

// clampTier limits a tier to those in the catalog, since a holder may use another
// revision of the configuration.
func (m *Manager) clampTier(t model.Tier) model.Tier {
	return min(t, model.Tier(max(len(m.view.Catalog.Tiers), 1)-1))
}

// enqueue queues an ask, ranked by whether it can still meet its objective.
func (g *managedTarget) enqueue(now time.Time, k holderKey, a Ask) {
	w := waitingAsk{Ask: a, deadline: now.Add(a.Patience)}
	if a.Useful > objectiveMissed {
		w.startBy = now.Add(a.Useful)
	}
	rank := queue.Rank{Tier: a.Tier * ranksPerTier, Workspace: a.Workspace, Deadline: w.deadline}
	switch {
	case !w.startBy.IsZero():
		rank.Deadline = w.startBy
	case a.Useful > 0:
		rank.Tier++
	}
	g.asks.Add(k, rank, w)
}

// demote moves an ask that can no longer meet its objective to the lower rank of its
// tier.
func (g *managedTarget) demote(now time.Time, k holderKey, w waitingAsk) {
	a := w.Ask
	a.Patience, a.Useful = w.deadline.Sub(now), objectiveMissed
	g.enqueue(now, k, a)
}

// grantFreeSlots grants permits to the queued asks of a target while it has free slots.
func (m *Manager) grantFreeSlots(now time.Time, g *managedTarget) {
	if g.asks.Len() == 0 || !m.mayGrant(now, g) {
		return
	}
	slots := m.permitLimit(g)
	for len(g.running) < slots {
		k, w, ok := g.asks.Best(func(w string) float64 { return m.usagePerShare(g, w) })
		if !ok {
			return
		}
		if !w.startBy.IsZero() && !now.Before(w.startBy) {
			g.demote(now, k, w)
			continue
		}
		g.asks.Remove(k)
		m.grant(g, k, w.Ask)
	}
}

// mayGrant reports whether permits for a target may be granted now.
func (m *Manager) mayGrant(now time.Time, g *managedTarget) bool {
	if !g.takeoverDone && now.Before(g.takeoverDeadline) {
		return false
	}
	return !now.Before(g.downUntil) && m.view.Usable(g.target.Address)
}

// permitLimit returns the number of permits that this manager may have issued for a
// target at a time. While hosts of the zone are unreachable, another manager may grant
// permits for the same target, so the limit of a cold target is divided between them.
// While some hosts have not answered the claim, all requests in the target's load
// report are assumed to be theirs, and this manager may grant only its part of the
// remaining slots, since another manager may have read the same report.
func (m *Manager) permitLimit(g *managedTarget) int {
	fullLimit := g.limiter.Slots()
	slots := fullLimit
	if g.limiter.Cold() {
		slots = m.view.ScaleSlots(g.target.Address, fullLimit)
	}
	if g.probing {
		slots = min(1, slots)
	}
	if g.takeoverDone {
		return slots
	}
	if g.reportedRunning == noReport {
		return 0
	}
	return min(slots, m.view.ScaleSlots(g.target.Address, max(0, fullLimit-g.reportedRunning)))
}

// usagePerShare returns the number of a workspace's requests that run on a target,
// divided by the workspace's share.
func (m *Manager) usagePerShare(g *managedTarget, workspace string) float64 {
	share := 1
	if w := m.view.Catalog.Workspaces[workspace]; w != nil {
		share = w.Share
	}
	return float64(g.runningByWorkspace[workspace]) / float64(share)
}

func (m *Manager) grant(g *managedTarget, k holderKey, a Ask) {
	l := m.linkTo(k.holder)
	g.addRunning(k, issuedPermit{workspace: a.Workspace, seq: l.sentSeq + 1, generation: g.generation})
	l.pending = true
	l.outbox.Grants = append(l.outbox.Grants, Grant{Ticket: a.Ticket, Target: a.Target})
}
