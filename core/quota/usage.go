package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// usageStep is the time resolution of recorded usage.
const usageStep = 500 * time.Millisecond

// UsageEntry is what a host's callers used of one workspace's allowance within one
// usageStep.
type UsageEntry struct {
	Workspace string        `cbor:"1,keyasint,omitempty"`
	Age       time.Duration `cbor:"2,keyasint,omitempty"` // a multiple of usageStep
	Amount    float64       `cbor:"3,keyasint,omitempty"`
}

// Usage records what one host's callers used within the last window. A new leader
// charges the usage of all hosts to its buckets, since they start full. It is not safe
// for concurrent use.
type Usage struct {
	window time.Duration
	start  time.Time
	steps  map[usageKey]float64
	last   int64 // step of the last Add
}

type usageKey struct {
	workspace string
	step      int64 // number of usageSteps since the start
}

// NewUsage returns an empty record of usage.
func NewUsage(now time.Time, window time.Duration) *Usage {
	return &Usage{window: window, start: now, steps: map[usageKey]float64{}}
}

// SetWindow sets how long usage is kept.
func (u *Usage) SetWindow(window time.Duration) { u.window = window }

func (u *Usage) step(now time.Time) int64 { return int64(now.Sub(u.start) / usageStep) }

// Add records what a request used.
func (u *Usage) Add(now time.Time, workspace string, amount float64) {
	if step := u.step(now); step > u.last {
		u.last = step
		u.prune(now)
	}
	u.steps[usageKey{workspace, u.step(now)}] += amount
}

// prune deletes the entries that are older than the window.
func (u *Usage) prune(now time.Time) {
	oldest := u.step(now.Add(-u.window)) - 1
	maps.DeleteFunc(u.steps, func(k usageKey, _ float64) bool { return k.step < oldest })
}

// Entries returns the usage within the window, sorted by workspace, the most recent
// entry first.
func (u *Usage) Entries(now time.Time) []UsageEntry {
	u.prune(now)
	used := make([]UsageEntry, 0, len(u.steps))
	for k, amount := range u.steps {
		used = append(used, UsageEntry{k.workspace, time.Duration(u.step(now)-k.step) * usageStep, amount})
	}
	slices.SortFunc(used, func(a, b UsageEntry) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Age, b.Age))
	})
	return used
}

// priorUsage is what hosts used of one allowance under previous leaders.
type priorUsage struct {
	entries []usageAt
	charged float64   // amount charged to the bucket that has not been refilled since
	at      time.Time // of the last charge
}

type usageAt struct {
	at     time.Time
	amount float64
}

// Charge charges to the buckets what a host used under previous leaders.
func (b *Buckets) Charge(now time.Time, entries []UsageEntry) {
	touched := map[string]bool{}
	for _, e := range entries {
		if k := b.buckets[e.Workspace]; k != nil && k.allowance.PerSecond > 0 {
			k.prior.entries = append(k.prior.entries, usageAt{now.Add(-e.Age), e.Amount})
			touched[e.Workspace] = true
		}
	}
	for name := range touched {
		b.buckets[name].charge(now, b.share, b.tolerance.Window)
	}
}

// charge lowers the level to what the bucket would hold if it had served the prior
// usage itself. Its deficit is the maximum, over all periods that end now, of the usage
// within the period less the refill within it. Once the bucket is empty, its refill
// rate alone keeps the workspace within the allowance, so the level never falls below
// zero here.
func (k *bucket) charge(now time.Time, share float64, window time.Duration) {
	k.refill(now, share)
	rate := k.allowance.PerSecond * share
	p := &k.prior
	p.entries = slices.DeleteFunc(p.entries, func(u usageAt) bool { return now.Sub(u.at) > window+usageStep })
	slices.SortFunc(p.entries, func(a, b usageAt) int { return b.at.Compare(a.at) })
	deficit, sum := 0.0, 0.0
	for _, u := range p.entries {
		sum += u.amount
		deficit = max(deficit, sum-rate*now.Sub(u.at).Seconds())
	}
	deficit = min(deficit, k.allowance.Burst)
	p.charged = max(p.charged-rate*now.Sub(p.at).Seconds(), 0)
	p.at = now
	if deficit > p.charged {
		k.level = min(k.level, max(k.level-(deficit-p.charged), 0))
		p.charged = deficit
	}
}
