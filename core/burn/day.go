package burn

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes. NotOwed requests are excluded from shares.
const (
	InTime  Outcome = "InTime"
	Late    Outcome = "Late"
	Refused Outcome = "Refused" // not run; the caller may retry later
	Failed  Outcome = "Failed"
	NotOwed Outcome = "NotOwed" // no route or permission, over an allowance, or the caller left
)

// HTTP status codes. net/http is not imported because it opens sockets.
const (
	statusBadRequest         = 400
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// End describes how one request ended.
type End struct {
	Route           string // empty if none matched
	Service         string // empty if it was refused before one was chosen
	Status          int
	Cause           string        // empty for a target's own answer
	CallerLeft      bool          // the caller closed the connection
	TimeToFirstByte time.Duration // from arrival to the start of the answer
	Objective       time.Duration // for TimeToFirstByte
}

// Outcome classifies an end. Requests without a route or permission, requests over
// an allowance and those whose caller left are NotOwed.
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

// Sample is one logged request.
type Sample struct {
	Arrived time.Time
	Service string
	Outcome Outcome
	Waited  time.Duration // time spent waiting for a target
}

// Span summarizes one service's requests in one time interval.
type Span struct {
	Start   time.Time
	Service string
	Owed    int // all requests except NotOwed ones
	InTime  int
	Late    int
	Refused int
	Failed  int
	Waited  time.Duration // 95th percentile
}

// waitQuantile is the quantile of the waiting times that Span.Waited holds.
const waitQuantile = 0.95

// Share returns n as a share of the span's owed requests; 0 for an empty span.
func (s *Span) Share(n int) float64 { return float64(n) / float64(max(s.Owed, 1)) }

// SummarizeSpans summarizes samples by service and by intervals of the given length,
// sorted by service and then by time.
func SummarizeSpans(samples []Sample, length time.Duration) []Span {
	type spanKey struct {
		start   time.Time
		service string
	}
	spans := map[spanKey]*Span{}
	waits := map[spanKey][]time.Duration{}
	for _, s := range samples {
		if s.Outcome == NotOwed {
			continue
		}
		k := spanKey{s.Arrived.Truncate(length), s.Service}
		if spans[k] == nil {
			spans[k] = &Span{Start: k.start, Service: k.service}
		}
		spans[k].add(s.Outcome)
		waits[k] = append(waits[k], s.Waited)
	}
	summary := make([]Span, 0, len(spans))
	for k, s := range spans {
		slices.Sort(waits[k])
		s.Waited = waits[k][int(waitQuantile*float64(len(waits[k])-1))]
		summary = append(summary, *s)
	}
	slices.SortFunc(summary, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Start.Compare(b.Start))
	})
	return summary
}

func (s *Span) add(o Outcome) {
	s.Owed++
	switch o {
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
