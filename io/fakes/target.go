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

// Run is one request as its target saw it: the truth for tests.
type Run struct {
	RequestID    string
	Tier         string
	Content      model.Fingerprint // of the body
	Began        time.Time
	Ended        time.Time // zero while it runs
	Completed    bool      // ran to its end
	PromptTokens int       // tokens
	CachedTokens int       // prompt tokens found in the cache
}

// Stats is what a target did over all its incarnations.
type Stats struct {
	Runs            []Run
	ColdOverloads   int // times that a cold target was given more than it bears
	PeakConcurrency int // most requests at once
}

// Settings of a target stand-in.
type Settings struct {
	ColdSlots     int           // requests borne while cold
	WarmSlots     int           // requests borne when warm
	WarmAfter     int           // completions until warm
	Work          time.Duration // of one call of a plain service
	Prefill       time.Duration // for one prompt token
	Decode        time.Duration // for one token of an answer, alone
	DefaultTokens int           // of an answer whose request names no number
	CacheSize     int           // prefix blocks kept
	LoadLag       time.Duration // age of load reports
	CrashMarker   string        // a body that holds it ends the process
	RestartDelay  time.Duration // until a crashed process listens again
}

// target is what both kinds of stand-in share: the process's life and account.
type target struct {
	settings Settings
	at       netip.AddrPort
	handler  http.Handler

	mu          sync.Mutex
	server      *http.Server // guarded by mu; nil while dead
	incarnation uint64       // guarded by mu
	running     int          // guarded by mu
	completed   int          // guarded by mu; in this incarnation
	slow        float64      // guarded by mu; factor on all work
	collapsed   bool         // guarded by mu
	account     Stats        // guarded by mu
	reported    reach.Load   // guarded by mu
	reportedAt  time.Time    // guarded by mu
	closed      bool         // guarded by mu
}

func newTarget(at netip.AddrPort, s Settings) *target {
	return &target{settings: s, at: at, slow: 1}
}

// Start lets a new incarnation listen.
func (t *target) Start() error {
	l, err := net.Listen("tcp", t.at.String())
	if err != nil {
		return errors.Wrapf(err, "listen at %s", t.at)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = uint64(time.Now().UnixNano())
	t.completed, t.running, t.collapsed = 0, 0, false
	s := &http.Server{Handler: t.handler}
	t.server = s
	go func() { _ = s.Serve(l) }()
	return nil
}

// Kill ends the process: whatever runs is cut off.
func (t *target) Kill() {
	t.mu.Lock()
	s := t.server
	t.server = nil
	t.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Close kills the process for good.
func (t *target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Kill()
}

// TurnCold makes a warm target cold without a new incarnation.
func (t *target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed = 0
}

// SetSlowdown multiplies the time of all work.
func (t *target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = factor
}

// Stats returns what the target did so far.
func (t *target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account
	a.Runs = append([]Run(nil), a.Runs...)
	return a
}

// Running is the number of requests running now.
func (t *target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// collapseFactor slows a target that was given more than it bears.
const collapseFactor = 20

// begin notes a run and returns its number and its incarnation.
func (t *target) begin(r *http.Request, body []byte) (run int, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.account.PeakConcurrency = max(t.account.PeakConcurrency, t.running)
	if t.completed < t.settings.WarmAfter && t.running > t.settings.ColdSlots {
		t.account.ColdOverloads++
		t.collapsed = true
	}
	t.account.Runs = append(t.account.Runs, Run{
		RequestID: r.Header.Get(reach.HeaderRequest), Tier: r.Header.Get(reach.HeaderTier),
		Content: model.Fingerprint(xxhash.Sum64(body)), Began: time.Now(),
	})
	return len(t.account.Runs) - 1, t.incarnation
}

func (t *target) end(run int, incarnation uint64, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.account.Runs[run]
	r.Ended, r.Completed = time.Now(), whole
	if incarnation != t.incarnation {
		return
	}
	t.running--
	if t.running == 0 {
		t.collapsed = false
	}
	if whole {
		t.completed++
	}
}

// pace is the factor on work at the present load.
func (t *target) pace() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := t.slow
	if t.collapsed {
		factor *= collapseFactor
	}
	if over := t.running - t.settings.WarmSlots; over > 0 {
		factor *= 1 + float64(over)/float64(t.settings.WarmSlots)
	}
	return factor
}

// crash ends the process and starts it anew a little later.
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

// accept reads a request; false when it made the process crash.
func (t *target) accept(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.mu.Lock()
	w.Header().Set(reach.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
	t.mu.Unlock()
	if mark := t.settings.CrashMarker; mark != "" && bytes.Contains(body, []byte(mark)) {
		t.begin(r, body)
		t.crash()
		return nil, false
	}
	return body, true
}

func (t *target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	if time.Since(t.reportedAt) >= t.settings.LoadLag {
		t.reported, t.reportedAt = reach.Load{Running: t.running}, time.Now()
	}
	l := t.reported
	l.Incarnation = model.Incarnation(t.incarnation)
	t.mu.Unlock()
	reply(w, l)
}
