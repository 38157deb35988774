// Package origin determines which software version of a service began a stream. What two
// versions write does not fit together, so that a stream may go on only at the version
// that began it, whichever host its caller takes it up at. The package does no I/O; one
// goroutine owns a Store.
package origin

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
	"yuccadoor/core/roster"
)

// Timing of decisions.
const (
	// A caller that is refused tries again later, and may wait longer than operators keep
	// one request: a stream may be taken up for lifeFactor times the longest request, and
	// for lifeMargin, the sum of some refusals' Retry-After and of publishing delays.
	lifeFactor = 2
	lifeMargin = 10 * time.Second
	// initialLife is the longest life of a stream before a configuration is known.
	initialLife = time.Minute
	// ListInterval is the time between two listings of the parts that a target keeps,
	// each of which delays its work.
	ListInterval = 500 * time.Millisecond
	// maxListTime is how long a target may take to list its parts.
	maxListTime = 400 * time.Millisecond
)

// Stream identifies a stream that is to go on.
type Stream struct {
	Service string
	Key     uint64           // the same for all requests of the stream; 0 if unknown
	Part    model.PromptPart // last part of its prompt, its own or its session's; 0 if unknown
	AskedAt time.Time        // when its caller took it up
}

// Verdict is what is known of the version that began a stream.
type Verdict string

// Verdicts.
const (
	Known   Verdict = "Known"
	Pending Verdict = "Pending" // other hosts, or the service's targets, have not told yet
	Unknown Verdict = "Unknown"
)

// Source is what a version is known by.
type Source string

// Sources of a known version.
const (
	ByRecord  Source = "Record"  // a host has recorded it
	ByService Source = "Service" // the service had no other version
	ByParts   Source = "Parts"   // only targets of this version can have begun the stream
)

// Finding is what is known of the version that began a stream, and by what.
type Finding struct {
	Verdict Verdict
	Version string
	Source  Source
	Host    netip.AddrPort // that told of the record; invalid if this one made it
	Age     time.Duration  // of the record
	// Suspects are the versions of targets that may have begun the stream though they no
	// longer tell. They leave its version unknown if Sessions is set.
	Suspects []string
	Sessions bool // streams of the service are known to be turns of sessions
}

// Store is what the leader knows of all streams.
type Store struct {
	log     *Log
	targets *roster.Snapshot
	since   time.Time // from which on it is known what was published; zero before
	// outOfStep is set while other hosts may know of targets that this one does not.
	outOfStep bool
	// seen is when a version of a service was last published, by service.
	seen     map[string]map[string]time.Time
	markedAt time.Time          // when seen was last brought up to date
	listings map[string]listing // by target
	// lost holds the processes of targets that were published and are gone.
	lost       map[process]lostProcess
	turns      *turns
	telling    map[netip.AddrPort]bool // hosts that tell others of their streams
	otherHosts int                     // of these, those that are alive
	questions  map[uint64]*question    // to other hosts, by stream
	unasked    int                     // of the questions, those that no host was asked yet
}

// process is one run of a target.
type process struct {
	id   string
	born uint64
}

func processOf(t *roster.Target) process { return process{t.ID, t.Born} }

// lostProcess is a process of a target that is no longer published.
type lostProcess struct {
	service, version string
	at               time.Time // when it was last published
}

// listing is the answer of a target that was asked for the parts that it keeps.
type listing struct {
	askedAt  time.Time
	answered bool
	failed   bool // the target did not tell
	parts    map[model.PromptPart]bool
}

// New returns an empty store.
func New() *Store {
	return &Store{log: NewLog(), targets: roster.New().Snapshot(), seen: map[string]map[string]time.Time{}, listings: map[string]listing{}, lost: map[process]lostProcess{}, turns: newTurns(), questions: map[uint64]*question{}}
}

// SetLife sets the longest time that a request for a stream may take.
func (s *Store) SetLife(longest time.Duration) { s.log.SetLife(longest) }

// SetOutOfStep sets whether other hosts may know of targets that this one does not. What was
// published meanwhile is not known afterwards either.
func (s *Store) SetOutOfStep(now time.Time, on bool) {
	s.outOfStep = on
	if on {
		s.since = now
	}
}

// SetTargets replaces the published targets.
func (s *Store) SetTargets(now time.Time, targets *roster.Snapshot) {
	if s.since.IsZero() {
		s.since = now
	}
	s.markSeen(now) // the former ones were published until now
	s.markLost(now, targets)
	s.targets, s.markedAt = targets, time.Time{}
	s.markSeen(now)
	maps.DeleteFunc(s.listings, func(id string, _ listing) bool { return targets.Targets[id] == nil })
}

// markSeen records that the versions of the present targets are published now.
func (s *Store) markSeen(now time.Time) {
	if now.Equal(s.markedAt) {
		return
	}
	s.markedAt = now
	for _, t := range s.targets.Targets {
		s.markVersion(t.Service, t.Version, now)
	}
}

// markVersion records that a version of a service was published at a time.
func (s *Store) markVersion(service, version string, at time.Time) {
	if s.seen[service] == nil {
		s.seen[service] = map[string]time.Time{}
	}
	if at.After(s.seen[service][version]) {
		s.seen[service][version] = at
	}
}

// markLost records the processes that a new list of targets lacks.
func (s *Store) markLost(now time.Time, targets *roster.Snapshot) {
	for id, t := range s.targets.Targets {
		if next := targets.Targets[id]; next == nil || processOf(next) != processOf(t) || next.Version != t.Version {
			s.lost[processOf(t)] = lostProcess{t.Service, t.Version, now}
		}
	}
	maps.DeleteFunc(s.lost, func(p process, l lostProcess) bool {
		t := targets.Targets[p.id]
		returned := t != nil && processOf(t) == p && t.Version == l.version
		return returned || now.Sub(l.at) > s.log.life
	})
}

// Record records the version to which a request for a stream is sent.
func (s *Store) Record(now time.Time, key uint64, version string) { s.log.Record(now, key, version) }

// RecordGrant records the version of a target that a host was granted for a stream. If the
// host tells others of its streams, the record counts once it has told.
func (s *Store) RecordGrant(now time.Time, key uint64, version string, to netip.AddrPort) {
	if s.telling[to] {
		s.log.RecordGrant(now, key, version, to)
		return
	}
	s.log.Record(now, key, version)
}

// Merge records what another host knows of streams.
func (s *Store) Merge(now time.Time, from netip.AddrPort, begun []Begun) {
	s.log.Merge(now, from, begun)
}

// Find returns the version that began a stream: as recorded, as the only one that can
// have begun it, or as that of the targets that keep its prompt.
func (s *Store) Find(now time.Time, stream Stream) Finding {
	if r, ok := s.log.get(now, stream.Key); ok && (!r.granted || !s.WithSeveralVersions(now)[stream.Service]) {
		return Finding{Verdict: Known, Version: r.version, Source: ByRecord, Host: r.host, Age: now.Sub(r.at)}
	}
	version, ok := s.onlyVersion(now, stream.Service)
	ok = ok && !s.outOfStep
	switch {
	case ok && s.knowsAll(now):
		return Finding{Verdict: Known, Version: version, Source: ByService}
	case s.AwaitsHosts(now, stream):
		return Finding{Verdict: Pending}
	case ok && stream.Part == 0:
		// Without a prompt, nothing else can tell: a host that has just started goes by
		// what it has seen.
		return Finding{Verdict: Known, Version: version, Source: ByService}
	case stream.Part == 0:
		return Finding{Verdict: Unknown}
	}
	return s.findByParts(now, stream)
}

// knowsAll reports whether it is known what was published during the longest life of a
// stream.
func (s *Store) knowsAll(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= s.log.life
}

// onlyVersion returns the version of a service if no other is known to have been
// published during the longest life of a stream.
func (s *Store) onlyVersion(now time.Time, service string) (string, bool) {
	s.markSeen(now)
	only, found := "", false
	for version, at := range s.seen[service] {
		if now.Sub(at) > s.log.life {
			delete(s.seen[service], version)
			continue
		}
		if found {
			return "", false
		}
		only, found = version, true
	}
	return only, found
}

// findByParts returns the version whose targets keep the last part of a stream's prompt, by
// listings that were asked for after the stream was taken up.
func (s *Store) findByParts(now time.Time, stream Stream) Finding {
	keeping, suspects := map[string]bool{}, map[string]bool{}
	for id, t := range s.targets.Targets {
		if t.Service != stream.Service {
			continue
		}
		l := s.listings[id]
		switch waited := now.Sub(l.askedAt); {
		case l.askedAt.Before(stream.AskedAt), !l.answered && !l.failed && waited < maxListTime:
			return Finding{Verdict: Pending}
		case !l.answered:
			suspects[t.Version] = true
		case l.parts[stream.Part]:
			keeping[t.Version] = true
		}
	}
	for _, l := range s.lost {
		if l.service == stream.Service && now.Sub(l.at) <= s.log.life {
			suspects[l.version] = true
		}
	}
	return s.conclude(stream.Service, keeping, suspects)
}

// conclude returns the version that began a stream, given those whose targets keep its part
// and those with targets of which nobody knows. A part of one stream alone is kept only where
// that ran. The part of a session may be kept from an earlier turn, so that no target of
// another version may be left that can have begun the stream.
func (s *Store) conclude(service string, keeping, suspects map[string]bool) Finding {
	f := Finding{Verdict: Unknown, Sessions: s.HasSessions(service)}
	version := ""
	if len(keeping) == 1 {
		version = slices.Collect(maps.Keys(keeping))[0]
		delete(suspects, version)
	}
	f.Suspects = slices.Sorted(maps.Keys(suspects))
	if len(keeping) != 1 || f.Sessions && len(suspects) > 0 {
		return f
	}
	f.Verdict, f.Version, f.Source = Known, version, ByParts
	return f
}

// TargetsToList returns the targets of a service that are to list their parts, so that
// the version of a stream that was taken up at a time can be told, and takes them as
// asked.
func (s *Store) TargetsToList(now time.Time, service string, askedAt time.Time) []*roster.Target {
	var targets []*roster.Target
	for id, t := range s.targets.Targets {
		l, ok := s.listings[id]
		if t.Service != service || ok && (!l.askedAt.Before(askedAt) || now.Sub(l.askedAt) < ListInterval) {
			continue
		}
		s.listings[id] = listing{askedAt: now}
		targets = append(targets, t)
	}
	return targets
}

// RecordParts records the parts that a target keeps; nil if it did not tell.
func (s *Store) RecordParts(id string, parts []model.PromptPart) {
	l, ok := s.listings[id]
	if !ok {
		return
	}
	l.answered, l.failed, l.parts = parts != nil, parts == nil, map[model.PromptPart]bool{}
	for _, p := range parts {
		l.parts[p] = true
	}
	s.listings[id] = l
}
