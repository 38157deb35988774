// Package notice keeps what targets say of themselves in their answers: that they
// leave, and that they want nothing from a host for a time. It answers servers
// that shut down or are overloaded while what is published of them is late. It is
// pure; one goroutine owns a Book, others read the Bound of their host.
package notice

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/roster"
)

// Bounds of what is kept.
const (
	// MaxPause bounds a pause: one answer takes a target from a host no longer
	// than a content that crashes targets is refused.
	MaxPause = 10 * time.Minute
	// maxTargets bounds the targets of which something is kept: several times
	// those of the largest deployment, some 100 B each.
	maxTargets = 4096
	// maxHandover is how many notices a host hands to a new leader; 10 KB.
	maxHandover = 256
)

// Notice is what one answer of a target says of it. A zero Pause asks for none.
type Notice struct {
	Target  string        `cbor:"1,keyasint,omitempty"` // id
	Born    uint64        `cbor:"2,keyasint,omitempty"` // its lifetime, as published when the request was sent
	Leaving bool          `cbor:"3,keyasint,omitempty"`
	Pause   time.Duration `cbor:"4,keyasint,omitempty"` // from now on, for the host that got the answer
}

// Empty reports whether the notice says nothing.
func (n Notice) Empty() bool { return !n.Leaving && n.Pause <= 0 }

// State is what is known of one lifetime of a target. A nil State knows nothing.
type State struct {
	born    uint64
	heard   time.Time // last
	leaving bool
	pauses  map[netip.AddrPort]time.Time // ends, by host
}

// Leaving reports whether the target has said that it leaves.
func (k *State) Leaving() bool { return k != nil && k.leaving }

// PauseLeft is how much longer the target wants nothing from a host.
func (k *State) PauseLeft(now time.Time, host netip.AddrPort) time.Duration {
	if k == nil {
		return 0
	}
	return max(k.pauses[host].Sub(now), 0)
}

// PausesLeft lists how much longer the target wants nothing, for each host that it
// has told so.
func (k *State) PausesLeft(now time.Time) []time.Duration {
	if k == nil {
		return nil
	}
	var left []time.Duration
	for _, until := range k.pauses {
		if wait := until.Sub(now); wait > 0 {
			left = append(left, wait)
		}
	}
	return left
}

// covers reports whether a notice adds nothing for a host.
func (k *State) covers(now time.Time, host netip.AddrPort, n Notice) bool {
	return (k.leaving || !n.Leaving) && k.PauseLeft(now, host) >= n.Pause
}

// Store is all that is known. It outlives the entries of the roster: one that
// lapses and is back is the same lifetime.
type Store struct {
	targets map[string]*State // by id
}

// NewStore returns an empty book.
func NewStore() *Store { return &Store{targets: map[string]*State{}} }

// Record takes in a notice that a host was given, and reports whether it says
// something new.
func (b *Store) Record(now time.Time, host netip.AddrPort, n Notice) bool {
	n.Pause = min(n.Pause, MaxPause)
	if n.Empty() {
		return false
	}
	k := b.targets[n.Target]
	switch {
	case k == nil || n.Born > k.born:
		b.makeRoom()
		k = &State{born: n.Born, pauses: map[netip.AddrPort]time.Time{}}
		b.targets[n.Target] = k
	case n.Born < k.born:
		return false // of a former lifetime
	}
	k.heard = now
	if k.covers(now, host, n) {
		return false
	}
	k.leaving = k.leaving || n.Leaving
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(k.pauses[host]) {
		k.pauses[host] = until
	}
	return true
}

// makeRoom drops the target heard of longest ago if the book is full.
func (b *Store) makeRoom() {
	if len(b.targets) < maxTargets {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(b.targets)), func(x, y string) int {
		return cmp.Or(b.targets[x].heard.Compare(b.targets[y].heard), cmp.Compare(x, y))
	})
	delete(b.targets, oldest)
}

// Lookup gives what is known of a published target; nil for nothing. A later lifetime
// than the one that spoke is another process.
func (b *Store) Lookup(t *roster.Target) *State {
	if k := b.targets[t.ID]; k != nil && t.Born <= k.born {
		return k
	}
	return nil
}

// Handover gives what a host tells a new leader: all targets that leave, and the
// pauses that this host was asked for; the latest first if there are too many.
func (b *Store) Handover(now time.Time, host netip.AddrPort) []Notice {
	ids := slices.SortedFunc(maps.Keys(b.targets), func(x, y string) int {
		return cmp.Or(b.targets[y].heard.Compare(b.targets[x].heard), cmp.Compare(x, y))
	})
	var all []Notice
	for _, id := range ids {
		k := b.targets[id]
		n := Notice{Target: id, Born: k.born, Leaving: k.leaving, Pause: k.PauseLeft(now, host)}
		if !n.Empty() && len(all) < maxHandover {
			all = append(all, n)
		}
	}
	return all
}

// Restrictions is what binds one host: an immutable snapshot. A nil Restrictions binds nothing.
type Restrictions struct {
	targets map[string]bound
}

type bound struct {
	born    uint64
	leaving bool
	until   time.Time // end of the pause
}

// RestrictionsFor gives what binds a host. Pauses that are over are dropped from the book.
func (b *Store) RestrictionsFor(now time.Time, host netip.AddrPort) *Restrictions {
	s := &Restrictions{targets: map[string]bound{}}
	for id, k := range b.targets {
		maps.DeleteFunc(k.pauses, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
		if k.leaving || !k.pauses[host].IsZero() {
			s.targets[id] = bound{k.born, k.leaving, k.pauses[host]}
		}
	}
	return s
}

// Forbids reports whether the host must send the target nothing now.
func (s *Restrictions) Forbids(now time.Time, t *roster.Target) bool {
	if s == nil {
		return false
	}
	b, ok := s.targets[t.ID]
	return ok && t.Born <= b.born && (b.leaving || now.Before(b.until))
}

// Counts counts the targets that are known to leave and those that want nothing
// from the host now.
func (s *Restrictions) Counts(now time.Time) (leaving, paused int) {
	if s == nil {
		return 0, 0
	}
	for _, b := range s.targets {
		if b.leaving {
			leaving++
		}
		if now.Before(b.until) {
			paused++
		}
	}
	return leaving, paused
}
