package speed

import (
	"maps"
	"math"
	"time"
)

// Bounds of what a host sends of the statements that it receives.
const (
	// repeatAfter is the age from which an equal statement is sent again: half of a usual
	// period of disturbance, so that the leader's estimate does not decay meanwhile.
	repeatAfter = 250 * time.Millisecond
	// sameRatio is the ratio up to which two slowdowns count as equal.
	sameRatio = 1.05
	// handoverAge is the age up to which a statement is handed to a new leader. An older
	// one still tells the kind of machine, but later ones will soon.
	handoverAge = 10 * time.Second
	// maxDelay is how long a report may wait for another message to the leader.
	maxDelay = 30 * time.Millisecond
)

// sent is the last report of a target and when it was received.
type sent struct {
	report Report
	at     time.Time // when it was received
	sentAt time.Time // when a report was last due
	value  float64   // the slowdown that was last due
	due    bool      // it is to be sent
}

// Outbox decides which reports a host sends to the leader, and keeps the last report of
// each target for a new leader.
type Outbox struct {
	targets map[string]*sent
	due     []string  // targets of which a report is to be sent
	since   time.Time // when the first of them was received
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox { return &Outbox{targets: map[string]*sent{}} }

// Add records a report that a target has made to this host. It is to be sent if it states a
// slowdown that differs from the last one sent, or if that one is old.
func (o *Outbox) Add(now time.Time, r Report) {
	if r.Slowdown == 0 || !r.Valid() {
		return
	}
	s := o.targets[r.Target]
	if s == nil {
		o.forgetOld(now)
		s = &sent{}
		o.targets[r.Target] = s
	}
	same := s.report.Born == r.Born && math.Abs(math.Log(r.Slowdown/s.value)) < math.Log(sameRatio)
	s.report, s.at = r, now
	if same && now.Sub(s.sentAt) < repeatAfter {
		return
	}
	s.sentAt, s.value = now, r.Slowdown
	if s.due {
		return
	}
	if len(o.due) == 0 {
		o.since = now
	}
	s.due = true
	o.due = append(o.due, r.Target)
}

// Due reports whether a report has waited long enough to be sent in a message of its own.
func (o *Outbox) Due(now time.Time) bool { return len(o.due) > 0 && now.Sub(o.since) >= maxDelay }

// Take returns the reports that are to be sent now, one for each target.
func (o *Outbox) Take(now time.Time) []Report {
	var reports []Report
	for _, id := range o.due {
		if s := o.targets[id]; s != nil && s.due {
			s.due = false
			reports = append(reports, s.aged(now))
		}
	}
	o.due = nil
	return reports
}

// aged returns the report as of a time.
func (s *sent) aged(now time.Time) Report {
	r := s.report
	r.Age = max(now.Sub(s.at), 0)
	return r
}

// Handover returns the recent reports, for a new leader. None of them is due afterwards.
func (o *Outbox) Handover(now time.Time) []Report {
	var reports []Report
	o.forgetOld(now)
	for _, s := range o.targets {
		s.due = false
		reports = append(reports, s.aged(now))
	}
	o.due = nil
	return reports
}

func (o *Outbox) forgetOld(now time.Time) {
	maps.DeleteFunc(o.targets, func(_ string, s *sent) bool { return now.Sub(s.at) > handoverAge })
}
