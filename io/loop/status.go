package loop

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
)

// Status is the status of a host, for operators.
type Status struct {
	Host             netip.AddrPort
	Zone             string
	Incarnation      model.Incarnation
	Ready            bool
	ConfigRevision   model.Revision
	RejectedRevision model.Revision
	Findings         string `json:",omitempty"`
	ListRevision     model.Revision
	PeersAlive       []netip.AddrPort
	PeersListed      int
	ZonesOut         []string
	Waiting          map[string]int // requests by tier name
	Running          int
	Keys             int
	Targets          []permit.TargetLoad // targets that this host manages
	EventsRefused    uint64
}

// Status returns the last published status.
func (l *Loop) Status() Status { return *l.status.Load() }

// publishStatus publishes the current status.
func (l *Loop) publishStatus(now time.Time) {
	s := Status{
		Host: l.settings.Self, Zone: l.settings.Zone, Incarnation: l.settings.Incarnation,
		Ready:          l.isReady(now),
		ConfigRevision: l.config.revision, RejectedRevision: l.config.rejectedRevision, Findings: l.config.findings,
		ListRevision: l.list.Revision, PeersListed: len(l.list.Hosts),
		PeersAlive: slices.SortedFunc(maps.Keys(l.alive), netip.AddrPort.Compare),
		Waiting:    map[string]int{},
		Running:    l.sched.Running(), Keys: l.keys.Len(),
		EventsRefused: l.events.Refused(),
	}
	if c := l.config.catalog; c != nil {
		for t, n := range l.sched.WaitingByTier() {
			s.Waiting[c.TierName(t)] = n
		}
		s.ZonesOut = c.ZonesOut()
		s.Targets = l.manager.Loads(now)
	}
	l.status.Store(&s)
}

// maxPeerWait is how long a starting host waits for a reply from a peer before it
// becomes ready without one.
const maxPeerWait = 3 * time.Second

// isReady reports whether the host may serve requests. It needs a configuration and a
// host list. Unless it is the only listed host, it also waits until a peer has
// confirmed that it has no newer configuration, for at most maxPeerWait.
func (l *Loop) isReady(now time.Time) bool {
	if l.leaving || l.config.catalog == nil || l.list.Revision == 0 {
		return false
	}
	onlyHost := len(l.list.Hosts) <= 1
	return l.configConfirmed || onlyHost || now.Sub(l.start) > maxPeerWait
}

// Gossip periodically exchanges state with one peer at a time until the context ends.
func (l *Loop) Gossip(ctx context.Context) {
	for ctx.Err() == nil {
		period := l.gossipOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

// gossipOnce runs one exchange and returns the time until the next one.
func (l *Loop) gossipOnce(ctx context.Context) time.Duration {
	var to netip.AddrPort
	var found bool
	var x member.Exchange
	period := time.Second
	err := l.do(ctx, func(now time.Time) {
		to, found = l.members.PickPeer(now)
		x = l.gossipMessage(now)
		period = l.members.Period()
	})
	if err != nil || !found {
		return period
	}
	reply, err := l.mesh.Exchange(ctx, to, x)
	if err != nil {
		return period
	}
	_ = l.post(ctx, func(now time.Time) {
		l.receiveGossip(now, reply)
		if reply.ConfigRevision <= max(l.config.revision, l.config.rejectedRevision) {
			l.configConfirmed = true
		}
	})
	return period
}
