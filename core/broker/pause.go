package broker

import "time"

// Weights of pauses between the events of streams.
const (
	// pausePart is the part of the shortest pause allowed at a target that reading
	// prompts may take: events come late on their way, and estimates are rough.
	pausePart = 0.7
	// pauseEvents is from how many events a stream tells of pauses.
	pauseEvents = 4
)

// learnPause takes in the longest pause of a stream, as if at the fastest target.
// Engines read a prompt in parts between the tokens of the streams beside it, which
// makes pauses of the time for some parts.
func (b *Broker) learnPause(t *target, d Completion) {
	a := b.services[t.published.Service]
	if a == nil || d.OutputTokens < pauseEvents || d.MaxEventGap <= 0 {
		return
	}
	over := time.Duration(float64(d.MaxEventGap)/b.slowness(t)) - a.pause
	weight := firstFall
	if over > 0 {
		weight = firstRise
	}
	a.pause = max(a.pause+time.Duration(weight*float64(over)), 0)
}

// keepsPauses reports whether a request can be read at a target without holding up
// the streams that run there. It answers engines so slow that each part of a prompt
// takes a good part of the pause that callers bear: they read no more at a time than
// fits in one pause, so that long prompts go to fast ones. A request that is late
// already goes anywhere, lest long ones are never served.
func (b *Broker) keepsPauses(now time.Time, w *waiting, t *target) bool {
	a := b.services[t.published.Service]
	if a == nil || t.running == 0 || t.shortest <= 0 {
		return true
	}
	most := time.Duration(pausePart * float64(t.shortest))
	if time.Duration(float64(a.pause)*b.slowness(t)) <= most || t.prefillBacklog(now)+b.prefillTime(w, t) <= most {
		return true
	}
	return now.Add(b.firstPart(w)).After(w.aimAt)
}

// notePause takes in the pause that a granted request allows.
func (t *target) notePause(w *waiting) {
	if t.running == 0 {
		t.shortest = 0
	}
	if p := w.ask.MaxEventGap; p > 0 && (t.shortest == 0 || p < t.shortest) {
		t.shortest = p
	}
}
