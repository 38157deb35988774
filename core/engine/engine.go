// Package engine is a model of one back end in virtual time, for replaying load
// patterns: a model engine that batches, reads prompts in chunks between the
// tokens of other requests and admits in the order of arrival, or a plain
// service. Of prefix caches it has the first part of a prompt alone; it leaves out
// memory moved between engines, and preemption. Its error against measured days is in
// docs/MEASURES.md.
package engine

import (
	"slices"
	"time"
)

// Profile is what an engine is like. Times are at speed 1.
type Profile struct {
	Slots              int           // requests in a batch
	Queue              int           // requests that may wait beyond that
	StepTime           time.Duration // of one token for the whole batch
	StepPerSlot        time.Duration // more for each further request
	FirstTokenDelay    time.Duration // between reading a prompt and its first token, beside the work of others
	PrefillTokensPerMs float64       // prompt tokens read in a millisecond
	PrefillChunk       int           // prompt tokens read between two steps at most
	AttentionCost      time.Duration // for each million pairs of tokens of a prompt, beyond reading it
	Slowness           float64       // factor on all times
	Plain              bool          // runs a request for its own work time
	MaxColdRate        float64       // arrivals in a second above which a cold engine crashes; 0 for no bound
	TokensPerEvent     int           // tokens in one event of a stream; 0 for one
	PrefixCacheSize    int           // subjects whose shared part of a prompt is kept, the last used ones
}

// Job is one request at an engine.
type Job struct {
	ID     uint64
	Prompt int           // tokens
	Output int           // tokens
	Work   time.Duration // of a plain service
	// PrefixID names what the first Shared tokens of the prompt are about; 0 for
	// nothing that other prompts share.
	PrefixID     uint64
	PrefixTokens int
}

// Kind is what happened to a job.
type Kind string

// The kinds of event.
const (
	Began    Kind = "Began" // its first token was made
	Ended    Kind = "Ended"
	Rejected Kind = "Rejected" // turned away, not run
	Lost     Kind = "Lost"     // the engine crashed
	Down     Kind = "Down"     // it takes no connections
)

// Event is something that happened to a job.
type Event struct {
	At           time.Time
	Job          uint64
	Kind         Kind
	LongestPause time.Duration // of a job that Ended: the longest between two events of its stream
}

type run struct {
	Job
	promptLeft   int // prompt tokens
	outputLeft   int // output tokens
	started      bool
	firstTokenAt time.Time // when its first token may be made; zero while its prompt is read
	endAt        time.Time // of a plain job
	lastEventAt  time.Time // when its last event was complete
	longestPause time.Duration
}

// Engine is one engine. It is driven by Arrive and Advance in the order of time.
type Engine struct {
	profile      Profile
	slowdown     float64 // factor on all times, by a trouble
	runs         []*run
	queue        []*run
	stepEnd      time.Time // end of the step under way; zero when idle
	prefilling   *run      // whose prompt is read in it
	decoding     []*run    // that make a token in it
	downUntil    time.Time // until then it takes nothing
	coldUntil    time.Time // until then it bears few arrivals
	coldArrivals []time.Time
	coldCrashes  int      // crashes from too many arrivals while cold
	prefixCache  []uint64 // subjects, the last used one last
	events       []Event
}

// New returns an idle engine.
func New(p Profile) *Engine {
	if p.Slowness <= 0 {
		p.Slowness = 1
	}
	return &Engine{profile: p, slowdown: 1}
}

// SetSlowdown makes all times longer by a factor; 1 takes that back.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Crash drops all work and keeps the engine down until the given time.
func (e *Engine) Crash(now, until time.Time) {
	for _, r := range append(e.runs, e.queue...) {
		e.events = append(e.events, Event{At: now, Job: r.ID, Kind: Lost})
	}
	e.runs, e.queue, e.stepEnd, e.downUntil = nil, nil, time.Time{}, until
	e.prefilling, e.decoding, e.prefixCache = nil, nil, nil
}

// SetCold makes the engine cold until the given time.
func (e *Engine) SetCold(until time.Time) { e.coldUntil, e.coldArrivals = until, nil }

// coldCrashDowntime is how long an engine is down that was handed more than it bears cold.
const coldCrashDowntime = time.Second

// ColdCrashes is how often the engine crashed from too many arrivals while cold.
func (e *Engine) ColdCrashes() int { return e.coldCrashes }

// recordColdArrival notes an arrival at a cold engine and reports whether it is too many.
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

// usePrefix makes a subject the last used one and reports whether it was kept.
func (e *Engine) usePrefix(subject uint64) bool {
	if e.profile.PrefixCacheSize == 0 || subject == 0 {
		return false
	}
	was := slices.Contains(e.prefixCache, subject)
	e.prefixCache = append(slices.DeleteFunc(e.prefixCache, func(s uint64) bool { return s == subject }), subject)
	if len(e.prefixCache) > e.profile.PrefixCacheSize {
		e.prefixCache = e.prefixCache[1:]
	}
	return was
}

// Up reports whether the engine takes connections.
func (e *Engine) Up(now time.Time) bool { return !now.Before(e.downUntil) }

// Load is how many requests run and wait.
func (e *Engine) Load() int { return len(e.runs) + len(e.queue) }

// Submit hands a job over.
func (e *Engine) Submit(now time.Time, j Job) {
	if !e.Up(now) {
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Down})
		return
	}
	if e.recordColdArrival(now) {
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

// Cancel drops a job whose caller has left.
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

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.profile.Slowness * e.slowdown)
}

// admit starts waiting jobs in free places.
func (e *Engine) admit(now time.Time) {
	for len(e.runs) < e.profile.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if e.usePrefix(r.PrefixID) {
			r.promptLeft = max(r.promptLeft-r.PrefixTokens, min(r.Prompt, 1))
		}
		if e.profile.Plain {
			r.endAt = now.Add(e.scaled(r.Work))
		}
		e.runs = append(e.runs, r)
	}
	if !e.profile.Plain && e.stepEnd.IsZero() && len(e.runs) > 0 {
		e.stepEnd = e.startStep(now)
	}
}

// startStep begins a startStep and gives its end: a token for each run that has read its
// prompt, and a chunk of one prompt. With nothing to do it ends when there is.
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
	return now.Add(e.scaled(d))
}

// attentionTime is the time that reading n more tokens of a prompt takes for looking at
// those before them.
func (e *Engine) attentionTime(r *run, n int) time.Duration {
	before := float64(r.Prompt - r.promptLeft)
	after := before + float64(n)
	return time.Duration((after*after - before*before) / 1e6 * float64(e.profile.AttentionCost))
}

// NextEvent is when something happens next; false when nothing will.
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

// Advance lets time pass up to now and returns what happened.
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
	kept := e.runs[:0]
	for _, r := range e.runs {
		if r.endAt.After(at) {
			kept = append(kept, r)
			continue
		}
		e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Began}, Event{At: at, Job: r.ID, Kind: Ended})
	}
	e.runs = kept
	e.admit(at)
}

func (e *Engine) endStep(at time.Time) {
	if r := e.prefilling; r != nil {
		r.promptLeft -= min(r.promptLeft, e.profile.PrefillChunk)
		if r.promptLeft == 0 {
			r.firstTokenAt = at.Add(e.scaled(e.profile.FirstTokenDelay))
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
	kept := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		if r.outputLeft > 0 {
			kept = append(kept, r)
		} else {
			e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Ended, LongestPause: r.longestPause})
		}
	}
	e.runs = kept
	e.stepEnd = time.Time{}
	e.admit(at)
}

func (e *Engine) emitToken(at time.Time, r *run) {
	r.outputLeft--
	if !r.started {
		r.started = true
		e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Began})
	}
	made := max(r.Output, 1) - r.outputLeft
	if r.outputLeft > 0 && made%max(e.profile.TokensPerEvent, 1) != 0 {
		return
	}
	if !r.lastEventAt.IsZero() {
		r.longestPause = max(r.longestPause, at.Sub(r.lastEventAt))
	}
	r.lastEventAt = at
}
