package origin

import (
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
	host    netip.AddrPort // that told this one; invalid if this host recorded it itself
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

// Merge records what another host knows of streams, unless newer records are known.
func (l *Log) Merge(now time.Time, from netip.AddrPort, begun []Begun) {
	for _, b := range begun {
		at := now.Add(-max(b.Age, 0))
		if r, ok := l.get(now, b.Key); b.Key == 0 || ok && at.Before(r.at) || now.Sub(at) > l.life {
			continue
		}
		l.put(now, b.Key, source{b.Version, from}, at)
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

// Find returns what is known of streams, without those that are not.
func (l *Log) Find(now time.Time, keys []uint64) []Begun {
	var begun []Begun
	for _, key := range keys {
		if r, ok := l.get(now, key); ok {
			begun = append(begun, Begun{key, r.version, now.Sub(r.at)})
		}
	}
	return begun
}
