package fakes

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"yuccadoor/core/model"
	"yuccadoor/io/reach"
)

// Run is the record of one request by the target that executed it.
type Run struct {
	RequestID    string
	Tier         string
	Content      model.Fingerprint // hash of the body
	Began        time.Time
	Ended        time.Time // zero while running
	Completed    bool      // executed to its end, neither cancelled nor cut off by a crash
	PromptTokens int
	CachedTokens int // prompt tokens found in the cache
}

// Stats records what a target has executed, over all its incarnations.
type Stats struct {
	Runs            []Run
	ColdOverloads   int // requests that exceeded ColdSlots of a cold target
	PeakConcurrency int // largest number of concurrent requests
}

// Settings configure a fake target. ProcessingTime applies to plain services;
// Prefill, Decode, DefaultTokens and CacheBlocks apply to model engines.
type Settings struct {
	ColdSlots      int           // concurrent requests before a cold target becomes overloaded
	WarmSlots      int           // concurrent requests before a target slows down
	WarmAfter      int           // completed requests after which the target is warm
	ProcessingTime time.Duration // per request
	Prefill        time.Duration // processing time per uncached prompt token
	Decode         time.Duration // time per generated token without other requests
	DefaultTokens  int           // generated tokens if the request has no max_tokens
	CacheBlocks    int           // prefix blocks in the cache
	LoadLag        time.Duration // maximum age of load reports
	CrashMarker    string        // a request body containing this text crashes the target; empty for none
	RestartDelay   time.Duration // time from a crash until the target listens again
}

// target implements what both kinds of fake target share: start, crash and restart
// of the simulated process, its load model and its stats.
type target struct {
	settings Settings
	address  netip.AddrPort
	handler  http.Handler

	mu          sync.Mutex
	server      *http.Server // guarded by mu; nil while the target is down
	incarnation uint64       // guarded by mu
	running     int          // guarded by mu
	completed   int          // guarded by mu; requests of this incarnation
	slowdown    float64      // guarded by mu; multiplies all processing times
	overloaded  bool         // guarded by mu; ColdSlots was exceeded; reset once no request runs
	stats       Stats        // guarded by mu
	reported    reach.Load   // guarded by mu; last load report
	reportedAt  time.Time    // guarded by mu
	closed      bool         // guarded by mu; a crashed target doesn't restart
}

func newTarget(address netip.AddrPort, s Settings) *target {
	return &target{settings: s, address: address, slowdown: 1}
}

// Start starts a new incarnation of the target.
func (t *target) Start() error {
	l, err := net.Listen("tcp", t.address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", t.address)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = uint64(time.Now().UnixNano())
	t.completed, t.running, t.overloaded = 0, 0, false
	s := &http.Server{Handler: t.handler}
	t.server = s
	go func() { _ = s.Serve(l) }()
	return nil
}

// Kill stops the target immediately and aborts its running requests, like a crash.
func (t *target) Kill() {
	t.mu.Lock()
	s := t.server
	t.server = nil
	t.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Close stops the target permanently: it doesn't restart after a crash.
func (t *target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Kill()
}

// TurnCold makes a warm target cold without starting a new incarnation.
func (t *target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed = 0
}

// SetSlowdown sets the factor that multiplies all processing times.
func (t *target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdown = factor
}

// Stats returns a copy of the target's stats.
func (t *target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Runs = append([]Run(nil), stats.Runs...)
	return stats
}

// Running returns the number of running requests.
func (t *target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// overloadFactor multiplies the processing times of an overloaded cold target.
const overloadFactor = 20

// begin records the start of a request and returns its index in Stats.Runs and the
// incarnation that executes it.
func (t *target) begin(r *http.Request, body []byte) (run int, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.stats.PeakConcurrency = max(t.stats.PeakConcurrency, t.running)
	if t.completed < t.settings.WarmAfter && t.running > t.settings.ColdSlots {
		t.stats.ColdOverloads++
		t.overloaded = true
	}
	t.stats.Runs = append(t.stats.Runs, Run{
		RequestID: r.Header.Get(reach.HeaderRequest), Tier: r.Header.Get(reach.HeaderTier),
		Content: model.Fingerprint(xxhash.Sum64(body)), Began: time.Now(),
	})
	return len(t.stats.Runs) - 1, t.incarnation
}

// end records the end of a request. The counters of the current incarnation don't
// change if an earlier one executed the request.
func (t *target) end(run int, incarnation uint64, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.stats.Runs[run]
	r.Ended, r.Completed = time.Now(), completed
	if incarnation != t.incarnation {
		return
	}
	t.running--
	if t.running == 0 {
		t.overloaded = false
	}
	if completed {
		t.completed++
	}
}

// slowdownFactor returns the factor that multiplies processing times at the current
// load.
func (t *target) slowdownFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := t.slowdown
	if t.overloaded {
		factor *= overloadFactor
	}
	if excess := t.running - t.settings.WarmSlots; excess > 0 {
		factor *= 1 + float64(excess)/float64(t.settings.WarmSlots)
	}
	return factor
}

// crash kills the target and restarts it after RestartDelay, unless it is closed.
func (t *target) crash() {
	go func() {
		t.Kill()
		time.Sleep(t.settings.RestartDelay)
		t.mu.Lock()
		closed := t.closed
		t.mu.Unlock()
		if !closed {
			_ = t.Start()
		}
	}()
}

// readBody reads a request body. It returns false if the body makes the target
// crash; the handler must then block until the connection is closed.
func (t *target) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.mu.Lock()
	w.Header().Set(reach.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
	t.mu.Unlock()
	if marker := t.settings.CrashMarker; marker != "" && bytes.Contains(body, []byte(marker)) {
		t.begin(r, body)
		t.crash()
		return nil, false
	}
	return body, true
}

// serveLoad answers with a load report that is up to LoadLag old.
func (t *target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	if time.Since(t.reportedAt) >= t.settings.LoadLag {
		t.reported, t.reportedAt = reach.Load{Running: t.running}, time.Now()
	}
	l := t.reported
	l.Incarnation = model.Incarnation(t.incarnation)
	t.mu.Unlock()
	writeJSON(w, l)
}
