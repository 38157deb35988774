package broker

import (
	"net/netip"
	"time"

	"yuccadoor/core/notice"
	"yuccadoor/core/roster"
	"yuccadoor/core/speed"
	"yuccadoor/core/warmup"
)

// Limits and weights for the state of a target.
const (
	defaultSlots = 4 // concurrent requests if neither target nor configuration sets a number
	// promptTokensPerOutputToken is the number of prompt tokens that take about
	// as long to read as one output token takes to generate.
	promptTokensPerOutputToken = 250
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.15
	// initialTokenTime is the time per output token assumed of a target without
	// observations.
	initialTokenTime = 5 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failure to connect to a
	// target; it doubles with each consecutive failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// ejectAfterFailures is the number of consecutive failed answers that eject a
	// target. A target that randomly fails one answer in twenty reaches it once
	// in some thousand answers.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the duration of an ejection; it doubles
	// with each failed trial.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxEjectedShare is the share of a service's targets that may be ejected at
	// once. maxMeanFailureShare is the mean failure share above which none is.
	maxEjectedShare     = 0.34
	maxMeanFailureShare = 0.3
	// rejectBackoff is how long a target that rejected a request is granted no
	// further one while it is running others.
	rejectBackoff = 200 * time.Millisecond
	// otherZoneFactor multiplies the score of a target in another availability zone.
	otherZoneFactor = 1.4
	// failureWeight weighs the share of failed answers against speed.
	failureWeight = 4.0
)

// target is the state of one target, with what is published of it.
type target struct {
	published    *roster.Target
	running      int
	tokenTime    time.Duration // per output token; 0 while unknown
	plainTime    time.Duration // per answer of a plain service; 0 while unknown
	failureShare float64       // of its answers, 0 to 1
	// connectBackoffs holds the hosts that recently failed to connect.
	connectBackoffs     map[netip.AddrPort]connectBackoff
	unreached           unreached               // of all targets
	lostBy              map[netip.AddrPort]bool // hosts that lost an answer since the last good one
	rejectedUntil       time.Time
	unconfirmed         map[requestKey]time.Time // when requests were granted that a brittle target may still reject
	rejectedAt          []time.Time              // lately, if the target is brittle
	consecutiveFailures int                      // failed answers since the last good one
	ejectedUntil        time.Time                // after too many failures
	coldUntil           time.Time                // as reported with an answer
	nextColdGrant       time.Time                // when a cold target may be granted its next request
	nextLimitedGrant    time.Time                // when a target that named a limit may be granted its next request
	notice              *notice.State            // what it reported of itself; nil for nothing
	silence             silence
	replaced            bool // by another process at its address
	restart             restart
	// prefillUntil is the estimated time at which all granted prompts are read;
	// engines read them one after the other.
	prefillUntil time.Time
	// allowedEventGap is the shortest event gap that its streams have allowed
	// since it was last idle; 0 for none.
	allowedEventGap time.Duration
	speed           speed.Target // as it states how long work takes on its machine
	speedOf         uint64       // lifetime of speed, as published
	factor          float64      // by which work takes longer than at slowdown 1, as of when it was last looked at; 0 if unknown
	ramp            *warmup.Ramp // nil unless its service starts targets slowly
}

// minReachableShare is the lowest share of limits over all hosts that is used.
const minReachableShare = 0.01

// connectBackoff is a host's backoff after failures to connect to a target.
type connectBackoff struct {
	failures int // consecutive
	until    time.Time
}

// minAgreeingHosts is the number of hosts that must have failed to connect, or
// been asked for a pause, before all hosts back off from the target. A single
// host may be cut off from the target, or have sent it too many requests.
const minAgreeingHosts = 2

func newTarget(now time.Time, u unreached) *target {
	return &target{
		nextColdGrant: now, connectBackoffs: map[netip.AddrPort]connectBackoff{}, unreached: u, lostBy: map[netip.AddrPort]bool{}, unconfirmed: map[requestKey]time.Time{},
	}
}

// cold reports whether the target is limited to its cold rate, as published, as reported
// with an answer, or since it may have restarted.
func (t *target) cold(now time.Time) bool {
	return t.published.Cold(now) || now.Before(t.coldUntil) || t.notice.Cold(now) || t.restart.mayBeCold(now)
}

// blockedFor is how much longer a host backs off from the target.
func (t *target) blockedFor(now time.Time, host netip.AddrPort) time.Duration {
	return max(t.connectBackoffs[host].until.Sub(now), t.notice.PauseLeft(now, host), t.silence.leftFor(now, host), t.blockedForAll(now), 0)
}

// blockedForAll is how much longer all hosts back off from the target.
func (t *target) blockedForAll(now time.Time) time.Duration {
	if t.replaced {
		return maxRetryAfter
	}
	var waits []time.Duration
	for host, backoff := range t.connectBackoffs {
		if wait := backoff.until.Sub(now); wait > 0 && !t.unreached.isolated(host) {
			waits = append(waits, wait)
		}
	}
	return max(agreedBackoff(waits), agreedBackoff(t.notice.PausesLeft(now)), t.silence.agreed.left(now))
}

// costOf returns the cost of a request in output tokens.
func costOf(r Request) float64 {
	return 1 + float64(r.OutputTokens) + float64(r.PromptTokens)/promptTokensPerOutputToken
}

// slots is the number of requests that the target runs at once.
func (t *target) slots(b *Broker) int {
	if s := b.config.Service(t.published.Service); s != nil && s.Engine && s.Slots > 0 {
		return s.Slots
	}
	if t.published.Slots > 0 {
		return t.published.Slots
	}
	return defaultSlots
}

// hasCapacity reports whether the target can be granted a request now.
func (t *target) hasCapacity(now time.Time, b *Broker) bool {
	if t.consecutiveFailures >= ejectAfterFailures && (now.Before(t.ejectedUntil) || t.running > 0) {
		return false // ejected, or on trial with one request
	}
	if t.running >= t.places(b) || t.notice.Leaving() || t.blockedForAll(now) > 0 {
		return false
	}
	if !t.ramp.Allows(now, t.running, t.places(b)) {
		return false
	}
	if now.Before(t.rejectedUntil) && t.running > 0 {
		return false
	}
	if _, limited := t.notice.Limit(); limited && now.Before(t.nextLimitedGrant) {
		return false
	}
	if !t.mayRiskRejection(now, b) {
		return false
	}
	return !t.cold(now) || !now.Before(t.nextColdGrant)
}

// prefillBacklog is the estimated time that the target still needs to read the
// prompts granted so far.
func (t *target) prefillBacklog(now time.Time) time.Duration {
	if t.running == 0 {
		return 0
	}
	return max(t.prefillUntil.Sub(now), 0)
}

// recordGrant records a grant: the prompt is read after those before it, and a
// cold target waits for its next grant.
func (t *target) recordGrant(now time.Time, b *Broker, q *queuedRequest) {
	t.prefillUntil = now.Add(t.prefillBacklog(now) + b.prefillTime(q, t))
	t.recordAllowedEventGap(q)
	b.recordTrial(now, t, q.host)
	t.ramp.Grant(now)
	if _, brittle := t.notice.Brittle(now); brittle {
		t.unconfirmed[q.requestKey] = now
	}
	if interval := b.limitInterval(t); interval > 0 {
		t.nextLimitedGrant = now.Add(interval)
	}
	if interval := b.coldInterval(t); interval > 0 && t.cold(now) {
		t.nextColdGrant = now.Add(interval)
	}
}

// recordOutcome records how a request ended. onlyHost is set if there are no other hosts.
func (t *target) recordOutcome(now time.Time, host netip.AddrPort, c Completion, prompt int, onlyHost bool) {
	delete(t.unconfirmed, requestKey{host, c.ID})
	if c.ColdLeft > 0 {
		t.coldUntil = now.Add(c.ColdLeft)
	}
	switch c.Outcome {
	case Unused, Cancelled:
	case NoConnect:
		t.recordConnectFailure(now, host)
		return
	default:
		delete(t.connectBackoffs, host)
	}
	switch c.Outcome {
	case Good:
		t.consecutiveFailures = 0
		clear(t.lostBy)
		t.failureShare *= 1 - averageWeight
		t.observeSpeed(c, prompt)
	case Failed:
		t.consecutiveFailures++
		t.failureShare += averageWeight * (1 - t.failureShare)
	case Rejected:
		t.rejectedUntil = now.Add(rejectBackoff)
		t.rejectedAt = append(since(t.rejectedAt, now.Add(-rejectionWindow)), now)
	case Broken:
		// A stopped server shows in the next failure to connect. Answers
		// lost in transit are no reason to back off from a healthy one.
		if t.lossCounts(host, onlyHost) {
			t.consecutiveFailures++
			t.failureShare += averageWeight * (1 - t.failureShare)
		}
	}
}

// lossCounts records that a host lost an answer, and reports whether that counts against
// the target: if several hosts lose answers, or there is only one. Otherwise it may be the
// path of that host.
func (t *target) lossCounts(host netip.AddrPort, onlyHost bool) bool {
	t.lostBy[host] = true
	return onlyHost || len(t.lostBy) >= minAgreeingHosts
}

// recordConnectFailure extends the backoff of a host that failed to connect.
func (t *target) recordConnectFailure(now time.Time, host netip.AddrPort) {
	backoff := t.connectBackoffs[host]
	backoff.until = now.Add(min(minBackoff<<min(backoff.failures, 8), maxBackoff))
	backoff.failures++
	t.connectBackoffs[host] = backoff
}

// eject withholds work from a target whose last answers all failed, for longer
// with each failed trial. A target that fails immediately always has free slots
// and would otherwise get most of the requests. When many targets fail, or many
// are ejected, none is: then the cause is not the target.
func (b *Broker) eject(now time.Time, t *target) {
	if t.consecutiveFailures < ejectAfterFailures {
		return
	}
	others, ejected, failing := 0, 0, 0.0
	for _, p := range b.roster.ForService(t.published.Service) {
		if o := b.targets[p.ID]; o != nil && o != t {
			others++
			failing += o.failureShare
			if o.consecutiveFailures >= ejectAfterFailures {
				ejected++
			}
		}
	}
	if others == 0 || failing/float64(others) > maxMeanFailureShare || float64(ejected+1) > maxEjectedShare*float64(others+1) {
		t.consecutiveFailures = ejectAfterFailures - 1
		return
	}
	t.ejectedUntil = now.Add(min(minEjection<<min(t.consecutiveFailures-ejectAfterFailures, 8), maxEjection))
}

// observeSpeed updates the average time per unit of work from a complete answer.
func (t *target) observeSpeed(c Completion, prompt int) {
	if c.OutputTokens <= 0 {
		t.plainTime = movingAverage(t.plainTime, c.Took)
		return
	}
	units := float64(c.OutputTokens) + float64(prompt)/promptTokensPerOutputToken
	t.tokenTime = movingAverage(t.tokenTime, time.Duration(float64(c.Took)/units))
}

// movingAverage returns the exponential moving average after a new value.
func movingAverage(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(averageWeight*float64(value-old))
}

// unitTime is the time that the target takes per unit of work.
func (t *target) unitTime() time.Duration {
	switch {
	case t.tokenTime > 0:
		return t.tokenTime
	case t.plainTime > 0:
		return t.plainTime
	}
	return initialTokenTime
}

// score estimates how long a target takes for a request, in seconds: the time to
// read the prompts before it, then the work itself, slowed by concurrent
// requests. Failures and another availability zone raise it.
func (b *Broker) score(now time.Time, q *queuedRequest, t *target) float64 {
	s := q.cost * b.unitTime(t).Seconds() * (1 + float64(t.running)/float64(4*t.slots(b)))
	s += t.prefillBacklog(now).Seconds()
	s *= (1 + failureWeight*t.failureShare) * t.ramp.Factor()
	if t.published.Zone != q.request.Zone {
		s *= otherZoneFactor
	}
	if b.isOverdue(now, q, t) {
		s += pendingPenalty
	}
	return s
}

// latencyEstimate estimates how soon a service's answers start: a constant part,
// and a part per prompt token.
type latencyEstimate struct {
	base             time.Duration
	perPromptToken   time.Duration
	byPromptTokens   linearFit     // time to the first part, in seconds, by prompt tokens
	fastest          *target       // of those that may be given work; nil for none
	fastestTokenTime time.Duration // per output token, of the fastest target
	eventGap         time.Duration // longest gap between two events of a stream
}

// Weights of the estimates. Few requests should exceed an estimate, so it rises
// faster than it falls.
const (
	estimateRise = 0.1
	estimateFall = 0.01
	// initialPromptTokenTime is the initial estimate per prompt token. It counts
	// as much as priorSamples samples with an empty prompt and priorSamples
	// samples with priorPromptTokens tokens.
	initialPromptTokenTime = 25 * time.Microsecond
	priorSamples           = 5
	priorPromptTokens      = 4000
)

// learnStartLatency updates the estimates with the time to the start of an
// answer, scaled to the fastest target.
func (b *Broker) learnStartLatency(now time.Time, t *target, c Completion, took time.Duration, prompt int) {
	service := t.published.Service
	e := b.latencies[service]
	if e == nil {
		e = &latencyEstimate{base: took}
		e.byPromptTokens.add(0, 0, priorSamples)
		e.byPromptTokens.add(priorPromptTokens, (priorPromptTokens * initialPromptTokenTime).Seconds(), priorSamples)
		b.latencies[service] = e
	}
	b.updateFastest(e, t)
	began := now.Add(-c.Took)
	slowness, _ := b.slownessOver(t, began, began.Add(c.startLatency()))
	took = time.Duration(float64(took) / slowness)
	e.byPromptTokens.add(float64(prompt), took.Seconds(), 1)
	e.perPromptToken = time.Duration(e.byPromptTokens.slope() * float64(time.Second))
	excess := took - time.Duration(prompt)*e.perPromptToken - e.base
	weight := estimateFall
	if excess > 0 {
		weight = estimateRise
	}
	e.base = max(e.base+time.Duration(weight*float64(excess)), 0)
}

// updateFastest updates the fastest target of a service after an answer of one.
func (b *Broker) updateFastest(e *latencyEstimate, t *target) {
	switch {
	case t.tokenTime > 0 && (e.fastestTokenTime == 0 || t.tokenTime < e.fastestTokenTime):
		e.fastest, e.fastestTokenTime = t, t.tokenTime
	case t == e.fastest:
		b.findFastest(e, t.published.Service)
	}
}

// findFastest determines the fastest target of a service and its time per unit of work.
func (b *Broker) findFastest(e *latencyEstimate, service string) {
	e.fastest, e.fastestTokenTime = nil, 0
	published := b.roster.ForService(service)
	b.work += uint64(len(published))
	for _, p := range published {
		if t := b.targets[p.ID]; t != nil && t.tokenTime > 0 && (e.fastest == nil || t.tokenTime < e.fastestTokenTime) {
			e.fastest, e.fastestTokenTime = t, t.tokenTime
		}
	}
}
