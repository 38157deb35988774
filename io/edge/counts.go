package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"yuccadoor/core/broker"
	"yuccadoor/core/burn"
	"yuccadoor/io/gate"
)

// objectiveShare is the part of requests that is to meet its objective; the
// deployments' operators publish objectives but no share.
const objectiveShare = 0.95

// Causes of misses beyond those that answers tell.
const (
	causeLate = "Late"
	causeTell = "Status" // an answer of a target that is no success
)

// counts are a host's metrics and what its burn report is made of.
type counts struct {
	set *metrics.Set
	now func() time.Time

	mu       sync.Mutex
	burnt    *burn.Log       // guarded by mu
	services map[string]bool // guarded by mu
}

func newCounts(now func() time.Time) *counts {
	return &counts{set: metrics.NewSet(), now: now, burnt: burn.NewLog(), services: map[string]bool{}}
}

// burn counts an outcome for the burn report, unless no answer was owed.
func (n *counts) burn(o gate.Outcome) {
	if o.Route == nil {
		return
	}
	e := burn.End{
		Route: o.Route.Name, Service: o.Service, Status: o.Status, Cause: o.Cause,
		CallerLeft: o.Cause == gate.CauseCallerLeft, TimeToFirstByte: o.First, Objective: o.Route.Objective,
	}
	fate, cause := e.Outcome(), o.Cause
	switch {
	case fate == burn.NotOwed:
		return
	case fate == burn.Late:
		cause = causeLate
	case cause == "" && fate == burn.Failed:
		cause = causeTell
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[o.Service] = true
	n.burnt.Add(n.now(), burn.Event{Key: burn.Key{Service: o.Service, Tier: o.Route.Name, Zone: o.Zone}, Cause: cause})
}

func (n *counts) burnReply() burn.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := burn.Reply{Objectives: map[string]float64{}, Counts: n.burnt.Counts(n.now())}
	for s := range n.services {
		r.Objectives[s] = objectiveShare
	}
	return r
}

// Answered implements gate.Recorder.
func (n *counts) Answered(o gate.Outcome) {
	n.burn(o)
	route := ""
	if o.Route != nil {
		route = o.Route.Name
	}
	n.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_requests_total{service=%q,status="%d",cause=%q}`, o.Service, o.Status, o.Cause)).Inc()
	if o.First > 0 {
		n.set.GetOrCreateHistogram(fmt.Sprintf(`yuccadoor_first_seconds{service=%q,route=%q}`, o.Service, route)).Update(o.First.Seconds())
	}
	n.set.GetOrCreateHistogram(fmt.Sprintf(`yuccadoor_request_seconds{service=%q,route=%q}`, o.Service, route)).Update(o.Total.Seconds())
	if o.Sends > 1 {
		n.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_repeats_total{service=%q}`, o.Service)).Add(o.Sends - 1)
	}
}

// Noticed implements gate.Recorder.
func (n *counts) Noticed(kind gate.NoticeKind) {
	n.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_target_notices_total{kind=%q}`, kind)).Inc()
}

// settingsRead counts a reading of the settings file by what became of it.
func (n *counts) settingsRead(outcome string) {
	n.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_settings_reads_total{outcome=%q}`, outcome)).Inc()
}

// watchSettings shows when settings were read and came into force, in Unix seconds,
// and whether those read last are not in force.
func (n *counts) watchSettings(status func() SettingsStatus) {
	unix := func(t time.Time) float64 {
		if t.IsZero() {
			return 0
		}
		return float64(t.UnixMilli()) / 1e3
	}
	n.set.NewGauge("yuccadoor_settings_read_seconds", func() float64 { return unix(status().ReadAt) })
	n.set.NewGauge("yuccadoor_settings_in_force_seconds", func() float64 { return unix(status().Since) })
	n.set.NewGauge("yuccadoor_settings_rejected", func() float64 {
		if len(status().Findings) > 0 {
			return 1
		}
		return 0
	})
}

// Crash implements coord.Counters.
func (n *counts) Crash(step broker.CrashStep) {
	n.set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_crash_suspicions_total{step=%q}`, step)).Inc()
}

// Sent implements mesh.Counters.
func (n *counts) Sent(_ string, bytes int) {
	n.set.GetOrCreateCounter("yuccadoor_peer_sent_bytes_total").Add(bytes)
	n.set.GetOrCreateCounter("yuccadoor_peer_messages_total").Inc()
}

// Received implements mesh.Counters.
func (n *counts) Received(bytes int) {
	n.set.GetOrCreateCounter("yuccadoor_peer_received_bytes_total").Add(bytes)
}

// adminServer serves operators: health, status and metrics.
func adminServer(h *Host, n *counts) *http.Server {
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
		_ = json.NewEncoder(w).Encode(n.burnReply())
	})
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return &http.Server{Handler: r, ReadHeaderTimeout: headTimeout}
}
