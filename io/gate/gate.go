// Package gate serves the callers of a deployment whose operators publish
// routes: it matches each request to its route and workspace, lets the
// coordination decide where it goes, carries it there and the answer back. It
// keeps what a target answered apart from what this host says itself, and says
// "not run" only while that is certain.
package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/budget"
	"yuccadoor/core/notice"
	"yuccadoor/core/ring"
	"yuccadoor/core/routes"
	"yuccadoor/io/coord"
	"yuccadoor/io/relay"
)

// Bounds on callers' requests where no configuration tells.
const (
	maxBody = 8 << 20
	// configWait is how long a request waits for the first configuration.
	configWait = 300 * time.Millisecond
	// noConfigRetry is when to come back to a host that knows no configuration.
	noConfigRetry = 500 * time.Millisecond
	// streamLeast, streamObjectives and streamPauses tell how long callers wait
	// for the first event of a stream at most: whichever is longest.
	streamLeast      = 2 * time.Second
	streamObjectives = 4
	streamPauses     = 8
	// answerMargin is left of a caller's patience for the way back.
	answerMargin = 100 * time.Millisecond
	// maxSends bounds how often one request is handed to targets that then turn
	// it away.
	maxSends = 4
)

// Coordinator decides where requests go.
type Coordinator interface {
	View() *coord.View
	Known() <-chan struct{}
	Submit(a broker.Ask) (uint64, <-chan coord.Verdict)
	Cancel(id uint64)
	Done(d broker.Done)
	Broke(k broker.Break)
	Noticed(n notice.Notice)
}

// RequestInfo is what a request's head says.
type RequestInfo struct {
	ID                   string
	Key                  string        // empty if it bears none
	Timeout              time.Duration // 0 if it does not tell
	PromptTokens         int           // tokens
	MaxOutputTokens      int           // tokens at most
	ExpectedOutputTokens int           // tokens, as the caller estimates; 0 if it does not
	HasTokenCounts       bool          // it tells its tokens
	LastEventID          string        // of the event after which a stream goes on
}

// ForwardInfo is what the head of a request to a target says beyond the caller's.
type ForwardInfo struct {
	Target      string // id of the target that alone may run it
	Workspace   string // empty for none
	Timeout     time.Duration
	LastEventID string
}

// Dialect translates heads between the deployment's protocol and the product.
type Dialect interface {
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the head for a target: the caller's, less what concerns
	// one connection only or is not the caller's to say.
	ForwardHeader(h http.Header, f ForwardInfo) http.Header
	// ColdRemaining reads how long the target that gave an answer stays cold; 0 for warm
	// or not told.
	ColdRemaining(h http.Header) time.Duration
	// ParseNotice reads what an answer to a request for a target says of that target.
	// The error tells what was left out: values that cannot be read, or an answer
	// that is not that target's.
	ParseNotice(target string, status int, h http.Header) (notice.Notice, error)
	HeaderNames() relay.HeaderNames
}

// CauseCallerLeft is the cause of requests whose caller did not wait.
const CauseCallerLeft = "CallerLeft"

// Recorder counts what happened to requests.
type Recorder interface {
	RecordOutcome(o Outcome)
	// RecordNotice counts an answer by what it says of its target.
	RecordNotice(kind NoticeKind)
}

// NoticeKind tells answers apart by what they say of their target.
type NoticeKind string

// The kinds.
const (
	NoticeLeaving NoticeKind = "Leaving"
	NoticePause   NoticeKind = "Pause"
	NoticeIgnored NoticeKind = "Ignored" // a value that cannot be read, or not that target's answer
)

// Outcome is how one request ended.
type Outcome struct {
	Route     *routes.Route // nil if none matched
	Service   string
	Workspace string
	Zone      string // of the last target; empty when none was reached
	Status    int
	Cause     string
	First     time.Duration // from arrival
	Total     time.Duration
	Sends     int
}

// Settings are what a gate needs.
type Settings struct {
	Coord    Coordinator
	Sender   *relay.Sender
	Dialect  Dialect
	Log      coord.Logger
	Recorder Recorder
	Now      func() time.Time
	Budget   *budget.Budget
	Zone     string // of this host
}

// Handler is the callers' side.
type Handler struct {
	Settings
	mu       sync.Mutex // guards Settings.Budget
	stopping chan struct{}
	breaks   *ring.Queue[broker.Break]
}

// New starts a gate and returns it with its clean-up function.
func New(ctx context.Context, s Settings) (*Handler, func()) {
	g := &Handler{Settings: s, stopping: make(chan struct{}), breaks: ring.New[broker.Break](breakRing)}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.examineBreaks(ctx)
	}()
	return g, func() {
		cancel()
		<-done
	}
}

// Stop makes answers close their connections from now on.
func (g *Handler) Stop() { close(g.stopping) }

// ServeHTTP implements http.Handler.
func (g *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gate: g, writer: w, request: r, arrived: g.Now(), caller: g.Dialect.ParseRequest(r.Header), view: g.Coord.View()}
	select {
	case <-g.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	defer c.record()
	if !c.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.end)
	defer cancel()
	c.serve(ctx)
}

// SetRetryBounds takes new bounds of repeats.
func (g *Handler) SetRetryBounds(b budget.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Budget.SetBounds(b)
}

func (g *Handler) countRequest(service string, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Budget.SetHosts(hosts)
	g.Budget.RecordRequest(g.Now(), service)
}

func (g *Handler) repeat(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Budget.TakeRetry(g.Now(), service)
}
