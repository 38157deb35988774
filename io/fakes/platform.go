// Package fakes implements small fakes of the external services: the platform's
// configuration service and host list, model engines and plain services. Each
// records the requests it has processed, so that tests can verify what was executed
// independently of what the hosts report.
package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"yuccadoor/core/model"
	"yuccadoor/io/plat"
)

// maxCallsPerSecond limits the calls that the platform answers; it refuses the rest.
const maxCallsPerSecond = 2000

// Platform is a fake of the platform's configuration service and host list.
type Platform struct {
	mu           sync.Mutex
	config       plat.PublishedConfig // guarded by mu
	list         model.HostList       // guarded by mu
	down         bool                 // guarded by mu
	calls        int                  // guarded by mu; received in the current second
	second       int64                // guarded by mu; Unix time that calls belongs to
	total        int                  // guarded by mu; calls received since the start
	changed      chan struct{}        // guarded by mu; closed and replaced on changes of config and down
	listLag      time.Duration
	pendingLists []pendingList // guarded by mu; published, not yet visible
}

// pendingList is a host list that becomes visible after the list lag.
type pendingList struct {
	list      model.HostList
	visibleAt time.Time
}

// NewPlatform starts a platform and returns it with its cleanup function. Changes
// of the host list become visible after listLag.
func NewPlatform(address netip.AddrPort, listLag time.Duration) (*Platform, func(), error) {
	p := &Platform{changed: make(chan struct{}), listLag: listLag}
	r := mux.NewRouter()
	r.HandleFunc("/config", p.serveConfig).Methods(http.MethodGet)
	r.HandleFunc("/hosts", p.serveHosts).Methods(http.MethodGet)
	stop, err := serve(address, r)
	return p, stop, err
}

// serve runs an HTTP server and returns its cleanup function, which aborts running
// requests.
func serve(address netip.AddrPort, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return func() { s.Close() }, nil
}

// SetConfig publishes a configuration under the next revision and returns the
// revision.
func (p *Platform) SetConfig(text string) model.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = plat.PublishedConfig{Revision: p.config.Revision + 1, Text: text}
	p.notifyWatches()
	return p.config.Revision
}

// Restore publishes an older configuration under its old revision, as a stale
// replica would.
func (p *Platform) Restore(old plat.PublishedConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = old
}

// Config returns the published configuration.
func (p *Platform) Config() plat.PublishedConfig {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config
}

// notifyWatches wakes the long polls of serveConfig. The caller must hold p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts publishes a host list under the next revision; it becomes visible after
// the list lag.
func (p *Platform) SetHosts(hosts []model.Host, targets []model.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.list.Revision + 1
	if n := len(p.pendingLists); n > 0 {
		next = p.pendingLists[n-1].list.Revision + 1
	}
	l := model.HostList{Revision: next, Hosts: hosts, Targets: targets}
	p.pendingLists = append(p.pendingLists, pendingList{list: l, visibleAt: time.Now().Add(p.listLag)})
}

// SetDown starts or ends an outage, in which both services refuse every call.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// Calls returns the number of calls received so far, including refused ones.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// admit counts a call and reports whether it may be answered. The caller must hold
// p.mu.
func (p *Platform) admit() bool {
	now := time.Now().Unix()
	if now != p.second {
		p.second, p.calls = now, 0
	}
	p.calls++
	p.total++
	return !p.down && p.calls <= maxCallsPerSecond
}

// serveConfig answers with the configuration as soon as its revision is above the
// query's "after", or with 304 once the duration "wait" has passed. A long poll
// counts as one call.
func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.After(wait)
	for counted := false; ; counted = true {
		p.mu.Lock()
		ok := (counted && !p.down) || (!counted && p.admit())
		config, changed := p.config, p.changed
		p.mu.Unlock()
		switch {
		case !ok:
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		case uint64(config.Revision) > after:
			writeJSON(w, config)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveHosts answers with the newest visible host list.
func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	ok := p.admit()
	for len(p.pendingLists) > 0 && !time.Now().Before(p.pendingLists[0].visibleAt) {
		p.list = p.pendingLists[0].list
		p.pendingLists = p.pendingLists[1:]
	}
	list := p.list
	p.mu.Unlock()
	if !ok {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
