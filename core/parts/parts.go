// Package parts finds the prompt parts that crash targets, by group testing. A crash
// is attributed to the shared parts of all requests that ran on the target; a
// complete answer shows that the parts of its request are sound. Requests with a
// suspected part run one at a time, and are refused once they contain every part that
// can explain several crashes. Package crash is the counterpart
// for whole requests. The package does no I/O; one goroutine owns the Records.
package parts

import (
	"maps"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Thresholds of the verdicts, in crashes in succession.
const (
	suspectThreshold      = 1
	suspectThresholdSound = 2 // for parts that were answered completely before
	refusalThreshold      = 3 // as for whole requests
	// maxOrdinary is how many of the crashes attributed to a part may have another cause, or half
	// of them if that is more.
	maxOrdinary = 2
	// freeProbes is the number of crashes up to which requests that tell explanations apart run
	// without waiting: it is allowed until a part at fault is to be known.
	freeProbes = 5
	// maxProbes is the number of crashes up to which requests run on account of parts that may be
	// sound: three more than those until a part at fault is to be known.
	maxProbes = freeProbes + 3
)

// Limits of the records.
const (
	expiry          = 10 * time.Minute // after this time a crash is forgotten; see isUnresolved
	maxCrashes      = 256
	maxRunsPerCrash = 256 // with different parts
	maxAnswers      = 4096
	maxSound        = 8192
	maxRefusals     = 256
	// reportTime is how long the reports of one crash from several hosts may take: the
	// attempt to connect to the target, and the message.
	reportTime = 300 * time.Millisecond
	// probeBackoff is the factor between the lengths of successive refusals of a part,
	// since each ends with a request that may crash one more target.
	probeBackoff = 16
	// soundRefusal is the length of the first refusal of a part that was answered before: targets
	// that end for another cause accuse a part that all requests have. It outlasts the time within
	// which all hosts and targets know of a crash. minRenewal makes the second one twice as long
	// as other parts' first, so that three probes still run in two days.
	soundRefusal = 5 * time.Second
	minRenewal   = 2 * expiry
	// firstProbe is the time from the crash that has requests refused to one that may tell which
	// part is at fault. The intervals grow with the number of crashes.
	firstProbe    = time.Second
	refusalMemory = 24 * time.Hour // after the end of a refusal, in which one more crash renews it
	// expiryCheckPeriod is the precision of expiry.
	expiryCheckPeriod = time.Second
)

// Change is a change of the verdict on a part.
type Change struct {
	Part    model.PromptPart
	Refused bool
	Crashes int // attributed to the part
}

// run is a run that broke off in a crash.
type run struct {
	id     member.CrashID
	sentAt time.Time
	at     time.Time
	parts  model.PromptParts // to which the crash is attributed
}

// crashEvent is one crash of a target.
type crashEvent struct {
	process member.Process
	endedAt time.Time // when the first of its runs broke off
	runs    []run     // at least one
	// lastSentAt is when the last of the broken requests with a part was sent, for each
	// part to which the crash is attributed.
	lastSentAt map[model.PromptPart]time.Time
}

// includes reports whether a run broke off in this crash: in the same process, at the same
// time within the timing error between hosts. A request that the same host sent after a crash
// reached the restarted target.
func (e *crashEvent) includes(process member.Process, r run) bool {
	return slices.ContainsFunc(e.runs, func(x run) bool {
		slack, ok := e.process.Slack(process, x.id.Seer == r.id.Seer)
		return ok && (x.id == r.id || x.sentAt.Sub(r.at) <= slack && r.sentAt.Sub(x.at) <= slack)
	})
}

// refusal is the state of a part that is or was refused.
type refusal struct {
	crashedAt time.Time // its latest crash
	until     time.Time
	length    time.Duration
}

// Records holds the crashes and answers that one host knows of.
type Records struct {
	process  uint64 // identifies this process in the ids of its records
	serial   uint64 // of the last crash reported here
	events   []*crashEvent
	byPart   map[model.PromptPart][]*crashEvent // that are attributed to a part
	answered map[model.PromptPart]time.Time     // last complete answers to parts with crashes
	sound    recentParts                        // that were answered, some of them inconclusively
	refusals map[model.PromptPart]refusal
	changes  []Change
	// unsentRuns and unsentAnswers were reported here and not yet returned by TakeNew.
	unsentRuns    []targetRun
	unsentAnswers []model.PromptPart
	// findings are computed when they are needed; nil if the records have changed.
	findings *findings
	expireAt time.Time // when to look for expired records next
}

// recentParts is a set of the parts added last, at least maxSound and at most twice as
// many.
type recentParts struct{ current, former map[model.PromptPart]bool }

func (s *recentParts) contains(p model.PromptPart) bool { return s.current[p] || s.former[p] }

func (s *recentParts) add(p model.PromptPart) {
	if s.current[p] {
		return
	}
	if len(s.current) >= maxSound {
		s.former, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = map[model.PromptPart]bool{}
	}
	s.current[p] = true
}

// targetRun is a run with its target.
type targetRun struct {
	process member.Process
	run
}

// NewRecords returns empty records. No other process has the same processID.
func NewRecords(processID uint64) *Records {
	return &Records{process: processID, byPart: map[model.PromptPart][]*crashEvent{}, answered: map[model.PromptPart]time.Time{}, refusals: map[model.PromptPart]refusal{}}
}

// RecordCrash records that a target's process crashed at a time while it ran a request with
// shared parts that it was sent took earlier, and returns the id of the record.
func (r *Records) RecordCrash(at time.Time, took time.Duration, process member.Process, parts model.PromptParts) member.CrashID {
	r.serial++
	x := run{id: member.CrashID{Seer: r.process, Serial: r.serial}, sentAt: at.Add(-took), at: at, parts: parts}
	if r.add(process, x) {
		r.unsentRuns = append(r.unsentRuns, targetRun{process, x})
	}
	r.conclude(at) // now, since a refusal has to outlive the crashes
	return x.id
}

// add adds a run unless it is known or nothing can be attributed to it.
func (r *Records) add(process member.Process, x run) bool {
	x.parts = slices.DeleteFunc(slices.Clone(x.parts), func(p model.PromptPart) bool { return !x.at.After(r.answered[p]) })
	if len(x.parts) == 0 {
		return false
	}
	r.findings = nil
	i := slices.IndexFunc(r.events, func(e *crashEvent) bool { return e.includes(process, x) })
	if i < 0 {
		r.evict()
		i = len(r.events)
		r.events = append(r.events, &crashEvent{process: process, endedAt: x.at, lastSentAt: map[model.PromptPart]time.Time{}})
	}
	e := r.events[i]
	for _, p := range x.parts {
		if e.lastSentAt[p].IsZero() {
			r.byPart[p] = append(r.byPart[p], e)
		}
	}
	return e.add(x)
}

// add adds a run to a crash. Of several runs with the same parts the one that was sent
// last is kept.
func (e *crashEvent) add(x run) bool {
	i := slices.IndexFunc(e.runs, func(y run) bool { return slices.Equal(x.parts, y.parts) })
	switch {
	case i >= 0 && !x.sentAt.After(e.runs[i].sentAt):
		return false
	case i >= 0:
		e.runs[i] = x
	case len(e.runs) >= maxRunsPerCrash:
		e.runs[0] = x
	default:
		e.runs = append(e.runs, x)
	}
	if x.at.Before(e.endedAt) {
		e.endedAt = x.at
	}
	for _, p := range x.parts {
		if x.sentAt.After(e.lastSentAt[p]) {
			e.lastSentAt[p] = x.sentAt
		}
	}
	return true
}

// clear attributes the crash no longer to a part, in the runs that broke off by a time.
func (e *crashEvent) clear(p model.PromptPart, until time.Time) {
	if e.lastSentAt[p].IsZero() {
		return
	}
	delete(e.lastSentAt, p)
	for i := range e.runs {
		x := &e.runs[i]
		switch {
		case !x.at.After(until):
			x.parts = slices.DeleteFunc(slices.Clone(x.parts), func(q model.PromptPart) bool { return q == p })
		case slices.Contains(x.parts, p) && x.sentAt.After(e.lastSentAt[p]):
			e.lastSentAt[p] = x.sentAt
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(x run) bool { return len(x.parts) == 0 })
}

// evict drops the oldest crash if there are too many.
func (r *Records) evict() {
	if len(r.events) < maxCrashes {
		return
	}
	oldest := slices.MinFunc(r.events, func(x, y *crashEvent) int { return x.endedAt.Compare(y.endedAt) })
	r.retain(func(e *crashEvent) bool { return e != oldest })
}

// retain drops the crashes for which wanted returns false.
func (r *Records) retain(wanted func(*crashEvent) bool) {
	r.findings = nil
	r.events = slices.DeleteFunc(r.events, func(e *crashEvent) bool {
		if wanted(e) {
			return false
		}
		for p := range e.lastSentAt {
			r.removeFrom(p, e)
		}
		return true
	})
}

// removeFrom removes a crash from those that are attributed to a part.
func (r *Records) removeFrom(p model.PromptPart, e *crashEvent) {
	r.byPart[p] = slices.DeleteFunc(r.byPart[p], func(x *crashEvent) bool { return x == e })
	if len(r.byPart[p]) == 0 {
		delete(r.byPart, p)
	}
}

// RecordAnswer records that a target answered a request with shared parts completely,
// so that none of them crashes targets.
func (r *Records) RecordAnswer(now time.Time, parts model.PromptParts) {
	r.RecordInconclusiveAnswer(parts)
	if len(r.events)+len(r.refusals) == 0 || len(parts) == 0 {
		return
	}
	for _, p := range parts {
		if _, refused := r.refusals[p]; (refused || len(r.byPart[p]) > 0) && r.clear(p, now) {
			r.unsentAnswers = append(r.unsentAnswers, p)
		}
	}
}

// RecordInconclusiveAnswer records an answer to a request with shared parts that may
// have ended with its target.
func (r *Records) RecordInconclusiveAnswer(parts model.PromptParts) {
	for _, p := range parts {
		r.sound.add(p)
	}
}

// Sound reports whether a request with a part was answered before.
func (r *Records) Sound(p model.PromptPart) bool { return r.sound.contains(p) }

// clear drops the crashes attributed to a part up to a time, and its refusal. It
// reports whether the answer is newer than the last known one.
func (r *Records) clear(p model.PromptPart, until time.Time) bool {
	if !until.After(r.answered[p]) {
		return false
	}
	if len(r.answered) >= maxAnswers {
		r.evictAnswer()
	}
	r.answered[p] = until
	if f, ok := r.refusals[p]; ok && until.After(f.crashedAt) {
		r.dropRefusal(p)
	}
	for _, e := range slices.Clone(r.byPart[p]) {
		if e.clear(p, until); e.lastSentAt[p].IsZero() {
			r.removeFrom(p, e)
		}
	}
	r.retain(func(e *crashEvent) bool { return len(e.runs) > 0 })
	return true
}

// evictAnswer drops the oldest answer.
func (r *Records) evictAnswer() {
	var oldest model.PromptPart
	first := true
	for p, at := range r.answered {
		if first || at.Before(r.answered[oldest]) {
			oldest, first = p, false
		}
	}
	delete(r.answered, oldest)
}

// expire forgets what is too old to matter.
func (r *Records) expire(now time.Time) {
	if now.Before(r.expireAt) {
		return
	}
	r.retain(func(e *crashEvent) bool {
		age := now.Sub(e.endedAt)
		return age < expiry || age < refusalMemory && r.isUnresolved(e)
	})
	maps.DeleteFunc(r.answered, func(_ model.PromptPart, at time.Time) bool { return now.Sub(at) >= refusalMemory })
	maps.DeleteFunc(r.refusals, func(_ model.PromptPart, f refusal) bool { return now.Sub(f.until) >= refusalMemory })
	r.expireAt = now.Add(expiryCheckPeriod)
}

// isUnresolved reports whether a crash is one of several for which requests wait, and no part is
// refused for it. Without the crash as many requests would crash targets once more.
func (r *Records) isUnresolved(e *crashEvent) bool {
	unresolved := false
	for p := range e.lastSentAt {
		if _, refused := r.refusals[p]; refused {
			return false
		}
		unresolved = unresolved || len(r.byPart[p]) >= refusalThreshold
	}
	return unresolved
}

// Refresh takes account of the time that has passed, and reports whether verdicts may
// have changed by it.
func (r *Records) Refresh(now time.Time) bool {
	if len(r.events)+len(r.refusals) == 0 {
		return false
	}
	former := r.findings
	return r.conclude(now) != former
}

// TakeChanges returns the changes of verdicts since the last call.
func (r *Records) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}
