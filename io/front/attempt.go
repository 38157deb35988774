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

// Retry times given with refusals decided here.
const (
	retryBroken  = 2 * time.Second
	retryKey     = time.Second
	retryUnknown = 0 // coming back with the same key is no use
)

// attempt carries a request through the loop to a target. key is nil unless the
// request is keyed and this host is the key's home.
func (f *Front) attempt(w http.ResponseWriter, c *call, key *once.Key) {
	number, verdicts, err := f.Loop.Submit(c.request.Context(), &c.model)
	c.id = fmt.Sprintf("%s-%d", f.Prefix, number)
	if err != nil {
		f.refuse(w, c, key, &model.Refusal{Ran: model.NotRun, Reason: model.ReasonCancelled, Detail: "the caller went away"})
		return
	}
	for {
		v := f.await(c, number, verdicts)
		if v.Refusal != nil {
			f.refuse(w, c, key, v.Refusal)
			return
		}
		answer := newAnswer(w, c, f.Now)
		report := f.send(c, v.Start, answer)
		if report.Sent {
			f.Loop.RecordResult(number, report.Result)
			f.conclude(w, c, key, v.Start, answer, report)
			return
		}
		verdicts = f.Loop.Requeue(number, report.Result.Kind)
	}
}

// await waits for a verdict. The caller's going away only asks for one.
func (f *Front) await(c *call, number model.RequestID, verdicts <-chan loop.Decision) loop.Decision {
	select {
	case v := <-verdicts:
		return v
	case <-c.request.Context().Done():
	}
	f.Loop.Cancel(number)
	return <-verdicts
}

// hopHeaders belong to one connection, or to this system alone.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Accept-Encoding",
}

func (f *Front) send(c *call, start *sched.Start, sink reach.Sink) reach.Report {
	header := c.request.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	for _, name := range []string{"Authorization", HeaderIdempotencyKey, HeaderDeadline, headerForward} {
		header.Del(name)
	}
	header.Set(reach.HeaderRequest, c.id)
	header.Set(reach.HeaderTier, c.tier)
	header.Set(reach.HeaderFence, fmt.Sprint(uint64(start.Fence)))
	return f.Sender.Send(c.request.Context(), &reach.Call{
		Target: start.Target, Method: c.request.Method, Path: c.path, Header: header, Body: c.body,
		Expires: start.Expires, Silence: c.service.Silence, Engine: len(c.service.Models) > 0,
	}, sink)
}

// conclude ends a request that was sent.
func (f *Front) conclude(w http.ResponseWriter, c *call, key *once.Key, start *sched.Start, a *answer, r reach.Report) {
	if r.Crashed {
		f.Loop.RecordCrash(c.model.Fingerprint, start.Target, f.Now().Sub(r.Ended), r.Ended.Sub(r.Begun))
	}
	if r.Complete {
		f.Loop.RecordAnswer(c.model.Fingerprint)
		f.complete(c, key, start, a, r)
		return
	}
	refusal := &model.Refusal{
		Ran: model.MayHaveRun, Reason: model.ReasonTargetFailed, RetryAfter: retryBroken,
		Detail: fmt.Sprintf("target %s: %v", start.Target, r.Err),
	}
	if r.Result.Kind == limit.Cancelled {
		refusal.Reason, refusal.RetryAfter = model.ReasonCancelled, 0
	}
	f.record(c, start, a, r, refusal)
	if key != nil {
		f.Loop.CompleteKey(*key, once.Entry{Ran: model.MayHaveRun})
	}
	if !a.begun {
		f.problem(w, c, http.StatusBadGateway, refusal)
		return
	}
	a.abort(c, refusal)
}

func (f *Front) complete(c *call, key *once.Key, start *sched.Start, a *answer, r reach.Report) {
	if key != nil {
		f.Loop.CompleteKey(*key, a.entry(r.Status))
	}
	f.record(c, start, a, r, nil)
	a.finish()
}

// refuse ends a request of which nothing was sent.
func (f *Front) refuse(w http.ResponseWriter, c *call, key *once.Key, r *model.Refusal) {
	if key != nil {
		f.Loop.ForgetKey(*key)
	}
	f.record(c, nil, nil, reach.Report{}, r)
	f.problem(w, c, statusOf(r), r)
}

// record counts and logs how a request ended. start and a are nil when nothing
// was sent.
func (f *Front) record(c *call, start *sched.Start, a *answer, r reach.Report, refusal *model.Refusal) {
	now := f.Now()
	o := Outcome{
		Service: c.service.Name, Tier: c.tier, Workspace: c.workspace.Name, Refusal: refusal,
		Total: now.Sub(c.arrived), Pace: r.Result.Pace, Objective: c.service.Objective,
	}
	fields := []any{"Request", c.id, "Service", c.service.Name, "Tier", c.tier, "Workspace", c.workspace.Name, "Total", o.Total}
	if start != nil {
		if !a.firstAt.IsZero() {
			o.FirstByte = a.firstAt.Sub(c.arrived)
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
