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
	unread  int // prompt tokens
	unmade  int // output tokens
	begun   bool
	ready   time.Time // when its first token may be made; zero while its prompt is read
	endAt   time.Time // of a plain job
	eventAt time.Time // when its last event was complete
	pause   time.Duration
}

// Engine is one engine. It is driven by Arrive and Advance in the order of time.
type Engine struct {
	profile Profile
	slowed  float64 // factor on all times, by a trouble
	runs    []*run
	queue   []*run
	at      time.Time // end of the step under way; zero when idle
	reading *run      // whose prompt is read in it
	stepped []*run    // that make a token in it
	down    time.Time // until then it takes nothing
	cold    time.Time // until then it bears few arrivals
	came    []time.Time
	overran int      // crashes from too many arrivals while cold
	kept    []uint64 // subjects, the last used one last
	events  []Event
}

// New returns an idle engine.
func New(p Profile) *Engine {
	if p.Slowness <= 0 {
		p.Slowness = 1
	}
	return &Engine{profile: p, slowed: 1}
}

// SetSlowdown makes all times longer by a factor; 1 takes that back.
func (e *Engine) SetSlowdown(factor float64) { e.slowed = factor }

// Crash drops all work and keeps the engine down until the given time.
func (e *Engine) Crash(now, until time.Time) {
	for _, r := range append(e.runs, e.queue...) {
		e.events = append(e.events, Event{At: now, Job: r.ID, Kind: Lost})
	}
	e.runs, e.queue, e.at, e.down = nil, nil, time.Time{}, until
	e.reading, e.stepped, e.kept = nil, nil, nil
}

// SetCold makes the engine cold until the given time.
func (e *Engine) SetCold(until time.Time) { e.cold, e.came = until, nil }

// coldCrash is how long an engine is down that was handed more than it bears cold.
const coldCrash = time.Second

// ColdCrashes is how often the engine crashed from too many arrivals while cold.
func (e *Engine) ColdCrashes() int { return e.overran }

// overrun notes an arrival at a cold engine and reports whether it is too many.
func (e *Engine) overrun(now time.Time) bool {
	if e.profile.MaxColdRate <= 0 || !now.Before(e.cold) {
		return false
	}
	e.came = append(e.came, now)
	for now.Sub(e.came[0]) >= time.Second {
		e.came = e.came[1:]
	}
	return float64(len(e.came)) > e.profile.MaxColdRate
}

// keep makes a subject the last used one and reports whether it was kept.
func (e *Engine) keep(subject uint64) bool {
	if e.profile.PrefixCacheSize == 0 || subject == 0 {
		return false
	}
	was := slices.Contains(e.kept, subject)
	e.kept = append(slices.DeleteFunc(e.kept, func(s uint64) bool { return s == subject }), subject)
	if len(e.kept) > e.profile.PrefixCacheSize {
		e.kept = e.kept[1:]
	}
	return was
}

// Up reports whether the engine takes connections.
func (e *Engine) Up(now time.Time) bool { return !now.Before(e.down) }

// Load is how many requests run and wait.
func (e *Engine) Load() int { return len(e.runs) + len(e.queue) }

// Submit hands a job over.
func (e *Engine) Submit(now time.Time, j Job) {
	if !e.Up(now) {
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Down})
		return
	}
	if e.overrun(now) {
		e.overran++
		e.Crash(now, now.Add(coldCrash))
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Lost})
		return
	}
	if len(e.queue) >= e.profile.Queue && len(e.runs) >= e.profile.Slots {
		e.events = append(e.events, Event{At: now, Job: j.ID, Kind: Rejected})
		return
	}
	e.queue = append(e.queue, &run{Job: j, unread: j.Prompt, unmade: max(j.Output, 1)})
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
	return time.Duration(float64(d) * e.profile.Slowness * e.slowed)
}

// admit starts waiting jobs in free places.
func (e *Engine) admit(now time.Time) {
	for len(e.runs) < e.profile.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if e.keep(r.PrefixID) {
			r.unread = max(r.unread-r.PrefixTokens, min(r.Prompt, 1))
		}
		if e.profile.Plain {
			r.endAt = now.Add(e.scaled(r.Work))
		}
		e.runs = append(e.runs, r)
	}
	if !e.profile.Plain && e.at.IsZero() && len(e.runs) > 0 {
		e.at = e.step(now)
	}
}

// step begins a step and gives its end: a token for each run that has read its
// prompt, and a chunk of one prompt. With nothing to do it ends when there is.
func (e *Engine) step(now time.Time) time.Time {
	d := e.profile.StepTime + time.Duration(len(e.runs)-1)*e.profile.StepPerSlot
	e.reading, e.stepped = nil, e.stepped[:0]
	var wake time.Time
	for _, r := range e.runs {
		switch {
		case r.begun:
			e.stepped = append(e.stepped, r)
		case r.unread == 0 && (wake.IsZero() || r.ready.Before(wake)):
			wake = r.ready
		}
	}
	for _, r := range e.runs {
		if r.unread > 0 {
			e.reading = r
			n := min(r.unread, e.profile.PrefillChunk)
			d += time.Duration(float64(n)/e.profile.PrefillTokensPerMs*float64(time.Millisecond)) + e.pairs(r, n)
			break
		}
	}
	if e.reading == nil && len(e.stepped) == 0 {
		return wake
	}
	return now.Add(e.scaled(d))
}

// pairs is the time that reading n more tokens of a prompt takes for looking at
// those before them.
func (e *Engine) pairs(r *run, n int) time.Duration {
	before := float64(r.Prompt - r.unread)
	after := before + float64(n)
	return time.Duration((after*after - before*before) / 1e6 * float64(e.profile.AttentionCost))
}

// NextEvent is when something happens next; false when nothing will.
func (e *Engine) NextEvent() (time.Time, bool) {
	if !e.profile.Plain {
		return e.at, !e.at.IsZero()
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
	if r := e.reading; r != nil {
		r.unread -= min(r.unread, e.profile.PrefillChunk)
		if r.unread == 0 {
			r.ready = at.Add(e.scaled(e.profile.FirstTokenDelay))
		}
	}
	for _, r := range e.stepped {
		e.token(at, r)
	}
	for _, r := range e.runs {
		if !r.begun && r.unread == 0 && !r.ready.After(at) {
			e.token(at, r)
		}
	}
	kept := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		if r.unmade > 0 {
			kept = append(kept, r)
		} else {
			e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Ended, LongestPause: r.pause})
		}
	}
	e.runs = kept
	e.at = time.Time{}
	e.admit(at)
}

func (e *Engine) token(at time.Time, r *run) {
	r.unmade--
	if !r.begun {
		r.begun = true
		e.events = append(e.events, Event{At: at, Job: r.ID, Kind: Began})
	}
	made := max(r.Output, 1) - r.unmade
	if r.unmade > 0 && made%max(e.profile.TokensPerEvent, 1) != 0 {
		return
	}
	if !r.eventAt.IsZero() {
		r.pause = max(r.pause, at.Sub(r.eventAt))
	}
	r.eventAt = at
}
