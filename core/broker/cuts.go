package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/cuts"
)

// CutEvent reports that an availability zone began or ceased to be cut off from the targets of
// another one.
type CutEvent struct {
	Path cuts.Path
	Cut  bool
}

// maxCutEvents limits the events that are kept until they are taken.
const maxCutEvents = 64

// TakeCutEvents returns the events since the last call.
func (b *Broker) TakeCutEvents() []CutEvent {
	events := b.cutEvents
	b.cutEvents = nil
	return events
}

// recordPath records how a run ended for the path between its host's zone and its target's.
func (b *Broker) recordPath(now time.Time, host netip.AddrPort, r *run, t *target, o Outcome) {
	if r.queued == nil || t.published == nil {
		return
	}
	path := cuts.Path{From: r.queued.request.Zone, To: t.published.Zone}
	if path.From == "" || path.From == path.To {
		return // a zone is never cut off from itself
	}
	switch o {
	case NoConnect:
		isolated := func(h netip.AddrPort) bool { return b.reachesNothing(h, path.From) }
		if b.cuts.Failed(now, path, host, t.published.ID, isolated) {
			b.addCutEvent(CutEvent{path, true})
		}
	case Good, Failed, Rejected:
		if b.cuts.Reached(now, path) {
			b.addCutEvent(CutEvent{path, false})
			b.markAllUnmatched()
		}
	}
}

// reachesNothing reports whether a host fails to connect to targets of its own zone too, and so
// is cut off by itself.
func (b *Broker) reachesNothing(host netip.AddrPort, zone string) bool {
	if !b.unreached.isolated(host) {
		return false
	}
	for id := range b.unreached[host] {
		if t := b.targets[id]; t != nil && t.published.Zone == zone {
			return true
		}
	}
	return false
}

func (b *Broker) addCutEvent(e CutEvent) {
	if len(b.cutEvents) < maxCutEvents {
		b.cutEvents = append(b.cutEvents, e)
	}
}

// withoutCutOff drops the targets to which no request of a queue may be granted because the
// paths from the zones of all its hosts are cut. They would be looked at in vain for each
// waiting request.
func (b *Broker) withoutCutOff(now time.Time, free []*target, queue []*queuedRequest) []*target {
	if !b.cuts.Any() {
		return free
	}
	zones := map[string]bool{}
	for _, q := range queue {
		zones[q.request.Zone] = true
	}
	return slices.DeleteFunc(free, func(t *target) bool {
		for zone := range zones {
			if b.pathWait(now, zone, t) == 0 {
				return false
			}
		}
		return true
	})
}

// pathWait is how much longer a host of a zone may not be granted a target because the zone is
// cut off from the target's.
func (b *Broker) pathWait(now time.Time, zone string, t *target) time.Duration {
	return b.cuts.Wait(now, cuts.Path{From: zone, To: t.published.Zone})
}
