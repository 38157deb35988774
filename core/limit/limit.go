// Package limit decides how many requests a target bears at once. A target
// starts cold, warms by its own good results, and is cold again the moment its
// results say so.
package limit

import (
	"slices"
	"time"
)

// Speeds beyond which a result counts against its target.
const (
	coldFactor     = 4.0 // times the usual pace: the target has turned cold
	slowFactor     = 2.0 // times the usual pace: the target does not warm
	paceWeight     = 0.1 // of a new result in the usual pace
	minimumSamples = 8   // results before the usual pace is trusted
	minimumUnits   = 8   // units that make one result's pace trustworthy by itself
	windowSize     = 5   // rough results whose median is trusted
)

// Kind classifies how a request on a target ended.
type Kind string

// The ways a request on a target ends.
const (
	Completed  Kind = "Completed"  // whole answer, or an error answer of the service's own
	Unused     Kind = "Unused"     // nothing was sent
	NoConnect  Kind = "NoConnect"  // no connection could be made; nothing was sent
	Broken     Kind = "Broken"     // the connection broke after sending
	Silent     Kind = "Silent"     // no progress in time after sending
	Cancelled  Kind = "Cancelled"  // the caller went away
	Overloaded Kind = "Overloaded" // the target itself refused for load
)

// Result is how one request on a target ended. Pace is the time for one unit
// of work; zero means unknown. Units is how many units were timed one by one,
// such as the tokens of a stream. With zero Units the pace is rough: the time
// of a whole call, whose size is unknown.
type Result struct {
	Kind  Kind
	Pace  time.Duration
	Units int
}

// Limiter is the present limit of one target. The zero value is not usable.
type Limiter struct {
	bounds Bounds
	slots  int
	good   int // results since the target was cold, until it warms
	exact  usual
	rough  usual
	window []float64 // last rough paces, seconds
}

// usual is a running average of paces in seconds.
type usual struct {
	pace    float64
	samples int
}

func (u *usual) learn(pace float64) {
	u.samples++
	if u.samples == 1 {
		u.pace = pace
		return
	}
	u.pace += paceWeight * (pace - u.pace)
}

// exceeds reports whether a pace is over the usual one by a factor.
func (u *usual) exceeds(pace, factor float64) bool {
	return u.samples >= minimumSamples && pace > factor*u.pace
}

// Bounds are what a target bears: Cold requests until it has given Results good
// results, then one more with each, up to Warm.
type Bounds struct {
	ColdSlots     int
	WarmupResults int
	WarmSlots     int
}

// NewLimiter returns the limit of a target that has just started.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{bounds: b, slots: b.ColdSlots}
}

// Slots is the number of requests that the target may run now.
func (w *Limiter) Slots() int { return w.slots }

// Cold reports whether the target is at its cold limit.
func (w *Limiter) Cold() bool { return w.slots <= w.bounds.ColdSlots }

// Configure changes the bounds. The present limit is kept within them.
func (w *Limiter) Configure(b Bounds) {
	w.bounds = b
	w.slots = min(max(w.slots, b.ColdSlots), b.WarmSlots)
}

// Reset makes the target cold at once.
func (w *Limiter) Reset() {
	w.slots = w.bounds.ColdSlots
	w.good = 0
}

// Restore takes over a limit that another host had learnt.
func (w *Limiter) Restore(slots int) {
	w.slots = min(max(slots, w.bounds.ColdSlots), w.bounds.WarmSlots)
}

// Observe learns from a result and reports whether the target turned cold.
func (w *Limiter) Observe(r Result) bool {
	switch r.Kind {
	case Completed:
		return w.completed(r)
	case NoConnect, Broken, Silent, Overloaded:
		return w.turn()
	case Unused, Cancelled:
	}
	return false
}

// turn makes the target cold and reports whether it was not.
func (w *Limiter) turn() bool {
	turned := !w.Cold()
	w.Reset()
	return turned
}

func (w *Limiter) completed(r Result) bool {
	pace, average := w.judged(r)
	if pace > 0 && average.exceeds(pace, coldFactor) {
		return w.turn()
	}
	if pace > 0 {
		average.learn(pace)
	}
	if pace <= 0 || !average.exceeds(pace, slowFactor) {
		w.warmUp()
	}
	return false
}

func (w *Limiter) warmUp() {
	w.good++
	if w.good >= w.bounds.WarmupResults || !w.Cold() {
		w.slots = min(w.slots+1, w.bounds.WarmSlots)
	}
}

// judged gives the pace to judge a result by and the average to hold it
// against. One call's whole time says little, since calls differ a hundredfold;
// the median of the last few says whether the target has changed.
func (w *Limiter) judged(r Result) (float64, *usual) {
	if r.Units >= minimumUnits {
		return r.Pace.Seconds(), &w.exact
	}
	if r.Units > 0 || r.Pace <= 0 {
		return 0, &w.exact
	}
	w.window = append(w.window, r.Pace.Seconds())
	if len(w.window) > windowSize {
		w.window = w.window[1:]
	}
	sorted := slices.Sorted(slices.Values(w.window))
	return sorted[len(sorted)/2], &w.rough
}
