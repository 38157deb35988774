package burn

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is how a request went, as far as its caller is concerned.
type Outcome string

// The fates. Those that are not owed an answer are left out of shares.
const (
	InTime  Outcome = "InTime"
	Late    Outcome = "Late"
	Refused Outcome = "Refused" // not run, to come back later
	Failed  Outcome = "Failed"
	NotOwed Outcome = "NotOwed" // not allowed, beyond an allowance, or its caller left
)

// Statuses of HTTP, without its package, which opens sockets.
const (
	statusBadRequest         = 400
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// End is how one request ended.
type End struct {
	Route           string // empty if none matched
	Service         string // empty if it was refused before one was chosen
	Status          int
	Cause           string        // empty for a target's own answer
	CallerLeft      bool          // its caller left
	TimeToFirstByte time.Duration // from arrival to the start of the answer
	Objective       time.Duration // objective for First
}

// Outcome judges an end. Requests that nobody may send, those beyond an allowance,
// and those whose caller left are owed nothing.
func (e *End) Outcome() Outcome {
	switch {
	case e.Route == "", e.Service == "", e.Status == statusTooManyRequests, e.CallerLeft:
		return NotOwed
	case e.Status == statusServiceUnavailable && e.Cause != "":
		return Refused
	case e.Status >= statusBadRequest, e.Cause != "":
		return Failed
	case e.TimeToFirstByte > e.Objective:
		return Late
	}
	return InTime
}

// Sample is one request of a day.
type Sample struct {
	Arrived time.Time
	Service string
	Outcome Outcome
	Waited  time.Duration // for targets
}

// Span is one service in one span of a day.
type Span struct {
	Start   time.Time
	Service string
	Owed    int
	InTime  int
	Late    int
	Refused int
	Failed  int
	Waited  time.Duration // the longest but for one in twenty
}

// waitQuantile of the requests of a span waited no longer than its Waited.
const waitQuantile = 0.95

// Share is the part of a span's requests with a fate; 0 of none.
func (s *Span) Share(n int) float64 { return float64(n) / float64(max(s.Owed, 1)) }

// SummarizeSpans adds samples up by spans of the given length and by service, in the order
// of time.
func SummarizeSpans(samples []Sample, length time.Duration) []Span {
	type at struct {
		start   time.Time
		service string
	}
	spans := map[at]*Span{}
	waits := map[at][]time.Duration{}
	for _, s := range samples {
		if s.Outcome == NotOwed {
			continue
		}
		k := at{s.Arrived.Truncate(length), s.Service}
		if spans[k] == nil {
			spans[k] = &Span{Start: k.start, Service: k.service}
		}
		spans[k].add(s.Outcome)
		waits[k] = append(waits[k], s.Waited)
	}
	day := make([]Span, 0, len(spans))
	for k, s := range spans {
		slices.Sort(waits[k])
		s.Waited = waits[k][int(waitQuantile*float64(len(waits[k])-1))]
		day = append(day, *s)
	}
	slices.SortFunc(day, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Start.Compare(b.Start))
	})
	return day
}

func (s *Span) add(f Outcome) {
	s.Owed++
	switch f {
	case InTime:
		s.InTime++
	case Late:
		s.Late++
	case Refused:
		s.Refused++
	case Failed, NotOwed:
		s.Failed++
	}
}
