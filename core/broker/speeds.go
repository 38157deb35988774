package broker

import (
	"maps"
	"slices"
	"time"
)

// TargetSpeed is what a target states of how long work takes on its machine, and what it is
// taken for.
type TargetSpeed struct {
	Target    string
	Stated    float64       // last slowdown
	StatedAgo time.Duration // since Stated
	Usual     float64       // slowdown over the last half minute
	// Unstated is the factor by which its answers take longer than those of the others at
	// the same slowdown; 1 within the scatter.
	Unstated float64
	Factor   float64 // by which work is taken to last longer now than at slowdown 1
	Slow     bool    // compared with the fast targets of its service
}

// ServiceSpeed is what is known of the targets of a service that state how long work takes.
type ServiceSpeed struct {
	Service  string
	Fast     float64       // factor of its fast targets
	UnitTime time.Duration // mean time per unit of work at slowdown 1; 0 if unknown
	Changes  time.Duration // time in which a disturbance shrinks to a third
	Targets  []TargetSpeed // that have stated a slowdown
}

// Speeds returns how fast the targets work now, of services whose targets state it.
func (b *Broker) Speeds(now time.Time) []ServiceSpeed {
	var all []ServiceSpeed
	for _, service := range slices.Sorted(maps.Keys(b.sharedMachines)) {
		b.refreshSpeeds(now, service)
		s := b.sharedMachines[service]
		known := ServiceSpeed{Service: service, Fast: s.fast, UnitTime: s.unitTime, Changes: s.changes.Time()}
		for _, p := range b.roster.ForService(service) {
			t := b.targets[p.ID]
			if t == nil || !t.speed.Stated() {
				continue
			}
			stated, at := t.speed.Last()
			known.Targets = append(known.Targets, TargetSpeed{
				Target: p.ID, Stated: stated, StatedAgo: now.Sub(at), Usual: t.speed.Usual(), Unstated: s.unstated(t), Factor: t.factor, Slow: b.isSlow(t),
			})
		}
		all = append(all, known)
	}
	return all
}
