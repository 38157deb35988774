package coord

import (
	"context"
	"net/netip"
	"time"
)

// Status is what a host sees, for operators.
type Status struct {
	Self        netip.AddrPort
	Zone        string
	Leader      netip.AddrPort
	Ready       bool
	StoreUp     bool
	Version     uint64 // of the configuration
	Revision    uint64 // of the targets
	Alive       []netip.AddrPort
	Known       int // hosts
	Targets     int // that may be handed work
	ZonesOut    int
	Waiting     int // requests of this host
	Running     int
	LeadWaiting int // requests that wait at this host's broker
	Leaving     int // targets that have said so in an answer
	Paused      int // targets that want nothing from this host now, as they have said
}

// Status reads the current state.
func (c *Coord) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, func(now time.Time) {
		view := c.View()
		_, known := c.hosts.Share(now)
		s = Status{
			Self: c.self(), Zone: c.settings.Zone, Leader: c.leader, Ready: view.Ready, StoreUp: c.storeUp,
			Version: c.version(), Revision: c.revision(), Alive: c.hosts.Alive(now), Known: known,
			ZonesOut: len(view.Roster.Out), Waiting: len(c.pending), Running: len(c.running),
			LeadWaiting: c.broker.WaitingCount(),
		}
		s.Leaving, s.Paused = view.Bound.Counts(now)
		for id := range view.Roster.Targets {
			if view.Roster.Usable(id) != nil {
				s.Targets++
			}
		}
	})
	return s, err
}
