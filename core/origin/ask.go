package origin

import (
	"maps"
	"net/netip"
	"time"
)

// Timing and limits of questions to other hosts.
const (
	// MaxAskTime is how long other hosts may take to tell what they know of a stream: many
	// round trips.
	MaxAskTime = 300 * time.Millisecond
	// askInterval is the time after which hosts are asked again for a stream that is taken up
	// again: those that were cut off may be back.
	askInterval = 500 * time.Millisecond
	// questionLife is how long answers count.
	questionLife = 10 * time.Second
	// maxQuestions limits the streams that are asked for at a time, and maxAsked those of one
	// message.
	maxQuestions = 4096
	maxAsked     = 256
)

// question is a stream of which this host has no record, and for which others are asked.
type question struct {
	askedAt time.Time // zero if it was not asked for yet
	waiting int       // hosts that have not answered
}

// SetOtherHosts sets the other hosts that tell of their streams, and the number of those that
// are alive and can be asked.
func (s *Store) SetOtherHosts(telling []netip.AddrPort, alive int) {
	s.telling, s.otherHosts = make(map[netip.AddrPort]bool, len(telling)), alive
	for _, h := range telling {
		s.telling[h] = true
	}
}

// AwaitsHosts reports whether other hosts may still tell the version of a stream. It has them
// asked if they were not yet.
func (s *Store) AwaitsHosts(now time.Time, stream Stream) bool {
	if s.otherHosts == 0 || stream.Key == 0 {
		return false
	}
	q, ok := s.questions[stream.Key]
	switch {
	case !ok && len(s.questions) >= maxQuestions:
		return false
	case !ok:
		q = &question{}
		s.questions[stream.Key] = q
		s.unasked++
	case !q.askedAt.IsZero() && q.askedAt.Before(stream.AskedAt.Add(-askInterval)):
		*q = question{}
		s.unasked++
	}
	return q.askedAt.IsZero() || q.waiting > 0 && now.Sub(q.askedAt) < MaxAskTime
}

// HasQuestions reports whether other hosts are to be asked for streams.
func (s *Store) HasQuestions() bool { return s.unasked > 0 }

// TakeQuestions returns streams that a number of other hosts are to be asked for, and takes
// them as asked.
func (s *Store) TakeQuestions(now time.Time, hosts int) []uint64 {
	maps.DeleteFunc(s.questions, func(_ uint64, q *question) bool {
		return !q.askedAt.IsZero() && now.Sub(q.askedAt) > questionLife
	})
	var keys []uint64
	for key, q := range s.questions {
		if len(keys) < maxAsked && q.askedAt.IsZero() {
			q.askedAt, q.waiting = now, hosts
			s.unasked--
			keys = append(keys, key)
		}
	}
	return keys
}

// RecordAnswered records that a host has told what it knows of streams that it was asked for.
func (s *Store) RecordAnswered(keys []uint64) {
	for _, key := range keys {
		if q := s.questions[key]; q != nil {
			q.waiting--
		}
	}
}

// Lost is a process of a target that is no longer published, as one host tells it to another.
type Lost struct {
	Target  string        `cbor:"1,keyasint,omitempty"`
	Born    uint64        `cbor:"2,keyasint,omitempty"`
	Service string        `cbor:"3,keyasint,omitempty"`
	Version string        `cbor:"4,keyasint,omitempty"`
	Age     time.Duration `cbor:"5,keyasint,omitempty"` // since it was last published
}

// maxLost limits the lost processes of one message.
const maxLost = 512

// Lost returns the processes that are gone and may have begun streams.
func (s *Store) Lost(now time.Time) []Lost {
	var lost []Lost
	for p, l := range s.lost {
		if age := now.Sub(l.at); age <= s.log.life && len(lost) < maxLost {
			lost = append(lost, Lost{p.id, p.born, l.service, l.version, age})
		}
	}
	return lost
}

// MergeLost records the processes that another host knows to be gone.
func (s *Store) MergeLost(now time.Time, lost []Lost) {
	for _, l := range lost {
		p, at := process{l.Target, l.Born}, now.Add(-max(l.Age, 0))
		t := s.targets.Targets[l.Target]
		if t != nil && processOf(t) == p && t.Version == l.Version || at.Before(s.lost[p].at) || now.Sub(at) > s.log.life {
			continue
		}
		s.lost[p] = lostProcess{l.Service, l.Version, at}
		s.markVersion(l.Service, l.Version, at)
	}
}

// Sessions returns the services whose streams are known to be turns of sessions.
func (s *Store) Sessions() []string {
	var services []string
	for service := range s.turns.services {
		services = append(services, service)
	}
	return services
}

// SetSessions records services whose streams another host knows to be turns of sessions.
func (s *Store) SetSessions(services []string) {
	for _, service := range services {
		s.turns.services[service] = true
	}
}

// WithSeveralVersions returns the services that had several versions during the longest life
// of a stream, as far as known.
func (s *Store) WithSeveralVersions(now time.Time) map[string]bool {
	s.markSeen(now)
	services := map[string]bool{}
	for service, versions := range s.seen {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > s.log.life })
		if len(versions) > 1 {
			services[service] = true
		}
	}
	return services
}

// FindBegun returns what is known of streams.
func (s *Store) FindBegun(now time.Time, keys []uint64) []Begun { return s.log.Find(now, keys) }

// Begun returns all streams that are known.
func (s *Store) Begun(now time.Time) []Begun { return s.log.Begun(now) }
