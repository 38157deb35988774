package broker

import (
	"net/netip"
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

// doubt is a run that broke: its target may have crashed, or only a connection.
type doubt struct {
	content model.Fingerprint
	at      time.Time
	took    time.Duration // from sending to the break
}

// broke notes that a run ended with a broken connection.
func (t *target) broke(now time.Time, took time.Duration, content model.Fingerprint) {
	if content == 0 {
		return
	}
	kept := t.doubts[:0]
	for _, d := range t.doubts {
		if now.Sub(d.at) < doubtFor {
			kept = append(kept, d)
		}
	}
	t.doubts = append(kept, doubt{content, now, took})
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
	for _, d := range t.doubts {
		if now.Sub(d.at) < doubtFor {
			b.crashes.Crashed(d.at, d.took, d.content, address)
		}
	}
	t.doubts = nil
}
