package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"yuccadoor/platform/stand"
)

// Parameters of playCold.
const (
	coldRate      = 8.0                    // cold_per_s of the service
	coldTime      = 3 * time.Second        // cold_start_s
	coldWork      = 100 * time.Millisecond // of a request
	coldLoad      = 90                     // requests a second
	coldLength    = 10 * time.Second
	downFrom      = 2 * time.Second
	downFor       = 600 * time.Millisecond
	publishDelay  = 800 * time.Millisecond // from a server's start to its entry; under one heartbeat of 1200 ms
	engineSlots   = 4
	coldPatience  = 3 * time.Second
	coldWindow    = time.Second
	engineService = "engine"
)

// engine is a stand-in for a server that is cold after its start and fails if it gets far more
// requests than it bears then.
type engine struct {
	id, zone string
	address  netip.AddrPort
	record   *record

	mu        sync.Mutex
	server    *http.Server // guarded by mu; nil while the process is down
	born      time.Time    // guarded by mu
	coldUntil time.Time    // guarded by mu
	arrivals  []time.Time  // guarded by mu; since the start, while cold
	most      int          // guarded by mu; arrivals within coldWindow while cold
	running   int          // guarded by mu
	lost      int          // guarded by mu; requests that ran when the process failed
}

// start starts a process of the engine at its address.
func (e *engine) start(cold time.Duration) error {
	at := "127.0.0.1:0"
	if e.address.IsValid() {
		at = e.address.String()
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().(*net.TCPAddr).AddrPort()
	e.born = time.Now()
	e.coldUntil, e.arrivals = e.born.Add(cold), nil
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	return nil
}

// stop ends the process.
func (e *engine) stop() {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// register writes the engine's entry to the store.
func (e *engine) register(store *stand.Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	store.Put("servers/"+e.id, map[string]any{
		"service": engineService, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_left_ms": max(time.Until(e.coldUntil).Milliseconds(), 0), "seq": 1, "born": e.born.UnixMilli(),
	})
}

// arrive counts a request, and reports whether the process fails by it: above the bound of the rule,
// which is well above the rate that it bears.
func (e *engine) arrive() (fails bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	now := time.Now()
	if !now.Before(e.coldUntil) {
		return false
	}
	e.arrivals = append(e.arrivals, now)
	n := 0
	for _, at := range e.arrivals {
		if now.Sub(at) < coldWindow {
			n++
		}
	}
	e.most = max(e.most, n)
	if float64(n) <= coldBound() {
		return false
	}
	e.lost += e.running
	return true
}

// coldBound is the most requests that a cold engine may get within coldWindow.
func coldBound() float64 { return coldRate*stand.ColdOvershoot + stand.ColdSlack }

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	w.Header().Set(headerInstance, e.id)
	if want := r.Header.Get(headerExpect); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		e.mu.Lock()
		w.Header().Set("X-Yuccadoor-Cold-Ms", strconv.FormatInt(max(time.Until(e.coldUntil).Milliseconds(), 0), 10))
		e.mu.Unlock()
		return
	}
	if e.arrive() {
		e.record.line("server %s fails: too many requests while it is cold", e.id)
		go e.stop()
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(coldWork):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerStamp, "stamp-"+e.id)
	writeFramed(w, "done "+r.Header.Get(headerRequest)+"\n")
}

// startEngines starts the engines and publishes the deployment.
func startEngines(ctx context.Context, s *system) ([]*engine, func(), error) {
	var engines []*engine
	cleanup := func() {
		for _, e := range engines {
			e.stop()
		}
	}
	for n := range 3 {
		e := &engine{id: fmt.Sprintf("i-%04d", n+1), zone: zoneOf(n), record: s.record}
		if err := e.start(0); err != nil {
			return engines, cleanup, err
		}
		engines = append(engines, e)
		e.register(s.store)
	}
	d := &stand.Deployment{Version: 1, Keys: []string{"key-1"}, ColdRate: coldRate, Routes: []stand.Route{
		{Prefix: "/order/", Kind: "unsafe", Service: engineService, Attempts: 1, Timeout: coldPatience},
	}}
	return engines, cleanup, s.publish(ctx, d)
}

// restart ends the process of an engine and starts another one under the same id, which is cold.
func restart(ctx context.Context, s *system, e *engine) {
	sleep(ctx, downFrom)
	s.record.line("server %s ends", e.id)
	e.stop()
	sleep(ctx, downFor)
	if err := e.start(coldTime); err != nil {
		s.record.line("server %s does not start: %v", e.id, err)
		return
	}
	s.record.line("server %s has started under its former id, and is cold for %s", e.id, coldTime)
	sleep(ctx, publishDelay)
	e.register(s.store)
	s.record.line("the entry of server %s says so", e.id)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// playCold has one of three servers end and start again under its id.
func playCold(ctx context.Context, s *system, trouble bool) (verdict, error) {
	engines, cleanup, err := startEngines(ctx, s)
	defer cleanup()
	if err != nil {
		return verdict{}, err
	}
	var pending sync.WaitGroup
	if trouble {
		pending.Go(func() { restart(ctx, s, engines[0]) })
	}
	var mu sync.Mutex
	outcomes := map[string]int{}
	began := time.Now()
	for n := 0; time.Since(began) < coldLength; n++ {
		pending.Go(func() {
			id := fmt.Sprintf("%016x", 0x3b20000000000000+n)
			reply := stand.Send(ctx, s.nodes[n%hostCount].Front, http.MethodPost, "/order/x", id, "key-1", "order", coldPatience)
			mu.Lock()
			defer mu.Unlock()
			outcomes[fmt.Sprintf("status %d, error %v", reply.Status, reply.Err != nil)]++
		})
		time.Sleep(time.Second / coldLoad)
	}
	pending.Wait()
	for outcome, n := range outcomes {
		s.record.line("%d requests: %s", n, outcome)
	}
	e := engines[0]
	e.mu.Lock()
	defer e.mu.Unlock()
	s.record.line("server %s got at most %d requests in a second while it was cold; %d ran when it failed", e.id, e.most, e.lost)
	return verdict{float64(e.most) > coldBound(), fmt.Sprintf("a cold server got %d requests in one second; allowed %.0f", e.most, coldBound())}, nil
}
