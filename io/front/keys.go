package front

import (
	"net/http"

	"yuccadoor/core/model"
	"yuccadoor/core/once"
	"yuccadoor/io/loop"
	"yuccadoor/io/reach"
)

// issue answers POST /keys with a key of which this host is the home.
func (f *Front) issue(w http.ResponseWriter, r *http.Request) {
	c, ok := f.open(w, r)
	if !ok {
		return
	}
	k, err := f.Loop.IssueKey(r.Context())
	if err != nil {
		f.problem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonStopping, Detail: err.Error(), RetryAfter: retryKey,
		})
		return
	}
	writeJSON(w, http.StatusOK, "application/json", issuedKey{Key: k.Text, Expires: k.Created.Add(once.Retention)})
}

// keyed carries out a request that must not run twice.
func (f *Front) keyed(w http.ResponseWriter, c *call, text string) {
	k, err := once.Parse(text)
	if err != nil {
		f.problem(w, c, http.StatusBadRequest, invalid("header %s: %v", HeaderIdempotencyKey, err))
		return
	}
	// Keys of different workspaces never meet.
	k.Text += " " + c.workspace.Name
	d, err := f.Loop.BeginKey(c.request.Context(), k, c.model.Fingerprint)
	if err != nil {
		f.problem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonStopping, Detail: err.Error(), RetryAfter: retryKey,
		})
		return
	}
	switch d.Verdict {
	case once.Run:
		f.attempt(w, c, &k)
	case once.Forward:
		f.forward(w, c, d)
	case once.Repeat:
		f.repeat(w, c, d.Entry)
	default:
		r := keyRefusal(d.Verdict)
		f.record(c, nil, nil, reach.Report{}, r)
		f.problem(w, c, statusOf(r), r)
	}
}

// keyRefusal words the verdicts under which a key's request does not run now.
// Ran speaks of the key: whether any earlier request under it may have run.
func keyRefusal(v once.Verdict) *model.Refusal {
	switch v {
	case once.Unknown:
		return &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUnknown, RetryAfter: retryUnknown,
			Detail: "an earlier host may have run a request under this key; nothing was run now",
		}
	case once.Expired:
		return &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUnknown,
			Detail: "the key is older than keys are remembered; nothing was run now",
		}
	case once.Early:
		return invalid("the key's time is in the future")
	case once.Busy:
		return &model.Refusal{Ran: model.NotRun, Reason: model.ReasonShed, Detail: "too many keys are remembered", RetryAfter: retryKey}
	}
	return &model.Refusal{
		Ran: model.MayHaveRun, Reason: model.ReasonHomeUnreachable, RetryAfter: retryKey,
		Detail: "this host's list of hosts is too old to act for this key; nothing was run now",
	}
}

// repeat answers a key seen before.
func (f *Front) repeat(w http.ResponseWriter, c *call, e once.Entry) {
	switch {
	case e.Digest != c.model.Fingerprint:
		f.problem(w, c, http.StatusUnprocessableEntity, invalid("the key was used for another request"))
	case !e.Done:
		f.problem(w, c, http.StatusConflict, &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUsed, RetryAfter: retryKey,
			Detail: "the first request under this key is still under way",
		})
	case e.Ran == model.MayHaveRun || e.Body == nil:
		f.problem(w, c, http.StatusConflict, &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUsed,
			Detail: "the first request under this key was sent; its answer is not kept",
		})
	default:
		h := w.Header()
		h.Set("Content-Type", e.Type)
		h.Set(HeaderIdempotentReplay, "true")
		h.Set(HeaderOutcome, outcomeComplete)
		w.WriteHeader(e.Status)
		_, _ = w.Write(e.Body)
	}
}

// forward passes a keyed request to the key's home, which alone may run it.
func (f *Front) forward(w http.ResponseWriter, c *call, d loop.KeyDecision) {
	unreachable := &model.Refusal{
		Ran: model.MayHaveRun, Reason: model.ReasonHomeUnreachable, RetryAfter: retryBroken,
		Detail: "the key's home host cannot be reached; this request was not run here",
	}
	home, listed := c.view.List.HostByPeer(d.Home)
	if !listed || c.request.Header.Get(headerForward) != "" {
		f.problem(w, c, http.StatusServiceUnavailable, unreachable)
		return
	}
	header := c.request.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Set(headerForward, f.Self.String())
	a := newAnswer(w, c, f.Now)
	r := f.Sender.Send(c.request.Context(), &reach.Call{
		Target: home.Front, Method: c.request.Method, Path: c.request.URL.RequestURI(), Header: header, Body: c.body,
		Expires: f.Now().Add(c.service.Deadline), Silence: c.service.Deadline + c.service.Silence,
	}, a)
	switch {
	case r.Complete:
		a.finish()
	case a.begun:
		a.abort(c, unreachable)
	default:
		f.problem(w, c, http.StatusServiceUnavailable, unreachable)
	}
}
