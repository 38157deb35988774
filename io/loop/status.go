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

// Status is what a host sees, for operators.
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
	Waiting          map[string]int // by tier
	Running          int
	Keys             int
	Targets          []permit.TargetLoad // managed by this host
	EventsRefused    uint64
}

// Status returns the last published status.
func (l *Loop) Status() Status { return *l.status.Load() }

// publish makes the status anew.
func (l *Loop) publish(now time.Time) {
	s := Status{
		Host: l.settings.Self, Zone: l.settings.Zone, Incarnation: l.settings.Incarnation,
		Ready:          l.ready(now),
		ConfigRevision: l.config.revision, RejectedRevision: l.config.rejected, Findings: l.config.findings,
		ListRevision: l.list.Revision, PeersListed: len(l.list.Hosts),
		PeersAlive: slices.SortedFunc(maps.Keys(l.alive), netip.AddrPort.Compare),
		Waiting:    map[string]int{},
		Running:    l.sched.Running(), Keys: l.keys.Len(),
		EventsRefused: l.calls.Refused(),
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

// soloWait is how long a starting host looks for peers before it is ready
// without them.
const soloWait = 3 * time.Second

// ready reports whether the host may serve: it has both texts, and has heard
// from a peer whether there are newer ones, if any peer answers.
func (l *Loop) ready(now time.Time) bool {
	if l.leaving || l.config.catalog == nil || l.list.Revision == 0 {
		return false
	}
	alone := len(l.list.Hosts) <= 1
	return l.peersMet || alone || now.Sub(l.start) > soloWait
}

// Gossip trades states with one peer after another until the context ends.
func (l *Loop) Gossip(ctx context.Context) {
	for ctx.Err() == nil {
		period := l.gossip(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

// gossip does one exchange and returns the time until the next.
func (l *Loop) gossip(ctx context.Context) time.Duration {
	var to netip.AddrPort
	var found bool
	var x member.Exchange
	period := time.Second
	err := l.do(ctx, func(now time.Time) {
		to, found = l.members.PickPeer(now)
		x = l.message(now)
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
		l.hear(now, reply)
		if reply.ConfigRevision <= max(l.config.revision, l.config.rejected) {
			l.peersMet = true
		}
	})
	return period
}
