package roster

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func target(id string, revision uint64) Target {
	return Target{ID: id, Service: "s", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Revision: revision}
}

func usableIDs(r *Roster) []string {
	ids := []string{}
	for _, t := range r.Snapshot().ForService("s") {
		ids = append(ids, t.ID)
	}
	return ids
}

func TestUpdatesInAnyOrder(t *testing.T) {
	draining := target("x", 7)
	draining.Draining = true
	for _, c := range []struct {
		name   string
		update func(r *Roster)
		want   []string
	}{
		{"put", func(r *Roster) { r.Put(target("x", 5)) }, []string{"x"}},
		{"draining", func(r *Roster) { r.Put(target("x", 5)); r.Put(draining) }, []string{}},
		{"delayed update from before draining", func(r *Roster) { r.Put(draining); r.Put(target("x", 5)) }, []string{}},
		{"removed", func(r *Roster) { r.Put(target("x", 5)); r.Remove(now, "x", Position{Revision: 6}, false) }, []string{}},
		{"delayed update of a removed entry", func(r *Roster) {
			r.Put(target("x", 5))
			r.Remove(now, "x", Position{Revision: 6}, false)
			r.Put(target("x", 5))
		}, []string{}},
		{"delayed removal of an earlier entry", func(r *Roster) { r.Put(target("x", 8)); r.Remove(now, "x", Position{Revision: 6}, false) }, []string{"x"}},
		{"published again under its ID", func(r *Roster) {
			r.Put(target("x", 5))
			r.Remove(now, "x", Position{Revision: 6}, false)
			r.Put(target("x", 9))
		}, []string{"x"}},
		{"delayed update of a previous run", func(r *Roster) {
			current, previous := draining, target("x", 9)
			current.Born, previous.Born = 200, 100
			r.Put(current)
			r.Put(previous)
		}, []string{}},
		{"listing without it", func(r *Roster) {
			r.Put(target("x", 5))
			r.Replace(now, Position{Revision: 9}, []Target{target("y", 8)}, nil, ListingOptions{Outage: false})
		}, []string{"y"}},
		{"older listing without it", func(r *Roster) {
			r.Put(target("x", 5))
			r.Replace(now, Position{Revision: 4}, nil, nil, ListingOptions{Outage: false})
		}, []string{"x"}},
		{"zone out", func(r *Roster) { r.Put(target("x", 5)); r.SetZoneOut("a", true, Position{Revision: 6}) }, []string{}},
		{"zone back", func(r *Roster) {
			r.Put(target("x", 5))
			r.SetZoneOut("a", true, Position{Revision: 6})
			r.SetZoneOut("a", false, Position{Revision: 7})
		}, []string{"x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			c.update(r)
			assert.DeepEqual(t, usableIDs(r), c.want)
		})
	}
}

func TestEntriesThatLapseDuringAnOutageExpire(t *testing.T) {
	r := New()
	r.Put(target("x", 5))
	r.Put(target("y", 5))
	r.Replace(now, Position{Revision: 9}, nil, nil, ListingOptions{Outage: true})
	assert.DeepEqual(t, usableIDs(r), []string{"x", "y"})
	r.Put(target("x", 10)) // it has republished its entry
	r.Expire(now.Add(ReturnGrace-time.Millisecond), now)
	assert.DeepEqual(t, usableIDs(r), []string{"x", "y"})
	r.Expire(now.Add(ReturnGrace), now)
	assert.DeepEqual(t, usableIDs(r), []string{"x"})
}

func TestSnapshotsDoNotChange(t *testing.T) {
	r := New()
	r.Put(target("x", 5))
	before := r.Snapshot()
	r.SetZoneOut("a", true, Position{Revision: 6})
	r.Remove(now, "x", Position{Revision: 7}, false)
	assert.Equal(t, len(before.ForService("s")), 1)
}

// A peer that applies the changes since its revision has the same state.
func TestChangesSinceARevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := New(), New()
		revision := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			id := string(rune('a' + rapid.IntRange(0, 4).Draw(t, "id")))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				next := target(id, revision)
				next.Draining = rapid.Bool().Draw(t, "draining")
				source.Put(next)
			case 2:
				source.Remove(now, id, Position{Revision: revision}, false)
			case 3:
				source.SetZoneOut("a", rapid.Bool().Draw(t, "out"), Position{Revision: revision})
			}
			if rapid.Bool().Draw(t, "sync") {
				peer.Apply(now, source.ChangesSince(now, peer.Position()))
				assert.DeepEqual(t, usableIDs(peer), usableIDs(source))
				assert.Equal(t, peer.Position(), source.Position())
			}
		}
	})
}

func TestDepartures(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reader, peer := New(), New()
	for _, r := range []*Roster{reader, peer} {
		for i, id := range []string{"a", "b", "c"} {
			r.Put(Target{ID: id, Service: "s", Revision: uint64(i + 1)})
		}
	}
	before := reader.Snapshot()
	reader.Put(Target{ID: "d", Service: "s", Revision: 4}) // missed by the peer
	reader.Put(Target{ID: "a", Service: "s", Revision: 5, Draining: true})
	reader.Remove(now, "b", Position{Revision: 6}, false)
	departures := reader.DeparturesSince(before)
	assert.DeepEqual(t, departures, []Departure{{ID: "a", Revision: 5}, {ID: "b", Revision: 6, Removed: true}})
	assert.Assert(t, peer.ApplyDepartures(now, departures))
	assert.Assert(t, !peer.ApplyDepartures(now, departures), "the departures are already known")
	s := peer.Snapshot()
	assert.Assert(t, s.Usable("a") == nil && s.Usable("b") == nil && s.Usable("c") != nil)
	assert.Equal(t, peer.Position(), Position{Revision: 3}, "the missed change is still to be fetched")
	changes := reader.ChangesSince(now, peer.Position())
	assert.Assert(t, !changes.Whole)
	peer.Apply(now, changes)
	assert.Assert(t, peer.Snapshot().Usable("d") != nil && peer.Snapshot().Usable("a") == nil)
	// A delayed departure must not remove a target that was published again.
	peer.Put(Target{ID: "b", Service: "s", Revision: 7, Born: 2})
	assert.Assert(t, !peer.ApplyDepartures(now, departures))
	assert.Assert(t, peer.Snapshot().Usable("b") != nil)
}

func TestZoneDepartureIsAppliedAheadOfOtherChanges(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reader, peer := New(), New()
	for _, r := range []*Roster{reader, peer} {
		r.Put(Target{ID: "a", Service: "s", Zone: "z", Revision: 3})
	}
	before := reader.Snapshot()
	reader.Put(Target{ID: "b", Service: "s", Zone: "y", Revision: 4})
	reader.SetZoneOut("z", true, Position{Revision: 6})
	departures := reader.DeparturesSince(before)
	assert.DeepEqual(t, departures, []Departure{{Zone: "z", Revision: 6}})
	assert.Assert(t, peer.ApplyDepartures(now, departures))
	assert.Assert(t, peer.Snapshot().Usable("a") == nil)
	assert.Equal(t, peer.Position(), Position{Revision: 3})
	// Changes up to an earlier revision must not bring the zone back.
	peer.Apply(now, Changes{Position: Position{Revision: 5}})
	assert.Assert(t, peer.Snapshot().Usable("a") == nil)
	peer.Apply(now, Changes{Position: Position{Revision: 7}})
	assert.Assert(t, peer.Snapshot().Usable("a") != nil, "the zone is back in service")
	assert.Assert(t, !peer.ApplyDepartures(now, departures), "a delayed departure")
	assert.Assert(t, peer.Snapshot().Usable("a") != nil)
}

// A roster that lists anew has not seen what came and went in between, and must not
// pretend to know all changes.
func TestTargetThatLeftBetweenTwoListingsLeavesPeersToo(t *testing.T) {
	reader, peer := New(), New()
	reader.Replace(now, Position{Revision: 1}, nil, nil, ListingOptions{})
	peer.Replace(now, Position{Revision: 2}, []Target{target("x", 2)}, nil, ListingOptions{})
	reader.Replace(now, Position{Revision: 3}, nil, nil, ListingOptions{})
	peer.Apply(now, reader.ChangesSince(now, peer.Position()))
	assert.DeepEqual(t, usableIDs(peer), []string{})
}

// A departure is told ahead of other changes. A peer to which it is passed on must still
// fetch the changes before it.
func TestDepartureThatIsPassedOnSkipsNoChanges(t *testing.T) {
	between, peer := New(), New()
	between.Replace(now, Position{Revision: 2}, []Target{target("x", 2)}, nil, ListingOptions{})
	between.ApplyDepartures(now, []Departure{{ID: "x", Revision: 9}})
	peer.Apply(now, between.ChangesSince(now, peer.Position()))
	assert.DeepEqual(t, usableIDs(peer), []string{})
	assert.Equal(t, peer.Position(), between.Position())
}

// A host that missed a removal in the former era must learn of it with the first list of the
// next one, not use the target as one that has yet to publish its entry again.
func TestTargetThatAPeerKnowsAsGoneIsNotUsedInTheNextEra(t *testing.T) {
	for _, inCopy := range []bool{true, false} {
		sender, behind := New(), New()
		for _, r := range []*Roster{sender, behind} {
			r.Replace(now, Position{1, 5}, []Target{{ID: "x", Service: "s", Era: 1, Revision: 5, Born: 1}}, nil, ListingOptions{})
		}
		sender.Remove(now, "x", Position{1, 9}, false)
		var restored []Target
		if inCopy {
			restored = append(restored, Target{ID: "x", Service: "s", Era: 2, Revision: 5, Born: 1})
		}
		sender.Replace(now, Position{2, 6}, restored, nil, ListingOptions{})
		behind.Apply(now, sender.ChangesSince(now, behind.Position()))
		assert.DeepEqual(t, usableIDs(behind), []string{})
		behind.Settle(now.Add(RestoreGrace))
		assert.Equal(t, len(usableIDs(behind)) > 0, inCopy, "an entry that still stands belongs to a live target")
	}
}
