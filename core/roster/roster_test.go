package roster

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func target(id string, revision uint64) Target {
	return Target{ID: id, Service: "s", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Revision: revision}
}

func ids(r *Roster) []string {
	names := []string{}
	for _, t := range r.Snapshot().ForService("s") {
		names = append(names, t.ID)
	}
	return names
}

func TestNewsInAnyOrder(t *testing.T) {
	draining := target("x", 7)
	draining.Draining = true
	for _, c := range []struct {
		name string
		news func(r *Roster)
		want []string
	}{
		{"put", func(r *Roster) { r.Put(target("x", 5)) }, []string{"x"}},
		{"draining", func(r *Roster) { r.Put(target("x", 5)); r.Put(draining) }, []string{}},
		{"late word of before draining", func(r *Roster) { r.Put(draining); r.Put(target("x", 5)) }, []string{}},
		{"gone", func(r *Roster) { r.Put(target("x", 5)); r.Remove(now, "x", 6, false) }, []string{}},
		{"late word of a gone one", func(r *Roster) {
			r.Put(target("x", 5))
			r.Remove(now, "x", 6, false)
			r.Put(target("x", 5))
		}, []string{}},
		{"late removal of a former entry", func(r *Roster) { r.Put(target("x", 8)); r.Remove(now, "x", 6, false) }, []string{"x"}},
		{"back under its id", func(r *Roster) {
			r.Put(target("x", 5))
			r.Remove(now, "x", 6, false)
			r.Put(target("x", 9))
		}, []string{"x"}},
		{"word of a former lifetime", func(r *Roster) {
			second, former := draining, target("x", 9)
			second.Born, former.Born = 200, 100
			r.Put(second)
			r.Put(former)
		}, []string{}},
		{"listing without it", func(r *Roster) {
			r.Put(target("x", 5))
			r.Replace(now, 9, []Target{target("y", 8)}, nil, false)
		}, []string{"y"}},
		{"older listing without it", func(r *Roster) {
			r.Put(target("x", 5))
			r.Replace(now, 4, nil, nil, false)
		}, []string{"x"}},
		{"zone out", func(r *Roster) { r.Put(target("x", 5)); r.SetZoneOut("a", true, 6) }, []string{}},
		{"zone back", func(r *Roster) {
			r.Put(target("x", 5))
			r.SetZoneOut("a", true, 6)
			r.SetZoneOut("a", false, 7)
		}, []string{"x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			c.news(r)
			assert.DeepEqual(t, ids(r), c.want)
		})
	}
}

func TestEntriesThatLapseWhileTheStoreIsAway(t *testing.T) {
	r := New()
	r.Put(target("x", 5))
	r.Put(target("y", 5))
	r.Replace(now, 9, nil, nil, true)
	assert.DeepEqual(t, ids(r), []string{"x", "y"})
	r.Put(target("x", 10)) // it has published itself again
	r.Expire(now.Add(ReturnGrace-time.Millisecond), now)
	assert.DeepEqual(t, ids(r), []string{"x", "y"})
	r.Expire(now.Add(ReturnGrace), now)
	assert.DeepEqual(t, ids(r), []string{"x"})
}

func TestSnapshotsDoNotChange(t *testing.T) {
	r := New()
	r.Put(target("x", 5))
	before := r.Snapshot()
	r.SetZoneOut("a", true, 6)
	r.Remove(now, "x", 7, false)
	assert.Equal(t, len(before.ForService("s")), 1)
}

// A peer that applies what has changed since its revision knows the same.
func TestChangesSinceARevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := New(), New()
		revision := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			id := string(rune('a' + rapid.IntRange(0, 4).Draw(t, "id")))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				next := target(id, revision)
				next.Draining = rapid.Bool().Draw(t, "draining")
				source.Put(next)
			case 2:
				source.Remove(now, id, revision, false)
			case 3:
				source.SetZoneOut("a", rapid.Bool().Draw(t, "out"), revision)
			}
			if rapid.Bool().Draw(t, "tell") {
				changed, gone, whole := source.ChangesSince(peer.Revision())
				out := slices.Collect(maps.Keys(source.Snapshot().ZonesOut))
				if whole {
					peer.Replace(now, source.Revision(), changed, out, false)
				} else {
					peer.ApplyChanges(now, source.Revision(), changed, gone, out)
				}
				assert.DeepEqual(t, ids(peer), ids(source))
				assert.Equal(t, peer.Revision(), source.Revision())
			}
		}
	})
}

func TestDepartures(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reader, other := New(), New()
	for _, r := range []*Roster{reader, other} {
		for i, id := range []string{"a", "b", "c"} {
			r.Put(Target{ID: id, Service: "s", Revision: uint64(i + 1)})
		}
	}
	before := reader.Snapshot()
	reader.Put(Target{ID: "d", Service: "s", Revision: 4}) // that the other misses
	reader.Put(Target{ID: "a", Service: "s", Revision: 5, Draining: true})
	reader.Remove(now, "b", 6, false)
	left := reader.DeparturesSince(before)
	assert.DeepEqual(t, left, []Departure{{ID: "a", Revision: 5}, {ID: "b", Revision: 6, Removed: true}})
	assert.Assert(t, other.ApplyDepartures(left))
	assert.Assert(t, !other.ApplyDepartures(left), "nothing new")
	s := other.Snapshot()
	assert.Assert(t, s.Usable("a") == nil && s.Usable("b") == nil && s.Usable("c") != nil)
	assert.Equal(t, other.Revision(), uint64(3), "what was missed is still asked for")
	changed, gone, whole := reader.ChangesSince(other.Revision())
	assert.Assert(t, !whole)
	other.ApplyChanges(now, reader.Revision(), changed, gone, nil)
	assert.Assert(t, other.Snapshot().Usable("d") != nil && other.Snapshot().Usable("a") == nil)
	// A late word of a departure does not take a target that is back.
	other.Put(Target{ID: "b", Service: "s", Revision: 7, Born: 2})
	assert.Assert(t, !other.ApplyDepartures(left))
	assert.Assert(t, other.Snapshot().Usable("b") != nil)
}

func TestZoneThatIsTakenOutIsKnownAheadOfTheRest(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reader, other := New(), New()
	for _, r := range []*Roster{reader, other} {
		r.Put(Target{ID: "a", Service: "s", Zone: "z", Revision: 3})
	}
	before := reader.Snapshot()
	reader.Put(Target{ID: "b", Service: "s", Zone: "y", Revision: 4})
	reader.SetZoneOut("z", true, 6)
	left := reader.DeparturesSince(before)
	assert.DeepEqual(t, left, []Departure{{Zone: "z", Revision: 6}})
	assert.Assert(t, other.ApplyDepartures(left))
	assert.Assert(t, other.Snapshot().Usable("a") == nil)
	assert.Equal(t, other.Revision(), uint64(3))
	// What another host knows of a time before does not bring it back.
	other.ApplyChanges(now, 5, nil, nil, nil)
	assert.Assert(t, other.Snapshot().Usable("a") == nil)
	other.ApplyChanges(now, 7, nil, nil, nil)
	assert.Assert(t, other.Snapshot().Usable("a") != nil, "taken back")
	assert.Assert(t, !other.ApplyDepartures(left), "a late word")
	assert.Assert(t, other.Snapshot().Usable("a") != nil)
}
