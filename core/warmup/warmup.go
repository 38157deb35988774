// Package warmup determines how much targets that start or recover may be given: how many
// requests at once, and how many a second. It judges them by their responses, compared with
// what the same machine, or comparable targets, took when warm. The package does no I/O.
package warmup

import "time"

// Limits and rates of a warm-up.
const (
	// tolerance is the ratio of the responses' time to the usual one up to which a target
	// counts as warm. Single responses of a warm target scatter by half with the prompts that
	// are read beside them; one that warms up takes up to three times as long.
	tolerance = 1.5
	// minUnits is the size of the responses by which a target is judged, as a share of its
	// limit of usual ones: small ones scatter too much.
	minUnits = 0.5
	// riskMargin is the ratio of the age before which a start is careful to the one at which
	// another start has failed: it failed before it was warm, at an unknown time before.
	riskMargin = 1.5
	// maxRiskAge is the age up to which failures are laid to the start: engines that have
	// just started are slow for some seconds.
	maxRiskAge = 10 * time.Second
	// step is the time after which a target that works slowly, but neither fails nor becomes
	// slower, is given one more request at once: engines warm up in some seconds, and one of
	// five slots has all of them after four steps.
	step = time.Second
	// maxBackoff bounds step for a target that fails again and again.
	maxBackoff = 8
	// steady is the ratio of the times of two windows of responses from which the target does
	// not become faster: it is warm, on a slower machine. A warm-up from three times the
	// time over three seconds changes by a quarter in a second.
	steady = 0.85
	// doubtAge is the age before which a machine that was faster before a start does not count
	// as a slower one: a long warm-up changes too little in a second to be told from that.
	doubtAge = 10 * time.Second
	// minWindow is the shortest time between two windows that are compared for this.
	minWindow = time.Second
	// rateMargin is how many times the requests of a warm target at the same concurrency a
	// target may be given in a second, since requests differ in size. The bound matters for
	// targets that fail at once, and always have a free slot.
	rateMargin = 2
	// MaxAge is the age from which a target that this leader has not seen start counts as
	// warm: several times the longest warm-up of known engines, and the seconds by which
	// clocks differ.
	MaxAge = 30 * time.Second
	// silence is the time without any response after which a target is tried again with half
	// of its slots: as long as the published entry of a dead process may stay.
	silence = time.Minute
	// idle is the time without responses of any target after which the leader has not led, or
	// had no requests.
	idle = 10 * time.Second
	// remember is how long a failed start counts for the next one of the same target, and of
	// comparable ones.
	remember = 30 * time.Second
	// forgetAfter is how long what a machine took is kept after its target has gone.
	forgetAfter = 10 * time.Minute
	// usualWeight is the weight of a new response in the moving averages.
	usualWeight = 0.1
	// tryTime is how long less urgent requests may leave a target that is tried unused before
	// any request may try it.
	tryTime = 200 * time.Millisecond
	// Sizes in output tokens: an engine reads about as many prompt tokens in the time of one
	// output token, and the first token takes some more, with the way to the host.
	promptTokensPerUnit = 250
	firstTokenUnits     = 10
)

// Method is how the limit of a target that starts is determined.
type Method string

// Methods. The product uses ByResponses; the others are baselines for the replay.
const (
	ByResponses Method = "ByResponses"
	ByTime      Method = "ByTime" // linearly over Window
	None        Method = "None"   // all slots at once
)

// Window is the length of a slow start by time.
const Window = 10 * time.Second

// Cause is why a target warms up, or why its limit changed.
type Cause string

// Causes.
const (
	Started     Cause = "Started"     // a new process, or a new entry
	Ejected     Cause = "Ejected"     // back from an ejection
	Unreachable Cause = "Unreachable" // back after it accepted no connections
	Silent      Cause = "Silent"      // not heard of for a long time
	Returned    Cause = "Returned"    // it may be used again: its zone is back in service
	StatedCold  Cause = "StatedCold"  // by its own statement

	Usual    Cause = "Usual"    // it answers as it, or a comparable target, did when warm
	Steady   Cause = "Steady"   // slower, but not becoming faster: a slower machine
	Step     Cause = "Step"     // slow, but it does not fail
	Failing  Cause = "Failing"  // it failed
	Rejected Cause = "Rejected" // it rejected a request
	Aged     Cause = "Aged"     // nothing was seen against it for MaxAge
)

// Sample is one complete response.
type Sample struct {
	Prompt int // tokens
	Output int // tokens; 0 for a response of a plain service
	Took   time.Duration
	// Slowdown is what the target stated for the time of the response; 1 if nothing.
	Slowdown float64
}

// units is the size of a response.
func (s Sample) units() float64 {
	if s.Output <= 0 {
		return 1
	}
	return firstTokenUnits + float64(s.Output) + float64(s.Prompt)/promptTokensPerUnit
}

// seconds is the time that the response would have taken without a slowdown.
func (s Sample) seconds() float64 {
	if s.Slowdown <= 0 {
		return s.Took.Seconds()
	}
	return s.Took.Seconds() / s.Slowdown
}

// Event is a change of what a target may be given, for logs and metrics.
type Event struct {
	Target string
	Cause  Cause
	From   int // requests at once; 0 for all slots
	To     int // requests at once; 0 for all slots
	// Ratio is the time of the last responses to the usual one; 0 if not known.
	Ratio float64
	Age   time.Duration // since the warm-up began
}
