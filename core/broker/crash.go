package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Bounds of what is held against a request's content.
const (
	// condemnAt is how many crashes a content is at before it is refused: one
	// more than a request that only ran beside another's crash meets, with its
	// caller's one repeat.
	condemnAt = 3
	// doubtFor is how long after a broken answer a failed connection tells that
	// the target had crashed.
	doubtFor = 2 * time.Second
	// crashRetry is when callers of a refused content are asked to come back.
	crashRetry = comeMost
)

// CrashStep is what became of a suspicion that a request crashed its target.
type CrashStep string

// The steps.
const (
	CrashSuspected CrashStep = "Suspected" // a run broke off
	CrashRecorded  CrashStep = "Recorded"  // its target had ended
	CrashLapsed    CrashStep = "Lapsed"    // nothing has shown within doubtFor that the target had ended
)

// CrashNote tells what is held against a content and why, for logs and metrics.
type CrashNote struct {
	Step    CrashStep
	Content model.Fingerprint
	Target  netip.AddrPort
	Age     time.Duration // since the run broke off
	Crashes int           // recorded of the content so far
}

// CrashNotes returns the steps since the last call.
func (b *Broker) CrashNotes() []CrashNote {
	notes := b.notes
	b.notes = nil
	return notes
}

func (b *Broker) note(now time.Time, step CrashStep, t *target, d doubt) {
	b.notes = append(b.notes, CrashNote{step, d.content, t.published.Address, now.Sub(d.at), b.crashes.Count(now, d.content)})
}

// doubt is a run that broke: its target may have crashed, or only a connection.
type doubt struct {
	content model.Fingerprint
	at      time.Time
	took    time.Duration // from sending to the break
}

// broke notes that a run ended with a broken connection.
func (b *Broker) broke(now time.Time, t *target, took time.Duration, content model.Fingerprint) {
	if content == 0 {
		return
	}
	b.lapse(now, t)
	d := doubt{content, now, took}
	t.doubts = append(t.doubts, d)
	b.note(now, CrashSuspected, t, d)
}

// lapse drops the doubts of a target that nothing has confirmed in time.
func (b *Broker) lapse(now time.Time, t *target) {
	t.doubts = slices.DeleteFunc(t.doubts, func(d doubt) bool {
		old := now.Sub(d.at) >= doubtFor
		if old {
			b.note(now, CrashLapsed, t, d)
		}
		return old
	})
}

// Crashes gives what is held against contents if there is something new since it
// was last asked for, so that other hosts know it should one of them lead.
func (b *Broker) Crashes(now time.Time) []member.Crash {
	if b.crashes.Seen() == b.told {
		return nil
	}
	b.told = b.crashes.Seen()
	return b.crashes.Share(now)
}

// AllCrashes gives what is held against contents, for a host that is new here.
func (b *Broker) AllCrashes(now time.Time) []member.Crash { return b.crashes.Share(now) }

// LearnCrashes takes in what another broker holds against contents.
func (b *Broker) LearnCrashes(now time.Time, crashes []member.Crash) { b.crashes.Learn(now, crashes) }

// crashed holds the runs that broke lately against their contents: the target
// takes no connections, or has started anew.
func (b *Broker) crashed(now time.Time, address netip.AddrPort, t *target) {
	b.lapse(now, t)
	for _, d := range t.doubts {
		b.crashes.Crashed(d.at, d.took, d.content, address)
		b.note(now, CrashRecorded, t, d)
	}
	t.doubts = nil
}
