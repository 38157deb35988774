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

// Limits on buffering responses that are not streams.
const (
	maxBufferedBytes = 1 << 20 // a longer response is forwarded as it arrives
	maxStoredBytes   = 2 << 10 // a longer response is not stored for repeats of its idempotency key
)

// Values of HeaderOutcome.
const (
	outcomeComplete = "Complete"
	outcomeRefused  = "Refused"
	outcomeFailed   = "Failed"
)

// response forwards a target's response to the caller. A stream is forwarded as it
// arrives. Any other response is buffered until it is complete, up to
// maxBufferedBytes, so that a truncated one can still be replaced by a Problem.
type response struct {
	w           http.ResponseWriter
	call        *call
	now         func() time.Time
	status      int
	header      http.Header
	stream      bool
	buffered    []byte
	headerSent  bool // status and headers have been sent to the caller
	firstByteAt time.Time
}

func newResponse(w http.ResponseWriter, c *call, now func() time.Time) *response {
	return &response{w: w, call: c, now: now}
}

// Begin implements reach.Sink.
func (rp *response) Begin(status int, header http.Header, stream bool) error {
	rp.status, rp.header, rp.stream = status, header, stream
	return nil
}

// Write implements reach.Sink.
func (rp *response) Write(p []byte) error {
	if rp.firstByteAt.IsZero() {
		rp.firstByteAt = rp.now()
	}
	if !rp.stream && !rp.headerSent && len(rp.buffered)+len(p) <= maxBufferedBytes {
		rp.buffered = append(rp.buffered, p...)
		return nil
	}
	if err := rp.sendHeader(false); err != nil {
		return err
	}
	if _, err := rp.w.Write(p); err != nil {
		return err
	}
	if rp.stream {
		return http.NewResponseController(rp.w).Flush()
	}
	return nil
}

// sendHeader sends the status, the headers and the buffered part of the body, unless
// they have been sent before. complete means that the buffer holds the whole body.
func (rp *response) sendHeader(complete bool) error {
	if rp.headerSent {
		return nil
	}
	rp.headerSent = true
	header := rp.w.Header()
	for name, values := range rp.header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Set(HeaderRequest, rp.call.id)
	header.Set(HeaderTier, rp.call.tier)
	switch {
	case rp.stream:
		header.Set("Trailer", HeaderOutcome)
	case complete:
		header.Set(HeaderOutcome, outcomeComplete)
		header.Set("Content-Length", strconv.Itoa(len(rp.buffered)))
	default:
		header.Set("Trailer", HeaderOutcome)
	}
	rp.w.WriteHeader(rp.status)
	if len(rp.buffered) == 0 {
		return nil
	}
	_, err := rp.w.Write(rp.buffered)
	return err
}

// finish ends a response that the target has completed. The outcome goes into the
// headers if they have not been sent, and into the trailer otherwise.
func (rp *response) finish() {
	inTrailer := rp.headerSent || rp.stream
	if err := rp.sendHeader(true); err != nil {
		return
	}
	if inTrailer {
		rp.w.Header().Set(HeaderOutcome, outcomeComplete)
	}
}

// abort ends a partly sent response that will not be completed. A stream gets an
// error event. The connection is closed in either case, so that no caller takes the
// response for complete.
func (rp *response) abort(c *call, r *model.Refusal) {
	if rp.stream {
		body, err := json.Marshal(newErrorEvent(c, r))
		if err == nil {
			_, _ = fmt.Fprintf(rp.w, "data: %s\n\n", body)
			_ = http.NewResponseController(rp.w).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

// storedEntry returns what is stored of the response for repeats of its idempotency
// key.
func (rp *response) storedEntry(status int) once.Entry {
	e := once.Entry{Status: status, Type: rp.header.Get("Content-Type")}
	if !rp.stream && !rp.headerSent && len(rp.buffered) <= maxStoredBytes {
		e.Body = append([]byte{}, rp.buffered...)
	}
	return e
}

// Problem is the body of a refusal: a problem document as in RFC 9457 with extension
// members, and the error object that clients of model engines expect.
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail"`
	Ran        model.Execution
	Reason     model.Reason
	Request    string
	RetryAfter float64   `json:",omitempty"` // seconds
	Error      *apiError `json:"error,omitempty"`
}

// apiError is the error object of the model engines' API.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// errorEvent is the last event of a stream that failed.
type errorEvent struct {
	Error apiError `json:"error"`
	Ran   model.Execution
}

func newErrorEvent(c *call, r *model.Refusal) errorEvent {
	return errorEvent{Ran: r.Ran, Error: apiError{
		Message: fmt.Sprintf("%s (request %s)", r.Detail, c.id), Type: string(r.Reason), Code: string(r.Ran),
	}}
}

// refusalStatus returns the HTTP status for refusing a request that was not sent to
// a target.
func refusalStatus(r *model.Refusal) int {
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

// writeProblem writes a refusal as a Problem. c is nil if no route matched.
func (f *Front) writeProblem(w http.ResponseWriter, c *call, status int, r *model.Refusal) {
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
			e := newErrorEvent(c, r).Error
			p.Error = &e
		}
	}
	writeJSON(w, status, "application/problem+json", p)
}
