package origin

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// generationSize limits the records of each of the two generations of a Log. At 4,000
// streams/s a generation covers a minute.
const generationSize = 1 << 18

// Begun is a stream that has begun, as one host tells it to another.
type Begun struct {
	Key     uint64        `cbor:"1,keyasint,omitempty"`
	Version string        `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"` // since its last request was granted
}

// Log holds the versions of streams for as long as they may go on.
type Log struct {
	life time.Duration // longest time between two requests of a stream
	// Records are dropped a generation at a time, when a life has passed or the recent one is
	// full, so that no number of streams takes more memory than two full generations.
	recent, former map[uint64]record
	rotatedAt      time.Time
	sources        map[source]*source // each once, so that records share them
}

// source is a version and where a record of it comes from.
type source struct {
	version string
	host    netip.AddrPort // that told this one, or was granted a target; invalid if this host sent the request
	// granted is set if this host, as the leader, has granted a target, and the host that asked
	// has not told of it yet: it may not have heard of the grant, and sent its request elsewhere.
	granted bool
}

type record struct {
	*source
	at time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{life: initialLife, recent: map[uint64]record{}, sources: map[source]*source{}}
}

// SetLife sets the longest time that a request for a stream may take.
func (l *Log) SetLife(longest time.Duration) { l.life = lifeFactor*longest + lifeMargin }

// Record records the version to which a request for a stream is sent. Until its first
// event has come, the last version counts.
func (l *Log) Record(now time.Time, key uint64, version string) {
	if key != 0 {
		l.put(now, key, source{version: version}, now)
	}
}

// RecordGrant records the version of a target that a host was granted for a stream, until the
// host tells of it. A stream that goes on at its version is known already.
func (l *Log) RecordGrant(now time.Time, key uint64, version string, to netip.AddrPort) {
	if key == 0 {
		return
	}
	s := source{version, to, true}
	if r, ok := l.get(now, key); ok && !r.granted && r.version == version {
		s = *r.source
	}
	l.put(now, key, s, now)
}

// Merge records what another host knows of streams, unless newer records are known.
func (l *Log) Merge(now time.Time, from netip.AddrPort, begun []Begun) {
	for _, b := range begun {
		at := now.Add(-max(b.Age, 0))
		r, ok := l.get(now, b.Key)
		confirms := ok && r.granted && r.version == b.Version
		if b.Key == 0 || ok && at.Before(r.at) && !confirms || now.Sub(at) > l.life {
			continue
		}
		l.put(now, b.Key, source{version: b.Version, host: from}, at)
	}
}

func (l *Log) put(now time.Time, key uint64, s source, at time.Time) {
	if now.Sub(l.rotatedAt) > l.life || len(l.recent) >= generationSize {
		l.former, l.recent, l.rotatedAt = l.recent, map[uint64]record{}, now
		l.forgetSources()
	}
	shared := l.sources[s]
	if shared == nil {
		shared = &s
		l.sources[s] = shared
	}
	l.recent[key] = record{shared, at}
}

// forgetSources drops the sources that no record has: hosts and versions come and go.
func (l *Log) forgetSources() {
	clear(l.sources)
	for _, r := range l.former {
		l.sources[*r.source] = r.source
	}
}

// get returns the record of a stream that may go on.
func (l *Log) get(now time.Time, key uint64) (record, bool) {
	r, ok := l.recent[key]
	if !ok {
		r, ok = l.former[key]
	}
	return r, ok && key != 0 && now.Sub(r.at) <= l.life
}

// Keys returns the keys of all streams that may go on.
func (l *Log) Keys(now time.Time) []uint64 {
	var keys []uint64
	for key := range l.recent {
		keys = append(keys, key)
	}
	for key := range l.former {
		if _, newer := l.recent[key]; !newer {
			keys = append(keys, key)
		}
	}
	return slices.DeleteFunc(keys, func(key uint64) bool {
		_, ok := l.get(now, key)
		return !ok
	})
}

// Begun returns all streams that may go on.
func (l *Log) Begun(now time.Time) []Begun { return l.Find(now, l.Keys(now)) }

// Find returns what is known of streams. Grants that were not confirmed are left out.
func (l *Log) Find(now time.Time, keys []uint64) []Begun {
	var begun []Begun
	for _, key := range keys {
		if r, ok := l.get(now, key); ok && !r.granted {
			begun = append(begun, Begun{key, r.version, now.Sub(r.at)})
		}
	}
	return begun
}

// Group is streams that have begun at one version, as hosts tell them to others often.
type Group struct {
	Version string   `cbor:"1,keyasint,omitempty"`
	Keys    []uint64 `cbor:"2,keyasint,omitempty"`
	// Ages are those of the streams since their last requests were granted, in milliseconds,
	// rounded up so that no record becomes newer than it is.
	Ages []uint32 `cbor:"3,keyasint,omitempty"`
}

// GroupByVersion returns streams in groups.
func GroupByVersion(begun []Begun) []Group {
	var groups []Group
	index := map[string]int{}
	for _, b := range begun {
		i, ok := index[b.Version]
		if !ok {
			i = len(groups)
			index[b.Version] = i
			groups = append(groups, Group{Version: b.Version})
		}
		age := min((max(b.Age, 0) + time.Millisecond - 1).Milliseconds(), math.MaxUint32)
		groups[i].Keys, groups[i].Ages = append(groups[i].Keys, b.Key), append(groups[i].Ages, uint32(age))
	}
	return groups
}

// Ungroup returns the streams of groups. Keys without an age are left out.
func Ungroup(groups []Group) []Begun {
	var begun []Begun
	for _, g := range groups {
		for i, key := range g.Keys[:min(len(g.Keys), len(g.Ages))] {
			begun = append(begun, Begun{key, g.Version, time.Duration(g.Ages[i]) * time.Millisecond})
		}
	}
	return begun
}
