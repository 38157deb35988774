package gate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"yuccadoor/core/broker"
	"yuccadoor/core/model"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/coord"
)

// call is one request on its way.
type call struct {
	gate      *Handler
	writer    http.ResponseWriter
	request   *http.Request
	caller    RequestInfo
	view      *coord.View
	route     *routes.Route
	service   string
	workspace *routes.Workspace
	body      []byte
	content   model.Fingerprint
	arrived   time.Time
	end       time.Time // latest end of the answer
	startBy   time.Time // latest start of the answer

	sends         int      // to targets
	ran           int      // of them that ran, or may have run
	avoid         []string // targets not to be used again
	charged       bool     // its workspace's allowance has been used
	chargedBefore bool     // the same before the last grant, which may have been given back
	relayed       stream   // what the caller has of a stream
	tokens        int
	first         time.Duration
	pause         time.Duration // the longest between two events of one run
	status        int
	cause         string
	target        string
	zone          string        // of target
	waited        time.Duration // for grants
	turn          time.Duration // as predicted when it was refused
	after         time.Duration // when the caller was asked to come back
}

// admit finds the request's route and workspace and reads its body. False means
// that it has been answered.
func (c *call) admit() bool {
	c.awaitConfig()
	config := c.view.Config
	if config == nil {
		c.refuse(http.StatusServiceUnavailable, "NoConfiguration", noConfigRetry)
		return false
	}
	c.route = config.Match(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, "NoRoute", 0)
		return false
	}
	if config.NeedsKey(c.route) {
		if c.workspace = config.HolderOf(c.caller.Key); c.workspace == nil {
			c.refuse(http.StatusUnauthorized, "KeyUnknown", 0)
			return false
		}
	}
	if c.caller.ID == "" {
		c.refuse(http.StatusBadRequest, "NoRequestID", 0)
		return false
	}
	c.service = c.route.ServiceFor(xxhash.Sum64String(c.caller.ID))
	c.times()
	return c.readBody(config.Limits.BodyBytes)
}

// awaitConfig holds a request that came before the first configuration: a host
// that starts has it within some tens of milliseconds.
func (c *call) awaitConfig() {
	if c.view.Config != nil {
		return
	}
	select {
	case <-c.gate.Coord.Known():
		c.view = c.gate.Coord.View()
	case <-time.After(configWait):
	case <-c.request.Context().Done():
	}
}

func (c *call) times() {
	c.end = c.arrived.Add(c.route.Timeout)
	if c.caller.Timeout > 0 {
		c.end = earliest(c.end, c.arrived.Add(c.caller.Timeout))
	}
	c.startBy = c.end
	if c.route.Kind == routes.Stream {
		patience := max(streamLeast, streamObjectives*c.route.Objective, streamPauses*c.route.Pause)
		c.startBy = earliest(c.end, c.arrived.Add(patience-answerMargin))
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "BodyTooLarge", 0)
		return false
	case err != nil:
		c.writer.Header().Set("Connection", "close")
		c.refuse(http.StatusBadRequest, "BodyUnreadable", 0)
		return false
	}
	c.body = body
	c.content = c.fingerprint()
	return true
}

// fingerprint identifies the request whoever sends it again: by path, workspace
// and body.
func (c *call) fingerprint() model.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(c.request.RequestURI)
	if c.workspace != nil {
		_, _ = d.WriteString("\n" + c.workspace.Name)
	}
	_, _ = d.WriteString("\n")
	_, _ = d.Write(c.body)
	return model.Fingerprint(d.Sum64())
}

// serve sends the request until it is answered, refused or out of tries.
func (c *call) serve(ctx context.Context) {
	c.gate.countRequest(c.service, c.view.Hosts)
	for {
		grant, target, ok := c.await(ctx)
		if !ok {
			return
		}
		result := c.attempt(ctx, target)
		c.gate.Coord.Done(broker.Done{
			ID: grant, Target: target.ID, Outcome: result.outcome,
			Took: result.took, First: result.first, Tokens: c.tokens, ColdLeft: result.coldLeft, Pause: result.pause,
		})
		if result.outcome.NotRun() {
			c.charged = c.chargedBefore
		}
		// Only once the leader knows that the run has ended.
		c.examine(target, &result)
		if result.answered {
			return
		}
		if result.outcome != broker.NoConnect {
			// One that takes no connections is left alone by the leader for a while.
			c.avoid = append(c.avoid, target.ID)
		}
		if !c.mayRepeat(ctx, result) {
			c.fail(ctx, result)
			return
		}
	}
}

// await asks for a target. False means that the request has been answered or
// its caller has left.
func (c *call) await(ctx context.Context) (uint64, *roster.Target, bool) {
	for tries := 0; ; tries++ {
		asked, charged := c.gate.Now(), c.charged
		id, verdicts := c.gate.Coord.Submit(c.ask(asked))
		var v coord.Verdict
		select {
		case v = <-verdicts:
		case <-ctx.Done():
			c.gate.Coord.Cancel(id)
			c.waited += c.gate.Now().Sub(asked)
			c.expired(ctx)
			return 0, nil, false
		}
		c.waited += c.gate.Now().Sub(asked)
		if v.Refusal != nil {
			c.refused(v.Refusal)
			return 0, nil, false
		}
		c.charged = true
		c.chargedBefore = charged
		if t, ok := c.gate.Coord.View().MaySend(c.gate.Now(), v.Target); ok {
			return id, t, true
		}
		// The leader knew less of the target than this host.
		c.gate.Coord.Done(broker.Done{ID: id, Target: v.Target, Outcome: broker.Unused})
		c.charged = charged
		c.avoid = append(c.avoid, v.Target)
	}
}

func (c *call) ask(now time.Time) broker.Ask {
	a := broker.Ask{
		Service: c.service, Tier: routes.TierOf(c.route, c.workspace), Class: c.route.Tier, Zone: c.gate.Zone,
		Aim: c.arrived.Add(c.route.Objective).Sub(now), Left: c.startBy.Sub(now),
		Prompt: c.caller.PromptTokens, Output: c.caller.MaxOutputTokens, Avoid: c.avoid, Again: c.charged,
		Content: c.content, Pause: c.route.Pause,
	}
	if c.caller.ExpectedOutputTokens > 0 {
		a.Output = min(c.caller.ExpectedOutputTokens, c.caller.MaxOutputTokens)
	}
	if c.workspace != nil {
		a.Workspace = c.workspace.Name
		a.Tokens = c.allowanceUse(c.workspace.Allowance)
	}
	if c.relayed.begun {
		// A stream that goes on: its caller waits for the next event.
		a.Left = c.end.Sub(now)
	}
	return a
}

func (c *call) allowanceUse(a routes.Allowance) float64 {
	switch {
	case !a.InTokens:
		return 1
	case c.caller.HasTokenCounts:
		return float64(c.caller.PromptTokens + c.caller.MaxOutputTokens)
	}
	return a.PlainCount
}

// mayRepeat reports whether the request may be sent to another target.
func (c *call) mayRepeat(ctx context.Context, r result) bool {
	if ctx.Err() != nil || c.sends >= maxSends {
		return false
	}
	if r.outcome == broker.NoConnect || r.outcome == broker.Unused {
		return true // nothing arrived anywhere
	}
	if r.mayHaveRun && (!c.route.Idempotent() || c.ran >= c.route.MaxAttempts) {
		return false
	}
	return c.gate.repeat(c.service)
}

func (c *call) record() {
	total := c.gate.Now().Sub(c.arrived)
	o := Outcome{
		Route: c.route, Service: c.service, Status: c.status, Cause: c.cause,
		First: c.first, Total: total, Sends: c.sends, Zone: c.zone,
	}
	route, tier, class, aim := "", model.Tier(0), model.Tier(0), time.Duration(0)
	if c.route != nil {
		route, class, aim = c.route.Name, c.route.Tier, c.route.Objective
		tier = routes.TierOf(c.route, c.workspace)
	}
	if c.workspace != nil {
		o.Workspace = c.workspace.Name
	}
	if c.gate.Recorder != nil {
		c.gate.Recorder.RecordOutcome(o)
	}
	version := uint64(0)
	if c.view.Config != nil {
		version = c.view.Config.Version
	}
	c.gate.Log.Event("info", "request ended", "Request", c.caller.ID, "Content", c.content, "Route", route, "Service", c.service,
		"Workspace", o.Workspace, "Tier", tier, "Class", class, "Status", c.status, "Cause", c.cause, "Target", c.target,
		"Sends", c.sends, "Ran", c.ran, "Waited", c.waited, "Turn", c.turn, "After", c.after,
		"Prompt", c.caller.PromptTokens, "Output", c.caller.MaxOutputTokens, "Events", c.tokens, "Aim", aim, "First", c.first, "Pause", c.pause, "Total", total,
		"Version", version, "Revision", c.view.Roster.Revision, "Avoided", strings.Join(c.avoid, ","))
}
