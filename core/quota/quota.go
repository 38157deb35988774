// Package quota bounds what each workspace may use: token buckets that hold a
// part of the whole allowance, so that the parts of a split fleet never add up
// to more than the whole.
package quota

import (
	"time"

	"yuccadoor/core/routes"
)

// Tolerance is how far all hosts together may exceed allowances, as operators
// state it: within any Window a workspace may use its allowance times
// 1 + Overshoot and Slack beyond that.
type Tolerance struct {
	Overshoot float64
	Slack     float64
	Window    time.Duration
}

// tolerated is the part of the tolerance that is granted to callers: whoever is
// refused within an allowance has lost a request, and nobody is harmed within
// the tolerance. The rest covers new leaders, which start with full buckets, and
// requests that arrive later than they were counted.
const tolerated = 0.5

// widen gives the allowance with the tolerated part.
func (t Tolerance) widen(a routes.Allowance) routes.Allowance {
	if a.PerSecond <= 0 || t.Window <= 0 || !a.InTokens {
		return a
	}
	a.PerSecond = a.PerSecond*(1+tolerated*t.Overshoot) + tolerated*t.Slack/t.Window.Seconds()
	return a
}

// Buckets holds one bucket for each workspace, owned by one goroutine.
type Buckets struct {
	buckets   map[string]*bucket
	share     float64
	tolerance Tolerance
}

type bucket struct {
	allowance routes.Allowance
	level     float64
	at        time.Time
	// wanted is the largest request refused since the last that passed: a part too
	// small for it saves up to so much.
	wanted float64
	former former
}

// New returns buckets that hold the whole allowance.
func New(t Tolerance) *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, share: 1, tolerance: t}
}

// SetTolerance takes a new tolerance, in force from the next Adopt.
func (b *Buckets) SetTolerance(t Tolerance) { b.tolerance = t }

// SetShare sets the part of each allowance that may be used from here, in 0 to 1.
func (b *Buckets) SetShare(share float64) { b.share = share }

// SetWorkspaces takes the allowances of a configuration. Levels are kept, so that a
// change of the configuration is no way around an allowance; one that had no
// bound before starts full.
func (b *Buckets) SetWorkspaces(now time.Time, workspaces []routes.Workspace) {
	next := make(map[string]*bucket, len(workspaces))
	for _, w := range workspaces {
		k := b.buckets[w.Name]
		if k == nil || k.allowance.PerSecond <= 0 {
			k = &bucket{level: w.Allowance.Burst * b.share, at: now}
		} else {
			k.refill(now, b.share)
		}
		k.allowance = b.tolerance.widen(w.Allowance)
		next[w.Name] = k
	}
	b.buckets = next
}

// Take uses n of a workspace's allowance. If there is not enough, it takes
// nothing and returns when there will be.
func (b *Buckets) Take(now time.Time, workspace string, n float64) (wait time.Duration, ok bool) {
	k := b.buckets[workspace]
	if k == nil || k.allowance.PerSecond <= 0 {
		return 0, true
	}
	k.refill(now, b.share)
	whole := k.allowance.Burst
	// A request above the whole burst passes once the bucket is full, else it never
	// could.
	if n <= k.level || n > whole && k.level >= whole*b.share {
		k.level -= n
		k.wanted = 0
		return 0, true
	}
	k.wanted = max(k.wanted, min(n, whole))
	rate := k.allowance.PerSecond * b.share
	if rate <= 0 {
		return time.Second, false
	}
	need := n
	if n > whole {
		need = whole * b.share
	}
	return time.Duration((need - k.level) / rate * float64(time.Second)), false
}

// Refund gives back what a request took that did not run.
func (b *Buckets) Refund(workspace string, n float64) {
	if k := b.buckets[workspace]; k != nil {
		k.level = min(k.level+n, k.allowance.Burst)
	}
}

func (k *bucket) refill(now time.Time, share float64) {
	past := now.Sub(k.at)
	if past <= 0 {
		return
	}
	k.at = now
	most := max(k.allowance.Burst*share, k.wanted)
	k.level = min(k.level+past.Seconds()*k.allowance.PerSecond*share, most)
}
