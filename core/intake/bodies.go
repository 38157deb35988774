package intake

import (
	"cmp"
	"slices"
	"time"
)

// How the progress of a body is judged while the shared part is used up.
const (
	// stallTime without a byte makes a body one without progress. It is longer than the
	// retransmission of a lost segment, 200 ms, and the next one.
	stallTime = 700 * time.Millisecond
	// A body that has been read for slowAge at a lower rate than slowRate is slow. That is
	// the rate of each of 80 bodies on a shared link of 10 Mbit/s.
	slowAge  = time.Second
	slowRate = 16 << 10 // bytes a second
)

// Cause is why a body was not read, or not to its end.
type Cause string

// Causes. All but the first are those of bodies dropped in favor of another.
const (
	Full    Cause = "BodiesFull"    // there is no room for it
	Stalled Cause = "BodyStalled"   // no progress
	Slow    Cause = "BodySlow"      // the slowest
	Heavy   Cause = "WorkspaceFull" // its workspace holds most of the shared part
	Large   Cause = "BodyLarge"     // the newest large one, for an ordinary one
)

// ID identifies a body.
type ID uint64

// body is one body that is held.
type body struct {
	id         ID
	workspace  string
	reserved   int64
	read       int64
	started    time.Time
	progressed time.Time
	complete   bool // the body has been read whole: it is not dropped any more
}

// shared returns the part of the reservation that is taken from the shared part.
func (b *body) shared() int64 { return max(b.reserved-GuaranteedBytes, 0) }

// rate returns the bytes a second that have been read.
func (b *body) rate(now time.Time) float64 {
	return float64(b.read) / max(now.Sub(b.started).Seconds(), time.Millisecond.Seconds())
}

// Drop is a body that is given up.
type Drop struct {
	ID    ID
	Cause Cause
}

// Bodies is the account of the bodies that a host holds.
type Bodies struct {
	limits      Limits
	last        ID
	bodies      map[ID]*body
	shared      int64            // bytes taken from the shared part
	total       int64            // bytes reserved
	byWorkspace map[string]int64 // shared bytes
}

// NewBodies returns an empty account.
func NewBodies(l Limits) *Bodies {
	return &Bodies{limits: l, bodies: map[ID]*body{}, byWorkspace: map[string]int64{}}
}

// Held returns the bytes that are reserved.
func (a *Bodies) Held() int64 { return a.total }

// Number returns the number of bodies that are held.
func (a *Bodies) Number() int { return len(a.bodies) }

// Open reserves bytes for a new body of a workspace, and returns the bodies that are dropped
// for it. It returns false if there is no room.
func (a *Bodies) Open(now time.Time, workspace string, bytes int64) (ID, []Drop, bool) {
	b := &body{workspace: workspace, started: now, progressed: now}
	drops, ok := a.reserve(now, b, bytes)
	if !ok {
		return 0, nil, false
	}
	a.last++
	b.id = a.last
	a.bodies[b.id] = b
	return b.id, drops, true
}

// Grow reserves further bytes for a body. It returns false if there is no room, or if the
// body has been dropped.
func (a *Bodies) Grow(now time.Time, id ID, bytes int64) ([]Drop, bool) {
	b := a.bodies[id]
	if b == nil {
		return nil, false
	}
	return a.reserve(now, b, bytes)
}

// Shrink returns bytes of a body's reservation that it does not need.
func (a *Bodies) Shrink(id ID, bytes int64) {
	if b := a.bodies[id]; b != nil {
		a.add(b, -min(bytes, b.reserved))
	}
}

// Progress records that bytes of a body have been read.
func (a *Bodies) Progress(now time.Time, id ID, bytes int64) {
	if b := a.bodies[id]; b != nil && bytes > 0 {
		b.read += bytes
		b.progressed = now
	}
}

// Complete records that a body has been read whole. It returns false if the body has been
// dropped.
func (a *Bodies) Complete(id ID) bool {
	b := a.bodies[id]
	if b == nil {
		return false
	}
	b.complete = true
	return true
}

// Close removes a body that is no longer held.
func (a *Bodies) Close(id ID) {
	if b := a.bodies[id]; b != nil {
		a.remove(b)
	}
}

// add changes the reservation of a body.
func (a *Bodies) add(b *body, bytes int64) {
	before := b.shared()
	b.reserved += bytes
	change := b.shared() - before
	a.total += bytes
	a.shared += change
	if change == 0 {
		return
	}
	if a.byWorkspace[b.workspace] += change; a.byWorkspace[b.workspace] == 0 {
		delete(a.byWorkspace, b.workspace)
	}
}

func (a *Bodies) remove(b *body) {
	a.add(b, -b.reserved)
	delete(a.bodies, b.id)
}

// reserve adds bytes to the reservation of b if there is room, also by dropping others.
func (a *Bodies) reserve(now time.Time, b *body, bytes int64) ([]Drop, bool) {
	limit := a.limits.Shared
	if b.reserved+bytes > OrdinaryBytes {
		limit = a.limits.Large
	}
	need := max(b.reserved+bytes-GuaranteedBytes, 0) - b.shared()
	excess := a.shared + need - limit
	if need == 0 || excess <= 0 {
		a.add(b, bytes)
		return nil, true
	}
	var drops []Drop
	for _, v := range a.victims(now, b, need) {
		if excess <= 0 {
			break
		}
		excess -= v.shared()
		drops = append(drops, Drop{v.id, v.cause})
	}
	if excess > 0 {
		return nil, false
	}
	for _, d := range drops {
		a.remove(a.bodies[d.ID])
	}
	a.add(b, bytes)
	return drops, true
}

// victim is a body that may be dropped, and why.
type victim struct {
	*body
	cause Cause
}

// dropOrder is the order in which bodies are dropped.
var dropOrder = map[Cause]int{Stalled: 0, Slow: 1, Heavy: 2, Large: 3}

// victims returns the bodies that may be dropped for b, which needs so many shared bytes, the
// first to be dropped first: by cause, then those of the workspace that holds the most, then
// the longest without progress, the slowest, or the newest.
func (a *Bodies) victims(now time.Time, b *body, need int64) []victim {
	var all []victim
	for _, other := range a.bodies {
		if other == b || other.complete || other.shared() == 0 {
			continue
		}
		if cause := a.dropCause(now, other, b, need); cause != "" {
			all = append(all, victim{other, cause})
		}
	}
	slices.SortFunc(all, func(x, y victim) int {
		order := cmp.Or(cmp.Compare(dropOrder[x.cause], dropOrder[y.cause]), cmp.Compare(a.byWorkspace[y.workspace], a.byWorkspace[x.workspace]))
		switch x.cause {
		case Stalled:
			order = cmp.Or(order, x.progressed.Compare(y.progressed))
		case Slow:
			order = cmp.Or(order, cmp.Compare(x.rate(now), y.rate(now)))
		}
		return cmp.Or(order, cmp.Compare(y.id, x.id))
	})
	return all
}

// dropCause returns why a body may be dropped for b; empty if it may not.
func (a *Bodies) dropCause(now time.Time, other, b *body, need int64) Cause {
	held := a.byWorkspace[other.workspace]
	switch {
	case now.Sub(other.progressed) >= stallTime:
		return Stalled
	case now.Sub(other.started) >= slowAge && other.rate(now) < slowRate:
		return Slow
	case other.workspace != b.workspace && held > a.limits.Shared/2 && a.byWorkspace[b.workspace]+need <= held/2:
		return Heavy
	case b.shared()+need <= OrdinaryBytes && other.reserved > OrdinaryBytes:
		return Large
	}
	return ""
}
