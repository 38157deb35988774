// Package burn counts requests against their service-level objectives and
// computes how fast each service burns its error budget.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Windows are the periods over which burn rates are computed, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Counts are kept in bucketCount buckets of bucketLength each, which cover the
// longest window.
const (
	bucketLength = 30 * time.Second
	bucketCount  = int(6 * time.Hour / bucketLength)
)

// Key groups the requests that are counted together.
type Key struct {
	Service string
	Tier    string
	Zone    string // of the target; empty when none was reached
}

// Event is a completed request. Cause is empty if the objective was met.
type Event struct {
	Key
	Cause string
}

// Outcome is Met, or the cause of the miss.
func (e Event) Outcome() string { return cmp.Or(e.Cause, "Met") }

// Count is the number of equal events in one window.
type Count struct {
	Window time.Duration
	Event
	Number int
}

// Reply is a host's answer to a request for its counts.
type Reply struct {
	Objectives map[string]float64 // required share of requests that meet the objective, by service
	Counts     []Count
}

type bucket struct {
	start  int64 // bucket number since the Unix epoch
	events map[Event]int
}

// Log holds counts for the longest window. It is not safe for concurrent use.
type Log struct {
	buckets []bucket // oldest first
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{} }

// Add counts one event.
func (l *Log) Add(now time.Time, e Event) {
	at := now.UnixNano() / int64(bucketLength)
	last := len(l.buckets) - 1
	if last < 0 || l.buckets[last].start != at {
		l.buckets = append(l.buckets, bucket{start: at, events: map[Event]int{}})
		last++
	}
	l.buckets[last].events[e]++
	for len(l.buckets) > 0 && l.buckets[0].start <= at-int64(bucketCount) {
		l.buckets = l.buckets[1:]
	}
}

// Counts sums the events by window, in a fixed order.
func (l *Log) Counts(now time.Time) []Count {
	at := now.UnixNano() / int64(bucketLength)
	var counts []Count
	for _, w := range Windows {
		sums := map[Event]int{}
		for _, b := range l.buckets {
			if b.start > at-int64(w/bucketLength) {
				for e, n := range b.events {
					sums[e] += n
				}
			}
		}
		for e, n := range sums {
			counts = append(counts, Count{Window: w, Event: e, Number: n})
		}
	}
	slices.SortFunc(counts, compare)
	return counts
}

func compare(a, b Count) int {
	return cmp.Or(
		cmp.Compare(a.Window, b.Window), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cause, b.Cause),
	)
}

// Row is one line of the burn report.
type Row struct {
	Window time.Duration
	Key
	Total  int
	Missed int
	Rate   float64        // burn rate: 1 spends the budget exactly over its period
	Left   float64        // share of this window's error budget that remains; negative when overspent
	Causes map[string]int // number of misses by cause
}

// Report computes the rows from counts, which may come from many hosts.
// objective returns the share of a service's requests that must meet their
// objective.
func Report(counts []Count, objective func(service string) float64) []Row {
	type rowKey struct {
		window time.Duration
		Key
	}
	rows := map[rowKey]*Row{}
	for _, c := range counts {
		k := rowKey{c.Window, c.Key}
		r := rows[k]
		if r == nil {
			r = &Row{Window: c.Window, Key: c.Key, Causes: map[string]int{}}
			rows[k] = r
		}
		r.Total += c.Number
		if c.Cause != "" {
			r.Missed += c.Number
			r.Causes[c.Cause] += c.Number
		}
	}
	report := make([]Row, 0, len(rows))
	for _, r := range rows {
		r.computeRate(objective(r.Service))
		report = append(report, *r)
	}
	slices.SortFunc(report, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(b.Rate, a.Rate),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Zone, b.Zone))
	})
	return report
}

func (r *Row) computeRate(share float64) {
	budget := (1 - share) * float64(r.Total)
	if budget <= 0 {
		return
	}
	r.Rate = float64(r.Missed) / budget
	r.Left = 1 - r.Rate
}
