package coord

import (
	"context"
	"net/netip"
	"time"

	"yuccadoor/core/admit"
	"yuccadoor/core/broker"
)

// Status is the state of this host as shown to operators.
type Status struct {
	Self        netip.AddrPort
	Zone        string
	Leader      netip.AddrPort
	Ready       bool
	StoreUp     bool
	Version     uint64 // of the configuration
	Era         uint64 // of the store
	Revision    uint64 // of the targets
	Alive       []netip.AddrPort
	Known       int // hosts
	Targets     int // that may be sent requests
	ZonesOut    int
	Waiting     int // requests of this host
	Running     int
	LeadWaiting int // requests that wait at this host's broker
	Starting    int // targets that are not given their whole share yet, at the leader
	Leaving     int // targets that have announced in a response that they are leaving
	Paused      int // targets that have asked this host to pause, for now
	// Speeds is how fast targets work now, at the leader, of services whose targets state it.
	Speeds []broker.ServiceSpeed `json:",omitempty"`
	// Flows are those that this host's broker has served under contention, by service.
	Flows map[string][]admit.FlowStatus `json:",omitempty"`
}

// Status returns the current state.
func (c *Coordinator) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, func(now time.Time) {
		view := c.View()
		_, known := c.hosts.Counts(now)
		s = Status{
			Self: c.self(), Zone: c.settings.Zone, Leader: c.leader, Ready: view.Ready, StoreUp: c.storeUp,
			Version: c.configVersion(), Era: c.rosterPosition().Era, Revision: c.rosterPosition().Revision, Alive: c.hosts.Alive(now), Known: known,
			ZonesOut: len(view.Roster.ZonesOut), Waiting: len(c.pending), Running: len(c.running),
			LeadWaiting: c.broker.WaitingCount(), Flows: c.broker.Flows(),
		}
		if c.leader == c.self() {
			s.Speeds = c.broker.Speeds(now)
			s.Starting = c.broker.StartingCount(now)
		}
		s.Leaving, s.Paused = view.Restrictions.Counts(now)
		for id := range view.Roster.Targets {
			if view.Roster.Usable(id) != nil {
				s.Targets++
			}
		}
	})
	return s, err
}
