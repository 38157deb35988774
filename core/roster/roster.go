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
	Version   string `json:",omitempty"` // of the target's software; empty if not published
	Slots     int    // maximum concurrent requests; 0 if not published
	Draining  bool
	ColdUntil time.Time // zero if warm
	Era       uint64    `json:",omitempty"` // see Position
	Revision  uint64    // store revision of the entry
	Born      uint64    // orders successive runs under one ID; 0 if not published
	LapsedAt  time.Time // when the entry disappeared during an outage; otherwise zero
	// Unconfirmed is set if the store was restored from a copy without the entry, until
	// the target has published it again.
	Unconfirmed bool `json:",omitempty"`
}

// Position returns the position at which the entry was published.
func (t *Target) Position() Position { return Position{t.Era, t.Revision} }

func (t *Target) setPosition(p Position) { t.Era, t.Revision = p.Era, p.Revision }

// Usable reports whether the target may be given new work.
func (t *Target) Usable() bool { return !t.Draining }

// Cold reports whether the target is limited to its cold rate.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Snapshot is an immutable view of the roster.
type Snapshot struct {
	Era      uint64
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
	position      Position
	targets       map[string]*Target
	zonesOut      map[string]bool
	zonePositions map[string]Position // of the latest update of a single zone
	tombstones    map[string]tombstone
	// floor is the position in the present era from which on all changes are known.
	floor    Position
	restored restoration
	current  *Snapshot
}

// tombstone is the removal of an entry, kept so that older entries are ignored.
type tombstone struct {
	Position
	born uint64 // of the removed run
}

// maxTombstones limits the number of removals that are remembered.
const maxTombstones = 4096

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		targets: map[string]*Target{}, zonesOut: map[string]bool{}, zonePositions: map[string]Position{}, tombstones: map[string]tombstone{},
		restored: newRestoration(),
	}
	r.publish()
	return r
}

// Snapshot returns the current snapshot.
func (r *Roster) Snapshot() *Snapshot { return r.current }

// Position is the latest position that was applied.
func (r *Roster) Position() Position { return r.position }

// Put adds or updates an entry. An entry that is older than the known one, or than its
// removal, is ignored.
func (r *Roster) Put(t Target) {
	r.position = later(r.position, t.Position())
	r.putEntry(t)
}

// putEntry is Put without advancing the roster's position. An entry of a listing, or of a
// peer, may be ahead of the changes that come with it.
func (r *Roster) putEntry(t Target) {
	p := t.Position()
	if known := r.targets[t.ID]; known != nil && !p.After(known.Position()) {
		if known.Position() == p && !known.LapsedAt.IsZero() {
			r.clearLapsed(known)
		}
		return
	}
	if gone, ok := r.tombstones[t.ID]; ok && (!p.After(gone.Position) || t.Unconfirmed && t.Born <= gone.born) {
		r.restored.update(t)
		return
	}
	if t.Unconfirmed && r.isConfirmed(t.ID) {
		return
	}
	if known := r.targets[t.ID]; t.Unconfirmed && known != nil && known.Born == t.Born {
		t.Draining = t.Draining || known.Draining
	}
	if known := r.targets[t.ID]; known != nil && t.Born > 0 && t.Born < known.Born {
		return // delayed update of a previous run
	}
	r.restored.forget(t.ID)
	delete(r.tombstones, t.ID)
	r.targets[t.ID] = &t
	r.publish()
}

// isConfirmed reports whether the store has published an entry in the present era.
func (r *Roster) isConfirmed(id string) bool {
	known := r.targets[id]
	return known != nil && !known.Unconfirmed && known.Era == r.position.Era
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
func (r *Roster) Remove(now time.Time, id string, p Position, outage bool) {
	r.position = later(r.position, p)
	r.removeEntry(now, id, p, outage)
}

// removeEntry is Remove without advancing the roster's position.
func (r *Roster) removeEntry(now time.Time, id string, p Position, outage bool) {
	t := r.targets[id]
	if t == nil && r.restored.drop(id, p) {
		r.tombstones[id] = tombstone{Position: p, born: r.tombstones[id].born}
	}
	if t == nil || t.Position().After(p) {
		return
	}
	if !outage {
		r.deleteEntry(id, p)
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
// all are discarded, and ChangesSince returns whole listings for older positions.
func (r *Roster) deleteEntry(id string, p Position) {
	var born uint64
	if t := r.targets[id]; t != nil {
		born = t.Born
	}
	delete(r.targets, id)
	if len(r.tombstones) >= maxTombstones {
		r.tombstones = map[string]tombstone{}
		r.floor = r.position
	}
	r.tombstones[id] = tombstone{Position: p, born: born}
	r.publish()
}

// Removal is the removal of an entry at a position.
type Removal struct {
	ID       string
	Era      uint64 `json:",omitempty"`
	Revision uint64
}

// Changes are what one roster tells another. Zones that are taken out, and what is
// withheld, are listed in full.
type Changes struct {
	Position Position // up to which the changes are complete
	// Whole is set if Targets is the complete list rather than what has changed.
	Whole     bool
	Settled   bool // the store has not been restored lately
	Targets   []Target
	Removed   []Removal
	Withheld  []Target // see restoration
	ZonesOut  []string
	ZonesLost []string // those of ZonesOut that a restored store has lost
}

// ChangesSince returns the changes after a position, for a receiver that knows
// everything up to it.
func (r *Roster) ChangesSince(now time.Time, p Position) Changes {
	c := Changes{Position: r.position, Settled: r.restored.settled(now), Withheld: r.restored.withheldTargets()}
	c.Whole = r.floor.After(p)
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if t := r.targets[id]; c.Whole || t.Position().After(p) {
			c.Targets = append(c.Targets, *t)
		}
	}
	for z := range r.zonesOut {
		c.ZonesOut = append(c.ZonesOut, z)
	}
	for z := range r.restored.zones {
		c.ZonesLost = append(c.ZonesLost, z)
	}
	if c.Whole && c.Settled {
		return c
	}
	for _, id := range slices.Sorted(maps.Keys(r.tombstones)) {
		if t := r.tombstones[id]; c.Whole || t.After(p) {
			c.Removed = append(c.Removed, Removal{id, t.Era, t.Revision})
		}
	}
	return c
}

// Apply applies a peer's changes.
func (r *Roster) Apply(now time.Time, c Changes) {
	if c.Whole {
		// The list of a new era does not tell removed entries from those that the store has lost.
		for _, d := range c.Removed {
			r.removeEntry(now, d.ID, Position{d.Era, d.Revision}, false)
		}
		r.Replace(now, c.Position, c.Targets, c.ZonesOut, ListingOptions{Settled: c.Settled})
	} else {
		for _, t := range c.Targets {
			r.putEntry(t)
		}
		for _, d := range c.Removed {
			r.removeEntry(now, d.ID, Position{d.Era, d.Revision}, false)
		}
		r.replaceZonesOut(c.ZonesOut, c.Position)
		r.position = later(r.position, c.Position)
	}
	r.receiveRestored(now, c)
	r.publish()
}

// replaceZonesOut installs the list of zones that are taken out at a position. Updates
// of single zones at later positions take precedence.
func (r *Roster) replaceZonesOut(zonesOut []string, p Position) {
	next := map[string]bool{}
	for _, z := range zonesOut {
		next[z] = true
		delete(r.restored.zones, z)
	}
	for z, updated := range r.zonePositions {
		if updated.After(p) {
			next[z] = r.zonesOut[z]
		}
	}
	for z := range r.restored.zones {
		next[z] = true
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
			r.deleteEntry(id, t.Position())
		}
	}
}

// Parameters by which a listing shows that the store was unreachable.
const (
	// lapsedShare is the share of the known targets that is missing then. Operators take away
	// a quarter of a service at most, and a lost availability zone is a third of the fleet.
	lapsedShare = 0.5
	// minLapsed keeps the loss of one or two of a few targets from counting.
	minLapsed = 4
)

// HasLapsed reports whether so many targets are missing from a complete listing that their
// entries have lapsed while the store could not be reached, rather than been removed.
func (r *Roster) HasLapsed(listing []Target) bool {
	listed := map[string]bool{}
	for _, t := range listing {
		listed[t.ID] = true
	}
	known, missing := 0, 0
	for id, t := range r.targets {
		if t.Draining || t.Unconfirmed {
			continue
		}
		known++
		if !listed[id] {
			missing++
		}
	}
	return missing >= minLapsed && float64(missing) > lapsedShare*float64(known)
}

// ListingOptions qualify a complete listing.
type ListingOptions struct {
	Outage  bool // entries may be missing because the store is or was unreachable
	Settled bool // the listing is reliable even if it is the first of an era
}

// Replace applies a complete listing at a position. Known entries that are missing from
// it are removed unless they are newer.
func (r *Roster) Replace(now time.Time, p Position, all []Target, zonesOut []string, o ListingOptions) {
	former := r.position
	switch {
	case former.After(p):
		return
	case former == Position{}:
		r.restored.since = now
	case p.Era > former.Era && !o.Settled:
		r.adopt(now, p, all, zonesOut)
		return
	case p.Era > former.Era:
		r.beginEra(now, p)
		r.tombstones = map[string]tombstone{}
	}
	listed := map[string]bool{}
	for _, t := range all {
		// A peer's unconfirmed entry is not in the store: a confirmed one was removed.
		listed[t.ID] = !t.Unconfirmed || !r.isConfirmed(t.ID)
		r.putEntry(t)
	}
	for id, t := range r.targets {
		if !listed[id] && !t.Unconfirmed && !t.Position().After(p) {
			r.removeEntry(now, id, p, o.Outage)
		}
	}
	for id := range r.restored.withheld {
		if !listed[id] {
			r.restored.drop(id, p)
		}
	}
	if p.After(former) {
		r.floor = p // what came and went since the former position is unknown
	}
	r.position = later(r.position, p)
	r.replaceZonesOut(zonesOut, p)
	r.publish()
}

// SetZoneOut marks a zone as taken out of service, or as back in service.
func (r *Roster) SetZoneOut(zone string, out bool, p Position) {
	r.position = later(r.position, p)
	delete(r.restored.zones, zone)
	r.updateZone(zone, out, p)
}

// updateZone is SetZoneOut without advancing the roster's position.
func (r *Roster) updateZone(zone string, out bool, p Position) {
	r.zonePositions[zone] = later(r.zonePositions[zone], p)
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
		Era: r.position.Era, Revision: r.position.Revision, Targets: maps.Clone(r.targets), ZonesOut: maps.Clone(r.zonesOut),
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
	Era      uint64 `cbor:"5,keyasint,omitempty"` // of Revision; 0 from a host that knows no eras
	// Lost is set if the store has lost the departure, see restoration.
	Lost bool   `cbor:"6,keyasint,omitempty"`
	Born uint64 `cbor:"7,keyasint,omitempty"` // of the run that departed; 0 for any
}

// concerns reports whether a target's run is the one that departed.
func (d *Departure) concerns(t *Target) bool { return d.Born == 0 || t.Born <= d.Born }

func (d *Departure) position() Position { return Position{d.Era, d.Revision} }

func (d *Departure) setPosition(p Position) { d.Era, d.Revision = p.Era, p.Revision }

// DeparturesSince returns the targets that were removed or began to drain, and the
// zones that were taken out, since an earlier snapshot.
func (r *Roster) DeparturesSince(since *Snapshot) []Departure {
	var departures []Departure
	add := func(d Departure, p Position) {
		d.setPosition(p)
		departures = append(departures, d)
	}
	for id, before := range since.Targets {
		switch t := r.targets[id]; {
		case t == nil:
			add(Departure{ID: id, Removed: true}, later(r.tombstones[id].Position, before.Position()))
		case t.Draining && !before.Draining:
			add(Departure{ID: id}, t.Position())
		}
	}
	for z := range r.zonesOut {
		if !since.ZonesOut[z] {
			add(Departure{Zone: z}, later(r.zonePositions[z], Position{since.Era, since.Revision + 1}))
		}
	}
	sortDepartures(departures)
	return departures
}

func sortDepartures(departures []Departure) {
	slices.SortFunc(departures, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Zone, b.Zone))
	})
}

// ApplyDepartures applies departures ahead of other changes up to their positions. It
// therefore leaves the roster's position unchanged, so that changes missed in between
// are still fetched. It reports whether anything changed.
func (r *Roster) ApplyDepartures(now time.Time, departures []Departure) bool {
	before := r.current
	for _, d := range departures {
		if d.Era == 0 {
			d.Era = r.position.Era
		}
		t := r.targets[d.ID]
		switch {
		case d.Zone != "":
			r.applyZoneDeparture(now, d)
		case t == nil || t.Position().After(d.position()) || !d.concerns(t):
		case d.Removed:
			if d.Lost || d.Era < r.position.Era {
				entry := *t
				entry.Unconfirmed = entry.Unconfirmed && !d.Lost // the sender's copy has it
				r.restored.withhold(now, entry)
			}
			r.deleteEntry(d.ID, d.position())
		case !t.Draining:
			draining := *t
			draining.Draining = true
			draining.setPosition(d.position())
			r.targets[d.ID] = &draining
			r.publish()
		}
	}
	return r.current != before
}

func (r *Roster) applyZoneDeparture(now time.Time, d Departure) {
	p := d.position()
	if !p.After(r.zonePositions[d.Zone]) || !d.Lost && !p.After(r.position) {
		return
	}
	if d.Lost && !r.zonesOut[d.Zone] {
		r.restored.zones[d.Zone] = now
	}
	r.updateZone(d.Zone, true, p)
}
