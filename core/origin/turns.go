package origin

import (
	"time"

	"yuccadoor/core/model"
)

// turnsSize limits the turns of each of the two generations that are kept.
const turnsSize = 1 << 16

// turns detects whether the streams of a service are turns of sessions, which have the last
// parts of their prompts in common.
type turns struct {
	// recent and former hold a stream that had a part last, and has begun.
	recent, former map[model.PromptPart]uint64
	rotatedAt      time.Time
	services       map[string]bool // whose streams are turns of sessions
}

func newTurns() *turns {
	return &turns{recent: map[model.PromptPart]uint64{}, services: map[string]bool{}}
}

// RecordTurn records that a stream with a last part has begun.
func (s *Store) RecordTurn(now time.Time, service string, key uint64, part model.PromptPart) {
	t := s.turns
	if key == 0 || part == 0 || t.services[service] {
		return
	}
	if now.Sub(t.rotatedAt) > s.log.life || len(t.recent) >= turnsSize {
		t.former, t.recent, t.rotatedAt = t.recent, map[model.PromptPart]uint64{}, now
	}
	t.recent[part] = key
}

// ObserveTurn records that a new stream is asked for: if another one has begun with the same
// last part, both are turns of a session.
func (s *Store) ObserveTurn(service string, key uint64, part model.PromptPart) {
	t := s.turns
	if key == 0 || part == 0 || t.services[service] {
		return
	}
	known, ok := t.recent[part]
	if !ok {
		known, ok = t.former[part]
	}
	if ok && known != key {
		t.services[service] = true
	}
}

// ObserveKept records which versions of a service have targets that keep the last part of a
// stream. Targets of two versions do not run the same stream, so that they keep the part from
// different turns.
func (s *Store) ObserveKept(service string, part model.PromptPart) {
	if part == 0 || s.turns.services[service] {
		return
	}
	version, found := "", false
	for id, t := range s.targets.Targets {
		if t.Service != service || !s.listings[id].parts[part] {
			continue
		}
		if found && version != t.Version {
			s.turns.services[service] = true
			return
		}
		version, found = t.Version, true
	}
}

// HasSessions reports whether streams of a service are known to be turns of sessions.
func (s *Store) HasSessions(service string) bool { return s.turns.services[service] }
