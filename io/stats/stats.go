// Package stats maintains the metrics of a host and the counts for its burn report,
// which shows how services meet their objectives.
package stats

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"yuccadoor/core/burn"
	"yuccadoor/io/front"
)

// Stats holds the metrics and burn counts of a host. Its methods are safe for
// concurrent use.
type Stats struct {
	set *metrics.Set
	now func() time.Time
	mu  sync.Mutex
	log *burn.Log // recorded requests; guarded by mu
}

// New returns a Stats without any recorded requests.
func New(now func() time.Time) *Stats {
	return &Stats{set: metrics.NewSet(), now: now, log: burn.NewLog()}
}

// Record implements front.Recorder.
func (s *Stats) Record(o front.Outcome) {
	e := burn.Event{Key: burn.Key{Service: o.Service, Tier: o.Tier, Zone: o.Zone}, Cause: cause(o)}
	labels := fmt.Sprintf(`{service=%q,tier=%q,outcome=%q}`, o.Service, o.Tier, e.Outcome())
	s.set.GetOrCreateCounter("yuccadoor_requests_total" + labels).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`yuccadoor_request_seconds{service=%q,tier=%q}`, o.Service, o.Tier)).Update(o.Total.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Add(s.now(), e)
}

// cause returns the reason why a request missed its objective, or "" if it met it.
func cause(o front.Outcome) string {
	objective := o.Objective
	switch {
	case o.Refusal != nil:
		return string(o.Refusal.Reason)
	case objective.FirstToken > 0 && o.FirstByte > objective.FirstToken:
		return "FirstTokenLate"
	case objective.BetweenTokens > 0 && o.Pace > objective.BetweenTokens:
		return "TokensSlow"
	case objective.Whole > 0 && o.Total > objective.Whole:
		return "WholeLate"
	}
	return ""
}

// Burn returns the counts of the burn report.
func (s *Stats) Burn() []burn.Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Counts(s.now())
}

// Sent implements mesh.Counters.
func (s *Stats) Sent(_ string, bytes int) {
	s.set.GetOrCreateCounter("yuccadoor_peer_sent_bytes_total").Add(bytes)
	s.set.GetOrCreateCounter("yuccadoor_peer_messages_total").Inc()
}

// Received implements mesh.Counters.
func (s *Stats) Received(bytes int) {
	s.set.GetOrCreateCounter("yuccadoor_peer_received_bytes_total").Add(bytes)
}

// Gauge registers a gauge whose value f returns each time the metrics are written.
func (s *Stats) Gauge(name string, f func() float64) { s.set.NewGauge(name, f) }

// Set returns the set of metrics, to which others may add theirs.
func (s *Stats) Set() *metrics.Set { return s.set }

// Write writes all metrics in the Prometheus text format.
func (s *Stats) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
