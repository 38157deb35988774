package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yuccadoor/core/model"
	"yuccadoor/core/once"
)

// Bounds on whole answers held back until they are complete.
const (
	maxHeld = 1 << 20 // bytes held before an answer is passed on as it comes
	maxKept = 2 << 10 // bytes kept for a repeat of a key
)

// Outcomes as callers see them.
const (
	outcomeComplete = "Complete"
	outcomeRefused  = "Refused"
	outcomeFailed   = "Failed"
)

// answer passes a target's answer to a caller. A stream is passed on as it
// comes. A whole answer is held until it is complete, up to a bound, so that a
// truncated one can still be replaced by a problem.
type answer struct {
	w       http.ResponseWriter
	call    *call
	now     func() time.Time
	status  int
	header  http.Header
	stream  bool
	held    []byte
	begun   bool // the status has been sent to the caller
	firstAt time.Time
}

func newAnswer(w http.ResponseWriter, c *call, now func() time.Time) *answer {
	return &answer{w: w, call: c, now: now}
}

// Begin implements reach.Sink.
func (a *answer) Begin(status int, header http.Header, stream bool) error {
	a.status, a.header, a.stream = status, header, stream
	return nil
}

// Write implements reach.Sink.
func (a *answer) Write(p []byte) error {
	if a.firstAt.IsZero() {
		a.firstAt = a.now()
	}
	if !a.stream && !a.begun && len(a.held)+len(p) <= maxHeld {
		a.held = append(a.held, p...)
		return nil
	}
	if err := a.begin(false); err != nil {
		return err
	}
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	if a.stream {
		return http.NewResponseController(a.w).Flush()
	}
	return nil
}

// begin sends the status, the headers and what was held. whole says that what
// was held is the whole body.
func (a *answer) begin(whole bool) error {
	if a.begun {
		return nil
	}
	a.begun = true
	header := a.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Set(HeaderRequest, a.call.id)
	header.Set(HeaderTier, a.call.tier)
	switch {
	case a.stream:
		header.Set("Trailer", HeaderOutcome)
	case whole:
		header.Set(HeaderOutcome, outcomeComplete)
		header.Set("Content-Length", strconv.Itoa(len(a.held)))
	default:
		header.Set("Trailer", HeaderOutcome)
	}
	a.w.WriteHeader(a.status)
	if len(a.held) == 0 {
		return nil
	}
	_, err := a.w.Write(a.held)
	return err
}

// finish completes an answer that is whole.
func (a *answer) finish() {
	late := a.begun || a.stream
	if err := a.begin(true); err != nil {
		return
	}
	if late {
		a.w.Header().Set(HeaderOutcome, outcomeComplete)
	}
}

// abort ends an answer that has begun and will not be whole: a stream gets an
// error event, and either way the connection is cut so that nobody takes the
// answer for complete.
func (a *answer) abort(c *call, r *model.Refusal) {
	if a.stream {
		body, err := json.Marshal(errorObject(c, r))
		if err == nil {
			_, _ = fmt.Fprintf(a.w, "data: %s\n\n", body)
			_ = http.NewResponseController(a.w).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

// entry is what is kept of the answer for a repeat of its key.
func (a *answer) entry(status int) once.Entry {
	e := once.Entry{Status: status, Type: a.header.Get("Content-Type")}
	if !a.stream && !a.begun && len(a.held) <= maxKept {
		e.Body = append([]byte{}, a.held...)
	}
	return e
}

// Problem is the body of a refusal: the published problem form, with members of
// this system's own, and the error object that clients of model engines read.
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail"`
	Ran        model.Execution
	Reason     model.Reason
	Request    string
	RetryAfter float64 `json:",omitempty"` // seconds
	Error      *apiErr `json:"error,omitempty"`
}

// apiErr is the error object of the model engines' protocol.
type apiErr struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type errorEvent struct {
	Error apiErr `json:"error"`
	Ran   model.Execution
}

func errorObject(c *call, r *model.Refusal) errorEvent {
	return errorEvent{Ran: r.Ran, Error: apiErr{
		Message: fmt.Sprintf("%s (request %s)", r.Detail, c.id), Type: string(r.Reason), Code: string(r.Ran),
	}}
}

// statusOf gives the HTTP status of a refusal of which nothing ran.
func statusOf(r *model.Refusal) int {
	switch r.Reason {
	case model.ReasonCrashesTargets:
		return http.StatusUnprocessableEntity
	case model.ReasonKeyUsed, model.ReasonKeyUnknown:
		return http.StatusConflict
	case model.ReasonInvalid:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// problem writes a refusal.
func (f *Front) problem(w http.ResponseWriter, c *call, status int, r *model.Refusal) {
	p := Problem{
		Type: "about:blank", Title: string(r.Reason), Status: status, Detail: r.Detail,
		Ran: r.Ran, Reason: r.Reason, RetryAfter: r.RetryAfter.Seconds(),
	}
	h := w.Header()
	h.Set(HeaderOutcome, outcomeRefused)
	if r.Ran == model.MayHaveRun {
		h.Set(HeaderOutcome, outcomeFailed)
		h.Set("X-Should-Retry", "false")
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if c != nil {
		p.Request = c.id
		h.Set(HeaderRequest, c.id)
		h.Set(HeaderTier, c.tier)
		if strings.HasPrefix(c.request.URL.Path, "/v1/") {
			e := errorObject(c, r).Error
			p.Error = &e
		}
	}
	writeJSON(w, status, "application/problem+json", p)
}
