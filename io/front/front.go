// Package front serves callers: it authenticates their workspace, lets the loop
// decide, carries the request to its target and the answer back, or refuses
// with a typed problem.
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"yuccadoor/core/conf"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
	"yuccadoor/io/loop"
	"yuccadoor/io/reach"
)

// Headers towards callers.
const (
	HeaderRequest          = "Yuccadoor-Request"  // id of the request
	HeaderTier             = "Yuccadoor-Tier"     // tier asked for and served
	HeaderOutcome          = "Yuccadoor-Outcome"  // Complete, Refused or Failed
	HeaderDeadline         = "Yuccadoor-Deadline" // how long the caller waits for a start
	HeaderIdempotencyKey   = "Idempotency-Key"
	HeaderIdempotentReplay = "Idempotent-Replay"
	headerForward          = "Yuccadoor-Forwarded" // by which host
)

// Bounds on what callers send.
const (
	MaxBodyBytes   = 4 << 20
	MaxHeaderBytes = 32 << 10
	BodyTimeout    = 30 * time.Second // for reading a body
	headTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	blockBytes     = 256 // bytes of a prompt in a prefix block
	bytesPerToken  = 4
	maxBlocks      = 512
	startPart      = 4 // of the objective for the first token is left for the target
)

// Recorder counts what happened to requests.
type Recorder interface {
	Record(o Outcome)
}

// Outcome is how one request ended, for metrics and the burn report.
type Outcome struct {
	Service   string
	Tier      string
	Workspace string
	Zone      string // of the target; empty when none was reached
	Refusal   *model.Refusal
	FirstByte time.Duration // from arrival
	Total     time.Duration
	Pace      time.Duration
	Objective conf.ObjectiveText
}

// Settings are what the callers' side needs.
type Settings struct {
	Self     netip.AddrPort // this host's address towards peers, for ids
	Prefix   string         // of request ids: tells hosts and incarnations apart
	Loop     *loop.Loop
	Sender   *reach.Sender
	Log      loop.Logger
	Recorder Recorder
	Now      func() time.Time
}

// Front is the callers' side.
type Front struct {
	Settings
}

// Handler returns the routes of the callers' listener.
func Handler(s Settings) http.Handler {
	f := &Front{Settings: s}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", f.engine).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", f.engine).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", f.models).Methods(http.MethodGet)
	r.HandleFunc("/keys", f.issue).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}", f.plain)
	r.HandleFunc("/services/{service}/{rest:.*}", f.plain)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.problem(w, nil, http.StatusNotFound, invalid("no such path"))
	})
	return r
}

// Server returns an HTTP server with bounds on what callers may send, and on the
// time for reading one request.
func Server(h http.Handler, reading time.Duration) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: MaxHeaderBytes,
		ReadHeaderTimeout: headTimeout, ReadTimeout: reading, IdleTimeout: idleTimeout,
	}
}

// call is one caller's request on its way.
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
	model     model.Request
	begun     bool // the answer has begun
}

func invalid(format string, args ...any) *model.Refusal {
	return &model.Refusal{Ran: model.NotRun, Reason: model.ReasonInvalid, Detail: fmt.Sprintf(format, args...)}
}

// open authenticates and reads a request. It answers by itself when that fails.
func (f *Front) open(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{request: r, arrived: f.Now(), view: f.Loop.View()}
	if c.view == nil || c.view.Catalog == nil {
		f.problem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonNotReady, Detail: "no configuration yet", RetryAfter: time.Second,
		})
		return nil, false
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	c.workspace = c.view.Catalog.ByDigest[hex.EncodeToString(digest[:])]
	if c.workspace == nil {
		f.problem(w, c, http.StatusUnauthorized, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonDenied, Detail: "the key is missing or belongs to no workspace",
		})
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		f.problem(w, c, http.StatusRequestEntityTooLarge, invalid("read body: %v", err))
		return nil, false
	}
	c.body = body
	return c, f.tier(w, c)
}

// tier settles the tier that the caller asks for.
func (f *Front) tier(w http.ResponseWriter, c *call) bool {
	c.model.Tier = c.workspace.Default
	if name := c.request.Header.Get(HeaderTier); name != "" {
		t, ok := c.view.Catalog.TierNamed(name)
		if !ok {
			f.problem(w, c, http.StatusBadRequest, invalid("tier %q is not known", name))
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
	f.problem(w, c, http.StatusForbidden, &model.Refusal{
		Ran: model.NotRun, Reason: model.ReasonDenied,
		Detail: fmt.Sprintf("workspace %s has no right to tier %s", c.workspace.Name, c.tier),
	})
	return false
}

// engineRequest is what the system reads of a model engine's request.
type engineRequest struct {
	Model string `json:"model"`
}

func (f *Front) engine(w http.ResponseWriter, r *http.Request) {
	c, ok := f.open(w, r)
	if !ok {
		return
	}
	var asked engineRequest
	if err := json.Unmarshal(c.body, &asked); err != nil {
		f.problem(w, c, http.StatusBadRequest, invalid("the body is not JSON: %v", err))
		return
	}
	service, ok := c.view.Catalog.ServiceForModel(asked.Model)
	if !ok {
		f.problem(w, c, http.StatusNotFound, invalid("model %q is not served", asked.Model))
		return
	}
	c.service, c.path = service, r.URL.RequestURI()
	c.model.Prefix = blocks(c.body)
	c.model.PromptTokens = len(c.body) / bytesPerToken
	f.run(w, c)
}

// blocks gives the chained hashes of a prompt's leading blocks.
func blocks(body []byte) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for len(body) >= blockBytes && len(hashes) < maxBlocks {
		_, _ = digest.Write(body[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		body = body[blockBytes:]
	}
	return hashes
}

func (f *Front) plain(w http.ResponseWriter, r *http.Request) {
	c, ok := f.open(w, r)
	if !ok {
		return
	}
	vars := mux.Vars(r)
	service := c.view.Catalog.Services[vars["service"]]
	if service == nil || service.Kind != conf.Plain {
		f.problem(w, c, http.StatusNotFound, invalid("plain service %q is not known", vars["service"]))
		return
	}
	c.service = service
	c.path = "/" + vars["rest"]
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	f.run(w, c)
}

// run settles what is left to settle and carries the request out.
func (f *Front) run(w http.ResponseWriter, c *call) {
	patience, err := f.patience(c)
	if err != nil {
		f.problem(w, c, http.StatusBadRequest, invalid("header %s: %v", HeaderDeadline, err))
		return
	}
	c.model.Service = c.service.Name
	c.model.Workspace = c.workspace.Name
	c.model.Arrived = c.arrived
	c.model.Deadline = c.arrived.Add(patience)
	if first := c.service.Objective.FirstToken; first > 0 {
		c.model.LatestStart = c.arrived.Add(first - first/startPart)
	}
	c.model.Fingerprint = fingerprint(c)
	if text := c.request.Header.Get(HeaderIdempotencyKey); text != "" {
		f.keyed(w, c, text)
		return
	}
	f.attempt(w, c, nil)
}

func (f *Front) patience(c *call) (time.Duration, error) {
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

func fingerprint(c *call) model.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.service.Name + " " + c.request.Method + " " + c.path + "\n")
	_, _ = digest.Write(c.body)
	return model.Fingerprint(digest.Sum64())
}

// modelList is the published form of a list of models.
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

func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	c, ok := f.open(w, r)
	if !ok {
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, s := range c.view.Catalog.Services {
		for _, m := range s.Models {
			list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}
	writeJSON(w, http.StatusOK, "application/json", list)
}

// issuedKey is the answer to POST /keys.
type issuedKey struct {
	Key     string
	Expires time.Time
}

func writeJSON(w http.ResponseWriter, status int, media string, v any) {
	w.Header().Set("Content-Type", media)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Drain waits until no request waits or runs, or the context ends.
func Drain(ctx context.Context, l *loop.Loop) error {
	for !l.Idle(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPeriod):
		}
	}
	return nil
}

// drainPeriod is the time between looks at whether a host is idle.
const drainPeriod = 20 * time.Millisecond
