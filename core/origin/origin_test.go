package origin

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/core/roster"
)

// peer is another host.
var peer = netip.MustParseAddrPort("10.0.0.2:9")

var start = time.Unix(1_700_000_000, 0)

// snapshot returns published targets, given as versions of a service by id.
func snapshot(versions map[string]string) *roster.Snapshot {
	r := roster.New()
	revision := uint64(0)
	for id, v := range versions {
		revision++
		r.Put(roster.Target{ID: id, Service: "s", Version: v, Revision: revision})
	}
	return r.Snapshot()
}

func TestVersionOfAStream(t *testing.T) {
	const key, part = 7, 9
	mixed := map[string]string{"a": "v1", "b": "v1", "c": "v2"}
	// list lets the targets list their parts; those that keep the stream's are named.
	list := func(s *Store, now time.Time, keeping ...string) {
		for _, target := range s.TargetsToList(now, "s", now) {
			s.RecordParts(target.ID, nil)
		}
		for _, id := range keeping {
			s.RecordParts(id, []model.PromptPart{1, part})
		}
	}
	for _, c := range []struct {
		name    string
		targets map[string]string
		age     time.Duration // of what is known of published targets
		prepare func(s *Store, now time.Time)
		part    model.PromptPart
		version string
		verdict Verdict
	}{
		{"recorded", mixed, 0, func(s *Store, now time.Time) { s.Record(now, key, "v2") }, 0, "v2", Known},
		{"sent to another version before its first event", mixed, 0, func(s *Store, now time.Time) {
			s.Record(now, key, "v1")
			s.Record(now, key, "v2")
		}, 0, "v2", Known},
		{"reported by its host", mixed, 0, func(s *Store, now time.Time) { s.Merge(now, peer, []Begun{{key, "v2", time.Second}}) }, 0, "v2", Known},
		{"a late report does not replace a record", mixed, 0, func(s *Store, now time.Time) {
			s.Record(now, key, "v1")
			s.Merge(now, peer, []Begun{{key, "v2", time.Second}})
		}, 0, "v1", Known},
		{"only version for long", map[string]string{"a": "v1"}, 2 * initialLife, nil, 0, "v1", Known},
		{"only version, as far as a host that has just started knows", map[string]string{"a": "v1"}, 0, nil, part, "", Pending},
		{"only version that is known of a service without prompts", map[string]string{"a": "v1"}, 0, nil, 0, "v1", Known},
		{"another version left a moment ago", mixed, 2 * initialLife, func(s *Store, now time.Time) {
			s.SetTargets(now, snapshot(map[string]string{"c": "v2"}))
		}, 0, "", Unknown},
		{"another version left long ago", mixed, 3 * initialLife, func(s *Store, now time.Time) {
			s.SetTargets(now.Add(-2*initialLife), snapshot(map[string]string{"c": "v2"}))
		}, 0, "v2", Known},
		{"not listed yet", mixed, 0, nil, part, "", Pending},
		{"listed before it was taken up", mixed, 0, func(s *Store, now time.Time) { list(s, now.Add(-time.Second), "a") }, part, "", Pending},
		{"kept by one version", mixed, 0, func(s *Store, now time.Time) { list(s, now, "a", "b") }, part, "v1", Known},
		{"kept by two versions", mixed, 0, func(s *Store, now time.Time) { list(s, now, "a", "c") }, part, "", Unknown},
		{"kept by none", mixed, 0, func(s *Store, now time.Time) { list(s, now) }, part, "", Unknown},
		{"targets without a version", map[string]string{"a": "", "b": "v1"}, 0, func(s *Store, now time.Time) { list(s, now, "a") }, part, "", Known},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			now := start
			s.SetTargets(now.Add(-c.age), snapshot(c.targets))
			if c.prepare != nil {
				c.prepare(s, now)
			}
			found := s.Find(now, Stream{Service: "s", Key: key, Part: c.part, AskedAt: now})
			assert.Equal(t, found.Verdict, c.verdict)
			assert.Equal(t, found.Version, c.version)
		})
	}
}

func TestTargetsAreNotAskedAllTheTime(t *testing.T) {
	s := New()
	s.SetTargets(start, snapshot(map[string]string{"a": "v1", "b": "v2"}))
	assert.Equal(t, len(s.TargetsToList(start, "s", start)), 2)
	assert.Equal(t, len(s.TargetsToList(start.Add(time.Millisecond), "s", start.Add(time.Millisecond))), 0)
	later := start.Add(ListInterval)
	assert.Equal(t, len(s.TargetsToList(later, "s", start)), 0, "the last listing is late enough")
	assert.Equal(t, len(s.TargetsToList(later, "s", later)), 2)
	// A target that does not tell holds up nothing.
	s.RecordParts("a", []model.PromptPart{3})
	stream := Stream{Service: "s", Part: 3, AskedAt: later}
	assert.Equal(t, s.Find(later, stream).Verdict, Pending)
	found := s.Find(later.Add(maxListTime), stream)
	assert.Equal(t, found.Verdict, Known)
	assert.Equal(t, found.Version, "v1")
}

// Guards against taking a target that keeps the last part of a session's prompts from an
// earlier turn for the one that began the stream: streams went on at another version.
func TestPartOfASessionIsNoProofWhileAnotherVersionMayHaveBegunTheStream(t *testing.T) {
	const part = 9
	both := map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2"}
	keeps, other := []model.PromptPart{part}, []model.PromptPart{1}
	for _, c := range []struct {
		name    string
		between func(s *Store) // after the targets were published, before the stream is taken up
		lists   map[string][]model.PromptPart
		version string // empty if it cannot be known
	}{
		{"all others are known not to keep it", nil, map[string][]model.PromptPart{"a": keeps, "b": other, "c": other, "d": other}, "v1"},
		{"one of the same version does not tell", nil, map[string][]model.PromptPart{"a": keeps, "b": nil, "c": other, "d": other}, "v1"},
		{"one of the other version does not tell", nil, map[string][]model.PromptPart{"a": keeps, "b": other, "c": other, "d": nil}, ""},
		{"one of the other version does not answer", nil, map[string][]model.PromptPart{"a": keeps, "b": other, "c": other}, ""},
		{"one of the other version is gone", func(s *Store) {
			s.SetTargets(start, snapshot(map[string]string{"a": "v1", "b": "v1", "c": "v2"}))
		}, map[string][]model.PromptPart{"a": keeps, "b": other, "c": other}, ""},
		{"one of the same version is gone", func(s *Store) {
			s.SetTargets(start, snapshot(map[string]string{"a": "v1", "c": "v2", "d": "v2"}))
		}, map[string][]model.PromptPart{"a": keeps, "c": other, "d": other}, "v1"},
		{"the other version is gone for long", func(s *Store) {
			s.SetTargets(start.Add(-2*initialLife), snapshot(map[string]string{"a": "v1", "b": "v1"}))
			s.SetTargets(start, snapshot(map[string]string{"a": "v1", "b": "v1", "e": "v3"}))
		}, map[string][]model.PromptPart{"a": keeps, "b": other, "e": other}, "v1"},
		{"one of the other version has started again", func(s *Store) {
			r := roster.New()
			for id, version := range both {
				r.Put(roster.Target{ID: id, Service: "s", Version: version, Revision: 1})
			}
			r.Put(roster.Target{ID: "d", Service: "s", Version: "v2", Revision: 2, Born: 1})
			s.SetTargets(start, r.Snapshot())
		}, map[string][]model.PromptPart{"a": keeps, "b": other, "c": other, "d": other}, ""},
		{"one of the other version was missing and is back", func(s *Store) {
			s.SetTargets(start, snapshot(map[string]string{"a": "v1", "b": "v1", "c": "v2"}))
			s.SetTargets(start, snapshot(both))
		}, map[string][]model.PromptPart{"a": keeps, "b": other, "c": other, "d": other}, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.SetTargets(start.Add(-4*initialLife), snapshot(both))
			if c.between != nil {
				c.between(s)
			}
			s.TargetsToList(start, "s", start)
			for id, parts := range c.lists {
				s.RecordParts(id, parts)
			}
			stream := Stream{Service: "s", Key: 7, Part: part, AskedAt: start}
			found := s.Find(start.Add(maxListTime), stream)
			assert.Equal(t, found.Version, "v1", "the part may be the stream's own")
			s.RecordTurn(start, "s", 6, part)
			s.ObserveTurn("s", 7, part)
			found = s.Find(start.Add(maxListTime), stream)
			assert.Equal(t, found.Version, c.version)
			assert.Equal(t, found.Verdict == Known, c.version != "")
		})
	}
}

func TestStreamsWithTheSameLastPartAreTurnsOfASession(t *testing.T) {
	const part, key = 9, 7
	for _, c := range []struct {
		name     string
		observe  func(s *Store)
		sessions bool
	}{
		{"another stream has begun with the part", func(s *Store) {
			s.RecordTurn(start, "s", key, part)
			s.ObserveTurn("s", key+1, part)
		}, true},
		{"another stream has begun with another part", func(s *Store) {
			s.RecordTurn(start, "s", key, part+1)
			s.ObserveTurn("s", key+1, part)
		}, false},
		{"the same stream is asked for again", func(s *Store) {
			s.RecordTurn(start, "s", key, part)
			s.ObserveTurn("s", key, part)
		}, false},
		{"another stream was asked for, but has not begun", func(s *Store) {
			s.ObserveTurn("s", key, part)
			s.ObserveTurn("s", key+1, part)
		}, false},
		{"another stream has begun long ago", func(s *Store) {
			s.RecordTurn(start.Add(-4*initialLife), "s", key, part)
			s.RecordTurn(start.Add(-2*initialLife), "s", key, part+1)
			s.RecordTurn(start, "s", key, part+2)
			s.ObserveTurn("s", key+1, part)
		}, false},
		{"prompts without parts", func(s *Store) {
			s.RecordTurn(start, "s", key, 0)
			s.ObserveTurn("s", key+1, 0)
		}, false},
		{"targets of two versions keep the part", func(s *Store) {
			s.RecordParts("a", []model.PromptPart{part})
			s.RecordParts("c", []model.PromptPart{part})
			s.ObserveKept("s", part)
		}, true},
		{"two targets of one version keep the part", func(s *Store) {
			s.RecordParts("a", []model.PromptPart{part})
			s.RecordParts("b", []model.PromptPart{part})
			s.ObserveKept("s", part)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.SetTargets(start, snapshot(map[string]string{"a": "v1", "b": "v1", "c": "v2"}))
			s.TargetsToList(start, "s", start)
			c.observe(s)
			assert.Equal(t, s.HasSessions("s"), c.sessions)
		})
	}
}
