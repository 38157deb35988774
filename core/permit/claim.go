package permit

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// takeOver starts the takeover of a target by sending a claim to every host that may
// hold permits for it.
func (m *Manager) takeOver(now time.Time, g *managedTarget) {
	m.lastClaim++
	g.claimNumber = m.lastClaim
	g.answered = map[netip.AddrPort]bool{}
	g.reportedRunning = noReport
	g.takeoverDeadline = now.Add(takeoverTimeout)
	g.reportsValidFrom = now.Add(detectionSkew + maxReportAge)
	m.sendClaims(now, g)
}

// sendClaims sends the claim to the live hosts that have not answered it.
func (m *Manager) sendClaims(now time.Time, g *managedTarget) {
	g.claimSentAt = now
	m.sendClaimTo(g, m.view.Self)
	for _, a := range m.view.AlivePeers() {
		m.sendClaimTo(g, a)
	}
}

func (m *Manager) sendClaimTo(g *managedTarget, host netip.AddrPort) {
	if g.answered[host] {
		return
	}
	l := m.linkTo(host)
	l.pending = true
	l.outbox.Claims = slices.DeleteFunc(l.outbox.Claims, func(c Claim) bool { return c.Target == g.target.Address })
	l.outbox.Claims = append(l.outbox.Claims, Claim{Target: g.target.Address, Number: g.claimNumber})
}

// finishTakeover ends a takeover once every listed host has answered the claim.
func (m *Manager) finishTakeover(g *managedTarget) {
	if g.takeoverDone || !g.answered[m.view.Self] {
		return
	}
	for _, h := range m.view.List.Hosts {
		if !g.answered[h.Peer] {
			return
		}
	}
	g.takeoverDone, g.answered = true, nil
}

// distrustHolder stops counting the permits of a holder that has been unreachable for
// holderGrace. The holder may have crashed, or may be partitioned while its requests
// still run. Until it answers a new claim or is no longer listed, its requests are
// counted from the targets' load reports instead.
func (m *Manager) distrustHolder(now time.Time, holder netip.AddrPort) {
	for _, g := range m.targets {
		if !g.takeoverDone || !g.hasPermitsOf(holder) {
			continue
		}
		m.lastClaim++
		g.claimNumber = m.lastClaim
		g.takeoverDone = false
		g.answered = map[netip.AddrPort]bool{m.view.Self: true}
		for _, h := range m.view.List.Hosts {
			g.answered[h.Peer] = h.Peer != holder
		}
		g.claimSentAt, g.reportedRunning = now, noReport
	}
	m.dropPermits(holder)
}

// hasPermitsOf reports whether a holder has permits for the target.
func (g *managedTarget) hasPermitsOf(holder netip.AddrPort) bool {
	for k := range g.running {
		if k.holder == holder {
			return true
		}
	}
	return false
}

// handleAccepted handles a holder's answers to claims and its handovers.
func (m *Manager) handleAccepted(holder netip.AddrPort, in FromHolder) {
	for _, c := range in.Accepted {
		g := m.targets[c.Target]
		if g != nil && !g.takeoverDone && g.claimNumber == c.Number {
			g.answered[holder] = true
			m.finishTakeover(g)
		}
	}
	for _, s := range in.Known {
		if g := m.targets[s.Target]; g != nil && s.Incarnation != 0 {
			g.handover = s
			g.restoreLimit()
		}
	}
}

// Supersede stops managing a target that another host manages according to a newer
// host list than the one that this host has read. If an even newer list returns the
// target to this host, it starts a new takeover, since other hosts may have granted
// permits in the meantime.
func (m *Manager) Supersede(target netip.AddrPort, revision model.Revision) {
	if revision <= m.view.List.Revision {
		return
	}
	m.supersededBy[target] = max(m.supersededBy[target], revision)
	if g := m.targets[target]; g != nil {
		m.dropTarget(target, g)
		m.targetOrder = slices.DeleteFunc(m.targetOrder, func(a netip.AddrPort) bool { return a == target })
	}
}

// Handover returns the state of a target that this host manages or used to manage, for
// the target's new manager.
func (m *Manager) Handover(target netip.AddrPort) (HandoverState, bool) {
	if g := m.targets[target]; g != nil && g.takeoverDone {
		return HandoverState{Target: target, Slots: g.limiter.Slots(), Incarnation: g.incarnation}, true
	}
	s, ok := m.formerTargets[target]
	return s, ok
}
