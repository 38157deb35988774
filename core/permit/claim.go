package permit

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// takeOver sends a claim to every host that may hold permits.
func (m *Manager) takeOver(now time.Time, g *managed) {
	m.claims++
	g.claim = m.claims
	g.answered = map[netip.AddrPort]bool{}
	g.reported = unreported
	g.waitTil = now.Add(takeoverWait)
	g.trustAt = now.Add(noticeSkew + reportLag)
	m.sendClaim(now, g)
}

// sendClaim asks the hosts that are alive and have not answered.
func (m *Manager) sendClaim(now time.Time, g *managed) {
	g.askedAt = now
	m.claimFrom(g, m.view.Self)
	for _, a := range m.view.AlivePeers() {
		m.claimFrom(g, a)
	}
}

func (m *Manager) claimFrom(g *managed, host netip.AddrPort) {
	if g.answered[host] {
		return
	}
	p := m.peer(host)
	p.pending = true
	p.out.Claims = slices.DeleteFunc(p.out.Claims, func(c Claim) bool { return c.Target == g.target.Address })
	p.out.Claims = append(p.out.Claims, Claim{Target: g.target.Address, Number: g.claim})
}

// settle ends a take-over when every listed host has answered.
func (m *Manager) settle(g *managed) {
	if g.settled || !g.answered[m.view.Self] {
		return
	}
	for _, h := range m.view.List.Hosts {
		if !g.answered[h.Peer] {
			return
		}
	}
	g.settled, g.answered = true, nil
}

// doubt gives up counting the permits of a holder long out of reach. It may be
// dead, or cut off with its requests still running, so that from now on the
// targets' reports count until the holder answers or is no longer listed.
func (m *Manager) doubt(now time.Time, holder netip.AddrPort) {
	for _, g := range m.targets {
		if !g.settled || !g.runs(holder) {
			continue
		}
		m.claims++
		g.claim = m.claims
		g.settled = false
		g.answered = map[netip.AddrPort]bool{m.view.Self: true}
		for _, h := range m.view.List.Hosts {
			g.answered[h.Peer] = h.Peer != holder
		}
		g.askedAt, g.reported = now, unreported
	}
	m.dropHoldings(holder)
}

func (g *managed) runs(holder netip.AddrPort) bool {
	for k := range g.running {
		if k.holder == holder {
			return true
		}
	}
	return false
}

func (m *Manager) accepted(holder netip.AddrPort, in FromHolder) {
	for _, c := range in.Accepted {
		g := m.targets[c.Target]
		if g != nil && !g.settled && g.claim == c.Number {
			g.answered[holder] = true
			m.settle(g)
		}
	}
	for _, k := range in.Known {
		if g := m.targets[k.Target]; g != nil && k.Incarnation != 0 {
			g.known = k
			g.restore()
		}
	}
}

// Supersede gives up a target that another host manages by a newer list than
// this host has read. Should this host manage it again by a still newer one, it
// takes it over anew, since others have granted in between.
func (m *Manager) Supersede(target netip.AddrPort, revision model.Revision) {
	if revision <= m.view.List.Revision {
		return
	}
	m.superseded[target] = max(m.superseded[target], revision)
	if g := m.targets[target]; g != nil {
		m.dropTarget(target, g)
		m.order = slices.DeleteFunc(m.order, func(a netip.AddrPort) bool { return a == target })
	}
}

// Handover tells a successor what this host has learnt of a target that it manages
// or used to manage.
func (m *Manager) Handover(target netip.AddrPort) (HandoverState, bool) {
	if g := m.targets[target]; g != nil && g.settled {
		return HandoverState{Target: target, Slots: g.warmth.Slots(), Incarnation: g.incarnation}, true
	}
	k, ok := m.retired[target]
	return k, ok
}
