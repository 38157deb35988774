// Package quota enforces the allowance of each workspace with token buckets. A set of
// buckets holds a share of each allowance, so that the partitions of a split
// fleet never grant more than the whole allowance together.
package quota

import (
	"time"

	"yuccadoor/core/routes"
)

// Tolerance is the operator's setting for how far all hosts together may exceed an
// allowance: within any Window a workspace may use its allowance times 1 + Overshoot,
// plus Slack.
type Tolerance struct {
	Overshoot float64
	Slack     float64
	Window    time.Duration
}

// grantedTolerance is the part of the tolerance that is added to allowances: a refusal
// within the allowance loses a request, while use within the tolerance does no harm. The
// rest of the tolerance covers new leaders, which start with full buckets, and requests
// that arrive later than they were counted.
const grantedTolerance = 0.5

// widen returns the allowance increased by the granted part of the tolerance.
func (t Tolerance) widen(a routes.Allowance) routes.Allowance {
	if a.PerSecond <= 0 || t.Window <= 0 || !a.InTokens {
		return a
	}
	a.PerSecond = a.PerSecond*(1+grantedTolerance*t.Overshoot) + grantedTolerance*t.Slack/t.Window.Seconds()
	return a
}

// Buckets holds one token bucket per workspace. It is not safe for concurrent use.
type Buckets struct {
	buckets   map[string]*bucket
	share     float64
	tolerance Tolerance
}

type bucket struct {
	allowance routes.Allowance
	level     float64   // tokens in the bucket
	at        time.Time // of the last refill
	// largestRefused is the largest request refused since the last one granted. A
	// bucket whose share of the burst is smaller than that fills up to it.
	largestRefused float64
	prior          priorUsage
}

// New returns buckets with a share of 1, the whole allowance.
func New(t Tolerance) *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, share: 1, tolerance: t}
}

// SetTolerance sets the tolerance. It takes effect at the next SetWorkspaces.
func (b *Buckets) SetTolerance(t Tolerance) { b.tolerance = t }

// SetShare sets the share of each allowance that these buckets grant, from 0 to 1.
func (b *Buckets) SetShare(share float64) { b.share = share }

// SetWorkspaces sets the workspaces and their allowances. Existing buckets keep their
// levels, so that a change of the configuration does not renew an allowance. A
// workspace that is new or was unlimited before starts with a full bucket.
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

// Take removes n tokens from a workspace's bucket. If there are too few, it removes
// none and returns the time until there are enough. Workspaces without an allowance
// are not limited.
func (b *Buckets) Take(now time.Time, workspace string, n float64) (wait time.Duration, ok bool) {
	k := b.buckets[workspace]
	if k == nil || k.allowance.PerSecond <= 0 {
		return 0, true
	}
	k.refill(now, b.share)
	whole := k.allowance.Burst
	// A request larger than the whole burst is granted once the bucket is full;
	// otherwise it never could be.
	if n <= k.level || n > whole && k.level >= whole*b.share {
		k.level -= n
		k.largestRefused = 0
		return 0, true
	}
	k.largestRefused = max(k.largestRefused, min(n, whole))
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

// Refund returns the tokens of a request that did not run.
func (b *Buckets) Refund(workspace string, n float64) {
	if k := b.buckets[workspace]; k != nil {
		k.level = min(k.level+n, k.allowance.Burst)
	}
}

func (k *bucket) refill(now time.Time, share float64) {
	elapsed := now.Sub(k.at)
	if elapsed <= 0 {
		return
	}
	k.at = now
	capacity := max(k.allowance.Burst*share, k.largestRefused)
	k.level = min(k.level+elapsed.Seconds()*k.allowance.PerSecond*share, capacity)
}
