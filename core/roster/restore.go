package roster

import (
	"maps"
	"slices"
	"time"
)

// RestoreGrace is how long a roster prefers its own knowledge to what a restored store
// has lost: longer than operators take until a write is acknowledged, and than entries
// of targets that have left take to lapse.
const RestoreGrace = 10 * time.Second

// restoration is what a roster knows better than a store that was restored from an older
// copy. Writers write again what was lost; until then, whatever was withdrawn before or
// is withdrawn in the copy counts as withdrawn, and targets that are missing from the
// copy count as published for ReturnGrace.
type restoration struct {
	since time.Time // when the present era became known
	// withheld are entries of the copy whose run is known to have been removed. An entry
	// that still stands after RestoreGrace belongs to a live target.
	withheld    map[string]withheldEntry
	unconfirmed map[string]time.Time // since when targets are unconfirmed
	zones       map[string]time.Time // out of service before, but not in the copy
	drained     map[string]bool      // targets that were draining, but not in the copy
}

type withheldEntry struct {
	target Target
	since  time.Time
}

func newRestoration() restoration {
	return restoration{
		withheld: map[string]withheldEntry{}, unconfirmed: map[string]time.Time{}, zones: map[string]time.Time{}, drained: map[string]bool{},
	}
}

// beginEra starts a new era, at a position.
func (r *Roster) beginEra(now time.Time, p Position) {
	r.restored = newRestoration()
	r.restored.since = now
	r.position, r.floor = p, p
}

// settled reports whether the present era has lasted for RestoreGrace, as far as known.
func (s *restoration) settled(now time.Time) bool { return now.Sub(s.since) >= RestoreGrace }

func (s *restoration) withheldTargets() []Target {
	var targets []Target
	for _, id := range slices.Sorted(maps.Keys(s.withheld)) {
		targets = append(targets, s.withheld[id].target)
	}
	return targets
}

// withhold withholds an entry. One that the store does not have is not withheld.
func (s *restoration) withhold(now time.Time, t Target) {
	if _, ok := s.withheld[t.ID]; !ok && !t.Unconfirmed {
		s.withheld[t.ID] = withheldEntry{t, now}
	}
}

// update updates a withheld entry.
func (s *restoration) update(t Target) {
	if w, ok := s.withheld[t.ID]; ok && !t.Unconfirmed && t.Position().After(w.target.Position()) {
		s.withheld[t.ID] = withheldEntry{t, w.since}
	}
}

// forget forgets a target that has published its entry again.
func (s *restoration) forget(id string) {
	delete(s.withheld, id)
	delete(s.unconfirmed, id)
	delete(s.drained, id)
}

// drop drops a withheld entry that was removed at a position, and reports whether there
// was one.
func (s *restoration) drop(id string, p Position) bool {
	w, ok := s.withheld[id]
	if !ok || w.target.Position().After(p) {
		return false
	}
	delete(s.withheld, id)
	return true
}

// adopt applies the first listing of a new era, at a position.
func (r *Roster) adopt(now time.Time, p Position, all []Target, zonesOut []string) {
	r.beginEra(now, p)
	listed := map[string]bool{}
	for _, t := range all {
		listed[t.ID] = true
		r.adoptEntry(now, p, t)
	}
	for id, t := range r.targets {
		if !listed[id] {
			r.setUnconfirmed(now, p, *t)
		}
	}
	for z := range r.zonesOut {
		if !slices.Contains(zonesOut, z) {
			r.restored.zones[z] = now
			r.zonePositions[z] = p
		}
	}
	r.replaceZonesOut(zonesOut, p)
	r.publish()
}

// adoptEntry applies an entry of the first listing of a new era, at a position. Entries
// of a peer's listing may be of an earlier era, in which the peer knew them.
func (r *Roster) adoptEntry(now time.Time, p Position, t Target) {
	known, gone := r.targets[t.ID], r.tombstones[t.ID]
	isNewer := func(q Position) bool { return t.Era == q.Era && t.Position().After(q) }
	switch {
	case t.Unconfirmed && known == nil && gone != tombstone{} && t.Born <= gone.born:
	case known == nil && gone != tombstone{} && t.Born <= gone.born && !isNewer(gone.Position):
		r.restored.withhold(now, t)
		r.tombstones[t.ID] = tombstone{Position: p, born: gone.born}
	case known == nil || t.Born > known.Born || isNewer(known.Position()):
		delete(r.tombstones, t.ID)
		r.targets[t.ID] = &t
	case t.Born < known.Born:
		r.setUnconfirmed(now, p, *known)
	default:
		r.targets[t.ID] = r.mergeRestored(p, known, t)
	}
}

// mergeRestored returns a known target with what a restored entry of the same run adds to
// it.
func (r *Roster) mergeRestored(p Position, known *Target, t Target) *Target {
	merged := *known
	merged.Unconfirmed, merged.LapsedAt = t.Unconfirmed, time.Time{}
	merged.Draining = known.Draining || t.Draining
	if t.ColdUntil.After(merged.ColdUntil) {
		merged.ColdUntil = t.ColdUntil
	}
	merged.setPosition(t.Position())
	if known.Draining && !t.Draining {
		r.restored.drained[t.ID] = true
		merged.setPosition(p)
	}
	return &merged
}

// setUnconfirmed makes a target unconfirmed.
func (r *Roster) setUnconfirmed(now time.Time, p Position, t Target) {
	t.Unconfirmed = true
	t.setPosition(p)
	r.targets[t.ID] = &t
	r.restored.unconfirmed[t.ID] = now
}

// receiveRestored applies what a peer knows of a restored store. Periods begin with its
// receipt, since hosts' clocks need not agree.
func (r *Roster) receiveRestored(now time.Time, c Changes) {
	for _, t := range c.Targets {
		if known := r.targets[t.ID]; known != nil && known.Unconfirmed {
			if _, ok := r.restored.unconfirmed[t.ID]; !ok {
				r.restored.unconfirmed[t.ID] = now
			}
		}
	}
	for _, z := range c.ZonesLost {
		if _, ok := r.restored.zones[z]; !ok && r.zonesOut[z] {
			r.restored.zones[z] = now
		}
	}
	for _, t := range c.Withheld {
		if r.targets[t.ID] == nil {
			r.restored.withhold(now, t)
		}
	}
}

// Settle ends what a restored store has left open: unconfirmed targets are removed after
// ReturnGrace, and the store is believed after RestoreGrace.
func (r *Roster) Settle(now time.Time) {
	before := len(r.restored.unconfirmed) + len(r.restored.withheld) + len(r.restored.zones)
	if before == 0 {
		return
	}
	for id, since := range r.restored.unconfirmed {
		if now.Sub(since) < ReturnGrace {
			continue
		}
		delete(r.restored.unconfirmed, id)
		if t := r.targets[id]; t != nil && t.Unconfirmed {
			r.deleteEntry(id, t.Position())
		}
	}
	for id, w := range r.restored.withheld {
		if now.Sub(w.since) < RestoreGrace {
			continue
		}
		delete(r.restored.withheld, id)
		if r.targets[id] == nil {
			delete(r.tombstones, id)
			r.targets[id] = &w.target
		}
	}
	for z, since := range r.restored.zones {
		if now.Sub(since) >= RestoreGrace {
			delete(r.restored.zones, z)
			r.updateZone(z, false, r.zonePositions[z])
		}
	}
	if len(r.restored.unconfirmed)+len(r.restored.withheld)+len(r.restored.zones) != before {
		r.publish()
	}
}

// LostDepartures returns the departures that the store has lost, for hosts that know only
// its copy.
func (r *Roster) LostDepartures() []Departure {
	var departures []Departure
	add := func(d Departure, p Position) {
		d.Lost = true
		d.setPosition(p)
		departures = append(departures, d)
	}
	for id := range r.restored.withheld {
		gone := r.tombstones[id]
		add(Departure{ID: id, Removed: true, Born: gone.born}, gone.Position)
	}
	for id := range r.restored.drained {
		if t := r.targets[id]; t != nil {
			add(Departure{ID: id, Born: t.Born}, t.Position())
		}
	}
	for z := range r.restored.zones {
		add(Departure{Zone: z}, r.zonePositions[z])
	}
	sortDepartures(departures)
	return departures
}

// RestoreCounts returns how many targets are unconfirmed, how many entries are withheld,
// and how many zones are out of service, because the store was restored.
func (r *Roster) RestoreCounts() (unconfirmed, withheld, zonesOut int) {
	return len(r.restored.unconfirmed), len(r.restored.withheld), len(r.restored.zones)
}
