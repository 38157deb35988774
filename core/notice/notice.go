// Package notice stores what targets report of themselves with their answers:
// that they are leaving, that a host should send them nothing for a time, how many
// requests they take from all hosts together, or how long they stay cold. This covers servers that shut down or
// are overloaded while the published list of targets is out of date. The package does no I/O; one goroutine owns a Store,
// and others read the Restrictions of their host.
package notice

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/roster"
)

// Limits of what is stored.
const (
	// MaxPause limits a pause: one answer keeps a host from a target no longer
	// than a content that crashes targets is refused.
	MaxPause = 10 * time.Minute
	// MinLimit is the lowest limit that is kept, in requests a second: only an answer
	// tells that a limit has ended.
	MinLimit = 0.1
	// maxTargets limits the number of targets in a Store: several times that of
	// the largest deployment, at some 100 B each.
	maxTargets = 4096
	// maxHandover is the number of notices that a host hands over to a new
	// leader, about 10 KB.
	maxHandover = 256
	// coldTolerance is the difference between two statements of the end of a cold phase
	// that counts as none: answers are delayed by different times.
	coldTolerance = 250 * time.Millisecond
	// brittleLife is how long a target counts as brittle after an answer that says so: all
	// its answers do while it is.
	brittleLife = 10 * time.Second
)

// Notice is what one answer of a target reports of the target. A zero Pause asks
// for none.
type Notice struct {
	Target  string        `cbor:"1,keyasint,omitempty"` // id
	Born    uint64        `cbor:"2,keyasint,omitempty"` // its lifetime, as published when the request was sent
	Leaving bool          `cbor:"3,keyasint,omitempty"`
	Pause   time.Duration `cbor:"4,keyasint,omitempty"` // from receipt on, for the host that received the answer
	// Limit is the number of requests a second that the target takes from all hosts
	// together; 0 if the answer names none.
	Limit float64 `cbor:"5,keyasint,omitempty"`
	// Unlimited is set if the target had named a limit and names none any more.
	Unlimited bool `cbor:"6,keyasint,omitempty"`
	// Cold is how long the target stays cold, from receipt on; 0 if it is warm or does
	// not say.
	Cold time.Duration `cbor:"7,keyasint,omitempty"`
	// Brittle is the number of requests that the target may have to turn away in a second;
	// with one more it fails. 0 if the answer names none.
	Brittle int `cbor:"8,keyasint,omitempty"`
}

// Empty reports whether the notice contains nothing.
func (n Notice) Empty() bool { return n.Pause <= 0 && !n.ForAllHosts() }

// ForAllHosts reports whether the notice contains something that concerns all hosts.
func (n Notice) ForAllHosts() bool {
	return n.Leaving || n.Limit > 0 || n.Unlimited || n.Cold > 0 || n.Brittle > 0
}

// State is what one lifetime of a target has reported of itself. A nil State has
// no reports.
type State struct {
	born       uint64
	lastNotice time.Time
	leaving    bool
	pauses     map[netip.AddrPort]time.Time // end of the pause, by host
	limit      float64                      // requests a second; 0 for none
	limitedAt  time.Time                    // when the limit became known
	coldUntil  time.Time                    // end of the cold phase
	brittle    int                          // see Notice; valid until brittleUntil
	// brittleUntil is when brittleness ends unless an answer names it again.
	brittleUntil time.Time
}

// Cold reports whether the target has reported that it is cold.
func (s *State) Cold(now time.Time) bool { return s != nil && now.Before(s.coldUntil) }

// Brittle returns the number of requests that the target may have to turn away in a second
// without failing, and whether there is such a number.
func (s *State) Brittle(now time.Time) (perSecond int, ok bool) {
	if s == nil || !now.Before(s.brittleUntil) {
		return 0, false
	}
	return s.brittle, true
}

// Limit returns the number of requests a second that the target takes from all hosts
// together, and whether there is such a limit.
func (s *State) Limit() (perSecond float64, ok bool) {
	if s == nil || s.limit == 0 {
		return 0, false
	}
	return s.limit, true
}

// Leaving reports whether the target has reported that it is leaving.
func (s *State) Leaving() bool { return s != nil && s.leaving }

// PauseLeft returns how much longer the target wants no requests from a host.
func (s *State) PauseLeft(now time.Time, host netip.AddrPort) time.Duration {
	if s == nil {
		return 0
	}
	return max(s.pauses[host].Sub(now), 0)
}

// PausesLeft returns how much longer each pause lasts that is not over, one for
// each host that was asked for it.
func (s *State) PausesLeft(now time.Time) []time.Duration {
	if s == nil {
		return nil
	}
	var left []time.Duration
	for _, until := range s.pauses {
		if wait := until.Sub(now); wait > 0 {
			left = append(left, wait)
		}
	}
	return left
}

// covers reports whether a notice adds nothing to the state for a host.
func (s *State) covers(now time.Time, host netip.AddrPort, n Notice) bool {
	return (s.leaving || !n.Leaving) && s.PauseLeft(now, host) >= n.Pause &&
		(n.Limit == 0 || n.Limit == s.limit) && (!n.Unlimited || s.limit == 0) &&
		(n.Brittle == 0 || n.Brittle == s.brittle && s.brittleUntil.Sub(now) > brittleLife/2) &&
		(n.Cold <= 0 || !now.Add(n.Cold).After(s.coldUntil.Add(coldTolerance)))
}

// setLimit applies what a notice says of the target's limit.
func (s *State) setLimit(now time.Time, n Notice) {
	switch {
	case n.Limit > 0:
		if s.limit == 0 {
			s.limitedAt = now
		}
		s.limit = n.Limit
	case n.Unlimited:
		s.limit = 0
	}
}

// Store holds the states of all targets. It keeps them when entries leave the
// roster: an entry that lapses and returns belongs to the same lifetime.
type Store struct {
	targets map[string]*State // by id
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{targets: map[string]*State{}} }

// Record stores a notice that a host received, and reports whether it was new.
func (s *Store) Record(now time.Time, host netip.AddrPort, n Notice) bool {
	n.Pause = min(n.Pause, MaxPause)
	if n.Limit > 0 {
		n.Limit = max(n.Limit, MinLimit)
	}
	if n.Empty() {
		return false
	}
	state := s.targets[n.Target]
	switch {
	case state == nil || n.Born > state.born:
		s.evictOldest()
		state = &State{born: n.Born, pauses: map[netip.AddrPort]time.Time{}}
		s.targets[n.Target] = state
	case n.Born < state.born:
		return false // from an earlier lifetime
	}
	state.lastNotice = now
	if state.covers(now, host, n) {
		return false
	}
	state.leaving = state.leaving || n.Leaving
	state.setLimit(now, n)
	if n.Brittle > 0 {
		state.brittle, state.brittleUntil = n.Brittle, now.Add(brittleLife)
	}
	if until := now.Add(n.Cold); n.Cold > 0 && until.After(state.coldUntil) {
		state.coldUntil = until
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(state.pauses[host]) {
		state.pauses[host] = until
	}
	return true
}

// evictOldest drops the target whose last notice is the oldest if the store is
// full.
func (s *Store) evictOldest() {
	if len(s.targets) < maxTargets {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.targets)), func(x, y string) int {
		return cmp.Or(s.targets[x].lastNotice.Compare(s.targets[y].lastNotice), cmp.Compare(x, y))
	})
	delete(s.targets, oldest)
}

// Lookup returns the state of a published target, or nil if there is none. A
// notice does not apply to a later lifetime than its own, which is another
// process.
func (s *Store) Lookup(t *roster.Target) *State {
	if state := s.targets[t.ID]; state != nil && t.Born <= state.born {
		return state
	}
	return nil
}

// Handover returns what a host reports to a new leader: all targets that are leaving,
// cold or have a limit, and the pauses that this host was asked for; the most recent ones if
// there are too many.
func (s *Store) Handover(now time.Time, host netip.AddrPort) []Notice {
	ids := slices.SortedFunc(maps.Keys(s.targets), func(x, y string) int {
		return cmp.Or(s.targets[y].lastNotice.Compare(s.targets[x].lastNotice), cmp.Compare(x, y))
	})
	var all []Notice
	for _, id := range ids {
		state := s.targets[id]
		n := Notice{Target: id, Born: state.born, Leaving: state.leaving, Pause: state.PauseLeft(now, host), Limit: state.limit, Cold: max(state.coldUntil.Sub(now), 0)}
		n.Brittle, _ = state.Brittle(now)
		if !n.Empty() && len(all) < maxHandover {
			all = append(all, n)
		}
	}
	return all
}

// Restrictions is an immutable snapshot of which targets one host must not send
// requests to. A nil Restrictions forbids nothing.
type Restrictions struct {
	targets map[string]restriction
}

// restriction is the restriction for one target.
type restriction struct {
	born    uint64
	leaving bool
	until   time.Time // end of the pause
	// limitedAt is when a limit became known here; zero for none.
	limitedAt time.Time
}

// RestrictionsFor returns the restrictions of a host. It drops pauses that are
// over from the store.
func (s *Store) RestrictionsFor(now time.Time, host netip.AddrPort) *Restrictions {
	r := &Restrictions{targets: map[string]restriction{}}
	for id, state := range s.targets {
		maps.DeleteFunc(state.pauses, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
		entry := restriction{born: state.born, leaving: state.leaving, until: state.pauses[host]}
		if state.limit > 0 {
			entry.limitedAt = state.limitedAt
		}
		if state.leaving || state.limit > 0 || !entry.until.IsZero() {
			r.targets[id] = entry
		}
	}
	return r
}

// Forbids reports whether the host must not send requests to the target now.
func (r *Restrictions) Forbids(now time.Time, t *roster.Target) bool {
	if r == nil {
		return false
	}
	entry, ok := r.targets[t.ID]
	return ok && t.Born <= entry.born && (entry.leaving || now.Before(entry.until))
}

// LimitedAt returns when the limit of a target became known; the zero time if it has
// none.
func (r *Restrictions) LimitedAt(t *roster.Target) time.Time {
	if r == nil {
		return time.Time{}
	}
	if entry, ok := r.targets[t.ID]; ok && t.Born <= entry.born {
		return entry.limitedAt
	}
	return time.Time{}
}

// Counts returns the number of targets that are leaving, and of those that want
// no requests from the host now.
func (r *Restrictions) Counts(now time.Time) (leaving, paused int) {
	if r == nil {
		return 0, 0
	}
	for _, entry := range r.targets {
		if entry.leaving {
			leaving++
		}
		if now.Before(entry.until) {
			paused++
		}
	}
	return leaving, paused
}
