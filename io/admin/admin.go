// Package admin serves the operators' endpoints on a separate listener: health,
// readiness, status, metrics and the counts of the burn report.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"yuccadoor/core/burn"
	"yuccadoor/io/loop"
)

// Limits of requests, which have short heads and no bodies.
const (
	maxHeaderBytes = 8 << 10
	readTimeout    = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

// StatusSource provides the host status for /status and /readyz.
type StatusSource interface {
	Status() loop.Status
}

// Metrics provides the metrics and the counts of the burn report.
type Metrics interface {
	Write(w io.Writer)
	Burn() []burn.Count
}

// Server returns the operators' HTTP server. objectives returns the objective share
// of each service in the configuration in force.
func Server(s StatusSource, c Metrics, objectives func() map[string]float64) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Status().Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { c.Write(w) })
	r.HandleFunc("/burn", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, burn.Reply{Objectives: objectives(), Counts: c.Burn()})
	})
	return &http.Server{Handler: r, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
