// Package limit decides how many requests a target bears at once. A target
// starts cold, warms by its own good results, and is cold again the moment its
// results say so.
package limit

import "time"

// Speeds beyond which a result counts against its target.
const (
	coldFactor     = 4.0 // times the usual pace: the target has turned cold
	slowFactor     = 2.0 // times the usual pace: the target does not warm
	paceWeight     = 0.1 // of a new result in the usual pace
	minimumSamples = 8   // results before the usual pace is trusted
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
// of work: a token of a model engine, the whole call of a plain service. Zero
// means unknown.
type Result struct {
	Kind Kind
	Pace time.Duration
}

// Warmth is the present limit of one target. The zero value is not usable.
type Warmth struct {
	cold, warm int
	slots      int
	usual      float64 // seconds a unit, running average
	samples    int
}

// NewWarmth returns the limit of a target that has just started.
func NewWarmth(cold, warm int) *Warmth {
	return &Warmth{cold: cold, warm: warm, slots: cold}
}

// Slots is the number of requests that the target may run now.
func (w *Warmth) Slots() int { return w.slots }

// Cold reports whether the target is at its cold limit.
func (w *Warmth) Cold() bool { return w.slots <= w.cold }

// Configure changes the bounds. The present limit is kept within them.
func (w *Warmth) Configure(cold, warm int) {
	w.cold, w.warm = cold, warm
	w.slots = min(max(w.slots, cold), warm)
}

// Reset makes the target cold at once.
func (w *Warmth) Reset() { w.slots = w.cold }

// Restore takes over a limit that another host had learnt.
func (w *Warmth) Restore(slots int) {
	w.slots = min(max(slots, w.cold), w.warm)
}

// Observe learns from a result and reports whether the target turned cold.
func (w *Warmth) Observe(r Result) bool {
	switch r.Kind {
	case Completed:
		return w.completed(r.Pace.Seconds())
	case NoConnect, Broken, Silent, Overloaded:
		turned := !w.Cold()
		w.Reset()
		return turned
	case Unused, Cancelled:
	}
	return false
}

func (w *Warmth) completed(pace float64) bool {
	if pace > 0 && w.samples >= minimumSamples && pace > coldFactor*w.usual {
		turned := !w.Cold()
		w.Reset()
		return turned
	}
	if pace > 0 {
		w.learn(pace)
	}
	if pace <= 0 || w.samples < minimumSamples || pace <= slowFactor*w.usual {
		w.slots = min(w.slots+1, w.warm)
	}
	return false
}

func (w *Warmth) learn(pace float64) {
	w.samples++
	if w.samples == 1 {
		w.usual = pace
		return
	}
	w.usual += paceWeight * (pace - w.usual)
}
