// Package engine simulates one back end in virtual time, for replaying load
// patterns. The back end is either a model engine, which batches requests, reads
// prompts in chunks between the decoding steps of other requests and admits in
// order of arrival, or a plain service. Prefix caching covers only the leading part
// of a prompt. Transfers of cache memory between engines and preemption are not
// modeled. docs/MEASURES.md gives the model's error against measured days.
package engine

import (
	"slices"
	"time"
)

// Profile describes the capacity and timing of an engine. Times apply at
// slowness 1.
type Profile struct {
	Slots              int           // requests in a batch
	Queue              int           // requests that may wait for a slot
	StepTime           time.Duration // decoding step of a batch of one request
	StepPerSlot        time.Duration // added to a step for each further request
	FirstTokenDelay    time.Duration // from the end of reading a prompt to its first token; does not delay other requests
	PrefillTokensPerMs float64       // prompt tokens read per millisecond
	PrefillChunk       int           // most prompt tokens read in one step
	AttentionCost      time.Duration // added to reading a prompt for each million pairs of its tokens
	Slowness           float64       // factor on all times
	Plain              bool          // a plain service, which runs each job for its Work time
	MaxColdRate        float64       // arrivals per second above which a cold engine crashes; 0 for no limit
	TokensPerEvent     int           // tokens in one stream event; 0 means 1
	PrefixCacheSize    int           // number of prompt prefixes cached; the least recently used is evicted
	WarmUp             WarmUp        // after a start
}

// Job is one request at an engine.
type Job struct {
	ID     uint64
	Prompt int           // tokens
	Output int           // tokens
	Work   time.Duration // processing time at a plain service
	// PrefixID identifies the first PrefixTokens tokens of the prompt. Jobs with the
	// same ID share this prefix; 0 means that no other prompt shares it.
	PrefixID     uint64
	PrefixTokens int
}

// Kind is the type of an event.
type Kind string

// The types of events.
const (
	Began    Kind = "Began" // its first token was generated
	Ended    Kind = "Ended"
	Rejected Kind = "Rejected" // the queue was full; the job did not run
	Lost     Kind = "Lost"     // the engine crashed
	Down     Kind = "Down"     // the engine accepts no connections
)

// Event reports a change in the state of a job.
type Event struct {
	At           time.Time
	Job          uint64
	Kind         Kind
	LongestPause time.Duration // set for Ended: the longest pause between two stream events
}

// run is the state of a job at the engine.
type run struct {
	Job
	promptLeft   int // prompt tokens still to be read
	outputLeft   int // output tokens still to be generated
	started      bool
	firstTokenAt time.Time // earliest time of the first token; zero while the prompt is read
	endAt        time.Time // set at a plain service
	lastEventAt  time.Time // completion of the last stream event
	longestPause time.Duration
}

// Engine simulates one model engine or plain service. Calls of Submit and Advance
// must be in time order.
type Engine struct {
	profile      Profile
	slowdown     float64 // factor on all times, set by a fault
	contention   float64 // factor on all times, of other work on the machine
	runs         []*run
	queue        []*run
	stepEnd      time.Time   // end of the current step; zero when idle
	prefilling   *run        // run whose prompt is read in the current step; nil for none
	decoding     []*run      // runs that generate a token in the current step
	downUntil    time.Time   // the engine accepts no connections before this time
	startedAt    time.Time   // zero if it was warm from the beginning
	coldUntil    time.Time   // the engine crashes above Profile.MaxColdRate before this time
	coldArrivals []time.Time // within the last second
	coldCrashes  int         // crashes under too many arrivals or requests while cold
	prefixCache  []uint64    // prefix IDs, the most recently used last
	events       []Event
}

// New returns an idle engine.
func New(p Profile) *Engine {
	if p.Slowness <= 0 {
		p.Slowness = 1
	}
	return &Engine{profile: p, slowdown: 1, contention: 1}
}

// SetSlowdown multiplies all times by a factor; 1 removes the slowdown.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// SetContention sets the factor by which other work on the machine multiplies all times; 1
// means none.
func (e *Engine) SetContention(factor float64) { e.contention = factor }

// StatedSlowdown is the factor on all times that the engine states in its answers: of its
// kind of machine and of other work there. It does not know of its faults.
func (e *Engine) StatedSlowdown() float64 { return e.profile.Slowness * e.contention }

// Crash drops all work and keeps the engine down until the given time.
func (e *Engine) Crash(now, until time.Time) {
	for _, r := range append(e.runs, e.queue...) {
		e.events = append(e.events, Event{At: now, Job: r.ID, Kind: Lost})
	}
	e.runs, e.queue, e.stepEnd, e.downUntil = nil, nil, time.Time{}, until
	e.prefilling, e.decoding, e.prefixCache = nil, nil, nil
}

// SetCold marks the engine as cold until the given time.
func (e *Engine) SetCold(until time.Time) { e.coldUntil, e.coldArrivals = until, nil }

// coldCrashDowntime is how long an engine is down after it crashed under too many
// arrivals or requests while cold.
const coldCrashDowntime = time.Second

// ColdCrashes returns how often the engine crashed under too many arrivals or requests
// while cold.
func (e *Engine) ColdCrashes() int { return e.coldCrashes }

// recordColdArrival records an arrival if the engine is cold, and reports whether
// the arrival rate exceeds Profile.MaxColdRate.
func (e *Engine) recordColdArrival(now time.Time) bool {
	if e.profile.MaxColdRate <= 0 || !now.Before(e.coldUntil) {
		return false
	}
	e.coldArrivals = append(e.coldArrivals, now)
	for now.Sub(e.coldArrivals[0]) >= time.Second {
		e.coldArrivals = e.coldArrivals[1:]
	}
	return float64(len(e.coldArrivals)) > e.profile.MaxColdRate
}

// usePrefix makes a prefix the most recently used one and reports whether it was
// cached before.
func (e *Engine) usePrefix(id uint64) bool {
	if e.profile.PrefixCacheSize == 0 || id == 0 {
		return false
	}
	cached := slices.Contains(e.prefixCache, id)
	e.prefixCache = append(slices.DeleteFunc(e.prefixCache, func(other uint64) bool { return other == id }), id)
	if len(e.prefixCache) > e.profile.PrefixCacheSize {
		e.prefixCache = e.prefixCache[1:]
	}
	return cached
}

// Up reports whether the engine accepts connections.
func (e *Engine) Up(now time.Time) bool { return !now.Before(e.downUntil) }

// Load returns the number of running and waiting requests.
func (e *Engine) Load() int { return len(e.runs) + len(e.queue) }

// Submit hands a job to the engine.
func (e *Engine) Submit(now time.Time, j Job) {
	if !e.Up(now) {
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Down})
		return
	}
	if e.recordColdArrival(now) || e.overloaded(now) {
		e.coldCrashes++
		e.Crash(now, now.Add(coldCrashDowntime))
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Lost})
		return
	}
	if len(e.queue) >= e.profile.Queue && len(e.runs) >= e.profile.Slots {
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Rejected})
		return
	}
	e.queue = append(e.queue, &run{Job: j, promptLeft: j.Prompt, outputLeft: max(j.Output, 1)})
	e.admit(now)
}

// Cancel drops a job whose caller has disconnected.
func (e *Engine) Cancel(now time.Time, id uint64) {
	drop := func(list []*run) []*run {
		for i, r := range list {
			if r.ID == id {
				return append(list[:i:i], list[i+1:]...)
			}
		}
		return list
	}
	e.runs, e.queue = drop(e.runs), drop(e.queue)
	e.admit(now)
}

func (e *Engine) scaled(now time.Time, d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.profile.Slowness * e.slowdown * e.contention * e.startFactor(now))
}

// admit moves waiting jobs into free slots.
func (e *Engine) admit(now time.Time) {
	for len(e.runs) < e.profile.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if e.usePrefix(r.PrefixID) {
			r.promptLeft = max(r.promptLeft-r.PrefixTokens, min(r.Prompt, 1))
		}
		if e.profile.Plain {
			r.endAt = now.Add(e.scaled(now, r.Work))
		}
		e.runs = append(e.runs, r)
	}
	if !e.profile.Plain && e.stepEnd.IsZero() && len(e.runs) > 0 {
		e.stepEnd = e.startStep(now)
	}
}

// startStep starts a step and returns its end. A step generates a token for each
// run that has started and reads a chunk of one prompt. If there is neither, it
// ends when the next first token is due.
func (e *Engine) startStep(now time.Time) time.Time {
	d := e.profile.StepTime + time.Duration(len(e.runs)-1)*e.profile.StepPerSlot
	e.prefilling, e.decoding = nil, e.decoding[:0]
	var wake time.Time
	for _, r := range e.runs {
		switch {
		case r.started:
			e.decoding = append(e.decoding, r)
		case r.promptLeft == 0 && (wake.IsZero() || r.firstTokenAt.Before(wake)):
			wake = r.firstTokenAt
		}
	}
	for _, r := range e.runs {
		if r.promptLeft > 0 {
			e.prefilling = r
			n := min(r.promptLeft, e.profile.PrefillChunk)
			d += time.Duration(float64(n)/e.profile.PrefillTokensPerMs*float64(time.Millisecond)) + e.attentionTime(r, n)
			break
		}
	}
	if e.prefilling == nil && len(e.decoding) == 0 {
		return wake
	}
	return now.Add(e.scaled(now, d))
}

// attentionTime returns the time to compute attention between the next n tokens of
// a prompt and the tokens before them.
func (e *Engine) attentionTime(r *run, n int) time.Duration {
	before := float64(r.Prompt - r.promptLeft)
	after := before + float64(n)
	return time.Duration((after*after - before*before) / 1e6 * float64(e.profile.AttentionCost))
}

// NextEvent returns the time of the next event; false if none is due.
func (e *Engine) NextEvent() (time.Time, bool) {
	if !e.profile.Plain {
		return e.stepEnd, !e.stepEnd.IsZero()
	}
	var next time.Time
	for _, r := range e.runs {
		if next.IsZero() || r.endAt.Before(next) {
			next = r.endAt
		}
	}
	return next, !next.IsZero()
}

// Advance moves virtual time to now and returns the events up to then.
func (e *Engine) Advance(now time.Time) []Event {
	for {
		at, ok := e.NextEvent()
		if !ok || at.After(now) {
			break
		}
		if e.profile.Plain {
			e.endPlain(at)
		} else {
			e.endStep(at)
		}
	}
	events := e.events
	e.events = nil
	return events
}

func (e *Engine) endPlain(at time.Time) {
	remaining := e.runs[:0]
	for _, r := range e.runs {
		if r.endAt.After(at) {
			remaining = append(remaining, r)
			continue
		}
		e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Began}, Event{At: at, Job: r.ID, Kind: Ended})
	}
	e.runs = remaining
	e.admit(at)
}

func (e *Engine) endStep(at time.Time) {
	if r := e.prefilling; r != nil {
		r.promptLeft -= min(r.promptLeft, e.profile.PrefillChunk)
		if r.promptLeft == 0 {
			r.firstTokenAt = at.Add(e.scaled(at, e.profile.FirstTokenDelay))
		}
	}
	for _, r := range e.decoding {
		e.emitToken(at, r)
	}
	for _, r := range e.runs {
		if !r.started && r.promptLeft == 0 && !r.firstTokenAt.After(at) {
			e.emitToken(at, r)
		}
	}
	remaining := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		if r.outputLeft > 0 {
			remaining = append(remaining, r)
		} else {
			e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Ended, LongestPause: r.longestPause})
		}
	}
	e.runs = remaining
	e.stepEnd = time.Time{}
	e.admit(at)
}

// emitToken counts a generated token of a run and records the pause before each
// completed stream event.
func (e *Engine) emitToken(at time.Time, r *run) {
	r.outputLeft--
	if !r.started {
		r.started = true
		e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Began})
	}
	generated := max(r.Output, 1) - r.outputLeft
	if r.outputLeft > 0 && generated%max(e.profile.TokensPerEvent, 1) != 0 {
		return
	}
	if !r.lastEventAt.IsZero() {
		r.longestPause = max(r.longestPause, at.Sub(r.lastEventAt))
	}
	r.lastEventAt = at
}
