// Package front is the HTTP server for callers. It authenticates the workspace of a
// request, submits the request to the loop and forwards it to the target that the
// loop chooses, or refuses it with a Problem. Package gate is the counterpart for the
// edge command, with operators' routes.
package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"yuccadoor/core/conf"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
	"yuccadoor/io/body"
	"yuccadoor/io/loop"
	"yuccadoor/io/reach"
)

// Headers of requests from callers and of responses to them.
const (
	HeaderRequest          = "Yuccadoor-Request"  // request id
	HeaderTier             = "Yuccadoor-Tier"     // tier requested by the caller, and tier used
	HeaderOutcome          = "Yuccadoor-Outcome"  // Complete, Refused or Failed
	HeaderDeadline         = "Yuccadoor-Deadline" // longest time until the request is started, as a duration
	HeaderIdempotencyKey   = "Idempotency-Key"
	HeaderIdempotentReplay = "Idempotent-Replay"
	headerForwarded        = "Yuccadoor-Forwarded" // peer address of the host that forwarded the request
)

// Limits on requests from callers, and parameters derived from their bodies.
const (
	MaxBodyBytes      = 4 << 20
	MaxHeaderBytes    = 32 << 10
	BodyTimeout       = 30 * time.Second // default read timeout of the server, including the body
	headerTimeout     = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	blockBytes        = 256 // size of a prefix block
	bytesPerToken     = 4
	maxBlocks         = 512
	targetTimeDivisor = 4 // 1/4 of the first token objective is reserved for the target's own time
)

// Recorder records the outcomes of requests.
type Recorder interface {
	Record(o Outcome)
}

// Outcome describes how one request ended, for the metrics and the burn report.
type Outcome struct {
	Service   string
	Tier      string
	Workspace string
	Zone      string // of the target; empty if no target was reached
	Refusal   *model.Refusal
	FirstByte time.Duration // from arrival to the first byte of the response; 0 if there was none
	Total     time.Duration // from arrival to the end of the request
	Pace      time.Duration // time per unit of work; see limit.Result
	Objective conf.ObjectiveConfig
}

// Settings are the parameters of Handler.
type Settings struct {
	Self            netip.AddrPort // this host's peer address, sent with forwarded requests
	RequestIDPrefix string         // of request ids; unique to the host and its incarnation
	Loop            *loop.Loop
	Sender          *reach.Sender
	Bodies          *body.Reader
	Log             loop.Logger
	Recorder        Recorder
	Now             func() time.Time
}

// Front handles requests from callers.
type Front struct {
	Settings
}

// Handler returns the HTTP handler for callers.
func Handler(s Settings) http.Handler {
	f := &Front{Settings: s}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", f.serveEngine).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", f.serveEngine).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", f.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/keys", f.serveIssueKey).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}", f.servePlain)
	r.HandleFunc("/services/{service}/{rest:.*}", f.servePlain)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.writeProblem(w, nil, http.StatusNotFound, invalidRequest("no such path"))
	})
	return r
}

// Server returns an HTTP server with limits on the size of headers and on idle time.
// readTimeout limits the time for reading one request, including its body.
func Server(h http.Handler, readTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// call is the state of one request from a caller.
type call struct {
	request   *http.Request
	arrived   time.Time
	view      *view.View
	workspace *conf.Workspace
	service   *conf.Service
	tier      string
	id        string
	path      string
	body      []byte
	held      *body.Body // holds body until the request has ended; nil before it is read
	model     model.Request
}

func invalidRequest(format string, args ...any) *model.Refusal {
	return &model.Refusal{Ran: model.NotRun, Reason: model.ReasonInvalid, Detail: fmt.Sprintf(format, args...)}
}

// readRequest authenticates a request, reads its body and resolves its tier. If this
// fails, it writes a Problem and returns false.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{request: r, arrived: f.Now(), view: f.Loop.View()}
	if c.view == nil || c.view.Catalog == nil {
		f.writeProblem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonNotReady, Detail: "no configuration yet", RetryAfter: time.Second,
		})
		return nil, false
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	c.workspace = c.view.Catalog.WorkspacesByDigest[hex.EncodeToString(digest[:])]
	if c.workspace == nil {
		f.writeProblem(w, c, http.StatusUnauthorized, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonDenied, Detail: "the key is missing or belongs to no workspace",
		})
		return nil, false
	}
	held, err := f.Bodies.Read(w, r, body.Limits{Workspace: c.workspace.Name, Bytes: MaxBodyBytes})
	if err != nil {
		f.refuseBody(w, c, err)
		return nil, false
	}
	c.held, c.body = held, held.Bytes
	if !f.resolveTier(w, c) {
		held.Close()
		return nil, false
	}
	return c, true
}

// refuseBody ends a request whose body could not be read, and closes its connection.
func (f *Front) refuseBody(w http.ResponseWriter, c *call, err error) {
	if errors.Is(err, net.ErrClosed) {
		panic(http.ErrAbortHandler) // the connection was closed for others, by io/accept
	}
	w.Header().Set("Connection", "close")
	var dropped *body.DroppedError
	switch {
	case errors.As(err, &dropped):
		f.writeProblem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonShed, Detail: err.Error(), RetryAfter: body.RetryAfter,
		})
	case errors.Is(err, body.ErrTooSlow):
		f.writeProblem(w, c, http.StatusRequestTimeout, invalidRequest("read body: %v", err))
	default:
		f.writeProblem(w, c, http.StatusRequestEntityTooLarge, invalidRequest("read body: %v", err))
	}
	body.Discard(w, c.request)
}

// resolveTier sets the requested or default tier and checks that the workspace may
// use it.
func (f *Front) resolveTier(w http.ResponseWriter, c *call) bool {
	c.model.Tier = c.workspace.Default
	if name := c.request.Header.Get(HeaderTier); name != "" {
		t, ok := c.view.Catalog.TierByName(name)
		if !ok {
			f.writeProblem(w, c, http.StatusBadRequest, invalidRequest("tier %q is not known", name))
			return false
		}
		c.model.Tier = t
	}
	c.tier = c.view.Catalog.TierName(c.model.Tier)
	for _, t := range c.workspace.Tiers {
		if t == c.model.Tier {
			return true
		}
	}
	f.writeProblem(w, c, http.StatusForbidden, &model.Refusal{
		Ran: model.NotRun, Reason: model.ReasonDenied,
		Detail: fmt.Sprintf("workspace %s has no right to tier %s", c.workspace.Name, c.tier),
	})
	return false
}

// engineRequest contains the fields that this host needs of a model engine request.
type engineRequest struct {
	Model string `json:"model"`
}

// serveEngine handles a request to a model engine.
func (f *Front) serveEngine(w http.ResponseWriter, r *http.Request) {
	c, ok := f.readRequest(w, r)
	if !ok {
		return
	}
	defer c.held.Close()
	var fields engineRequest
	if err := json.Unmarshal(c.body, &fields); err != nil {
		f.writeProblem(w, c, http.StatusBadRequest, invalidRequest("the body is not JSON: %v", err))
		return
	}
	service, ok := c.view.Catalog.ServiceForModel(fields.Model)
	if !ok {
		f.writeProblem(w, c, http.StatusNotFound, invalidRequest("model %q is not served", fields.Model))
		return
	}
	c.service, c.path = service, r.URL.RequestURI()
	c.model.Prefix = prefixHashes(c.body)
	c.model.PromptTokens = len(c.body) / bytesPerToken
	f.submit(w, c)
}

// prefixHashes returns a hash for each of the first maxBlocks whole blocks of the
// body. Each hash covers the body from its start to the end of the block.
func prefixHashes(body []byte) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for len(body) >= blockBytes && len(hashes) < maxBlocks {
		_, _ = digest.Write(body[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		body = body[blockBytes:]
	}
	return hashes
}

// servePlain handles a request to a plain service.
func (f *Front) servePlain(w http.ResponseWriter, r *http.Request) {
	c, ok := f.readRequest(w, r)
	if !ok {
		return
	}
	defer c.held.Close()
	vars := mux.Vars(r)
	service := c.view.Catalog.Services[vars["service"]]
	if service == nil || service.Kind != conf.Plain {
		f.writeProblem(w, c, http.StatusNotFound, invalidRequest("plain service %q is not known", vars["service"]))
		return
	}
	c.service = service
	c.path = "/" + vars["rest"]
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	f.submit(w, c)
}

// submit completes the request for the loop and dispatches it, with its idempotency
// key if it has one.
func (f *Front) submit(w http.ResponseWriter, c *call) {
	timeout, err := f.startTimeout(c)
	if err != nil {
		f.writeProblem(w, c, http.StatusBadRequest, invalidRequest("header %s: %v", HeaderDeadline, err))
		return
	}
	c.model.Service = c.service.Name
	c.model.Workspace = c.workspace.Name
	c.model.Arrived = c.arrived
	c.model.Deadline = c.arrived.Add(timeout)
	if first := c.service.Objective.FirstToken; first > 0 {
		c.model.LatestStart = c.arrived.Add(first - first/targetTimeDivisor)
	}
	c.model.Fingerprint = fingerprint(c)
	if text := c.request.Header.Get(HeaderIdempotencyKey); text != "" {
		f.dispatchKeyed(w, c, text)
		return
	}
	f.dispatch(w, c, nil)
}

// startTimeout returns how long the request may wait to be started: the value of
// HeaderDeadline, limited to between 0 and the deadline of the service.
func (f *Front) startTimeout(c *call) (time.Duration, error) {
	text := c.request.Header.Get(HeaderDeadline)
	if text == "" {
		return c.service.Deadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return min(max(d, 0), c.service.Deadline), nil
}

// fingerprint hashes the content of a request: service, method, path and body.
func fingerprint(c *call) model.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.service.Name + " " + c.request.Method + " " + c.path + "\n")
	_, _ = digest.Write(c.body)
	return model.Fingerprint(digest.Sum64())
}

// modelList is the response to GET /v1/models, in the format of the model engines'
// API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models of all services.
func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	c, ok := f.readRequest(w, r)
	if !ok {
		return
	}
	defer c.held.Close()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, s := range c.view.Catalog.Services {
		for _, m := range s.Models {
			list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}
	writeJSON(w, http.StatusOK, "application/json", list)
}

// issuedKey is the response to POST /keys.
type issuedKey struct {
	Key     string
	Expires time.Time
}

func writeJSON(w http.ResponseWriter, status int, contentType string, v any) {
	var text bytes.Buffer
	_ = json.NewEncoder(&text).Encode(v)
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(text.Len()))
	w.WriteHeader(status)
	_, _ = w.Write(text.Bytes())
}

// Drain waits until no request is waiting or running, or the context ends.
func Drain(ctx context.Context, l *loop.Loop) error {
	for !l.Idle(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollPeriod):
		}
	}
	return nil
}

// drainPollPeriod is the interval at which Drain checks whether the loop is idle.
const drainPollPeriod = 20 * time.Millisecond
