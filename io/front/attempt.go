package front

import (
	"fmt"
	"net/http"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/once"
	"yuccadoor/core/sched"
	"yuccadoor/io/loop"
	"yuccadoor/io/reach"
)

// Values of Retry-After for refusals decided in this package.
const (
	retryAfterFailure    = 2 * time.Second
	retryAfterKeyRefusal = time.Second
	retryAfterUnknownKey = 0 // a retry with the same key cannot succeed
)

// dispatch submits a request to the loop and sends it to the target that the loop
// chooses. If nothing could be sent, it requeues the request and waits for the next
// decision. key is nil unless the request has an idempotency key and this host is the
// key's home.
func (f *Front) dispatch(w http.ResponseWriter, c *call, key *once.Key) {
	number, decisions, err := f.Loop.Submit(c.request.Context(), &c.model)
	c.id = fmt.Sprintf("%s-%d", f.RequestIDPrefix, number)
	if err != nil {
		f.refuse(w, c, key, &model.Refusal{Ran: model.NotRun, Reason: model.ReasonCancelled, Detail: "the caller went away"})
		return
	}
	for {
		decision := f.awaitDecision(c, number, decisions)
		if decision.Refusal != nil {
			f.refuse(w, c, key, decision.Refusal)
			return
		}
		resp := newResponse(w, c, f.Now)
		report := f.send(c, decision.Start, resp)
		if report.Sent {
			f.Loop.RecordResult(number, report.Result)
			f.finishSent(w, c, key, decision.Start, resp, report)
			return
		}
		decisions = f.Loop.Requeue(number, report.Result.Kind)
	}
}

// awaitDecision waits for the loop's decision. If the caller disconnects, it cancels the
// request and still waits for the decision, because the request may have been
// started already.
func (f *Front) awaitDecision(c *call, number model.RequestID, decisions <-chan loop.Decision) loop.Decision {
	select {
	case decision := <-decisions:
		return decision
	case <-c.request.Context().Done():
	}
	f.Loop.Cancel(number)
	return <-decisions
}

// hopByHopHeaders are not forwarded, because they apply to one connection or are
// handled by this host itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Accept-Encoding",
}

// send sends a request to the target of its permit.
func (f *Front) send(c *call, start *sched.Start, sink reach.Sink) reach.Report {
	header := c.request.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	for _, name := range []string{"Authorization", HeaderIdempotencyKey, HeaderDeadline, headerForwarded} {
		header.Del(name)
	}
	header.Set(reach.HeaderRequest, c.id)
	header.Set(reach.HeaderTier, c.tier)
	header.Set(reach.HeaderFence, fmt.Sprint(uint64(start.Fence)))
	return f.Sender.Send(c.request.Context(), &reach.Call{
		Target: start.Target, Method: c.request.Method, Path: c.path, Header: header, Body: c.body,
		Expires: start.Expires, IdleTimeout: c.service.Silence, ModelEngine: len(c.service.Models) > 0,
	}, sink)
}

// finishSent ends a request that was sent to a target.
func (f *Front) finishSent(w http.ResponseWriter, c *call, key *once.Key, start *sched.Start, resp *response, r reach.Report) {
	if r.Crashed {
		f.Loop.RecordCrash(c.model.Fingerprint, start.Target, f.Now().Sub(r.Ended), r.Ended.Sub(r.Started))
	}
	if r.Complete {
		f.Loop.RecordAnswer(c.model.Fingerprint)
		f.finishComplete(c, key, start, resp, r)
		return
	}
	refusal := &model.Refusal{
		Ran: model.MayHaveRun, Reason: model.ReasonTargetFailed, RetryAfter: retryAfterFailure,
		Detail: fmt.Sprintf("target %s: %v", start.Target, r.Err),
	}
	if r.Result.Kind == limit.Cancelled {
		refusal.Reason, refusal.RetryAfter = model.ReasonCancelled, 0
	}
	f.recordOutcome(c, start, resp, r, refusal)
	if key != nil {
		f.Loop.CompleteKey(*key, once.Entry{Ran: model.MayHaveRun})
	}
	if !resp.headerSent {
		f.writeProblem(w, c, http.StatusBadGateway, refusal)
		return
	}
	resp.abort(c, refusal)
}

// finishComplete ends a request whose response is complete.
func (f *Front) finishComplete(c *call, key *once.Key, start *sched.Start, resp *response, r reach.Report) {
	if key != nil {
		f.Loop.CompleteKey(*key, resp.storedEntry(r.Status))
	}
	f.recordOutcome(c, start, resp, r, nil)
	resp.finish()
}

// refuse ends a request of which nothing was sent to a target.
func (f *Front) refuse(w http.ResponseWriter, c *call, key *once.Key, r *model.Refusal) {
	if key != nil {
		f.Loop.ForgetKey(*key)
	}
	f.recordOutcome(c, nil, nil, reach.Report{}, r)
	f.writeProblem(w, c, refusalStatus(r), r)
}

// recordOutcome records the outcome of a request in the metrics and the log. start
// and resp are nil if nothing was sent.
func (f *Front) recordOutcome(c *call, start *sched.Start, resp *response, r reach.Report, refusal *model.Refusal) {
	now := f.Now()
	o := Outcome{
		Service: c.service.Name, Tier: c.tier, Workspace: c.workspace.Name, Refusal: refusal,
		Total: now.Sub(c.arrived), Pace: r.Result.Pace, Objective: c.service.Objective,
	}
	fields := []any{"Request", c.id, "Service", c.service.Name, "Tier", c.tier, "Workspace", c.workspace.Name, "Total", o.Total}
	if start != nil {
		if !resp.firstByteAt.IsZero() {
			o.FirstByte = resp.firstByteAt.Sub(c.arrived)
		}
		if t, ok := c.view.Target(start.Target); ok {
			o.Zone = t.Zone
		}
		fields = append(fields, "Target", start.Target, "Status", r.Status)
	}
	if refusal != nil {
		fields = append(fields, "Ran", refusal.Ran, "Reason", refusal.Reason, "Detail", refusal.Detail)
	}
	f.Recorder.Record(o)
	f.Log.Event("info", "request ended", fields...)
}
