// Package limit computes how many concurrent requests a target may run. A target
// starts cold, warms up with each good result, and turns cold again at once when a
// result indicates it.
package limit

import (
	"slices"
	"time"
)

// Parameters for judging the pace of a result.
const (
	coldFactor     = 4.0 // a result slower than this many times the average pace turns the target cold
	slowFactor     = 2.0 // a result slower than this many times the average pace does not warm the target
	paceWeight     = 0.1 // weight of a new result in the average pace
	minimumSamples = 8   // results before the average pace is used
	minimumUnits   = 8   // units timed before the pace of one result is used
	windowSize     = 5   // whole calls whose median pace is used
)

// Kind classifies how a request to a target ended.
type Kind string

// The kinds of results.
const (
	Completed  Kind = "Completed"  // complete response, or an error response from the service itself
	Unused     Kind = "Unused"     // nothing was sent
	NoConnect  Kind = "NoConnect"  // the connection could not be established; nothing was sent
	Broken     Kind = "Broken"     // the connection broke after sending
	Silent     Kind = "Silent"     // no progress in time after sending
	Cancelled  Kind = "Cancelled"  // the caller left
	Overloaded Kind = "Overloaded" // the target itself refused the request because of its load
)

// Result describes how one request to a target ended. Pace is the time per unit of
// work; zero means unknown. Units is the number of units that were timed individually,
// such as the tokens of a stream. With zero Units, Pace is only the time of a whole
// call, whose size is unknown.
type Result struct {
	Kind  Kind
	Pace  time.Duration
	Units int
}

// Limiter computes the concurrency limit of one target. The zero value is not usable.
type Limiter struct {
	bounds      Bounds
	slots       int
	goodResults int // since the last Reset
	unitPace    movingAverage
	callPace    movingAverage
	recentCalls []float64 // paces of the last whole calls, in seconds
}

// movingAverage is an exponentially weighted moving average of paces, in seconds.
type movingAverage struct {
	pace    float64
	samples int
}

func (a *movingAverage) add(pace float64) {
	a.samples++
	if a.samples == 1 {
		a.pace = pace
		return
	}
	a.pace += paceWeight * (pace - a.pace)
}

// exceededBy reports whether a pace is slower than the average by more than a factor. It
// is false until there are enough samples.
func (a *movingAverage) exceededBy(pace, factor float64) bool {
	return a.samples >= minimumSamples && pace > factor*a.pace
}

// Bounds configures a Limiter. A cold target may run ColdSlots requests. From its
// WarmupResults-th good result on, the limit grows by one with each good result, up to
// WarmSlots.
type Bounds struct {
	ColdSlots     int
	WarmupResults int
	WarmSlots     int
}

// NewLimiter returns the limiter of a target that has just started.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{bounds: b, slots: b.ColdSlots}
}

// Slots returns the number of concurrent requests that the target may run now.
func (l *Limiter) Slots() int { return l.slots }

// Cold reports whether the target is at its cold limit.
func (l *Limiter) Cold() bool { return l.slots <= l.bounds.ColdSlots }

// Configure sets the bounds and clamps the current limit to them.
func (l *Limiter) Configure(b Bounds) {
	l.bounds = b
	l.slots = min(max(l.slots, b.ColdSlots), b.WarmSlots)
}

// Reset makes the target cold.
func (l *Limiter) Reset() {
	l.slots = l.bounds.ColdSlots
	l.goodResults = 0
}

// Restore sets the limit to one that another host had reached, within the bounds.
func (l *Limiter) Restore(slots int) {
	l.slots = min(max(slots, l.bounds.ColdSlots), l.bounds.WarmSlots)
}

// Observe updates the limit with a result and reports whether the target turned cold.
func (l *Limiter) Observe(r Result) bool {
	switch r.Kind {
	case Completed:
		return l.completed(r)
	case NoConnect, Broken, Silent, Overloaded:
		return l.turnCold()
	case Unused, Cancelled:
	}
	return false
}

// turnCold makes the target cold and reports whether it was warm before.
func (l *Limiter) turnCold() bool {
	wasWarm := !l.Cold()
	l.Reset()
	return wasWarm
}

func (l *Limiter) completed(r Result) bool {
	pace, average := l.comparablePace(r)
	if pace > 0 && average.exceededBy(pace, coldFactor) {
		return l.turnCold()
	}
	if pace > 0 {
		average.add(pace)
	}
	if pace <= 0 || !average.exceededBy(pace, slowFactor) {
		l.warmUp()
	}
	return false
}

func (l *Limiter) warmUp() {
	l.goodResults++
	if l.goodResults >= l.bounds.WarmupResults || !l.Cold() {
		l.slots = min(l.slots+1, l.bounds.WarmSlots)
	}
}

// comparablePace returns the pace that represents a result, zero if it has none, and
// the average to compare it with. The time of one whole call is not comparable, since
// calls differ by a factor of a hundred; the median of the last few shows whether the
// target has changed.
func (l *Limiter) comparablePace(r Result) (float64, *movingAverage) {
	if r.Units >= minimumUnits {
		return r.Pace.Seconds(), &l.unitPace
	}
	if r.Units > 0 || r.Pace <= 0 {
		return 0, &l.unitPace
	}
	l.recentCalls = append(l.recentCalls, r.Pace.Seconds())
	if len(l.recentCalls) > windowSize {
		l.recentCalls = l.recentCalls[1:]
	}
	sorted := slices.Sorted(slices.Values(l.recentCalls))
	return sorted[len(sorted)/2], &l.callPace
}
