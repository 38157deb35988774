package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Bounds of what is recorded of contents that crash targets.
const (
	// crashThreshold is how many crashes a content is at before it is refused: one
	// more than a request that only ran beside another's crash meets, with its
	// caller's one repeat.
	crashThreshold = 3
	// republish is within which a target that has started anew is published as
	// such: two of its beats.
	republish = 2500 * time.Millisecond
	// examination is within which a break that was a crash is known here: a host's
	// try to connect to the target, and the way back.
	examination = 300 * time.Millisecond
	// crashRetry is what Retry-After says for a refused content.
	crashRetry = retryAfterMost
)

// BrokenRun is a run that ended without its answer: its target may have ended under
// it, or only the connection.
type BrokenRun struct {
	RequestID      string // the caller's id, for logs
	Content        model.Fingerprint
	Target         string
	Address        netip.AddrPort
	Born           uint64        // of the target's published lifetime, as the request was sent
	EndedAt        time.Time     // when the run ended
	Took           time.Duration // from sending to the end
	ConnectRefused bool          // the target took no connection just after
}

// CrashStep is what became of a suspicion that a request crashed its target.
type CrashStep string

// The steps.
const (
	CrashSuspected CrashStep = "Suspected" // a run broke off
	CrashRecorded  CrashStep = "Recorded"  // its target had ended
	CrashRuledOut  CrashStep = "RuledOut"  // its target went on
	CrashesCleared CrashStep = "Cleared"   // a target has answered the content whole
)

// CrashEvent tells what became of a suspected crash, for logs and metrics.
type CrashEvent struct {
	Step       CrashStep
	Run        BrokenRun
	Age        time.Duration // since the run broke off
	CrashCount int           // recorded of the content so far
}

// TakeCrashEvents returns the steps since the last call.
func (b *Broker) TakeCrashEvents() []CrashEvent {
	notes := b.notes
	b.notes = nil
	return notes
}

func (b *Broker) note(now time.Time, step CrashStep, k BrokenRun) {
	b.notes = append(b.notes, CrashEvent{step, k, now.Sub(k.EndedAt), b.crashes.Count(now, k.Content)})
}

// ReportBrokenRun takes in a run of this host that broke off. It was a crash if the target
// takes no connections any more, or turns out to have started anew.
func (b *Broker) ReportBrokenRun(now time.Time, k BrokenRun) {
	b.note(now, CrashSuspected, k)
	if k.ConnectRefused {
		b.recordCrash(now, k)
		return
	}
	b.breaks = append(b.breaks, k)
	b.settleBreaks(now)
}

// unexamined is a run that ended without its answer a moment ago.
type unexamined struct {
	content model.Fingerprint
	until   time.Time // when it would be known to be a crash
}

// awaitExamination notes the end of a run that may turn out to be a crash.
func (b *Broker) awaitExamination(now time.Time, d Completion, content model.Fingerprint) {
	if d.Outcome == Broken || d.Outcome == Cancelled {
		b.unexamined = append(b.unexamined, unexamined{content, now.Add(examination)})
	}
}

// examined drops one such end of a content, whose crash is known now.
func (b *Broker) examined(content model.Fingerprint) {
	if i := slices.IndexFunc(b.unexamined, func(u unexamined) bool { return u.content == content }); i >= 0 {
		b.unexamined = slices.Delete(b.unexamined, i, i+1)
	}
}

// mayRun reports whether one more run of a content is allowed: one that has
// crashed targets runs at most as often at once as it may crash further ones.
func (b *Broker) mayRun(now time.Time, content model.Fingerprint) bool {
	crashes := b.crashes.Count(now, content)
	if crashes == 0 {
		return true
	}
	for _, r := range b.runs {
		if r.ask != nil && r.ask.ask.Content == content {
			crashes++
		}
	}
	for _, u := range b.unexamined {
		if u.content == content {
			crashes++
		}
	}
	return crashes < crashThreshold
}

// expireUnexamined drops the ends of runs that would be known to be crashes by now.
func (b *Broker) expireUnexamined(now time.Time) {
	b.unexamined = slices.DeleteFunc(b.unexamined, func(u unexamined) bool { return !now.Before(u.until) })
}

func (b *Broker) recordCrash(now time.Time, k BrokenRun) {
	b.crashes.RecordCrash(k.EndedAt, k.Took, k.Content, k.Address)
	b.note(now, CrashRecorded, k)
	b.examined(k.Content)
	b.refuseCrashing(now)
}

// isRefused reports whether a content has crashed too many targets.
func (b *Broker) isRefused(now time.Time, content model.Fingerprint) bool {
	_, refused := b.crashes.Refused(now, content)
	return refused
}

// refuseCrashing refuses the waiting requests whose content turns out to crash
// targets.
func (b *Broker) refuseCrashing(now time.Time) {
	for service, q := range b.queues {
		b.queues[service] = slices.DeleteFunc(q, func(w *waiting) bool {
			refused := b.isRefused(now, w.ask.Content)
			if refused {
				b.giveBack(w)
				b.refuseCrash(w.key)
			}
			return refused
		})
	}
}

func (b *Broker) refuseCrash(k key) {
	b.refuse(k, Refusal{ID: k.id, RetryAfter: crashRetry, Cause: "CrashesTargets"})
}

// settleBreaks decides on the breaks whose targets have started anew, or would
// have been published by now if they had.
func (b *Broker) settleBreaks(now time.Time) {
	b.breaks = slices.DeleteFunc(b.breaks, func(k BrokenRun) bool {
		t := b.roster.Targets[k.Target]
		switch {
		case t != nil && t.Born != k.Born:
			b.recordCrash(now, k)
		case now.Sub(k.EndedAt) >= republish:
			b.note(now, CrashRuledOut, k)
		default:
			return false
		}
		return true
	})
}

// answeredWhole takes in that a target answered a request to its end.
func (b *Broker) answeredWhole(now time.Time, a Request, target string) {
	if b.crashes.RecordAnswer(now, a.Content) {
		b.cleared = true
		b.note(now, CrashesCleared, BrokenRun{Content: a.Content, Target: target, EndedAt: now})
	}
}

// NewAnswers gives the contents of which crashes are known and that were answered
// since, if there are new ones since it was last asked for.
func (b *Broker) NewAnswers(now time.Time) []member.Answer {
	if !b.cleared {
		return nil
	}
	b.cleared = false
	return b.crashes.Answers(now)
}

// AllAnswers gives all of them, for a host that may have missed some.
func (b *Broker) AllAnswers(now time.Time) []member.Answer { return b.crashes.Answers(now) }

// MergeAnswers takes in what another host knows of them.
func (b *Broker) MergeAnswers(now time.Time, answers []member.Answer) {
	b.crashes.MergeAnswers(now, answers)
}

// NewCrashes gives the crashes that were recorded here since it was last asked for,
// so that other hosts know them.
func (b *Broker) NewCrashes(now time.Time) []member.Crash {
	after := b.reportedCrashes
	b.reportedCrashes = b.crashes.LastSerial()
	if after == b.reportedCrashes {
		return nil
	}
	return b.crashes.OwnSince(now, after)
}

// AllCrashes gives what is recorded of contents, for a host that may have missed some.
func (b *Broker) AllCrashes(now time.Time) []member.Crash { return b.crashes.Handover(now) }

// MergeCrashes takes in what another host has recorded.
func (b *Broker) MergeCrashes(now time.Time, crashes []member.Crash) {
	b.crashes.Merge(now, crashes)
	for _, c := range crashes {
		b.examined(c.Fingerprint)
	}
	b.refuseCrashing(now)
}
