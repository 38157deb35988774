package broker

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/parts"
)

// Limits for request contents that crash targets.
const (
	// crashThreshold is the number of crashes at which a content is refused: one
	// more than a request meets that only runs beside another one's crashes, with
	// its caller's single retry.
	crashThreshold = 3
	// restartPublishDelay is the time within which a restarted target is
	// published as such: two of its heartbeats.
	restartPublishDelay = 2500 * time.Millisecond
	// crashCheckTime is the time within which the broker learns that a broken run
	// was a crash: a host's attempt to connect to the target, and the message
	// back.
	crashCheckTime = 300 * time.Millisecond
	// crashRetryAfter is the Retry-After of a refused content.
	crashRetryAfter = maxRetryAfter
)

// BrokenRun is a run that ended without its answer: its target may have crashed,
// or only the connection broke.
type BrokenRun struct {
	RequestID      string // given by the caller; for logs
	Content        model.Fingerprint
	SharedParts    model.PromptParts // of the prompt
	Target         string
	Address        netip.AddrPort
	Born           uint64 // published lifetime of the target when the request was sent
	EndedAt        time.Time
	Took           time.Duration // from sending to the end
	Answered       bool          // completely, as far as an answer without a length shows
	ConnectRefused bool          // the target accepted no connection just after
}

// process returns the process that ran the request.
func (r *BrokenRun) process() member.Process { return member.Process{Address: r.Address, Born: r.Born} }

// CrashStep is a step in the investigation of a suspected crash.
type CrashStep string

// The steps of an investigation.
const (
	CrashSuspected CrashStep = "Suspected"   // a run ended without its answer
	CrashRecorded  CrashStep = "Recorded"    // its target had crashed
	CrashRuledOut  CrashStep = "RuledOut"    // its target was still running
	CrashesCleared CrashStep = "Cleared"     // a target answered the content completely
	PartRefused    CrashStep = "PartRefused" // a part of prompts crashes targets
	PartAllowed    CrashStep = "PartAllowed" // again: answered completely, or another part explains the crashes
	PartsProbed    CrashStep = "PartsProbed" // a request runs in spite of crashes that have others refused
)

// CrashEvent reports one step in the investigation of a suspected crash, for logs
// and metrics.
type CrashEvent struct {
	Step       CrashStep
	Run        BrokenRun
	Age        time.Duration  // since the run ended
	CrashCount int            // recorded so far for the content, or attributed to the part
	ID         member.CrashID // of a recorded crash
}

// TakeCrashEvents returns the events since the last call.
func (b *Broker) TakeCrashEvents() []CrashEvent {
	events := b.crashEvents
	b.crashEvents = nil
	return events
}

func (b *Broker) addCrashEvent(now time.Time, step CrashStep, r BrokenRun) {
	if r.Answered && step != CrashRecorded {
		return
	}
	b.crashEvents = append(b.crashEvents, CrashEvent{Step: step, Run: r, Age: now.Sub(r.EndedAt), CrashCount: b.crashes.Count(now, r.Content)})
}

// ReportBrokenRun takes a run of this host that ended without its answer. It is a
// crash if the target no longer accepts connections, or is published as
// restarted.
func (b *Broker) ReportBrokenRun(now time.Time, r BrokenRun) {
	b.addCrashEvent(now, CrashSuspected, r)
	if r.ConnectRefused {
		b.recordCrash(now, r)
		return
	}
	b.brokenRuns = append(b.brokenRuns, r)
	b.settleBrokenRuns(now)
}

// pendingCheck is a run that ended without its answer a moment ago and may still
// turn out to be a crash.
type pendingCheck struct {
	content model.Fingerprint // 0 if unknown
	parts   model.PromptParts
	broken  bool      // its outcome was Broken
	until   time.Time // when it would be known to be a crash
}

// addPendingCheck records the end of a run that may turn out to be a crash.
func (b *Broker) addPendingCheck(now time.Time, c Completion, r *run) {
	if c.Outcome != Broken && c.Outcome != Cancelled && (c.Outcome != Good || !c.Inconclusive) {
		return
	}
	check := pendingCheck{parts: r.parts, broken: c.Outcome == Broken, until: now.Add(crashCheckTime)}
	if r.queued != nil {
		check.content = r.queued.request.Content
	}
	b.pendingChecks = append(b.pendingChecks, check)
}

// resolvePendingCheck stops counting one such run of a content whose crash is now
// known. The crash may still be attributed to its parts in a message to come.
func (b *Broker) resolvePendingCheck(content model.Fingerprint) {
	if i := slices.IndexFunc(b.pendingChecks, func(check pendingCheck) bool { return check.content == content }); i >= 0 {
		b.pendingChecks[i].content = 0
	}
}

// mayRun reports whether a request may be granted a target, as far as crashes are
// concerned.
func (b *Broker) mayRun(now time.Time, r Request) bool {
	return b.mayRunContent(now, r.Content) && b.mayRunParts(now, r.SharedParts)
}

// mayRunParts reports whether no other request with a suspected part of the prompt is
// running, or may have crashed its target a moment ago.
func (b *Broker) mayRunParts(now time.Time, shared model.PromptParts) bool {
	v := b.parts.Check(now, shared)
	if v.Refused {
		return false
	}
	if slices.ContainsFunc(v.Suspects, func(p model.PromptPart) bool { return b.runsByPart[p] > 0 }) {
		return false
	}
	return !slices.ContainsFunc(b.pendingChecks, func(check pendingCheck) bool {
		return slices.ContainsFunc(check.parts, func(p model.PromptPart) bool {
			return slices.Contains(v.Suspects, p) || check.broken && slices.Contains(shared, p) && !b.parts.Sound(p)
		})
	})
}

// mayRunContent reports whether one more run of a content may start. A content that
// has crashed targets runs at most as many times at once as it may cause further
// crashes before it is refused.
func (b *Broker) mayRunContent(now time.Time, content model.Fingerprint) bool {
	crashes := b.crashes.Count(now, content)
	if crashes == 0 {
		return true
	}
	for _, r := range b.runs {
		if r.queued != nil && r.queued.request.Content == content {
			crashes++
		}
	}
	for _, check := range b.pendingChecks {
		if check.content == content {
			crashes++
		}
	}
	return crashes < crashThreshold
}

// expirePendingChecks drops the runs that would be known to be crashes by now.
func (b *Broker) expirePendingChecks(now time.Time) {
	b.pendingChecks = slices.DeleteFunc(b.pendingChecks, func(check pendingCheck) bool { return !now.Before(check.until) })
}

func (b *Broker) recordCrash(now time.Time, r BrokenRun) {
	b.crashes.RecordCrash(r.EndedAt, r.Took, r.Content, r.process())
	id := b.parts.RecordCrash(r.EndedAt, r.Took, r.process(), r.SharedParts)
	b.addCrashEvent(now, CrashRecorded, r)
	b.crashEvents[len(b.crashEvents)-1].ID = id
	b.resolvePendingCheck(r.Content)
	b.crashesChanged(now)
}

// crashesChanged refuses the waiting requests that may no longer run. Crashes that a
// refused part explains are not the fault of the requests that ran beside it.
func (b *Broker) crashesChanged(now time.Time) {
	if b.parts.Refuses(now) {
		b.crashes.Forgive(func(process member.Process, sentAt, at time.Time) bool {
			return b.parts.Explains(now, process, sentAt, at)
		})
	}
	b.reportPartChanges(now)
	for _, service := range slices.Sorted(maps.Keys(b.queues)) {
		b.queues[service] = slices.DeleteFunc(b.queues[service], func(q *queuedRequest) bool {
			refusal, refused := b.crashRefusal(now, q.request)
			if refused && !q.cancelled {
				b.returnTokens(q)
				b.refuse(q.requestKey, refusal)
			}
			return refused
		})
	}
}

// crashRefusal returns the refusal of a request whose content, or a part of whose
// prompt, crashes targets.
func (b *Broker) crashRefusal(now time.Time, r Request) (Refusal, bool) {
	if v := b.parts.Check(now, r.SharedParts); v.Refused {
		return Refusal{ID: r.ID, RetryAfter: max(v.RetryAfter, minRetryAfter), Cause: "PartCrashesTargets", Suspects: v.Causes, Crashes: v.Crashes}, true
	}
	_, refused := b.crashes.Refused(now, r.Content)
	return Refusal{ID: r.ID, RetryAfter: crashRetryAfter, Cause: "CrashesTargets"}, refused
}

// recordProbe adds a crash event for a request that is granted a target in spite of the crashes of
// its parts.
func (b *Broker) recordProbe(now time.Time, r Request, target *target) {
	if len(r.SharedParts) == 0 || !b.parts.Probes(now, r.SharedParts) {
		return
	}
	run := BrokenRun{Content: r.Content, SharedParts: r.SharedParts, Target: target.published.ID, Address: target.published.Address, EndedAt: now}
	b.crashEvents = append(b.crashEvents, CrashEvent{Step: PartsProbed, Run: run, CrashCount: b.crashes.Count(now, r.Content)})
}

// reportPartChanges adds crash events for parts that are refused or allowed again.
func (b *Broker) reportPartChanges(now time.Time) {
	for _, c := range b.parts.TakeChanges() {
		step := PartAllowed
		if c.Refused {
			step = PartRefused
		}
		run := BrokenRun{SharedParts: model.PromptParts{c.Part}, EndedAt: now}
		b.crashEvents = append(b.crashEvents, CrashEvent{Step: step, Run: run, CrashCount: c.Crashes})
	}
}

// settleBrokenRuns decides which broken runs were crashes: a run whose target is
// published with another start, or has a successor at its address, is one, and a run whose
// target would have been published as restarted by now is not.
func (b *Broker) settleBrokenRuns(now time.Time) {
	b.brokenRuns = slices.DeleteFunc(b.brokenRuns, func(r BrokenRun) bool {
		t := b.roster.Targets[r.Target]
		switch {
		case t != nil && t.Born != r.Born || b.hasSuccessor(r):
			b.recordCrash(now, r)
		case now.Sub(r.EndedAt) >= restartPublishDelay:
			b.addCrashEvent(now, CrashRuledOut, r)
			if r.Answered {
				b.parts.RecordAnswer(r.EndedAt, r.SharedParts)
			}
		default:
			return false
		}
		return true
	})
}

// hasSuccessor reports whether another target that started later than that of a run is
// published at the same address: the process of the run's target has ended. The entry of
// a target that crashed stays for a while.
func (b *Broker) hasSuccessor(r BrokenRun) bool {
	if r.Born == 0 {
		return false // not published
	}
	for id, t := range b.roster.Targets {
		if t.Address == r.Address && id != r.Target && t.Born > r.Born {
			return true
		}
	}
	return false
}

// recordAnswer records that a target answered a request completely, which clears the
// crashes of its content and of its parts unless the answer is inconclusive.
func (b *Broker) recordAnswer(now time.Time, r *run, inconclusive bool) {
	if inconclusive {
		b.parts.RecordInconclusiveAnswer(r.parts)
		return
	}
	b.parts.RecordAnswer(now, r.parts)
	b.reportPartChanges(now)
	if r.queued == nil {
		return
	}
	content := r.queued.request.Content
	if b.crashes.RecordAnswer(now, content) {
		b.answersChanged = true
		b.addCrashEvent(now, CrashesCleared, BrokenRun{Content: content, SharedParts: r.parts, Target: r.target, EndedAt: now})
	}
}

// NewPartRecords returns the crashes and answers of parts of prompts that were recorded
// here since the last call, which the other hosts are sent.
func (b *Broker) NewPartRecords(now time.Time) parts.Shared { return b.parts.TakeNew(now) }

// AllPartRecords returns all records of parts of prompts, for a host that may have
// missed some.
func (b *Broker) AllPartRecords(now time.Time) parts.Shared { return b.parts.Handover(now) }

// MergePartRecords merges the records of parts of prompts of another host.
func (b *Broker) MergePartRecords(now time.Time, s parts.Shared) {
	b.parts.Merge(now, s)
	b.crashesChanged(now)
}

// NewAnswers returns the contents with crashes that have been answered since, or
// nil if there are no new ones since the last call.
func (b *Broker) NewAnswers(now time.Time) []member.Answer {
	if !b.answersChanged {
		return nil
	}
	b.answersChanged = false
	return b.crashes.Answers(now)
}

// AllAnswers returns the same in any case, for a host that may have missed some.
func (b *Broker) AllAnswers(now time.Time) []member.Answer { return b.crashes.Answers(now) }

// MergeAnswers merges the answers that another host knows of.
func (b *Broker) MergeAnswers(now time.Time, answers []member.Answer) {
	b.crashes.MergeAnswers(now, answers)
}

// NewCrashes returns the crashes recorded here since the last call, which the
// other hosts are sent.
func (b *Broker) NewCrashes(now time.Time) []member.Crash {
	after := b.reportedSerial
	b.reportedSerial = b.crashes.LastSerial()
	if after == b.reportedSerial {
		return nil
	}
	return b.crashes.OwnSince(now, after)
}

// AllCrashes returns the recorded crashes, for a host that may have missed some.
// Beyond the limit of one message, only those of the contents with the most
// crashes are returned.
func (b *Broker) AllCrashes(now time.Time) []member.Crash { return b.crashes.Handover(now) }

// MergeCrashes merges the crashes that another host has recorded.
func (b *Broker) MergeCrashes(now time.Time, crashes []member.Crash) {
	b.crashes.Merge(now, crashes)
	for _, c := range crashes {
		b.resolvePendingCheck(c.Fingerprint)
	}
	b.crashesChanged(now)
}
