package permit

import (
	"time"

	"yuccadoor/core/model"
	"yuccadoor/core/queue"
)

// waitingAsk is an ask in a manager's queue.
type waitingAsk struct {
	Ask
	deadline time.Time
	useful   time.Time // zero when the request has no objective, or is late
}

// lanes is the number of ranks of each tier: asks that can still meet their
// objective go before those of their tier that no longer can. Otherwise, under
// more load than can be served, each request would start just too late.
const lanes = 2

// clampTier keeps a tier within the catalog's: a holder may have read another
// text.
func (m *Manager) clampTier(t model.Tier) model.Tier {
	return min(t, model.Tier(max(len(m.view.Catalog.Tiers), 1)-1))
}

func (g *managed) enqueue(now time.Time, k holderKey, a Ask) {
	w := waitingAsk{Ask: a, deadline: now.Add(a.Patience)}
	if a.Useful > late {
		w.useful = now.Add(a.Useful)
	}
	rank := queue.Rank{Tier: a.Tier * lanes, Workspace: a.Workspace, Deadline: w.deadline}
	switch {
	case !w.useful.IsZero():
		rank.Deadline = w.useful
	case a.Useful > 0:
		rank.Tier++
	}
	g.asks.Add(k, rank, w)
}

// demote moves an ask that has become too late for its objective.
func (g *managed) demote(now time.Time, k holderKey, w waitingAsk) {
	a := w.Ask
	a.Patience, a.Useful = w.deadline.Sub(now), late
	g.enqueue(now, k, a)
}

// serve grants permits for one target while it has free slots.
func (m *Manager) serve(now time.Time, g *managed) {
	if g.asks.Len() == 0 || !m.ready(now, g) {
		return
	}
	slots := m.slots(g)
	for len(g.running) < slots {
		k, w, ok := g.asks.Best(func(w string) float64 { return m.use(g, w) })
		if !ok {
			return
		}
		if !w.useful.IsZero() && !now.Before(w.useful) {
			g.demote(now, k, w)
			continue
		}
		g.asks.Remove(k)
		m.grant(g, k, w.Ask)
	}
}

// ready reports whether a target may be granted now.
func (m *Manager) ready(now time.Time, g *managed) bool {
	if !g.settled && now.Before(g.waitTil) {
		return false
	}
	return !now.Before(g.downTil) && m.view.Usable(g.target.Address)
}

// slots is the number of permits that may be out for a target. While hosts of
// the zone are out of reach, another manager may be granting for the same
// target: then the parts of a cold target's limit must not add up to more than
// the whole. While hosts have not said what they hold, all that the target
// reports counts as theirs, and only this host's part of the rest is granted,
// since another manager may have read the same report.
func (m *Manager) slots(g *managed) int {
	whole := g.warmth.Slots()
	slots := whole
	if g.warmth.Cold() {
		slots = m.view.ScaleSlots(g.target.Address, whole)
	}
	if g.probing {
		slots = min(1, slots)
	}
	if g.settled {
		return slots
	}
	if g.reported == unreported {
		return 0
	}
	return min(slots, m.view.ScaleSlots(g.target.Address, max(0, whole-g.reported)))
}

// use is a workspace's running work on a target divided by its share.
func (m *Manager) use(g *managed, workspace string) float64 {
	share := 1
	if w := m.view.Catalog.Workspaces[workspace]; w != nil {
		share = w.Share
	}
	return float64(g.byWork[workspace]) / float64(share)
}

func (m *Manager) grant(g *managed, k holderKey, a Ask) {
	p := m.peer(k.holder)
	g.start(k, outstanding{workspace: a.Workspace, seq: p.seq + 1, era: g.era})
	p.pending = true
	p.out.Grants = append(p.out.Grants, Grant{Ticket: a.Ticket, Target: a.Target})
}
