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
	"yuccadoor/core/routes"
	"yuccadoor/io/relay"
)

// attemptResult describes how an attempt at one target ended.
type attemptResult struct {
	outcome         broker.Outcome
	unframed        bool // the response ended with its connection only
	ambiguous       bool // see relay.ErrAmbiguous
	inconclusive    bool // see broker.Completion
	final           bool // the client has its final response, or has disconnected
	mayHaveRun      bool
	duration        time.Duration
	allowed         time.Duration // from the start of the attempt to its deadline or limit
	retryTaken      bool          // the attempt was ended at its limit
	connectCut      bool          // nothing was sent, since there was little time to connect
	timeForStart    time.Duration // that the attempt had for the first part of its response
	timeToFirstPart time.Duration // from sending to the first event; 0 for none
	maxGap          time.Duration // longest time between two events
	firstEventAt    time.Time     // zero for none
	lastEventAt     time.Time     // zero for none
	idle            time.Duration // from the last event, or the start of the attempt, to the end
	coldRemaining   time.Duration // as stated by the target; 0 if it is warm or does not say
	status          int           // of a target's response that was not forwarded; 0 for none
	header          http.Header
	body            []byte
	err             error
}

// streamState is how much of a stream has been forwarded to the client.
type streamState struct {
	started     bool   // the response header has been sent
	version     string // of the target that began it
	lastEventID string // of the last event forwarded
}

// attempt sends the request to one target and forwards the response to the client if it
// is final.
func (c *call) attempt(ctx context.Context, t *roster.Target) attemptResult {
	started := c.handler.Now()
	c.targetID, c.targetZone, c.targetVersion, c.slowdown = t.ID, t.Zone, t.Version, 0
	attemptCtx, limit, stop := c.limitAttempt(ctx, t)
	r := c.sendTo(attemptCtx, t)
	stop()
	ended := c.handler.Now()
	r.duration, r.idle, r.allowed = ended.Sub(started), ended.Sub(started), c.deadline.Sub(started)
	r.timeForStart = c.timeForStart(started)
	if r.connectCut {
		r.timeForStart = r.duration
	}
	if limit.after > 0 {
		r.allowed, r.timeForStart, r.retryTaken = limit.after, limit.after, limit.reached.Load()
	}
	if r.outcome == broker.Good && c.route.Kind != routes.Stream {
		c.handler.recordAttempt(c.service, r.duration)
	}
	if !r.lastEventAt.IsZero() {
		r.idle = ended.Sub(r.lastEventAt)
	}
	if !r.firstEventAt.IsZero() {
		r.timeToFirstPart = r.firstEventAt.Sub(started)
	}
	c.maxGap = max(c.maxGap, r.maxGap)
	if r.mayHaveRun {
		c.runs++
	}
	if r.err != nil || r.outcome != broker.Good {
		c.handler.Log.Event("info", "attempt ended", "Request", c.info.ID, "Content", c.content, "Parts", c.info.SharedParts, "Target", t.ID, "TargetVersion", t.Version, "Address", t.Address, "Events", c.events,
			"Outcome", r.outcome, "Status", r.status, "MayHaveRun", r.mayHaveRun, "Took", r.duration, "Error", r.err)
	}
	return r
}

// sendTo sends the request to a target and handles the response.
func (c *call) sendTo(ctx context.Context, t *roster.Target) attemptResult {
	lastEventID := c.info.LastEventID
	if c.stream.lastEventID != "" {
		lastEventID = c.stream.lastEventID
	}
	f := ForwardInfo{Target: t.ID, Timeout: c.deadline.Sub(c.handler.Now()), LastEventID: lastEventID}
	if c.workspace != nil {
		f.Workspace = c.workspace.Name
	}
	sentAt, connectTime := c.handler.Now(), c.connectTime()
	response, sendErr := c.handler.Sender.Send(ctx, &relay.Call{
		Target: t.Address, Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host,
		Header: c.handler.Dialect.ForwardHeader(c.request.Header, f), Body: c.body, ID: c.info.ID,
		AtMostOnce: !c.route.Idempotent(), ConnectWithin: connectTime,
		Allowed: func() bool {
			current, ok := c.handler.Coord.View().MaySend(c.handler.Now(), t.ID)
			return ok && current.Born == t.Born
		},
	})
	if sendErr != nil && errors.Is(sendErr.Err, relay.ErrNotAllowed) {
		return attemptResult{outcome: broker.Unused, err: sendErr}
	}
	if sendErr != nil && !sendErr.Sent {
		outcome := orCancelled(ctx, broker.NoConnect)
		if outcome == broker.NoConnect && connectTime < fullConnectTime && !isRefusal(sendErr.Err) {
			return attemptResult{outcome: broker.Cancelled, connectCut: true, err: sendErr}
		}
		return attemptResult{outcome: outcome, err: sendErr}
	}
	c.sends++
	if sendErr != nil {
		return attemptResult{outcome: orCancelled(ctx, broker.Broken), mayHaveRun: true, err: sendErr}
	}
	defer response.Close()
	c.through = response.Through
	c.handleNotice(t, response, sentAt)
	c.reportUnknownNotices(t, response)
	c.handleLoad(t, response)
	var r attemptResult
	if response.Stream && response.Status == http.StatusOK {
		r = c.forwardStream(ctx, response)
	} else {
		r = c.forwardBody(ctx, response)
	}
	r.unframed = response.Unframed
	r.inconclusive = response.Unframed || response.Status >= http.StatusMultipleChoices
	r.coldRemaining = c.handler.Dialect.ColdRemaining(response.Header)
	return r
}

// handleNotice handles what a response's header says about its target. It is called
// before anything of the response is forwarded.
func (c *call) handleNotice(t *roster.Target, response *relay.Response, sentAt time.Time) {
	n, err := c.handler.Dialect.ParseNotice(t.ID, response.Status, response.Header)
	if err != nil {
		c.handler.Recorder.RecordNotice(NoticeIgnored)
		c.handler.Log.Event("warn", "target notice ignored", "Request", c.info.ID, "Target", t.ID, "Status", response.Status, "Error", err)
	}
	if n.Leaving {
		c.handler.Recorder.RecordNotice(NoticeLeaving)
	}
	if n.Pause > 0 {
		c.handler.Recorder.RecordNotice(NoticePause)
	}
	if n.Limit > 0 {
		c.handler.Recorder.RecordNotice(NoticeLimit)
	}
	if n.Brittle > 0 {
		c.handler.Recorder.RecordNotice(NoticeBrittle)
	}
	if c.handler.Dialect.VerifyOrigin(t.ID, response.Status, response.Header) == nil {
		n.Cold = c.handler.Dialect.ColdRemaining(response.Header)
	}
	n.Unlimited = n.Limit == 0 && err == nil && c.endsLimit(t, response, sentAt)
	if n.Empty() {
		return
	}
	n.Target, n.Born = t.ID, t.Born
	c.handler.Coord.ReportNotice(n)
}

// handleLoad reports what a response states of its target's load, before anything of the
// response is forwarded: how long work takes there changes many times a second.
func (c *call) handleLoad(t *roster.Target, response *relay.Response) {
	load, err := c.handler.Dialect.ParseLoad(t.ID, response.Status, response.Header)
	if err != nil {
		c.handler.Recorder.RecordNotice(NoticeIgnored)
		if c.handler.isNewBadLoad(t.ID) {
			c.handler.Log.Event("warn", "target load ignored", "Request", c.info.ID, "Target", t.ID, "Status", response.Status, "Error", err)
		}
		return
	}
	if load.Slowdown == 0 {
		return
	}
	c.slowdown = load.Slowdown
	load.Target, load.Born = t.ID, t.Born
	c.handler.Recorder.RecordNotice(NoticeLoad)
	c.handler.Coord.ReportLoad(load)
}

// endsLimit reports whether a response that names no limit ends the limit of its target.
// One to a request that was sent before the limit was known may be older than the limit.
func (c *call) endsLimit(t *roster.Target, response *relay.Response, sentAt time.Time) bool {
	limitedAt := c.handler.Coord.View().Restrictions.LimitedAt(t)
	return !limitedAt.IsZero() && sentAt.After(limitedAt) && c.handler.Dialect.VerifyOrigin(t.ID, response.Status, response.Header) == nil
}

// reportUnknownNotices counts the headers by which a target says something about itself
// that this host does not understand, and logs each name once.
func (c *call) reportUnknownNotices(t *roster.Target, response *relay.Response) {
	for _, name := range c.handler.Dialect.UnknownNotices(response.Header) {
		c.handler.Recorder.RecordNotice(NoticeUnknown)
		if c.handler.isNewUnknown(name) {
			c.handler.Log.Event("warn", "unknown target notice", "Header", name, "Value", response.Header.Get(name), "Request", c.info.ID, "Target", t.ID, "Status", response.Status)
		}
	}
}

// orCancelled returns the outcome, or Cancelled if the request's time is over or its
// client has disconnected.
func orCancelled(ctx context.Context, o broker.Outcome) broker.Outcome {
	if ctx.Err() != nil {
		return broker.Cancelled
	}
	return o
}

// forwardBody reads the whole body of a response that is not forwarded as a stream, and
// forwards the response if it is final.
func (c *call) forwardBody(ctx context.Context, response *relay.Response) attemptResult {
	body, err := response.ReadBody()
	if response.NotRun {
		return attemptResult{outcome: broker.Rejected, status: response.Status, err: err}
	}
	ambiguity := error(nil)
	if errors.Is(err, relay.ErrAmbiguous) {
		ambiguity, err = err, nil
	}
	if err == nil && response.Status < http.StatusInternalServerError {
		err = response.ConfirmEnd(ctx)
	}
	r := attemptResult{mayHaveRun: true, status: response.Status, header: response.Header, body: body, err: err}
	switch {
	case err != nil:
		r.outcome = orCancelled(ctx, broker.Broken)
		r.status = 0
	case response.Status < http.StatusMultipleChoices && !response.Verified():
		r.outcome = broker.Broken
		r.status = 0
	case response.Status >= http.StatusInternalServerError || meansNotRun(response.Status):
		r.outcome = broker.Failed
	case c.stream.started:
		// This cannot continue a stream that the client has a part of.
		r.outcome = broker.Failed
	case ambiguity != nil:
		// The target has answered, and another one may answer the same.
		r.outcome, r.ambiguous = broker.Good, true
	default:
		r.outcome = broker.Good
		r.final = true
		c.timeToFirstPart = c.handler.Now().Sub(c.arrived)
		c.writeResponse(response.Status, response.Header, body)
	}
	if ambiguity != nil && err == nil {
		r.status, r.err = 0, ambiguity
	}
	return r
}

// meansNotRun reports whether a status tells the client that its request was not run. A
// target's response with such a status is not forwarded, since the request may have run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeResponse writes a target's whole response to the client.
func (c *call) writeResponse(status int, header http.Header, body []byte) {
	h := c.writer.Header()
	copyHeader(h, header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.status = status
	c.writer.WriteHeader(status)
	if _, err := c.writer.Write(body); err != nil {
		c.cause = CauseClientDisconnected
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true,
	"Te": true, "Upgrade": true, "Proxy-Connection": true, "Content-Length": true,
}

// copyHeader copies a header without its hop-by-hop fields.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}

// forwardStream forwards events as they arrive. The response header is sent with the
// first event, so that the request can still be retried if its target fails before that.
func (c *call) forwardStream(ctx context.Context, response *relay.Response) attemptResult {
	r := attemptResult{outcome: broker.Good, mayHaveRun: true}
	if !response.Verified() {
		r.outcome = broker.Broken
		return r
	}
	control := http.NewResponseController(c.writer)
	var buffer []byte
	for {
		e, err := response.NextEvent(buffer)
		buffer = e.Raw
		if err == io.EOF {
			err = c.endStream(ctx, response)
			r.final = err == nil
		}
		if r.final {
			return r
		}
		if err != nil {
			r.err = err
			r.outcome = orCancelled(ctx, broker.Broken)
			return r
		}
		if c.stream.isDuplicate(e.ID) {
			continue
		}
		if !c.stream.started {
			r.firstEventAt = c.handler.Now()
			c.timeToFirstPart = r.firstEventAt.Sub(c.arrived)
			c.startStream(response)
		}
		c.events++
		now := c.handler.Now()
		if !r.lastEventAt.IsZero() {
			r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
		}
		r.lastEventAt = now
		_, err = c.writer.Write(e.Raw)
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			c.cause = CauseClientDisconnected
			r.outcome, r.final, r.err = broker.Cancelled, true, err
			return r
		}
		if e.ID != "" {
			c.stream.lastEventID = e.ID
		}
	}
}

// endStream ends a stream whose events have been read, unless that may be only a part of them.
func (c *call) endStream(ctx context.Context, response *relay.Response) error {
	if err := response.ConfirmEnd(ctx); err != nil {
		return err
	}
	if !c.stream.started {
		c.startStream(response)
	}
	return nil
}

// startStream sends the response header of a stream.
func (c *call) startStream(response *relay.Response) {
	copyHeader(c.writer.Header(), response.Header)
	c.stream.started, c.stream.version = true, c.targetVersion
	c.status = response.Status
	c.writer.WriteHeader(response.Status)
}

// isDuplicate reports whether the event with this id has been forwarded already. Ids
// increase within a stream.
func (s *streamState) isDuplicate(id string) bool {
	if s.lastEventID == "" || id == "" {
		return false
	}
	last, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if err != nil {
		return id == s.lastEventID
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= last
}
