package roster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeStore is a store that can be restored, with the writers of its entries.
type fakeStore struct {
	position Position
	targets  map[string]Target
	zonesOut map[string]bool
	history  []func(r *Roster, now time.Time) // events of the present era
}

func (s *fakeStore) copy() *fakeStore {
	return &fakeStore{position: s.position, targets: maps.Clone(s.targets), zonesOut: maps.Clone(s.zonesOut)}
}

// list returns the entries, as of the present era, and the zones that are taken out.
func (s *fakeStore) list() (targets []Target, zonesOut []string) {
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		t.Era = s.position.Era
		targets = append(targets, t)
	}
	return targets, slices.Sorted(maps.Keys(s.zonesOut))
}

func (s *fakeStore) put(t Target) {
	s.position.Revision++
	t.setPosition(s.position)
	s.targets[t.ID] = t
	s.history = append(s.history, func(r *Roster, _ time.Time) { r.Put(t) })
}

func (s *fakeStore) remove(id string) {
	s.position.Revision++
	p := s.position
	delete(s.targets, id)
	s.history = append(s.history, func(r *Roster, now time.Time) { r.Remove(now, id, p, false) })
}

func (s *fakeStore) setZoneOut(zone string, out bool) {
	s.position.Revision++
	p := s.position
	delete(s.zonesOut, zone)
	if out {
		s.zonesOut[zone] = true
	}
	s.history = append(s.history, func(r *Roster, _ time.Time) { r.SetZoneOut(zone, out, p) })
}

// fleetModel is a fleet of rosters beside a store. Hosts 0 and 1 read it.
type fleetModel struct {
	now    time.Time
	store  *fakeStore
	backup *fakeStore
	truth  *fakeStore // what the writers last wrote, whatever the store has lost
	hosts  []*Roster
	read   []int // events of the present era that a reader has seen; -1 if it has to list
	born   uint64
	// withdrawn is the latest run of a target that a host has known as withdrawn.
	withdrawn []map[string]uint64
}

const modelReaders = 2

func newFleetModel(hosts int) *fleetModel {
	empty := &fakeStore{position: Position{1, 1}, targets: map[string]Target{}, zonesOut: map[string]bool{}}
	m := &fleetModel{now: now, store: empty, truth: empty.copy(), backup: empty.copy()}
	for range hosts {
		m.hosts, m.read, m.withdrawn = append(m.hosts, New()), append(m.read, -1), append(m.withdrawn, map[string]uint64{})
	}
	return m
}

func (m *fleetModel) write(change func(s *fakeStore)) {
	change(m.truth)
	change(m.store)
}

// restore restores the store from the copy.
func (m *fleetModel) restore() {
	era := m.store.position.Era + 1
	m.store = m.backup.copy()
	m.store.position.Era = era
	for i := range m.read {
		m.read[i] = -1
	}
}

// rewrite writes again what the store has lost of a target.
func (m *fleetModel) rewrite(id string) {
	written, ok := m.truth.targets[id]
	stored, listed := m.store.targets[id]
	switch {
	case !ok && listed:
		m.store.remove(id)
	case ok && (!listed || stored.Born != written.Born || stored.Draining != written.Draining):
		m.store.put(written)
	}
}

func (m *fleetModel) rewriteAll() {
	for _, id := range modelTargets {
		m.rewrite(id)
	}
	for _, z := range modelZones {
		if m.truth.zonesOut[z] != m.store.zonesOut[z] {
			m.store.setZoneOut(z, m.truth.zonesOut[z])
		}
	}
}

// readStore lets a reader list, or see the next events.
func (m *fleetModel) readStore(i int) {
	r, former := m.hosts[i], m.hosts[i].Position()
	if m.read[i] < 0 {
		targets, zonesOut := m.store.list()
		r.Replace(m.now, m.store.position, targets, zonesOut, ListingOptions{})
		m.announceLost(i, former)
	} else {
		for _, event := range m.store.history[m.read[i]:] {
			event(r, m.now)
		}
	}
	m.read[i] = len(m.store.history)
}

// announceLost sends what a restored store has lost to all hosts.
func (m *fleetModel) announceLost(from int, former Position) {
	r := m.hosts[from]
	if former == (Position{}) || former.Era == r.Position().Era {
		return
	}
	for _, other := range m.hosts {
		other.ApplyDepartures(m.now, r.LostDepartures())
	}
}

// fetch lets a host fetch from another that is ahead.
func (m *fleetModel) fetch(i, from int) {
	former := m.hosts[i].Position()
	if m.hosts[from].Position().After(former) {
		m.hosts[i].Apply(m.now, m.hosts[from].ChangesSince(m.now, former))
		m.announceLost(i, former)
	}
}

// checkWithdrawn checks that no host uses a run again that it has known as withdrawn.
func (m *fleetModel) checkWithdrawn(t *rapid.T) {
	for i, r := range m.hosts {
		for _, id := range modelTargets {
			known := r.Snapshot().Targets[id]
			if known != nil && !known.Draining {
				assert.Assert(t, known.Born > m.withdrawn[i][id], "host %d uses run %d of %s again", i, known.Born, id)
			}
			if known != nil && known.Draining {
				m.withdrawn[i][id] = max(m.withdrawn[i][id], known.Born)
			}
			// A target that writes again only after ReturnGrace has not been withdrawn.
			if gone, ok := r.tombstones[id]; ok && known == nil && m.truth.targets[id].Born != gone.born {
				m.withdrawn[i][id] = max(m.withdrawn[i][id], gone.born)
			}
		}
	}
}

func (m *fleetModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, r := range m.hosts {
		r.Settle(m.now)
	}
}

var (
	modelTargets = []string{"a", "b", "c", "d"}
	modelZones   = []string{"y", "z"}
)

func modelState(r *Roster) string {
	var state []string
	for _, id := range modelTargets {
		if t := r.Snapshot().Targets[id]; t != nil {
			state = append(state, fmt.Sprint(id, t.Born, t.Draining))
		}
	}
	return fmt.Sprint(state, slices.Sorted(maps.Keys(r.Snapshot().ZonesOut)))
}

func (m *fleetModel) step(t *rapid.T) {
	id := rapid.SampledFrom(modelTargets).Draw(t, "id")
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	current, alive := m.truth.targets[id]
	switch rapid.IntRange(0, 11).Draw(t, "operation") {
	case 0, 1:
		if !alive {
			m.born++
			m.write(func(s *fakeStore) { s.put(Target{ID: id, Service: "s", Zone: "z", Born: m.born}) })
		}
	case 2:
		if alive {
			current.Draining = true
			m.write(func(s *fakeStore) { s.put(current) })
		}
	case 3:
		if alive {
			m.write(func(s *fakeStore) { s.remove(id) })
		}
	case 4:
		z, out := rapid.SampledFrom(modelZones).Draw(t, "zone"), rapid.Bool().Draw(t, "out")
		m.write(func(s *fakeStore) { s.setZoneOut(z, out) })
	case 5:
		m.backup = m.store.copy()
	case 6:
		m.restore()
	case 7:
		m.rewrite(id)
	case 8, 9:
		m.readStore(i % modelReaders)
	case 10:
		m.fetch(i, rapid.IntRange(0, len(m.hosts)-1).Draw(t, "from"))
	case 11:
		if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			m.hosts[i], m.read[i], m.withdrawn[i] = New(), -1, map[string]uint64{}
		}
	}
	m.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
}

// Guards against an order of changes that a restored store turns back: hosts kept targets
// that had died, missed new ones, or used those again that had left.
func TestRostersFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(4)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.checkWithdrawn(t)
		}
		m.rewriteAll()
		for range 3 {
			for i := range m.hosts {
				if i < modelReaders {
					m.readStore(i)
				}
				m.fetch(i, 0)
				m.fetch(i, 1)
			}
			m.checkWithdrawn(t)
			m.advance(RestoreGrace)
			m.store.setZoneOut("y", m.truth.zonesOut["y"]) // some change, as any store sees
		}
		want := New()
		targets, zonesOut := m.store.list()
		want.Replace(m.now, m.store.position, targets, zonesOut, ListingOptions{})
		for i, r := range m.hosts {
			assert.Equal(t, modelState(r), modelState(want), "host %d", i)
		}
	})
}
