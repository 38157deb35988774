package origin

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
)

// other is a second other host.
var other = netip.MustParseAddrPort("10.0.0.3:9")

// Guards against a flood of streams that takes memory without bound.
func TestRecordsAreBounded(t *testing.T) {
	l := NewLog()
	for key := range uint64(3 * generationSize) {
		l.Record(start, key+1, "v1")
		if len(l.recent)+len(l.former) > 2*generationSize {
			t.Fatalf("%d records", len(l.recent)+len(l.former))
		}
	}
	newest := []uint64{3 * generationSize}
	assert.DeepEqual(t, l.Find(start, newest), []Begun{{newest[0], "v1", 0}})
}

func TestRecordsLastAsLongAsStreamsMayGoOn(t *testing.T) {
	l := NewLog()
	l.SetLife(20 * time.Second)
	life := lifeFactor*20*time.Second + lifeMargin
	now := start
	// Records are dropped while others are made.
	for key := range uint64(500) {
		l.Record(now, key+1, "v1")
		now = now.Add(time.Second)
		for old := range key + 1 {
			_, known := l.get(now, old+1)
			age := now.Sub(start.Add(time.Duration(old) * time.Second))
			assert.Equal(t, known, age <= life, "age %s", age)
		}
	}
	keys := l.Keys(now)
	slices.Sort(keys)
	assert.Equal(t, len(slices.Compact(keys)), len(l.Keys(now)))
	assert.Equal(t, len(keys), int(life/time.Second))
}

func TestLatestRecordOfAStreamCounts(t *testing.T) {
	const key = 7
	for _, c := range []struct {
		name    string
		own     time.Duration // age of this host's record
		told    []Begun
		version string
	}{
		{"another host has a newer one", 2 * time.Second, []Begun{{key, "v2", time.Second}}, "v2"},
		{"another host has an older one", time.Second, []Begun{{key, "v2", 2 * time.Second}}, "v1"},
		{"another host tells of two in one message", time.Second, []Begun{{key, "v2", 0}, {key, "v3", 0}}, "v3"},
		{"another host has one of the future", time.Second, []Begun{{key, "v2", -time.Hour}}, "v2"},
		{"another host has one that is too old", 0, []Begun{{key, "v2", time.Hour}}, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLog()
			l.Record(start.Add(-c.own), key, "v1")
			l.Merge(start, peer, c.told)
			r, ok := l.get(start, key)
			assert.Assert(t, ok && !r.at.After(start))
			assert.Equal(t, r.version, c.version)
		})
	}
}

func TestOtherHostsAreAskedBeforeTargets(t *testing.T) {
	const key, part = 7, 9
	mixed := snapshot(map[string]string{"a": "v1", "c": "v2"})
	for _, c := range []struct {
		name    string
		answer  func(s *Store, now time.Time)
		after   time.Duration
		verdict Verdict
		version string
	}{
		{"no host has answered", func(*Store, time.Time) {}, MaxAskTime / 2, Pending, ""},
		{"one of two hosts has answered", func(s *Store, _ time.Time) { s.RecordAnswered([]uint64{key}) }, MaxAskTime / 2, Pending, ""},
		{"one of two hosts knows it", func(s *Store, now time.Time) {
			s.Merge(now, peer, []Begun{{key, "v2", time.Second}})
			s.RecordAnswered([]uint64{key})
		}, MaxAskTime / 2, Known, "v2"},
		{"no host knows it", func(s *Store, _ time.Time) {
			s.RecordAnswered([]uint64{key})
			s.RecordAnswered([]uint64{key})
		}, MaxAskTime / 2, Known, "v1"},
		{"no host answers in time", func(*Store, time.Time) {}, MaxAskTime, Known, "v1"},
		{"a host knows of a target that is gone, and of sessions", func(s *Store, now time.Time) {
			s.MergeLost(now, []Lost{{Target: "d", Service: "s", Version: "v2", Age: time.Second}})
			s.SetSessions([]string{"s"})
			s.RecordAnswered([]uint64{key, key})
		}, MaxAskTime / 2, Unknown, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.SetTargets(start, mixed)
			s.SetOtherHosts([]netip.AddrPort{peer, other}, 2)
			stream := Stream{Service: "s", Key: key, Part: part, AskedAt: start}
			assert.Equal(t, s.Find(start, stream).Verdict, Pending)
			assert.DeepEqual(t, s.TakeQuestions(start, 2), []uint64{key})
			assert.Assert(t, !s.HasQuestions())
			s.TargetsToList(start, "s", start)
			s.RecordParts("a", []model.PromptPart{part})
			s.RecordParts("c", []model.PromptPart{})
			c.answer(s, start)
			found := s.Find(start.Add(c.after), stream)
			assert.Equal(t, found.Verdict, c.verdict)
			assert.Equal(t, found.Version, c.version)
		})
	}
}

// Guards against callers that come back to the same refusal: hosts that were cut off may have
// met since.
func TestHostsAreAskedAgainForAStreamThatIsTakenUpAgain(t *testing.T) {
	s := New()
	s.SetTargets(start, snapshot(map[string]string{"a": "v1", "c": "v2"}))
	s.SetOtherHosts([]netip.AddrPort{peer}, 1)
	stream := Stream{Service: "s", Key: 7, AskedAt: start}
	s.Find(start, stream)
	s.TakeQuestions(start, 1)
	s.RecordAnswered([]uint64{7})
	assert.Equal(t, s.Find(start, stream).Verdict, Unknown)
	stream.AskedAt = start.Add(3 * time.Second)
	assert.Equal(t, s.Find(stream.AskedAt, stream).Verdict, Pending)
	assert.Assert(t, s.HasQuestions())
	s.Merge(stream.AskedAt, netip.AddrPort{}, []Begun{{7, "v2", 3 * time.Second}})
	assert.Equal(t, s.Find(stream.AskedAt, stream).Version, "v2")
}

// Guards against questions for streams that nobody has begun, as many as a caller likes.
func TestQuestionsAreBounded(t *testing.T) {
	s := New()
	s.SetTargets(start, snapshot(map[string]string{"a": "v1", "c": "v2"}))
	s.SetOtherHosts([]netip.AddrPort{peer}, 1)
	for key := range uint64(2 * maxQuestions) {
		s.Find(start, Stream{Service: "s", Key: key + 1, AskedAt: start})
	}
	assert.Equal(t, len(s.questions), maxQuestions)
	assert.Equal(t, len(s.TakeQuestions(start, 1)), maxAsked)
	for s.HasQuestions() {
		s.TakeQuestions(start, 1)
	}
	s.TakeQuestions(start.Add(questionLife+time.Second), 1)
	assert.Equal(t, len(s.questions), 0)
}

func TestGroupedStreamsAreTheSame(t *testing.T) {
	begun := []Begun{{1, "v1", time.Second}, {2, "v2", 0}, {3, "v1", 1500 * time.Microsecond}, {4, "v2", -time.Second}, {1 << 63, "", time.Hour}}
	groups := GroupByVersion(begun)
	assert.Equal(t, len(groups), 3)
	assert.DeepEqual(t, Ungroup(groups), []Begun{{1, "v1", time.Second}, {3, "v1", 2 * time.Millisecond}, {2, "v2", 0}, {4, "v2", 0}, {1 << 63, "", time.Hour}})
	assert.Equal(t, len(Ungroup([]Group{{Version: "v1", Keys: []uint64{1, 2}, Ages: []uint32{1}}})), 1)
}

// Guards against a grant that its host has not heard of: the host led itself meanwhile and sent
// the stream elsewhere, and the leader had it go on at the version that it had granted.
func TestGrantIsNoRecordUntilItsHostHasTold(t *testing.T) {
	const key = 7
	for _, c := range []struct {
		name    string
		targets map[string]string
		telling []netip.AddrPort
		told    []Begun
		verdict Verdict
		version string
	}{
		{"not told yet", map[string]string{"a": "v1", "c": "v2"}, []netip.AddrPort{peer}, nil, Unknown, ""},
		{"told", map[string]string{"a": "v1", "c": "v2"}, []netip.AddrPort{peer}, []Begun{{key, "v1", 0}}, Known, "v1"},
		{"told, by a clock that is behind", map[string]string{"a": "v1", "c": "v2"}, []netip.AddrPort{peer}, []Begun{{key, "v1", 2 * time.Second}}, Known, "v1"},
		{"sent elsewhere", map[string]string{"a": "v1", "c": "v2"}, []netip.AddrPort{peer}, []Begun{{key, "v2", 0}}, Known, "v2"},
		{"granted once more since", map[string]string{"a": "v1", "c": "v2"}, []netip.AddrPort{peer}, []Begun{{key, "v2", 2 * time.Second}}, Unknown, ""},
		{"the host is of a version that does not tell", map[string]string{"a": "v1", "c": "v2"}, nil, nil, Known, "v1"},
		{"one version", map[string]string{"a": "v1"}, []netip.AddrPort{peer}, nil, Known, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.SetTargets(start, snapshot(c.targets))
			s.SetOtherHosts(c.telling, 0)
			s.RecordGrant(start, key, "v1", peer)
			now := start.Add(time.Second)
			s.Merge(now, peer, c.told)
			found := s.Find(now, Stream{Service: "s", Key: key, AskedAt: now})
			assert.Equal(t, found.Verdict, c.verdict)
			assert.Equal(t, found.Version, c.version)
			assert.Equal(t, len(s.FindBegun(now, []uint64{key})) == 1, c.verdict == Known && (len(c.told) > 0 || c.telling == nil))
		})
	}
}

// Guards against forgetting what began a stream when it is taken up: its next host may be lost
// before it tells.
func TestGrantAtTheKnownVersionKeepsTheRecord(t *testing.T) {
	const key = 7
	s := New()
	s.SetTargets(start, snapshot(map[string]string{"a": "v1", "c": "v2"}))
	s.SetOtherHosts([]netip.AddrPort{peer, other}, 0)
	s.Merge(start, peer, []Begun{{key, "v1", 0}})
	now := start.Add(time.Second)
	s.RecordGrant(now, key, "v1", other)
	found := s.Find(now, Stream{Service: "s", Key: key, AskedAt: now})
	assert.Equal(t, found.Version, "v1")
	assert.Equal(t, found.Age, time.Duration(0))
	s.RecordGrant(now, key, "v2", other)
	assert.Equal(t, s.Find(now, Stream{Service: "s", Key: key, AskedAt: now}).Verdict, Unknown)
}
