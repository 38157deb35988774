package warmup

import (
	"math"
	"time"
)

// Ramp is the state of one target. A nil Ramp allows everything.
type Ramp struct {
	fleet  *Fleet
	id     string
	born   uint64
	usable bool
	cold   bool // as published or stated
	slots  int
	usual  float64 // seconds per unit on this machine when warm; 0 while unknown

	warm      bool
	cause     Cause // of the warm-up
	since     time.Time
	limit     float64 // requests at once while not warm
	changedAt time.Time
	window    window
	before    window    // the last one at least minWindow ago
	slow      bool      // by the last window
	failures  int       // starts that failed, without a warm phase of remember in between
	holdUntil time.Time // no raise before
	failedAt  time.Time // of the last failure that counted
	next      time.Time // when the next request may be given
	heardAt   time.Time // of the last response
	goneAt    time.Time // zero while published
}

// window sums up some responses.
type window struct {
	seconds, units float64
	n              int
	at             time.Time // of the last one
}

func (w *window) add(now time.Time, s Sample) {
	w.seconds, w.units, w.n, w.at = w.seconds+s.seconds(), w.units+s.units(), w.n+1, now
}

func (w *window) pace() float64 { return w.seconds / w.units }

// reset ends the warm phase. Failed starts count until the target was warm for some time.
func (r *Ramp) reset(now time.Time) {
	if r.warm && now.Sub(r.changedAt) >= remember {
		r.failures = 0
	}
	r.warm, r.fleet.counted = false, false
}

// Begin starts a warm-up of a target that was warm.
func (r *Ramp) Begin(now time.Time, c Cause) {
	if r == nil || !r.warm {
		return
	}
	r.reset(now)
	r.begin(now, c)
}

// begin starts a warm-up. The same process that comes back may be warm, and has half of its
// slots at first; a new one, or one that states that it is cold, has one.
func (r *Ramp) begin(now time.Time, c Cause) {
	from := r.shown()
	r.cause, r.since, r.slow, r.next, r.holdUntil, r.failedAt = c, now, false, now, now, time.Time{}
	r.window, r.before = window{}, window{}
	r.limit = 1
	switch {
	case !r.fleet.hasWarm(r):
		r.limit = r.fleet.blindLimit(now, r.slots)
	case c != Started && c != StatedCold:
		r.limit = max(float64(r.slots)/2, 1)
	}
	r.changed(now, c, from)
}

// SetCold records whether the target states that it is cold. A statement that goes on begins
// no second warm-up, since responses tell more.
func (r *Ramp) SetCold(now time.Time, cold bool) {
	if r == nil {
		return
	}
	if cold && !r.cold {
		r.Begin(now, StatedCold)
	}
	r.cold = cold
}

// State records how many requests wait at the target by its own statement. A target that
// cannot keep up is given no more for some time; false statements delay each raise by at
// most step.
func (r *Ramp) State(now time.Time, waiting int) {
	if r == nil || r.warm || waiting == 0 || now.Sub(r.changedAt) >= step {
		return
	}
	r.holdUntil = later(r.holdUntil, now.Add(minWindow/2))
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// backoff is the time until a target that works slowly is given more.
func (r *Ramp) backoff() time.Duration {
	return step * time.Duration(min(1<<min(r.failures, 8), maxBackoff))
}

// Concerns reports whether a request that was given at a time tells of the present warm-up.
func (r *Ramp) Concerns(grantedAt time.Time) bool { return r != nil && !grantedAt.Before(r.since) }

// Observe records a complete response.
func (r *Ramp) Observe(now time.Time, s Sample) {
	if r == nil {
		return
	}
	r.heardAt = now
	r.fleet.heard(now)
	if r.warm {
		r.learn(s)
		return
	}
	if r.fleet.method != ByResponses {
		return
	}
	r.window.add(now, s)
	if r.window.n >= int(r.limit) && r.window.units >= minUnits*r.limit*r.fleet.units && !now.Before(r.holdUntil) {
		r.judge(now)
	}
}

// learn updates what the machine, and its service, usually take.
func (r *Ramp) learn(s Sample) {
	pace := s.seconds() / s.units()
	average(&r.usual, pace)
	average(&r.fleet.usual, pace)
	average(&r.fleet.seconds, s.seconds())
	average(&r.fleet.units, s.units())
}

func average(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += usualWeight * (value - *mean)
}

// reference is the time per unit that the target would take if it were warm; 0 if not known.
func (r *Ramp) reference() float64 {
	if r.usual > 0 {
		return r.usual
	}
	return r.fleet.usual
}

// ratio is the time of the responses of the window to the usual one; 0 if not known.
func (r *Ramp) ratio() float64 {
	if ref := r.reference(); ref > 0 && r.window.n > 0 {
		return r.window.pace() / ref
	}
	return 0
}

// judge changes the limit by the responses at the present one.
func (r *Ramp) judge(now time.Time) {
	ratio := r.ratio()
	r.slow = ratio > tolerance
	if r.cause == Started && ratio > 0 && r.before.n == 0 && r.limit == 1 {
		average(&r.fleet.first, ratio)
	}
	switch {
	case !r.slow && (ratio > 0 || !r.fleet.hasWarm(r)):
		r.raise(now, Usual, r.limit+max(r.limit/2, 1))
	case r.slow && r.isSteady(now):
		r.usual = r.window.pace()
		r.raise(now, Steady, 2*r.limit)
	case now.Sub(r.changedAt) >= r.backoff():
		r.raise(now, Step, r.limit+1)
	case r.before.n == 0 || now.Sub(r.before.at) >= minWindow:
		r.before, r.window = r.window, window{}
	}
}

// isSteady reports whether the target has not become faster since the last window. If the
// machine was faster before the start, that has to last longer.
func (r *Ramp) isSteady(now time.Time) bool {
	if r.usual > 0 && now.Sub(r.since) < doubtAge {
		return false
	}
	return r.before.n > 0 && r.window.n > 0 && r.window.at.Sub(r.before.at) >= minWindow && r.window.pace() >= steady*r.before.pace()
}

// raise sets a higher limit. With all slots, a target that is as fast as usual is warm.
func (r *Ramp) raise(now time.Time, c Cause, limit float64) {
	from := r.shown()
	if r.limit >= float64(r.slots) {
		r.warm, r.fleet.blind, r.fleet.counted = true, 0, false
	}
	r.limit = max(r.limit, r.fleet.riskless(now, min(limit, float64(r.slots)), now.Sub(r.since)))
	r.changed(now, c, from)
	r.window, r.before = window{}, window{}
}

// Fail records that the target failed, or rejected a request, while it warms up. Failures at
// the same time count once.
func (r *Ramp) Fail(now time.Time, c Cause) {
	if r == nil || r.warm || now.Sub(r.failedAt) < minWindow || r.fleet.method != ByResponses {
		return
	}
	from := r.shown()
	r.failedAt, r.holdUntil = now, now.Add(minWindow)
	if c == Failing {
		r.failures++
		r.fleet.failed(now, r.limit, now.Sub(r.since))
	}
	r.limit = max(math.Floor(r.limit/2), 1)
	r.window, r.before = window{}, window{}
	r.changed(now, c, from)
}

// changed records a change of the limit.
func (r *Ramp) changed(now time.Time, c Cause, from int) {
	r.changedAt = now
	if to := r.shown(); to != from || c == r.cause {
		r.fleet.events = append(r.fleet.events, Event{Target: r.id, Cause: c, From: from, To: to, Ratio: r.ratio(), Age: now.Sub(r.since)})
	}
}

// shown is the limit as events name it.
func (r *Ramp) shown() int {
	if r.warm || r.since.IsZero() {
		return 0
	}
	return int(r.limit)
}

// Limit is the number of requests that the target may run at once, of its slots.
func (r *Ramp) Limit(now time.Time, slots int) int {
	if r == nil {
		return slots
	}
	r.slots = slots
	r.age(now)
	switch {
	case r.warm:
		return slots
	case r.fleet.method == ByTime:
		done := min(now.Sub(r.since).Seconds()/Window.Seconds(), 1)
		return 1 + int(float64(slots-1)*done)
	}
	return min(max(int(r.limit*r.fleet.share), 1), slots)
}

// age ends the warm-up of a target against which nothing was seen for MaxAge.
func (r *Ramp) age(now time.Time) {
	if r.warm || r.slow || r.failures > 0 || now.Sub(r.changedAt) < MaxAge {
		return
	}
	from := r.shown()
	r.warm, r.fleet.counted = true, false
	r.changed(now, Aged, from)
}

// Allows reports whether the target, which runs some requests, may be given one more.
func (r *Ramp) Allows(now time.Time, running, slots int) bool {
	if r == nil {
		return true
	}
	if r.warm && now.Sub(later(r.heardAt, r.fleet.activeSince)) > silence {
		r.heardAt = now
		r.Begin(now, Silent)
	}
	return running < r.Limit(now, slots) && (r.warm || !now.Before(r.next))
}

// Grant records that the target was given a request. Without a reference, and failures, there
// is no rate.
func (r *Ramp) Grant(now time.Time) {
	if r == nil || r.warm || r.fleet.method != ByResponses || r.fleet.seconds == 0 {
		return
	}
	if r.failures == 0 && !r.fleet.hasWarm(r) {
		return
	}
	r.next = now.Add(time.Duration(r.fleet.seconds / (rateMargin * r.limit * r.fleet.share) * float64(time.Second)))
}

// Tries reports whether the target has yet to show that it works, so that urgent requests
// should leave it to others. It is not kept for these for longer than tryTime.
func (r *Ramp) Tries(now time.Time) bool {
	if r == nil || r.warm || r.fleet.method != ByResponses || r.limit > 1 || !r.fleet.mostlyWarm() {
		return false
	}
	return now.Sub(later(later(r.heardAt, r.changedAt), r.next)) < tryTime
}

// Factor is how much longer the target takes than usual, as its responses show, or those of
// the targets that started before it; at least 1.
func (r *Ramp) Factor() float64 {
	if r == nil || r.warm || r.fleet.method != ByResponses {
		return 1
	}
	w := r.window
	if w.n == 0 {
		w = r.before
	}
	switch ref := r.reference(); {
	case ref > 0 && w.n > 0:
		return max(w.pace()/ref, 1)
	case r.cause == Started && r.limit == 1:
		return max(r.fleet.first, 1)
	}
	return 1
}
