// Package fakes holds small stand-ins for what the system meets: the platform's
// configuration service and host list, model engines and plain services. Each
// keeps an account of what it really did, which tests take as the truth.
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

// callLimit is how many calls a second the configuration service answers.
const callLimit = 2000

// Platform is a configuration service and a host list.
type Platform struct {
	mu       sync.Mutex
	config   plat.PublishedConfig // guarded by mu
	list     model.HostList       // guarded by mu
	down     bool                 // guarded by mu
	calls    int                  // guarded by mu; in this second
	second   int64                // guarded by mu
	total    int                  // guarded by mu
	changed  chan struct{}        // guarded by mu; closed at the next change
	listLag  time.Duration
	listNext []laggedList // guarded by mu; not yet visible
}

type laggedList struct {
	list model.HostList
	at   time.Time // when it becomes visible
}

// NewPlatform starts a platform at an address and returns it with its clean-up
// function. The host list shows changes only after listLag.
func NewPlatform(at netip.AddrPort, listLag time.Duration) (*Platform, func(), error) {
	p := &Platform{changed: make(chan struct{}), listLag: listLag}
	r := mux.NewRouter()
	r.HandleFunc("/config", p.serveConfig).Methods(http.MethodGet)
	r.HandleFunc("/hosts", p.serveHosts).Methods(http.MethodGet)
	stop, err := serve(at, r)
	return p, stop, err
}

// serve runs an HTTP server and returns its clean-up function, which cuts off
// what is running.
func serve(at netip.AddrPort, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", at)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return func() { s.Close() }, nil
}

// SetConfig publishes a text under the next revision and returns that.
func (p *Platform) SetConfig(text string) model.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = plat.PublishedConfig{Revision: p.config.Revision + 1, Text: text}
	p.wake()
	return p.config.Revision
}

// Restore publishes an older text and revision, as a stale replica would.
func (p *Platform) Restore(old plat.PublishedConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = old
}

// Config is the published text.
func (p *Platform) Config() plat.PublishedConfig {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config
}

// wake releases the waiting watches. p.mu is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts publishes a list under the next revision.
func (p *Platform) SetHosts(hosts []model.Host, targets []model.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.list.Revision + 1
	if n := len(p.listNext); n > 0 {
		next = p.listNext[n-1].list.Revision + 1
	}
	l := model.HostList{Revision: next, Hosts: hosts, Targets: targets}
	p.listNext = append(p.listNext, laggedList{list: l, at: time.Now().Add(p.listLag)})
}

// SetDown makes both services refuse every call, or answer again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// Calls is the number of calls answered or refused so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// admit counts a call and reports whether it may be answered. p.mu is held.
func (p *Platform) admit() bool {
	now := time.Now().Unix()
	if now != p.second {
		p.second, p.calls = now, 0
	}
	p.calls++
	p.total++
	return !p.down && p.calls <= callLimit
}

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
			reply(w, config)
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

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	ok := p.admit()
	for len(p.listNext) > 0 && !time.Now().Before(p.listNext[0].at) {
		p.list = p.listNext[0].list
		p.listNext = p.listNext[1:]
	}
	list := p.list
	p.mu.Unlock()
	if !ok {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	reply(w, list)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
