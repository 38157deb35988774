// Package broker assigns waiting requests to targets. One host at a time, the
// leader, runs the broker for all hosts: requests wait in one priority order, so
// that urgent work goes first whichever host received it, and no target is given
// more requests than it runs at once. The package does no I/O; one goroutine owns
// a Broker.
package broker

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/admit"
	"yuccadoor/core/crash"
	"yuccadoor/core/cuts"
	"yuccadoor/core/model"
	"yuccadoor/core/notice"
	"yuccadoor/core/origin"
	"yuccadoor/core/parts"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/core/warmup"
)

// requestKey identifies a request across all hosts.
type requestKey struct {
	host netip.AddrPort
	id   uint64
}

// queuedRequest is a request in the queue of its service.
type queuedRequest struct {
	requestKey
	versionState
	admission
	request      Request
	queuedAt     time.Time
	startBy      time.Time // latest start of the answer that is in time
	expiresAt    time.Time // when the request is given up
	endBy        time.Time // when the caller's time is over; zero if not known
	cost         float64   // in output tokens
	valuePerCost float64
	rank         float64 // as of when it was last looked at; valid if ranked
	ranked       bool
	cancelled    bool // dropped when the queue is next looked through
}

// run is a granted request that has not ended.
type run struct {
	target string
	queued *queuedRequest // nil for a run reported by Sync
	parts  model.PromptParts
	// backlog is the estimated time that the target first needs to read other
	// prompts.
	backlog   time.Duration
	grantedAt time.Time // zero for a run reported by Sync
}

// Broker holds the queues, the running requests and the target statistics of one
// leader.
type Broker struct {
	roster *roster.Snapshot
	config *routes.Config
	queues map[string][]*queuedRequest // by service, in order of arrival
	// waiting holds the requests in the queues that are not cancelled.
	waiting map[requestKey]*queuedRequest
	runs    map[requestKey]*run
	// runsByPart is the number of runs with a shared part of the prompt.
	runsByPart map[model.PromptPart]int
	targets    map[string]*target
	// latencies holds the learnt answer latency of each service.
	latencies      map[string]*latencyEstimate
	meanSizes      map[sizeKey]float64 // mean size of requests, in prompt tokens
	quota          *quota.Buckets
	reachableShare float64 // of the fleet that this host reaches, 0 to 1
	aliveHosts     int     // with this one; 0 if not known
	unreached      unreached
	cuts           *cuts.Detector
	cutEvents      []CutEvent
	lag            time.Duration  // moving average; see SetLag
	crashes        *crash.Records // of whole requests
	parts          *parts.Records // crashes by parts of prompts
	notices        *notice.Store
	origins        *origin.Store // versions of streams
	streamEvents   []StreamEvent
	// reportedSerial is the serial of the last crash returned by NewCrashes.
	reportedSerial uint64
	answersChanged bool        // an answer was recorded since the last call of NewAnswers
	brokenRuns     []BrokenRun // may still turn out to be crashes
	pendingChecks  []pendingCheck
	crashEvents    []CrashEvent
	silenceChanges []SilenceChange

	grants   map[netip.AddrPort][]Grant
	refusals map[netip.AddrPort][]Refusal
	// unmatched holds the services whose queues or targets have changed since the last
	// call of match.
	unmatched map[string]bool
	shedAt    map[string]time.Time // when the queue of a service was last looked through
	// sharedMachines holds the services of which a target has stated how long work takes on
	// its machine.
	sharedMachines map[string]*serviceSpeed
	dominant       bool // the configuration has a dominant workspace
	// fleets holds the slow start of services whose targets state their slowdown.
	fleets      map[string]*warmup.Fleet
	slowStart   warmup.Method
	leastUrgent float64                   // priority in the queue that is being matched
	controls    map[string]*admit.Control // of the services that adapt
	// work counts the requests and targets that decisions have looked at.
	work uint64
}

// New returns an empty broker that enforces allowances within a tolerance. self
// is a number that no other broker has.
func New(t quota.Tolerance, self uint64) *Broker {
	return &Broker{
		roster: roster.New().Snapshot(), config: (&routes.Config{}).Index(),
		queues: map[string][]*queuedRequest{}, waiting: map[requestKey]*queuedRequest{}, runs: map[requestKey]*run{}, runsByPart: map[model.PromptPart]int{},
		targets:   map[string]*target{},
		latencies: map[string]*latencyEstimate{}, meanSizes: map[sizeKey]float64{}, quota: quota.New(t), crashes: crash.NewRecords(self, crashThreshold), parts: parts.NewRecords(self), reachableShare: 1,
		unreached: unreached{}, cuts: cuts.New(), notices: notice.NewStore(), origins: origin.New(), unmatched: map[string]bool{}, shedAt: map[string]time.Time{}, sharedMachines: map[string]*serviceSpeed{}, fleets: map[string]*warmup.Fleet{}, slowStart: warmup.ByResponses, controls: map[string]*admit.Control{},
		grants: map[netip.AddrPort][]Grant{}, refusals: map[netip.AddrPort][]Refusal{},
	}
}

// SetConfig replaces the configuration.
func (b *Broker) SetConfig(now time.Time, c *routes.Config) {
	b.config, b.dominant = c, c.HasDominantWorkspace()
	b.quota.SetWorkspaces(now, c.Workspaces)
	b.origins.SetLife(LongestStream(c))
	b.publishStarts(now)
}

// SetTolerance replaces the tolerance within which allowances are enforced.
func (b *Broker) SetTolerance(now time.Time, t quota.Tolerance) {
	b.quota.SetTolerance(t)
	b.quota.SetWorkspaces(now, b.config.Workspaces)
}

// Charge deducts what a host's callers have used of their allowances under other
// leaders.
func (b *Broker) Charge(now time.Time, used []quota.UsageEntry) { b.quota.Charge(now, used) }

// SetReachableShare sets the share of the fleet that this host reaches, as live
// hosts among known ones. Limits that hold over all hosts are used only up to
// this share.
func (b *Broker) SetReachableShare(alive, known int) {
	b.reachableShare, b.aliveHosts = float64(alive)/float64(max(alive, known)), alive
	b.quota.SetShare(b.reachableShare)
}

// SetRoster replaces the list of published targets.
func (b *Broker) SetRoster(now time.Time, s *roster.Snapshot) {
	b.roster = s
	b.work += uint64(len(s.Targets))
	b.origins.SetTargets(now, s)
	for id := range b.targets {
		if s.Targets[id] == nil {
			delete(b.targets, id)
		}
	}
	for id, published := range s.Targets {
		t := b.targets[id]
		if t == nil {
			t = newTarget(now, b.unreached)
			b.targets[id] = t
		}
		t.forgetProcess(published)
		t.published = published
		b.setNotice(now, t)
	}
	b.findReplaced(s)
	b.publishStarts(now)
	for service, e := range b.latencies {
		b.findFastest(e, service)
	}
	b.settleBrokenRuns(now)
	b.markAllUnmatched()
}

// Submit queues a request, or refuses it at once if its content crashes targets
// or its workspace's allowance is used up.
func (b *Broker) Submit(now time.Time, host netip.AddrPort, r Request) {
	k := requestKey{host, r.ID}
	if b.runs[k] != nil {
		return
	}
	q := &queuedRequest{
		requestKey: k, request: r, queuedAt: now, versionState: versionState{pinned: r.Pinned, version: r.Version, unresolved: r.Resumed && !r.Pinned},
		startBy: now.Add(r.StartWithin), expiresAt: now.Add(r.ExpiresIn), cost: costOf(r),
	}
	if r.CallerWait > 0 {
		q.endBy = now.Add(r.CallerWait)
	}
	q.valuePerCost = b.valueOf(r) / q.cost
	if refusal, ok := b.crashRefusal(now, r); ok {
		b.refuse(k, refusal)
		return
	}
	if !r.Resubmitted {
		if wait, ok := b.quota.Take(now, r.Workspace, r.QuotaTokens); !ok {
			b.refuse(k, Refusal{ID: r.ID, OverQuota: true, RetryAfter: wait, ExpectedWait: wait, Cause: "Allowance"})
			return
		}
	}
	if !r.Resumed && !r.InProgress() {
		b.origins.ObserveTurn(r.Service, r.Stream, r.LastPart)
	}
	if !b.checkVersion(now, q) {
		return
	}
	b.enter(now, q)
	b.queues[r.Service] = append(b.queues[r.Service], q)
	b.waiting[k] = q
	b.unmatched[r.Service] = true
}

// Cancel removes a waiting request and returns its tokens to the allowance.
func (b *Broker) Cancel(host netip.AddrPort, id uint64) {
	k := requestKey{host, id}
	if q := b.waiting[k]; q != nil {
		b.returnTokens(q)
		q.cancelled = true
		delete(b.waiting, k)
	}
}

// returnTokens returns the tokens of a request that does not run to the
// allowance. None were taken here for a resubmitted request.
func (b *Broker) returnTokens(q *queuedRequest) {
	if !q.request.Resubmitted {
		b.quota.Refund(q.request.Workspace, q.request.QuotaTokens)
	}
}

// Complete records how a granted request ended and frees its slot at the target.
func (b *Broker) Complete(now time.Time, host netip.AddrPort, c Completion) {
	k := requestKey{host, c.ID}
	r := b.runs[k]
	if r == nil {
		return
	}
	b.removeRun(k)
	if r.target != c.Target {
		// The host used a grant from before its last Sync, and never this one.
		if t := b.targets[r.target]; t != nil {
			t.running--
		}
		b.markAllUnmatched()
		return
	}
	t := b.targets[r.target]
	if t == nil {
		return
	}
	t.running--
	prompt := 0
	if r.queued != nil {
		prompt = r.queued.request.PromptTokens
		if c.OutputTokens > 0 {
			b.origins.RecordTurn(now, r.queued.request.Service, r.queued.request.Stream, r.queued.request.LastPart)
		}
		if c.Outcome.NotRun() {
			b.returnTokens(r.queued)
		}
	}
	b.unreached.record(host, c.Target, c.Outcome)
	b.recordPath(now, host, r, t, c.Outcome)
	failures, lost := t.consecutiveFailures, len(t.lostBy) > 0
	t.recordOutcome(now, host, c, prompt, b.aliveHosts <= 1)
	if t.published != nil {
		b.observeRestart(now, t, r.grantedAt, c.Outcome)
	}
	b.recordSilence(now, t, host, c, r)
	b.observeStart(now, host, t, r, c, failures, lost)
	if t.published != nil {
		b.eject(now, t)
	}
	b.addPendingCheck(now, c, r)
	if c.Outcome == Good {
		b.recordAnswer(now, r, c.Inconclusive)
	}
	if first := c.startLatency(); c.Outcome == Good && first > 0 && t.published != nil {
		b.learnStartLatency(now, t, c, max(first-r.backlog, 0), prompt)
		b.learnEventGap(now, t, c)
		b.learnUnitTime(now, t, c, prompt)
	}
	if t.published != nil {
		b.unmatched[t.published.Service] = true
	}
}

// Sync replaces the broker's state of a host's requests.
func (b *Broker) Sync(now time.Time, host netip.AddrPort, running []RunningRequest, requests []Request) {
	b.RemoveHost(host)
	for _, r := range running {
		b.addRun(requestKey{host, r.ID}, &run{target: r.Target, parts: r.SharedParts})
		if t := b.targets[r.Target]; t != nil {
			t.running++
		}
	}
	for _, request := range requests {
		b.Submit(now, host, request)
	}
}

func (b *Broker) addRun(k requestKey, r *run) {
	b.removeRun(k)
	b.runs[k] = r
	for _, p := range r.parts {
		b.runsByPart[p]++
	}
}

func (b *Broker) removeRun(k requestKey) {
	r := b.runs[k]
	if r == nil {
		return
	}
	delete(b.runs, k)
	for _, p := range r.parts {
		if b.runsByPart[p]--; b.runsByPart[p] <= 0 {
			delete(b.runsByPart, p)
		}
	}
}

// RemoveHost drops all requests of a host that is gone.
func (b *Broker) RemoveHost(host netip.AddrPort) {
	b.work += uint64(len(b.runs))
	for k, r := range b.runs {
		if k.host != host {
			continue
		}
		b.removeRun(k)
		if t := b.targets[r.target]; t != nil {
			t.running--
		}
	}
	for _, t := range b.targets {
		delete(t.silence.byHost, host)
	}
	for service, queue := range b.queues {
		b.work += uint64(len(queue))
		b.queues[service] = slices.DeleteFunc(queue, func(q *queuedRequest) bool {
			if q.host == host {
				delete(b.waiting, q.requestKey)
			}
			return q.host == host
		})
	}
	delete(b.grants, host)
	delete(b.refusals, host)
	delete(b.unreached, host)
	b.markAllUnmatched()
}

// Tick does the work that depends on time: it settles broken runs, refuses
// requests that can no longer be served and grants free targets.
func (b *Broker) Tick(now time.Time) {
	b.refreshFleets(now)
	b.settleBrokenRuns(now)
	b.expirePendingChecks(now)
	if b.parts.Refresh(now) {
		b.crashesChanged(now)
	}
	for _, service := range slices.Sorted(maps.Keys(b.queues)) {
		b.resolveAll(now, service)
		if now.Sub(b.shedAt[service]) >= time.Duration(len(b.queues[service]))*shedSpacing {
			b.shedAt[service] = now
			b.shedService(now, service)
		}
	}
	b.markAllUnmatched()
}

// TakeDecisions grants free targets and returns the grants and refusals since the last
// call, by host. All changes between two calls are matched at once, so that a leader that
// has fallen behind spends less on each.
func (b *Broker) TakeDecisions(now time.Time) (grants map[netip.AddrPort][]Grant, refusals map[netip.AddrPort][]Refusal) {
	for _, service := range slices.Sorted(maps.Keys(b.unmatched)) {
		b.match(now, service)
	}
	clear(b.unmatched)
	grants, refusals = b.grants, b.refusals
	if len(grants) > 0 {
		b.grants = map[netip.AddrPort][]Grant{}
	}
	if len(refusals) > 0 {
		b.refusals = map[netip.AddrPort][]Refusal{}
	}
	return grants, refusals
}

// Work returns how many requests and targets decisions have looked at so far: a measure
// of their cost that depends on no clock.
func (b *Broker) Work() uint64 { return b.work }

// WaitingCount returns the number of waiting requests.
func (b *Broker) WaitingCount() int { return len(b.waiting) }

func (b *Broker) refuse(k requestKey, r Refusal) {
	delete(b.waiting, k)
	b.refusals[k.host] = append(b.refusals[k.host], r)
}

func (b *Broker) markAllUnmatched() {
	for service := range b.queues {
		b.unmatched[service] = true
	}
}

// match grants free targets to waiting requests in priority order.
func (b *Broker) match(now time.Time, service string) {
	queue := b.queues[service]
	if len(queue) == 0 {
		return
	}
	free := b.withoutCutOff(now, b.freeTargets(now, service), queue)
	if len(free) == 0 {
		return
	}
	b.refreshSpeeds(now, service)
	queue = b.order(now, queue)
	b.noteLeastUrgent(service, queue)
	// The first pass uses only targets at which a request starts in time, so that
	// slow targets are left to the requests they are fast enough for. The second
	// pass assigns the rest.
	queue, free = b.assign(now, queue, free, b.startsInTime)
	queue, _ = b.assign(now, queue, free, b.mayUse)
	b.queues[service] = queue
}

// assign grants free targets to requests, in order, where allowed accepts the
// pair. It returns the requests and targets that are left.
func (b *Broker) assign(now time.Time, queue []*queuedRequest, free []*target, allowed func(time.Time, *queuedRequest, *target) bool) ([]*queuedRequest, []*target) {
	kept := queue[:0]
	fruitless := map[searchKey]int{}
	for i, q := range queue {
		if len(free) == 0 {
			kept = append(kept, queue[i:]...)
			break
		}
		if q.cancelled {
			continue
		}
		t := b.findTarget(now, q, free, allowed, fruitless)
		if t == nil {
			kept = append(kept, q)
			continue
		}
		b.grant(now, q, t)
		if !t.hasCapacity(now, b) {
			free = slices.DeleteFunc(free, func(x *target) bool { return x == t })
		}
	}
	clear(queue[len(kept):])
	return kept, free
}

// startsInTime reports whether a request would probably start in time at a
// target, or is late even at the fastest one.
func (b *Broker) startsInTime(now time.Time, q *queuedRequest, t *target) bool {
	if now.Add(b.startLatency(q)).After(q.startBy) {
		return b.mayUseLate(now, q, t)
	}
	return b.fitsAt(now, q, t, q.startBy)
}

func (b *Broker) grant(now time.Time, q *queuedRequest, t *target) {
	backlog := t.prefillBacklog(now)
	t.recordGrant(now, b, q)
	b.cuts.Granted(now, cuts.Path{From: q.request.Zone, To: t.published.Zone})
	q.granted(now)
	b.recordProbe(now, q.request, t)
	t.running++
	delete(b.waiting, q.requestKey)
	b.addRun(q.requestKey, &run{target: t.published.ID, queued: q, parts: q.request.SharedParts, backlog: backlog, grantedAt: now})
	b.origins.RecordGrant(now, q.request.Stream, t.published.Version, q.host)
	b.grants[q.host] = append(b.grants[q.host], Grant{ID: q.request.ID, Target: t.published.ID})
}
