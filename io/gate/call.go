package gate

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccadoor/core/broker"
	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/body"
	"yuccadoor/io/coord"
)

// call is the state of one client request.
type call struct {
	handler       *Handler
	writer        http.ResponseWriter
	request       *http.Request
	info          RequestInfo
	view          *coord.View
	route         *routes.Route
	service       string
	workspace     *routes.Workspace
	body          []byte
	held          *body.Body // holds body until the request has ended; nil before it is read
	content       model.Fingerprint
	arrived       time.Time
	deadline      time.Time     // latest end of the response
	startDeadline time.Time     // latest start of the response
	eventWait     time.Duration // how long clients wait for the next event of a stream

	sends           int         // attempts of which a byte may have reached the target
	runs            int         // attempts that ran, or may have run
	excludedTargets []string    // that must not be used again
	charged         bool        // the workspace's allowance has been charged
	chargedBefore   bool        // value of charged before the last grant, restored if the target did not run the request
	stream          streamState // how much of a stream the client has
	events          int
	timeToFirstPart time.Duration // from arrival to the first event, or to the whole response
	maxGap          time.Duration // longest time between two events of one run
	status          int
	cause           string
	targetID        string
	targetZone      string
	through         netip.AddrPort // host through which the last target was reached; invalid if directly
	targetVersion   string
	slowdown        float64           // as the last target stated it; 0 if it did not
	queueTime       time.Duration     // spent waiting for grants
	expectedWait    time.Duration     // as of the coordinator's refusal
	retryAfter      time.Duration     // as of the coordinator's refusal
	suspects        model.PromptParts // that the request is refused for
	crashes         []member.CrashID  // that accuse the suspects
}

// admit finds the request's route and workspace and reads its body. It returns false if
// it has refused the request.
func (c *call) admit() bool {
	c.waitForConfig()
	config := c.view.Config
	if config == nil {
		c.refuseUnread(http.StatusServiceUnavailable, "NoConfiguration", noConfigRetryAfter)
		return false
	}
	c.route = config.Match(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		c.refuseUnread(http.StatusNotFound, "NoRoute", 0)
		return false
	}
	if config.NeedsKey(c.route) {
		if c.workspace = config.WorkspaceForKey(c.info.Key); c.workspace == nil {
			c.refuseUnread(http.StatusUnauthorized, "KeyUnknown", 0)
			return false
		}
	}
	if c.info.ID == "" {
		c.refuseUnread(http.StatusBadRequest, "NoRequestID", 0)
		return false
	}
	c.service = c.route.ServiceFor(xxhash.Sum64String(c.info.ID))
	c.setDeadlines()
	return c.readBody(config.Limits.BodyBytes)
}

// waitForConfig waits if there is no configuration yet: a host that starts has its first
// one within some tens of milliseconds.
func (c *call) waitForConfig() {
	if c.view.Config != nil {
		return
	}
	select {
	case <-c.handler.Coord.Initialized():
		c.view = c.handler.Coord.View()
	case <-time.After(configWait):
	case <-c.request.Context().Done():
	}
}

// setDeadlines sets the deadlines of the response's end and start.
func (c *call) setDeadlines() {
	c.deadline = c.arrived.Add(c.route.Timeout)
	if c.info.Timeout > 0 {
		c.deadline = earliest(c.deadline, c.arrived.Add(c.info.Timeout))
	}
	c.startDeadline = c.deadline
	if c.route.Kind == routes.Stream {
		c.eventWait = max(minFirstEventWait, firstEventObjectives*c.route.Objective, firstEventPauses*c.route.Pause)
		c.startDeadline = earliest(c.deadline, c.arrived.Add(c.eventWait-responseMargin))
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readBody reads the body. It returns false if it has refused the request.
func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	limits := body.Limits{Bytes: limit, Deadline: c.deadline}
	if c.workspace != nil {
		limits.Workspace = c.workspace.Name
	}
	held, err := c.handler.Bodies.Read(c.writer, c.request, limits)
	if err != nil {
		c.refuseBody(err)
		return false
	}
	c.held, c.body = held, held.Bytes
	c.content = c.fingerprint()
	return true
}

// fingerprint identifies the content of the request, whichever client sends it: a hash of
// path, workspace and body.
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

// serve sends the request to targets until it is answered, refused or may not be retried.
func (c *call) serve(ctx context.Context) {
	c.handler.countRequest(c.service, c.view.KnownHosts)
	for {
		id, target, ok := c.acquireTarget(ctx)
		if !ok {
			return
		}
		result := c.attempt(ctx, target)
		c.handler.Coord.ReportCompletion(broker.Completion{
			ID: id, Target: target.ID, Outcome: result.outcome,
			Took: result.duration, TimeToFirstPart: result.timeToFirstPart, OutputTokens: c.events, ColdLeft: result.coldRemaining, MaxEventGap: result.maxGap,
			Inconclusive: result.inconclusive, Allowed: result.timeForStart,
		})
		if result.outcome.NotRun() {
			c.charged = c.chargedBefore
		}
		// The leader must know that the run has ended before it is reported as broken.
		c.reportBrokenRun(target, &result)
		if result.final {
			return
		}
		if result.outcome != broker.NoConnect {
			// The leader itself avoids a target that accepts no connections for a while.
			c.excludedTargets = append(c.excludedTargets, target.ID)
		}
		if !c.mayRetry(ctx, result) {
			c.handleFailure(ctx, result)
			return
		}
	}
}

// acquireTarget asks the coordinator for a target. It returns false if the request has
// ended instead: refused, past its deadline, or without its client.
func (c *call) acquireTarget(ctx context.Context) (uint64, *roster.Target, bool) {
	for tries := 0; ; tries++ {
		submittedAt, charged := c.handler.Now(), c.charged
		id, decisions := c.handler.Coord.Submit(c.brokerRequest(submittedAt))
		var decision coord.Decision
		select {
		case decision = <-decisions:
		case <-ctx.Done():
			c.handler.Coord.Cancel(id)
			c.queueTime += c.handler.Now().Sub(submittedAt)
			c.handleExpiry(ctx)
			return 0, nil, false
		}
		c.queueTime += c.handler.Now().Sub(submittedAt)
		if decision.Refusal != nil {
			c.handleRefusal(decision.Refusal)
			return 0, nil, false
		}
		c.charged = true
		c.chargedBefore = charged
		if t, ok := c.handler.Coord.View().MaySend(c.handler.Now(), decision.Target); ok {
			return id, t, true
		}
		// This host has newer information about the target than the leader.
		c.handler.Coord.ReportCompletion(broker.Completion{ID: id, Target: decision.Target, Outcome: broker.Unused})
		c.charged = charged
		c.excludedTargets = append(c.excludedTargets, decision.Target)
	}
}

// brokerRequest returns the request for a target that is submitted to the coordinator.
func (c *call) brokerRequest(now time.Time) broker.Request {
	r := broker.Request{
		Service: c.service, Tier: routes.TierOf(c.route, c.workspace), Class: c.route.Tier, Zone: c.handler.Zone,
		StartWithin: c.arrived.Add(c.route.Objective).Sub(now), ExpiresIn: c.startDeadline.Sub(now),
		PromptTokens: c.info.PromptTokens, OutputTokens: c.info.MaxOutputTokens, ExcludedTargets: c.excludedTargets, Resubmitted: c.charged,
		Content: c.content, SharedParts: c.info.SharedParts, MaxEventGap: c.route.Pause, CallerWait: c.deadline.Sub(now),
		Repeatable: c.timeLimit() > 0,
	}
	if c.info.ExpectedOutputTokens > 0 {
		r.OutputTokens = min(c.info.ExpectedOutputTokens, c.info.MaxOutputTokens)
	}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
		r.QuotaTokens = c.allowanceCost(c.workspace.Allowance)
	}
	if r.Stream = c.streamKey(); r.Stream != 0 {
		r.Resumed, r.LastPart = c.info.LastEventID != "", c.info.LastPart
		r.Pinned, r.Version = c.stream.started, c.stream.version
	}
	if c.stream.started {
		// The client has a part of the stream and waits for its next event.
		r.ExpiresIn = c.deadline.Sub(now)
	}
	return r
}

// streamKey returns the key of a resumable stream, the same for all requests by which its client
// takes it up; 0 if the response is no such stream.
func (c *call) streamKey() uint64 {
	if c.route == nil || c.route.Kind != routes.Stream || !c.route.Resumable {
		return 0
	}
	return xxhash.Sum64String(cmp.Or(c.info.Resumes, c.info.ID))
}

// allowanceCost returns what the request takes from its workspace's allowance, in tokens or
// requests.
func (c *call) allowanceCost(a routes.Allowance) float64 {
	switch {
	case !a.InTokens:
		return 1
	case c.info.HasTokenCounts:
		return float64(c.info.PromptTokens + c.info.MaxOutputTokens)
	}
	return a.PlainCount
}

// mayRetry reports whether the request may be sent to another target.
func (c *call) mayRetry(ctx context.Context, r attemptResult) bool {
	if ctx.Err() != nil || c.sends >= maxSends || r.ambiguous {
		return false
	}
	if r.outcome == broker.NoConnect || r.outcome == broker.Unused || r.connectCut {
		return true // no byte has reached a target
	}
	if r.mayHaveRun && (!c.route.Idempotent() || c.runs >= c.route.MaxAttempts) {
		return false
	}
	return r.retryTaken || c.handler.takeRetry(c.service)
}

// record counts and logs how the request ended.
func (c *call) record() {
	total := c.handler.Now().Sub(c.arrived)
	o := Outcome{
		Route: c.route, Service: c.service, Status: c.status, Cause: c.cause,
		TimeToFirstPart: c.timeToFirstPart, Total: total, Sends: c.sends, Zone: c.targetZone,
	}
	route, tier, class, objective := "", model.Tier(0), model.Tier(0), time.Duration(0)
	if c.route != nil {
		route, class, objective = c.route.Name, c.route.Tier, c.route.Objective
		tier = routes.TierOf(c.route, c.workspace)
	}
	if c.workspace != nil {
		o.Workspace = c.workspace.Name
	}
	if c.handler.Recorder != nil {
		c.handler.Recorder.RecordOutcome(o)
	}
	through := ""
	if c.through.IsValid() {
		through = c.through.String()
	}
	version := uint64(0)
	if c.view.Config != nil {
		version = c.view.Config.Version
	}
	c.handler.Log.Event("info", "request ended", "Request", c.info.ID, "Content", c.content, "Parts", c.info.SharedParts, "Suspects", c.suspects, "Crashes", c.crashes, "Route", route, "Service", c.service,
		"Workspace", o.Workspace, "Tier", tier, "Class", class, "Status", c.status, "Cause", c.cause, "Target", c.targetID, "TargetVersion", c.targetVersion, "Slowdown", c.slowdown, "Through", through, "Resumes", c.info.Resumes, "Stream", coord.StreamName(c.streamKey()), "AfterEvent", c.info.LastEventID,
		"Sends", c.sends, "Ran", c.runs, "Waited", c.queueTime, "Turn", c.expectedWait, "After", c.retryAfter,
		"Prompt", c.info.PromptTokens, "Output", c.info.MaxOutputTokens, "Events", c.events, "Aim", objective, "First", c.timeToFirstPart, "Pause", c.maxGap, "Total", total,
		"Version", version, "Revision", c.view.Roster.Revision, "Avoided", strings.Join(c.excludedTargets, ","))
}
