package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// usageStep is how finely usage is kept over time.
const usageStep = 500 * time.Millisecond

// UsageEntry is what a host's callers have used of a workspace's allowance at a time.
type UsageEntry struct {
	Workspace string        `cbor:"1,keyasint,omitempty"`
	Age       time.Duration `cbor:"2,keyasint,omitempty"` // at most; in steps of usageStep
	Amount    float64       `cbor:"3,keyasint,omitempty"`
}

// Usage is what one host's callers have used within the last window. A leader that
// takes over charges the usage of all hosts, since its own buckets are full. One
// goroutine owns it.
type Usage struct {
	window time.Duration
	start  time.Time
	steps  map[usageKey]float64
	last   int64 // step of the last Add
}

type usageKey struct {
	workspace string
	step      int64 // since start
}

// NewUsage returns the usage of a host that has used nothing.
func NewUsage(now time.Time, window time.Duration) *Usage {
	return &Usage{window: window, start: now, steps: map[usageKey]float64{}}
}

// SetWindow takes a new window.
func (u *Usage) SetWindow(window time.Duration) { u.window = window }

func (u *Usage) step(now time.Time) int64 { return int64(now.Sub(u.start) / usageStep) }

// Add notes what a request has used.
func (u *Usage) Add(now time.Time, workspace string, amount float64) {
	if step := u.step(now); step > u.last {
		u.last = step
		u.forget(now)
	}
	u.steps[usageKey{workspace, u.step(now)}] += amount
}

func (u *Usage) forget(now time.Time) {
	oldest := u.step(now.Add(-u.window)) - 1
	maps.DeleteFunc(u.steps, func(k usageKey, _ float64) bool { return k.step < oldest })
}

// Entries lists the usage within the window, by workspace, the latest first.
func (u *Usage) Entries(now time.Time) []UsageEntry {
	u.forget(now)
	used := make([]UsageEntry, 0, len(u.steps))
	for k, amount := range u.steps {
		used = append(used, UsageEntry{k.workspace, time.Duration(u.step(now)-k.step) * usageStep, amount})
	}
	slices.SortFunc(used, func(a, b UsageEntry) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Age, b.Age))
	})
	return used
}

// former is what hosts have used of one allowance under other leaders.
type former struct {
	used    []spent
	charged float64 // of the bucket, less what has come back since
	at      time.Time
}

type spent struct {
	at     time.Time
	amount float64
}

// Charge takes what a host had used under other leaders.
func (b *Buckets) Charge(now time.Time, used []UsageEntry) {
	touched := map[string]bool{}
	for _, x := range used {
		if k := b.buckets[x.Workspace]; k != nil && k.allowance.PerSecond > 0 {
			k.former.used = append(k.former.used, spent{now.Add(-x.Age), x.Amount})
			touched[x.Workspace] = true
		}
	}
	for name := range touched {
		b.buckets[name].charge(now, b.share, b.tolerance.Window)
	}
}

// charge lowers the bucket to what it would hold, had it served the usage of
// other leaders: it lacks the most that was used within any time up to now beyond
// what came back within it. From empty on, what comes back keeps the allowance.
func (k *bucket) charge(now time.Time, share float64, window time.Duration) {
	k.refill(now, share)
	rate := k.allowance.PerSecond * share
	f := &k.former
	f.used = slices.DeleteFunc(f.used, func(s spent) bool { return now.Sub(s.at) > window+usageStep })
	slices.SortFunc(f.used, func(a, b spent) int { return b.at.Compare(a.at) })
	lacks, sum := 0.0, 0.0
	for _, s := range f.used {
		sum += s.amount
		lacks = max(lacks, sum-rate*now.Sub(s.at).Seconds())
	}
	lacks = min(lacks, k.allowance.Burst)
	f.charged = max(f.charged-rate*now.Sub(f.at).Seconds(), 0)
	f.at = now
	if lacks > f.charged {
		k.level = min(k.level, max(k.level-(lacks-f.charged), 0))
		f.charged = lacks
	}
}
