// Package gate handles clients' requests in a deployment whose operators publish
// routes: it matches each request to its route and workspace, has the coordinator
// choose a target, forwards the request to it and returns the response. It
// distinguishes the responses of targets from those of this host, and states that a
// request was not run only while that is certain. Package front is the counterpart
// for the serve command, with the product's own API.
package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/budget"
	"yuccadoor/core/model"
	"yuccadoor/core/notice"
	"yuccadoor/core/ring"
	"yuccadoor/core/routes"
	"yuccadoor/core/speed"
	"yuccadoor/io/body"
	"yuccadoor/io/coord"
	"yuccadoor/io/relay"
)

// Limits and timeouts of clients' requests.
const (
	// defaultMaxBodyBytes applies where the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// configWait is how long a request waits for the first configuration.
	configWait = 300 * time.Millisecond
	// noConfigRetryAfter is the Retry-After of a host that has no configuration.
	noConfigRetryAfter = 500 * time.Millisecond
	// Clients wait for the first event of a stream at most for the longest of
	// minFirstEventWait, firstEventObjectives times the route's objective, and
	// firstEventPauses times the route's pause.
	minFirstEventWait    = 2 * time.Second
	firstEventObjectives = 4
	firstEventPauses     = 8
	// responseMargin is the part of the client's wait that is left for the response to
	// reach the client.
	responseMargin = 100 * time.Millisecond
	// maxSends limits how often a request is sent to targets that then reject it.
	maxSends = 4
	// maxUnknownNames limits the names of unknown headers that are logged, and the targets of
	// which an invalid load is.
	maxUnknownNames = 32
)

// Coordinator assigns requests to targets.
type Coordinator interface {
	View() *coord.View
	Initialized() <-chan struct{}
	Submit(r broker.Request) (uint64, <-chan coord.Decision)
	Cancel(id uint64)
	ReportCompletion(completion broker.Completion)
	ReportBrokenRun(run broker.BrokenRun)
	ReportNotice(n notice.Notice)
	ReportLoad(r speed.Report)
}

// RequestInfo holds the values of a request's protocol headers.
type RequestInfo struct {
	ID                   string
	Key                  string        // API key; empty for none
	Timeout              time.Duration // how long the client waits; 0 if not stated
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int  // the client's estimate; 0 if not stated
	HasTokenCounts       bool // PromptTokens and MaxOutputTokens are stated
	// SharedParts are the parts of the prompt that other requests may have too; not
	// the last one, which belongs to the request or its session.
	SharedParts model.PromptParts
	LastPart    model.PromptPart // of the prompt; 0 if not stated
	LastEventID string           // event after which a stream is to continue; empty for its beginning
	// Resumes is the ID of the request that brought the first event of the stream that is
	// to continue; empty if not stated.
	Resumes string
}

// ForwardInfo holds what a forwarded request's header states in addition to the client's
// header.
type ForwardInfo struct {
	Target      string // id of the only target that may run the request
	Workspace   string // empty for none
	Timeout     time.Duration
	LastEventID string
}

// Dialect translates between the headers of the deployment's protocol and Go values.
type Dialect interface {
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the header for a target: the client's without
	// connection-specific headers and those that clients may not set, plus f.
	ForwardHeader(h http.Header, f ForwardInfo) http.Header
	// ColdRemaining reads from a response how long its target stays cold; 0 if it is
	// warm or does not say.
	ColdRemaining(h http.Header) time.Duration
	// ParseNotice reads what a response to a request for a target says about that
	// target. The error describes what was ignored: unreadable values, or a response
	// of another target.
	ParseNotice(target string, status int, h http.Header) (notice.Notice, error)
	// ParseLoad reads what a response to a request for a target states of the target's load;
	// a zero report if it states nothing, or is a response of another target.
	ParseLoad(target string, status int, h http.Header) (speed.Report, error)
	// VerifyOrigin returns an error if a response to a request for a target cannot be
	// attributed to that target.
	VerifyOrigin(target string, status int, h http.Header) error
	// UnknownNotices returns the names of the headers by which a response says something
	// about its target that ParseNotice does not read.
	UnknownNotices(h http.Header) []string
	HeaderNames() relay.HeaderNames
}

// CauseClientDisconnected is the cause of requests whose client disconnected.
const CauseClientDisconnected = "CallerLeft"

// CauseAmbiguous is the cause of requests whose response may be followed by another one; see
// relay.ErrAmbiguous.
const CauseAmbiguous = "AmbiguousAnswer"

// Recorder records metrics of requests.
type Recorder interface {
	RecordOutcome(o Outcome)
	// RecordNotice counts a notice of a target, by kind.
	RecordNotice(kind NoticeKind)
}

// NoticeKind is the kind of a notice that a response contains about its target.
type NoticeKind string

// Kinds of notices.
const (
	NoticeLeaving NoticeKind = "Leaving"
	NoticePause   NoticeKind = "Pause"
	NoticeLimit   NoticeKind = "Limit"
	NoticeBrittle NoticeKind = "Brittle"
	NoticeLoad    NoticeKind = "Load"    // with how long work takes
	NoticeIgnored NoticeKind = "Ignored" // unreadable, or in a response of another target
	NoticeUnknown NoticeKind = "Unknown" // in a header that the dialect does not know
)

// Outcome describes how a request ended.
type Outcome struct {
	Route           *routes.Route // nil if none matched
	Service         string
	Workspace       string
	Zone            string // of the last target; empty if there was none
	Status          int
	Cause           string
	TimeToFirstPart time.Duration // from the request's arrival to the first event, or to the whole response
	Total           time.Duration
	Sends           int // attempts of which a byte may have reached the target
}

// Settings are the dependencies and settings of a Handler.
type Settings struct {
	Coord    Coordinator
	Sender   *relay.Sender
	Bodies   *body.Reader
	Dialect  Dialect
	Log      coord.Logger
	Recorder Recorder
	Now      func() time.Time
	Budget   *budget.Budget // of retries
	Zone     string         // of this host
}

// Handler is the http.Handler of clients' requests.
type Handler struct {
	Settings
	mu           sync.Mutex // also guards Settings.Budget
	stopping     chan struct{}
	unknown      map[string]bool               // guarded by mu; names of unknown headers that were logged
	badLoads     map[string]bool               // guarded by mu; targets of which an invalid load was logged
	brokenRuns   *ring.Queue[broker.BrokenRun] // that may have crashed their target
	attemptTimes broker.AttemptTimes           // guarded by mu
}

// New starts a handler and returns it with its cleanup function.
func New(ctx context.Context, s Settings) (*Handler, func()) {
	h := &Handler{Settings: s, stopping: make(chan struct{}), unknown: map[string]bool{}, badLoads: map[string]bool{}, brokenRuns: ring.New[broker.BrokenRun](brokenRunQueueSize)}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.processBrokenRuns(ctx)
	}()
	return h, func() {
		cancel()
		<-done
	}
}

// Stop makes all later responses close their connections.
func (h *Handler) Stop() { close(h.stopping) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{handler: h, writer: w, request: r, arrived: h.Now(), info: h.Dialect.ParseRequest(r.Header), view: h.Coord.View()}
	select {
	case <-h.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	defer c.record()
	if !c.admit() {
		return
	}
	defer c.held.Close()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.serve(ctx)
}

// SetRetryBounds sets the bounds of the retry budget.
func (h *Handler) SetRetryBounds(b budget.Bounds) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Budget.SetBounds(b)
}

// countRequest counts a request in the budget, which allows retries in proportion to
// requests.
func (h *Handler) countRequest(service string, hosts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Budget.SetHosts(hosts)
	h.Budget.RecordRequest(h.Now(), service)
}

// isNewUnknown reports whether the name of an unknown header is to be logged: on its
// first appearance, for at most maxUnknownNames names.
func (h *Handler) isNewUnknown(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return addName(h.unknown, name)
}

// isNewBadLoad reports whether an invalid load of a target is to be logged: the first one,
// for at most maxUnknownNames targets.
func (h *Handler) isNewBadLoad(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return addName(h.badLoads, target)
}

// addName adds a name and reports whether it is new, up to maxUnknownNames.
func addName(names map[string]bool, name string) bool {
	if names[name] || len(names) >= maxUnknownNames {
		return false
	}
	names[name] = true
	return true
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (h *Handler) takeRetry(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Budget.TakeRetry(h.Now(), service)
}
