// Package roster maintains the published state of targets: service, address, zone,
// draining and cold state, and which availability zones are taken out of service. It
// does no I/O; readers get immutable snapshots.
package roster

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// ReturnGrace is how long an entry that lapsed during an outage of the store stays
// usable after the store is reachable again. Live targets have republished their
// entries by then.
const ReturnGrace = 2 * time.Second

// Target is the published entry of one run of a backend.
type Target struct {
	ID        string
	Service   string
	Address   netip.AddrPort
	Zone      string // availability zone
	Slots     int    // maximum concurrent requests; 0 if not published
	Draining  bool
	ColdUntil time.Time // zero if warm
	Revision  uint64    // store revision of the entry
	Born      uint64    // orders successive runs under one ID; 0 if not published
	LapsedAt  time.Time // when the entry disappeared during an outage; otherwise zero
}

// Usable reports whether the target may be given new work.
func (t *Target) Usable() bool { return !t.Draining }

// Cold reports whether the target is limited to its cold rate.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Snapshot is an immutable view of the roster.
type Snapshot struct {
	Revision uint64
	Targets  map[string]*Target // by ID
	ZonesOut map[string]bool    // availability zones taken out of service
	services map[string][]*Target
}

// ForService returns the targets of a service that may be given new work, ordered by
// ID.
func (s *Snapshot) ForService(service string) []*Target { return s.services[service] }

// Usable returns the target if it may be given new work, otherwise nil.
func (s *Snapshot) Usable(id string) *Target {
	t := s.Targets[id]
	if t == nil || !t.Usable() || s.ZonesOut[t.Zone] {
		return nil
	}
	return t
}

// Roster is the mutable state. It must be used by one goroutine only.
type Roster struct {
	revision       uint64
	targets        map[string]*Target
	zonesOut       map[string]bool
	zoneRevisions  map[string]uint64 // revision of the latest update of a single zone
	tombstones     map[string]uint64 // revision of the removal by ID, so that older entries are ignored
	tombstoneFloor uint64            // tombstones up to this revision were discarded
	current        *Snapshot
}

// maxTombstones limits the number of removals that are remembered.
const maxTombstones = 4096

// New returns an empty roster.
func New() *Roster {
	r := &Roster{targets: map[string]*Target{}, zonesOut: map[string]bool{}, zoneRevisions: map[string]uint64{}, tombstones: map[string]uint64{}}
	r.publish()
	return r
}

// Snapshot returns the current snapshot.
func (r *Roster) Snapshot() *Snapshot { return r.current }

// Revision is the newest revision that was applied.
func (r *Roster) Revision() uint64 { return r.revision }

// Put adds or updates an entry. An entry that is older than the known one, or than its
// removal, is ignored.
func (r *Roster) Put(t Target) {
	r.revision = max(r.revision, t.Revision)
	if known := r.targets[t.ID]; known != nil && known.Revision >= t.Revision {
		if known.Revision == t.Revision && !known.LapsedAt.IsZero() {
			r.clearLapsed(known)
		}
		return
	}
	if r.tombstones[t.ID] >= t.Revision && t.Revision > 0 {
		return
	}
	if known := r.targets[t.ID]; known != nil && t.Born > 0 && t.Born < known.Born {
		return // delayed update of a previous run
	}
	delete(r.tombstones, t.ID)
	r.targets[t.ID] = &t
	r.publish()
}

// clearLapsed marks an entry as published again.
func (r *Roster) clearLapsed(t *Target) {
	restored := *t
	restored.LapsedAt = time.Time{}
	r.targets[t.ID] = &restored
	r.publish()
}

// Remove removes an entry. During an outage of the store the target only lapses, and
// stays usable until Expire.
func (r *Roster) Remove(now time.Time, id string, revision uint64, outage bool) {
	r.revision = max(r.revision, revision)
	t := r.targets[id]
	if t == nil || t.Revision > revision {
		return
	}
	if !outage {
		r.deleteEntry(id, revision)
		return
	}
	if t.LapsedAt.IsZero() {
		lapsed := *t
		lapsed.LapsedAt = now
		r.targets[id] = &lapsed
		r.publish()
	}
}

// deleteEntry deletes an entry and leaves a tombstone. If there are too many of them,
// all are discarded, and ChangesSince returns whole listings for older revisions.
func (r *Roster) deleteEntry(id string, revision uint64) {
	delete(r.targets, id)
	if len(r.tombstones) >= maxTombstones {
		r.tombstones = map[string]uint64{}
		r.tombstoneFloor = r.revision
	}
	r.tombstones[id] = revision
	r.publish()
}

// Removal is the removal of an entry at a revision.
type Removal struct {
	ID       string
	Revision uint64
}

// ChangesSince returns the changes after a revision, for a receiver that knows
// everything up to it. If whole is set, changed holds all entries instead.
func (r *Roster) ChangesSince(revision uint64) (changed []Target, removed []Removal, whole bool) {
	whole = revision == 0 || revision < r.tombstoneFloor
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if t := r.targets[id]; whole || t.Revision > revision {
			changed = append(changed, *t)
		}
	}
	if whole {
		return changed, nil, true
	}
	for _, id := range slices.Sorted(maps.Keys(r.tombstones)) {
		if r.tombstones[id] > revision {
			removed = append(removed, Removal{id, r.tombstones[id]})
		}
	}
	return changed, removed, false
}

// ApplyChanges applies a peer's changes up to a revision; zonesOut lists all zones that
// are taken out at that revision.
func (r *Roster) ApplyChanges(now time.Time, revision uint64, changed []Target, removed []Removal, zonesOut []string) {
	for _, t := range changed {
		r.Put(t)
	}
	for _, d := range removed {
		r.Remove(now, d.ID, d.Revision, false)
	}
	r.replaceZonesOut(zonesOut, revision)
	r.revision = max(r.revision, revision)
	r.publish()
}

// replaceZonesOut installs the list of zones that are taken out at a revision. Updates
// of single zones at later revisions take precedence.
func (r *Roster) replaceZonesOut(zonesOut []string, revision uint64) {
	next := map[string]bool{}
	for _, z := range zonesOut {
		next[z] = true
	}
	for z, updated := range r.zoneRevisions {
		if updated > revision {
			next[z] = r.zonesOut[z]
		}
	}
	maps.DeleteFunc(next, func(_ string, out bool) bool { return !out })
	r.zonesOut = next
}

// Expire deletes the entries that lapsed during an outage, once ReturnGrace has passed
// since its end.
func (r *Roster) Expire(now, outageEnd time.Time) {
	if now.Sub(outageEnd) < ReturnGrace {
		return
	}
	for id, t := range r.targets {
		if !t.LapsedAt.IsZero() {
			r.deleteEntry(id, t.Revision)
		}
	}
}

// Replace applies a complete listing at a revision. Known entries that are missing from
// it are removed unless they are newer.
func (r *Roster) Replace(now time.Time, revision uint64, all []Target, zonesOut []string, outage bool) {
	if revision < r.revision {
		return
	}
	listed := map[string]bool{}
	for _, t := range all {
		listed[t.ID] = true
		r.Put(t)
	}
	for id := range r.targets {
		if !listed[id] && r.targets[id].Revision <= revision {
			r.Remove(now, id, revision, outage)
		}
	}
	r.revision = max(r.revision, revision)
	r.replaceZonesOut(zonesOut, revision)
	r.publish()
}

// SetZoneOut marks a zone as taken out of service, or as back in service.
func (r *Roster) SetZoneOut(zone string, out bool, revision uint64) {
	r.revision = max(r.revision, revision)
	r.updateZone(zone, out, revision)
}

// updateZone is SetZoneOut without raising the roster's revision.
func (r *Roster) updateZone(zone string, out bool, revision uint64) {
	r.zoneRevisions[zone] = max(r.zoneRevisions[zone], revision)
	if r.zonesOut[zone] == out {
		return
	}
	r.zonesOut = maps.Clone(r.zonesOut)
	if out {
		r.zonesOut[zone] = true
	} else {
		delete(r.zonesOut, zone)
	}
	r.publish()
}

// publish replaces the current snapshot.
func (r *Roster) publish() {
	s := &Snapshot{
		Revision: r.revision, Targets: maps.Clone(r.targets), ZonesOut: maps.Clone(r.zonesOut),
		services: map[string][]*Target{},
	}
	for _, id := range slices.Sorted(maps.Keys(s.Targets)) {
		if t := s.Usable(id); t != nil {
			s.services[t.Service] = append(s.services[t.Service], t)
		}
	}
	r.current = s
}

// Departure announces that a target, or all targets of a zone, must not be given any
// more work.
type Departure struct {
	ID       string `cbor:"1,keyasint,omitempty"` // of the target; empty for a zone
	Revision uint64 `cbor:"2,keyasint,omitempty"` // of the entry, of its removal, or of the zone update
	Removed  bool   `cbor:"3,keyasint,omitempty"` // the entry was removed; otherwise it is draining
	Zone     string `cbor:"4,keyasint,omitempty"` // zone that was taken out; empty for a target
}

// DeparturesSince returns the targets that were removed or began to drain, and the
// zones that were taken out, since an earlier snapshot.
func (r *Roster) DeparturesSince(since *Snapshot) []Departure {
	var departures []Departure
	for id, before := range since.Targets {
		switch t := r.targets[id]; {
		case t == nil:
			departures = append(departures, Departure{ID: id, Revision: max(r.tombstones[id], before.Revision), Removed: true})
		case t.Draining && !before.Draining:
			departures = append(departures, Departure{ID: id, Revision: t.Revision})
		}
	}
	for z := range r.zonesOut {
		if !since.ZonesOut[z] {
			departures = append(departures, Departure{Zone: z, Revision: max(r.zoneRevisions[z], since.Revision+1)})
		}
	}
	slices.SortFunc(departures, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Zone, b.Zone))
	})
	return departures
}

// ApplyDepartures applies departures ahead of other changes up to their revisions. It
// therefore leaves the roster's revision unchanged, so that changes missed in between
// are still fetched. It reports whether anything changed.
func (r *Roster) ApplyDepartures(departures []Departure) bool {
	before := r.current
	for _, d := range departures {
		t := r.targets[d.ID]
		switch {
		case d.Zone != "":
			if d.Revision > max(r.zoneRevisions[d.Zone], r.revision) {
				r.updateZone(d.Zone, true, d.Revision)
			}
		case t == nil || t.Revision > d.Revision:
		case d.Removed:
			r.deleteEntry(d.ID, d.Revision)
		case !t.Draining:
			draining := *t
			draining.Draining, draining.Revision = true, d.Revision
			r.targets[d.ID] = &draining
			r.publish()
		}
	}
	return r.current != before
}
