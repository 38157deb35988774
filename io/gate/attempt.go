package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/broker"
	"yuccadoor/core/roster"
	"yuccadoor/io/relay"
)

// result is how one attempt at one target ended.
type result struct {
	outcome    broker.Outcome
	answered   bool // the caller has its final answer, or has left
	mayHaveRun bool
	took       time.Duration
	first      time.Duration // from sending to the first event; 0 for none
	pause      time.Duration // the longest between two events
	firstAt    time.Time     // when the first event came; zero for none
	heardAt    time.Time     // when the last event came; zero for none
	silent     time.Duration // from the last event, or the sending, to the end
	coldLeft   time.Duration // as the target told; 0 for warm or not told
	status     int           // of a target's answer that was not passed on; 0 for none
	header     http.Header
	body       []byte
	err        error
}

// stream is what the caller has of a stream so far.
type stream struct {
	begun  bool   // the head has been sent
	lastID string // of the last event passed on
}

// attempt sends the request to one target and passes its answer on if that is
// final.
func (c *call) attempt(ctx context.Context, t *roster.Target) result {
	begun := c.gate.Now()
	c.target, c.zone = t.ID, t.Zone
	r := c.exchange(ctx, t)
	ended := c.gate.Now()
	r.took, r.silent = ended.Sub(begun), ended.Sub(begun)
	if !r.heardAt.IsZero() {
		r.silent = ended.Sub(r.heardAt)
	}
	if !r.firstAt.IsZero() {
		r.first = r.firstAt.Sub(begun)
	}
	c.pause = max(c.pause, r.pause)
	if r.mayHaveRun {
		c.ran++
	}
	if r.err != nil || r.outcome != broker.Good {
		c.gate.Log.Event("info", "attempt ended", "Request", c.caller.ID, "Content", c.content, "Target", t.ID, "Address", t.Address,
			"Outcome", r.outcome, "Status", r.status, "MayHaveRun", r.mayHaveRun, "Took", r.took, "Error", r.err)
	}
	return r
}

func (c *call) exchange(ctx context.Context, t *roster.Target) result {
	lastID := c.caller.LastEventID
	if c.relayed.lastID != "" {
		lastID = c.relayed.lastID
	}
	f := ForwardInfo{Target: t.ID, Timeout: c.end.Sub(c.gate.Now()), LastEventID: lastID}
	if c.workspace != nil {
		f.Workspace = c.workspace.Name
	}
	a, failure := c.gate.Sender.Send(ctx, &relay.Call{
		Target: t.Address, Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host,
		Header: c.gate.Dialect.ForwardHeader(c.request.Header, f), Body: c.body, ID: c.caller.ID,
		AtMostOnce: !c.route.Idempotent(),
		Allowed: func() bool {
			now, ok := c.gate.Coord.View().MaySend(c.gate.Now(), t.ID)
			return ok && now.Born == t.Born
		},
	})
	if failure != nil && errors.Is(failure.Err, relay.ErrNotAllowed) {
		return result{outcome: broker.Unused, err: failure}
	}
	if failure != nil && !failure.Sent {
		return result{outcome: c.unless(ctx, broker.NoConnect), err: failure}
	}
	c.sends++
	if failure != nil {
		return result{outcome: c.unless(ctx, broker.Broken), mayHaveRun: true, err: failure}
	}
	defer a.Close()
	c.heed(t, a)
	var r result
	if a.Stream && a.Status == http.StatusOK {
		r = c.passStream(ctx, a)
	} else {
		r = c.passWhole(ctx, a)
	}
	r.coldLeft = c.gate.Dialect.ColdRemaining(a.Header)
	return r
}

// heed takes in what the head of an answer says of its target, before anything of
// the answer is passed on.
func (c *call) heed(t *roster.Target, a *relay.Response) {
	n, err := c.gate.Dialect.ParseNotice(t.ID, a.Status, a.Header)
	if err != nil {
		c.gate.Recorder.RecordNotice(NoticeIgnored)
		c.gate.Log.Event("warn", "target notice ignored", "Request", c.caller.ID, "Target", t.ID, "Status", a.Status, "Error", err)
	}
	if n.Leaving {
		c.gate.Recorder.RecordNotice(NoticeLeaving)
	}
	if n.Pause > 0 {
		c.gate.Recorder.RecordNotice(NoticePause)
	}
	if n.Empty() {
		return
	}
	n.Target, n.Born = t.ID, t.Born
	c.gate.Coord.Noticed(n)
}

// unless gives the outcome, or Cancelled if the request's time or caller is gone.
func (c *call) unless(ctx context.Context, o broker.Outcome) broker.Outcome {
	if ctx.Err() != nil {
		return broker.Cancelled
	}
	return o
}

// passWhole judges an answer that is no stream.
func (c *call) passWhole(ctx context.Context, a *relay.Response) result {
	body, err := a.ReadBody()
	if a.NotRun {
		return result{outcome: broker.Rejected, status: a.Status, err: err}
	}
	r := result{mayHaveRun: true, status: a.Status, header: a.Header, body: body, err: err}
	switch {
	case err != nil:
		r.outcome = c.unless(ctx, broker.Broken)
		r.status = 0
	case a.Status < http.StatusMultipleChoices && !a.Verified():
		r.outcome = broker.Broken
		r.status = 0
	case a.Status >= http.StatusInternalServerError || promises(a.Status):
		r.outcome = broker.Failed
	case c.relayed.begun:
		// A stream cannot go on with this.
		r.outcome = broker.Failed
	default:
		r.outcome = broker.Good
		r.answered = true
		c.first = c.gate.Now().Sub(c.arrived)
		c.pass(a.Status, a.Header, body)
	}
	return r
}

// promises reports whether a status tells the caller that nothing has run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// pass gives the caller a target's whole answer.
func (c *call) pass(status int, header http.Header, body []byte) {
	h := c.writer.Header()
	copyHeader(h, header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.status = status
	c.writer.WriteHeader(status)
	if _, err := c.writer.Write(body); err != nil {
		c.cause = CauseCallerLeft
	}
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true,
	"Te": true, "Upgrade": true, "Proxy-Connection": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

// passStream passes events on as they arrive. The head goes out with the first
// event, so that a target that breaks off before it can still be replaced.
func (c *call) passStream(ctx context.Context, a *relay.Response) result {
	r := result{outcome: broker.Good, mayHaveRun: true}
	if !a.Verified() {
		r.outcome = broker.Broken
		return r
	}
	control := http.NewResponseController(c.writer)
	var buffer []byte
	for {
		e, err := a.NextEvent(buffer)
		buffer = e.Raw
		if err == io.EOF {
			if !c.relayed.begun {
				c.begin(a)
			}
			r.answered = true
			return r
		}
		if err != nil {
			r.err = err
			r.outcome = c.unless(ctx, broker.Broken)
			return r
		}
		if c.relayed.seen(e.ID) {
			continue
		}
		if !c.relayed.begun {
			r.firstAt = c.gate.Now()
			c.first = r.firstAt.Sub(c.arrived)
			c.begin(a)
		}
		c.tokens++
		now := c.gate.Now()
		if !r.heardAt.IsZero() {
			r.pause = max(r.pause, now.Sub(r.heardAt))
		}
		r.heardAt = now
		_, err = c.writer.Write(e.Raw)
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			c.cause = CauseCallerLeft
			r.outcome, r.answered, r.err = broker.Cancelled, true, err
			return r
		}
		if e.ID != "" {
			c.relayed.lastID = e.ID
		}
	}
}

func (c *call) begin(a *relay.Response) {
	copyHeader(c.writer.Header(), a.Header)
	c.relayed.begun = true
	c.status = a.Status
	c.writer.WriteHeader(a.Status)
}

// seen reports whether an event was passed on already: ids grow.
func (s *stream) seen(id string) bool {
	if s.lastID == "" || id == "" {
		return false
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil {
		return id == s.lastID
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= last
}
