package front

import (
	"net/http"

	"yuccadoor/core/model"
	"yuccadoor/core/once"
	"yuccadoor/io/loop"
	"yuccadoor/io/reach"
)

// serveIssueKey handles POST /keys: it issues an idempotency key whose home is this
// host.
func (f *Front) serveIssueKey(w http.ResponseWriter, r *http.Request) {
	c, ok := f.readRequest(w, r)
	if !ok {
		return
	}
	defer c.held.Close()
	k, err := f.Loop.IssueKey(r.Context())
	if err != nil {
		f.writeProblem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonStopping, Detail: err.Error(), RetryAfter: retryAfterKeyRefusal,
		})
		return
	}
	writeJSON(w, http.StatusOK, "application/json", issuedKey{Key: k.Text, Expires: k.Created.Add(once.Retention)})
}

// dispatchKeyed handles a request with an idempotency key, which must not run twice.
func (f *Front) dispatchKeyed(w http.ResponseWriter, c *call, text string) {
	k, err := once.Parse(text)
	if err != nil {
		f.writeProblem(w, c, http.StatusBadRequest, invalidRequest("header %s: %v", HeaderIdempotencyKey, err))
		return
	}
	// The workspace becomes part of the key, so that equal keys of different
	// workspaces do not collide.
	k.Text += " " + c.workspace.Name
	d, err := f.Loop.BeginKey(c.request.Context(), k, c.model.Fingerprint)
	if err != nil {
		f.writeProblem(w, c, http.StatusServiceUnavailable, &model.Refusal{
			Ran: model.NotRun, Reason: model.ReasonStopping, Detail: err.Error(), RetryAfter: retryAfterKeyRefusal,
		})
		return
	}
	switch d.Verdict {
	case once.Run:
		f.dispatch(w, c, &k)
	case once.Forward:
		f.forward(w, c, d)
	case once.Repeat:
		f.replay(w, c, d.Entry)
	default:
		r := keyRefusal(d.Verdict)
		f.recordOutcome(c, nil, nil, reach.Report{}, r)
		f.writeProblem(w, c, refusalStatus(r), r)
	}
}

// keyRefusal returns the refusal for a verdict under which the request does not run.
// Ran refers to the key: whether an earlier request with it may have run.
func keyRefusal(v once.Verdict) *model.Refusal {
	switch v {
	case once.Unknown:
		return &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUnknown, RetryAfter: retryAfterUnknownKey,
			Detail: "an earlier host may have run a request under this key; nothing was run now",
		}
	case once.Expired:
		return &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUnknown,
			Detail: "the key is older than keys are remembered; nothing was run now",
		}
	case once.Early:
		return invalidRequest("the key's time is in the future")
	case once.Busy:
		return &model.Refusal{Ran: model.NotRun, Reason: model.ReasonShed, Detail: "too many keys are remembered", RetryAfter: retryAfterKeyRefusal}
	}
	return &model.Refusal{
		Ran: model.MayHaveRun, Reason: model.ReasonHomeUnreachable, RetryAfter: retryAfterKeyRefusal,
		Detail: "this host's list of hosts is too old to act for this key; nothing was run now",
	}
}

// replay responds to a request whose key was used before, with the stored response
// if there is one.
func (f *Front) replay(w http.ResponseWriter, c *call, e once.Entry) {
	switch {
	case e.Digest != c.model.Fingerprint:
		f.writeProblem(w, c, http.StatusUnprocessableEntity, invalidRequest("the key was used for another request"))
	case !e.Done:
		f.writeProblem(w, c, http.StatusConflict, &model.Refusal{
			Ran: model.MayHaveRun, Reason: model.ReasonKeyUsed, RetryAfter: retryAfterKeyRefusal,
			Detail: "the first request under this key is still under way",
		})
	case e.Ran == model.MayHaveRun || e.Body == nil:
		f.writeProblem(w, c, http.StatusConflict, &model.Refusal{
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

// forward forwards a request to the home host of its key, the only host that may run
// it.
func (f *Front) forward(w http.ResponseWriter, c *call, d loop.KeyDecision) {
	unreachable := &model.Refusal{
		Ran: model.MayHaveRun, Reason: model.ReasonHomeUnreachable, RetryAfter: retryAfterFailure,
		Detail: "the key's home host cannot be reached; this request was not run here",
	}
	home, listed := c.view.List.HostByPeer(d.Home)
	if !listed || c.request.Header.Get(headerForwarded) != "" {
		f.writeProblem(w, c, http.StatusServiceUnavailable, unreachable)
		return
	}
	header := c.request.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Set(headerForwarded, f.Self.String())
	resp := newResponse(w, c, f.Now)
	r := f.Sender.Send(c.request.Context(), &reach.Call{
		Target: home.Front, Method: c.request.Method, Path: c.request.URL.RequestURI(), Header: header, Body: c.body,
		Expires: f.Now().Add(c.service.Deadline), IdleTimeout: c.service.Deadline + c.service.Silence,
	}, resp)
	switch {
	case r.Complete:
		resp.finish()
	case resp.headerSent:
		resp.abort(c, unreachable)
	default:
		f.writeProblem(w, c, http.StatusServiceUnavailable, unreachable)
	}
}
