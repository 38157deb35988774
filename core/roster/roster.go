// Package roster keeps what is published of targets: who serves what, where,
// who leaves, who is cold, and which availability zones are taken out. It is
// pure; a reader gets immutable snapshots.
package roster

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// ReturnGrace is how long an entry that lapsed while the publishing store was
// out of reach may still be used after the store's return: live targets have
// published themselves again by then.
const ReturnGrace = 2 * time.Second

// Target is one published lifetime of a back end.
type Target struct {
	ID        string
	Service   string
	Address   netip.AddrPort
	Zone      string // availability zone
	Slots     int    // requests that it runs at once; 0 if not told
	Draining  bool
	ColdUntil time.Time // zero when warm
	Revision  uint64    // of the entry
	Born      uint64    // orders the lifetimes of one id; 0 if not told
	LapsedAt  time.Time // when its entry went away during an outage; zero otherwise
}

// Usable reports whether the target may be handed new work.
func (t *Target) Usable() bool { return !t.Draining }

// Cold reports whether the target bears only its cold rate.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Snapshot is an immutable view of the roster.
type Snapshot struct {
	Revision uint64
	Targets  map[string]*Target // by id
	ZonesOut map[string]bool    // availability zones taken out
	services map[string][]*Target
}

// ForService lists the targets of a service that may be handed new work, by id.
func (s *Snapshot) ForService(service string) []*Target { return s.services[service] }

// Usable returns the target if it may be handed new work, else nil.
func (s *Snapshot) Usable(id string) *Target {
	t := s.Targets[id]
	if t == nil || !t.Usable() || s.ZonesOut[t.Zone] {
		return nil
	}
	return t
}

// Roster is the mutable side, owned by one goroutine.
type Roster struct {
	revision uint64
	targets  map[string]*Target
	out      map[string]bool
	outAt    map[string]uint64 // revision of the latest word of a zone by itself
	gone     map[string]uint64 // revision of the removal, so that older entries stay away
	floor    uint64            // removals up to it are forgotten
	current  *Snapshot
}

// maxGone bounds the removals that are remembered.
const maxGone = 4096

// New returns an empty roster.
func New() *Roster {
	r := &Roster{targets: map[string]*Target{}, out: map[string]bool{}, outAt: map[string]uint64{}, gone: map[string]uint64{}}
	r.publish()
	return r
}

// Snapshot returns the current view.
func (r *Roster) Snapshot() *Snapshot { return r.current }

// Revision is the newest revision taken in.
func (r *Roster) Revision() uint64 { return r.revision }

// Put takes in one entry; an older one than what is known is ignored.
func (r *Roster) Put(t Target) {
	r.revision = max(r.revision, t.Revision)
	if known := r.targets[t.ID]; known != nil && known.Revision >= t.Revision {
		if known.Revision == t.Revision && !known.LapsedAt.IsZero() {
			r.restore(known)
		}
		return
	}
	if r.gone[t.ID] >= t.Revision && t.Revision > 0 {
		return
	}
	if known := r.targets[t.ID]; known != nil && t.Born > 0 && t.Born < known.Born {
		return // a late word of a former lifetime
	}
	delete(r.gone, t.ID)
	r.targets[t.ID] = &t
	r.publish()
}

func (r *Roster) restore(t *Target) {
	back := *t
	back.LapsedAt = time.Time{}
	r.targets[t.ID] = &back
	r.publish()
}

// Remove takes in that an entry is gone. During an outage of the store the
// target stays usable until Expire.
func (r *Roster) Remove(now time.Time, id string, revision uint64, outage bool) {
	r.revision = max(r.revision, revision)
	t := r.targets[id]
	if t == nil || t.Revision > revision {
		return
	}
	if !outage {
		r.drop(id, revision)
		return
	}
	if t.LapsedAt.IsZero() {
		lapsed := *t
		lapsed.LapsedAt = now
		r.targets[id] = &lapsed
		r.publish()
	}
}

func (r *Roster) drop(id string, revision uint64) {
	delete(r.targets, id)
	if len(r.gone) >= maxGone {
		r.gone = map[string]uint64{}
		r.floor = r.revision
	}
	r.gone[id] = revision
	r.publish()
}

// Removal is a removed entry.
type Removal struct {
	ID       string
	Revision uint64
}

// ChangesSince lists what has changed after a revision. Without whole, the receiver
// must know all up to it; with whole, the list is all there is.
func (r *Roster) ChangesSince(revision uint64) (changed []Target, gone []Removal, whole bool) {
	whole = revision == 0 || revision < r.floor
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if t := r.targets[id]; whole || t.Revision > revision {
			changed = append(changed, *t)
		}
	}
	if whole {
		return changed, nil, true
	}
	for _, id := range slices.Sorted(maps.Keys(r.gone)) {
		if r.gone[id] > revision {
			gone = append(gone, Removal{id, r.gone[id]})
		}
	}
	return changed, gone, false
}

// ApplyChanges takes in what has changed up to a revision, as a peer knows it.
func (r *Roster) ApplyChanges(now time.Time, revision uint64, changed []Target, gone []Removal, out []string) {
	for _, t := range changed {
		r.Put(t)
	}
	for _, g := range gone {
		r.Remove(now, g.ID, g.Revision, false)
	}
	r.setOut(out, revision)
	r.revision = max(r.revision, revision)
	r.publish()
}

// setOut takes which zones are out as of a revision; what was said of one since holds.
func (r *Roster) setOut(out []string, revision uint64) {
	next := map[string]bool{}
	for _, z := range out {
		next[z] = true
	}
	for z, at := range r.outAt {
		if at > revision {
			next[z] = r.out[z]
		}
	}
	maps.DeleteFunc(next, func(_ string, out bool) bool { return !out })
	r.out = next
}

// Expire drops entries that lapsed during an outage which ended at returned.
func (r *Roster) Expire(now, returned time.Time) {
	if now.Sub(returned) < ReturnGrace {
		return
	}
	for id, t := range r.targets {
		if !t.LapsedAt.IsZero() {
			r.drop(id, t.Revision)
		}
	}
}

// Replace takes in a whole listing as of a revision: entries that it lacks and
// that are not newer are gone.
func (r *Roster) Replace(now time.Time, revision uint64, all []Target, out []string, outage bool) {
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
	r.setOut(out, revision)
	r.publish()
}

// SetZoneOut marks a zone as taken out, or as taken back.
func (r *Roster) SetZoneOut(zone string, out bool, revision uint64) {
	r.revision = max(r.revision, revision)
	r.takeOut(zone, out, revision)
}

func (r *Roster) takeOut(zone string, out bool, revision uint64) {
	r.outAt[zone] = max(r.outAt[zone], revision)
	if r.out[zone] == out {
		return
	}
	r.out = maps.Clone(r.out)
	if out {
		r.out[zone] = true
	} else {
		delete(r.out, zone)
	}
	r.publish()
}

func (r *Roster) publish() {
	s := &Snapshot{
		Revision: r.revision, Targets: maps.Clone(r.targets), ZonesOut: maps.Clone(r.out),
		services: map[string][]*Target{},
	}
	for _, id := range slices.Sorted(maps.Keys(s.Targets)) {
		if t := s.Usable(id); t != nil {
			s.services[t.Service] = append(s.services[t.Service], t)
		}
	}
	r.current = s
}

// Departure tells of one target, or of all of a zone, that is to get nothing more.
type Departure struct {
	ID       string `cbor:"1,keyasint,omitempty"` // empty for a zone
	Revision uint64 `cbor:"2,keyasint,omitempty"` // of the entry, or of its removal
	Removed  bool   `cbor:"3,keyasint,omitempty"` // else it is draining
	Zone     string `cbor:"4,keyasint,omitempty"` // that was taken out
}

// DeparturesSince lists the targets that have left, and the zones that were taken out, since
// an earlier snapshot.
func (r *Roster) DeparturesSince(since *Snapshot) []Departure {
	var all []Departure
	for id, was := range since.Targets {
		switch t := r.targets[id]; {
		case t == nil:
			all = append(all, Departure{ID: id, Revision: max(r.gone[id], was.Revision), Removed: true})
		case t.Draining && !was.Draining:
			all = append(all, Departure{ID: id, Revision: t.Revision})
		}
	}
	for z := range r.out {
		if !since.ZonesOut[z] {
			all = append(all, Departure{Zone: z, Revision: max(r.outAt[z], since.Revision+1)})
		}
	}
	slices.SortFunc(all, func(a, b Departure) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Zone, b.Zone)) })
	return all
}

// ApplyDepartures takes departures in ahead of all else that is published up to their
// revisions, which is why it raises none: what was missed is still asked for. It
// reports whether something has changed.
func (r *Roster) ApplyDepartures(all []Departure) bool {
	before := r.current
	for _, d := range all {
		t := r.targets[d.ID]
		switch {
		case d.Zone != "":
			if d.Revision > max(r.outAt[d.Zone], r.revision) {
				r.takeOut(d.Zone, true, d.Revision)
			}
		case t == nil || t.Revision > d.Revision:
		case d.Removed:
			r.drop(d.ID, d.Revision)
		case !t.Draining:
			left := *t
			left.Draining, left.Revision = true, d.Revision
			r.targets[d.ID] = &left
			r.publish()
		}
	}
	return r.current != before
}
