package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"yuccadoor/core/broker"
	"yuccadoor/core/burn"
	"yuccadoor/core/origin"
	"yuccadoor/core/warmup"
	"yuccadoor/io/coord"
	"yuccadoor/io/gate"
)

// objectiveShare is the fraction of requests that should meet their objective. The
// deployments' operators publish objectives but no fraction.
const objectiveShare = 0.95

// Causes of missed objectives beyond those of refused and failed requests.
const (
	causeLate   = "Late"
	causeStatus = "Status" // a target's response without a success status
)

// hostMetrics holds the metrics of a host and the counts of its burn report.
type hostMetrics struct {
	set *metrics.Set
	now func() time.Time

	mu       sync.Mutex
	burnLog  *burn.Log       // guarded by mu
	services map[string]bool // guarded by mu
}

func newHostMetrics(now func() time.Time) *hostMetrics {
	return &hostMetrics{set: metrics.NewSet(), now: now, burnLog: burn.NewLog(), services: map[string]bool{}}
}

// countBurn counts an outcome for the burn report, unless no response was owed.
func (m *hostMetrics) countBurn(o gate.Outcome) {
	if o.Route == nil {
		return
	}
	e := burn.End{
		Route: o.Route.Name, Service: o.Service, Status: o.Status, Cause: o.Cause,
		CallerLeft: o.Cause == gate.CauseClientDisconnected, TimeToFirstByte: o.TimeToFirstPart, Objective: o.Route.Objective,
	}
	result, cause := e.Outcome(), o.Cause
	switch {
	case result == burn.NotOwed:
		return
	case result == burn.Late:
		cause = causeLate
	case cause == "" && result == burn.Failed:
		cause = causeStatus
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services[o.Service] = true
	m.burnLog.Add(m.now(), burn.Event{Key: burn.Key{Service: o.Service, Tier: o.Route.Name, Zone: o.Zone}, Cause: cause})
}

// burnReply returns the counts and objectives for the burn report.
func (m *hostMetrics) burnReply() burn.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := burn.Reply{Objectives: map[string]float64{}, Counts: m.burnLog.Counts(m.now())}
	for s := range m.services {
		r.Objectives[s] = objectiveShare
	}
	return r
}

// RecordOutcome implements gate.Recorder.
func (m *hostMetrics) RecordOutcome(o gate.Outcome) {
	m.countBurn(o)
	route := ""
	if o.Route != nil {
		route = o.Route.Name
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_requests_total{service=%q,status="%d",cause=%q}`, o.Service, o.Status, o.Cause)).Inc()
	if o.TimeToFirstPart > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`yuccadoor_first_seconds{service=%q,route=%q}`, o.Service, route)).Update(o.TimeToFirstPart.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yuccadoor_request_seconds{service=%q,route=%q}`, o.Service, route)).Update(o.Total.Seconds())
	if o.Sends > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_repeats_total{service=%q}`, o.Service)).Add(o.Sends - 1)
	}
}

// RecordNotice implements gate.Recorder.
func (m *hostMetrics) RecordNotice(kind gate.NoticeKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_target_notices_total{kind=%q}`, kind)).Inc()
}

// countSettingsRead counts a reading of the settings file by its outcome.
func (m *hostMetrics) countSettingsRead(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_settings_reads_total{outcome=%q}`, outcome)).Inc()
}

// registerSettingsGauges registers gauges for when settings were read and came into
// force, in Unix seconds, and for whether the settings read last were rejected.
func (m *hostMetrics) registerSettingsGauges(status func() SettingsStatus) {
	unixSeconds := func(t time.Time) float64 {
		if t.IsZero() {
			return 0
		}
		return float64(t.UnixMilli()) / 1e3
	}
	m.set.NewGauge("yuccadoor_settings_read_seconds", func() float64 { return unixSeconds(status().ReadAt) })
	m.set.NewGauge("yuccadoor_settings_in_force_seconds", func() float64 { return unixSeconds(status().Since) })
	m.set.NewGauge("yuccadoor_settings_rejected", func() float64 {
		if len(status().Findings) > 0 {
			return 1
		}
		return 0
	})
}

// registerCoordGauges registers gauges for the configuration in force, for whether the host
// reads the store, and for the events that wait for its decisions.
func (m *hostMetrics) registerCoordGauges(view func() *coord.View, waitingEvents func() int) {
	m.set.NewGauge("yuccadoor_configuration_version", func() float64 {
		if config := view().Config; config != nil {
			return float64(config.Version)
		}
		return 0
	})
	m.set.NewGauge("yuccadoor_reads_store", func() float64 {
		if view().ReadsStore {
			return 1
		}
		return 0
	})
	m.set.NewGauge("yuccadoor_waiting_events", func() float64 { return float64(waitingEvents()) })
}

// RecordCrashStep implements coord.Counters.
func (m *hostMetrics) RecordCrashStep(step broker.CrashStep) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_crash_suspicions_total{step=%q}`, step)).Inc()
}

// RecordZonePath implements coord.Counters.
func (m *hostMetrics) RecordZonePath(cut bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_zone_path_changes_total{cut="%t"}`, cut)).Inc()
}

// RecordStartChange implements coord.Counters.
func (m *hostMetrics) RecordStartChange(service string, cause warmup.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_slow_start_changes_total{service=%q,cause=%q}`, service, cause)).Inc()
}

// RecordStreamTakenUp implements coord.Counters.
func (m *hostMetrics) RecordStreamTakenUp(service string, source origin.Source) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_streams_taken_up_total{service=%q,known_by=%q}`, service, source)).Inc()
}

// Sent implements mesh.Counters.
func (m *hostMetrics) Sent(_ string, bytes int) {
	m.set.GetOrCreateCounter("yuccadoor_peer_sent_bytes_total").Add(bytes)
	m.set.GetOrCreateCounter("yuccadoor_peer_messages_total").Inc()
}

// Received implements mesh.Counters.
func (m *hostMetrics) Received(bytes int) {
	m.set.GetOrCreateCounter("yuccadoor_peer_received_bytes_total").Add(bytes)
}

// writeSpeeds writes, at the leader, what each target states of how long work takes, and what
// it is taken for. The targets are read anew each time, since they come and go.
func writeSpeeds(w io.Writer, speeds []broker.ServiceSpeed) {
	for _, service := range speeds {
		for _, t := range service.Targets {
			labels := fmt.Sprintf(`{service=%q,target=%q}`, service.Service, t.Target)
			metrics.WriteGaugeFloat64(w, "yuccadoor_target_stated_slowdown"+labels, t.Stated)
			metrics.WriteGaugeFloat64(w, "yuccadoor_target_factor"+labels, t.Factor)
		}
	}
}

// adminServer returns the server for operators: health, status, burn report and metrics.
func adminServer(h *Host, m *hostMetrics) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/status", func(w http.ResponseWriter, req *http.Request) {
		s, err := h.Status(req.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
	r.HandleFunc("/burn", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.burnReply())
	})
	r.HandleFunc("/metrics", func(w http.ResponseWriter, req *http.Request) {
		m.set.WritePrometheus(w)
		ctx, cancel := context.WithTimeout(req.Context(), statusWait)
		defer cancel()
		if s, err := h.Status(ctx); err == nil {
			writeSpeeds(w, s.Speeds)
			writeFlows(w, s.Flows)
		}
		metrics.WriteProcessMetrics(w)
	})
	return sideServer(r)
}
