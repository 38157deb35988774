package broker

import (
	"net/netip"
	"time"

	"yuccadoor/core/roster"
)

// Limits for targets that leave requests unanswered.
const (
	// silentShare is the share of the time that a request had, after which its end without
	// an answer is held against the target: a caller that leaves earlier would have met a
	// sound target in the same state.
	silentShare = 0.5
	// silentTimeout stands for that time if the host does not state what the request had: the
	// shortest wait of a caller for the first event of a stream is twice as long.
	silentTimeout = time.Second
	// silentTimes is the number of usual response times for which a target must have left
	// requests unanswered: machines that are shared with other work are up to 3 times slower.
	silentTimes = 4
	// minUnanswered is the number of requests that one host must have lost. A single one may
	// have met a cold start or a pause.
	minUnanswered = 2
	// minSilentBackoff and maxSilentBackoff bound the time between two trials of a silent
	// target. It doubles with each trial, so that a target is used again after at most the
	// time for which it was silent, and costs one request per doubling of that time.
	minSilentBackoff = time.Second
	maxSilentBackoff = 16 * time.Second
	// trialWait is how long a trial that is due waits for a request that can be repeated
	// elsewhere: as long as the first backoff.
	trialWait = minSilentBackoff
	// maxSilentShare is the share of a service's targets that are avoided because they are
	// silent. Beyond it the cause is elsewhere, and avoiding them would only move the load.
	maxSilentShare = 0.5
	// pendingPenalty raises the score of a target that leaves its first requests unanswered, in
	// seconds: above any estimate of another target, below none at all.
	pendingPenalty = 60
)

// silence is what the requests that a target left unanswered show of it.
type silence struct {
	byHost map[netip.AddrPort]*silentPath // of the hosts that lost a request
	agreed silentState                    // if it is the target, and not the path of a host
	// answeredAt is when any host last had a response, and answeredBy that host.
	answeredAt time.Time
	answeredBy netip.AddrPort
	// pendingSince is the first grant since then of a request that has not ended; zero for none.
	pendingSince time.Time
}

// silentState is whether a target is silent, and when it may be tried next.
type silentState struct {
	silent bool
	trials int
	until  time.Time
}

// silentPath is the same between one host and a target.
type silentPath struct {
	silentState
	answeredAt time.Time
	// Since the last response:
	lastSentAt time.Time     // of the unanswered requests
	lost       int           // unanswered requests
	waited     time.Duration // that they have waited in all
	suspected  bool          // they have waited for long
}

// begin starts the backoff of a target that has just been found silent.
func (s *silentState) begin(now time.Time) {
	if !s.silent {
		*s = silentState{silent: true, until: now.Add(minSilentBackoff)}
	}
}

// recordTrial starts the next backoff if a silent target is granted a request.
func (s *silentState) recordTrial(now time.Time) {
	if s.silent {
		s.trials++
		s.until = now.Add(min(minSilentBackoff<<min(s.trials, 8), maxSilentBackoff))
	}
}

// left is the rest of the backoff.
func (s *silentState) left(now time.Time) time.Duration {
	if !s.silent {
		return 0
	}
	return max(s.until.Sub(now), 0)
}

// pathOf returns the state between a host and the target.
func (s *silence) pathOf(host netip.AddrPort) *silentPath {
	if s.byHost == nil {
		s.byHost = map[netip.AddrPort]*silentPath{}
	}
	if s.byHost[host] == nil {
		s.byHost[host] = &silentPath{}
	}
	return s.byHost[host]
}

// mayTry reports whether a request of a host may go to the target: a trial is left to requests
// that can be repeated elsewhere, if any come in time.
func (s *silence) mayTry(now time.Time, host netip.AddrPort, repeatable bool) bool {
	waits := func(x *silentState) bool { return x.silent && now.Before(x.until.Add(trialWait)) }
	path := s.byHost[host]
	return repeatable || !waits(&s.agreed) && (path == nil || !waits(&path.silentState))
}

// leftFor is how much longer a host avoids the target.
func (s *silence) leftFor(now time.Time, host netip.AddrPort) time.Duration {
	if path := s.byHost[host]; path != nil {
		return max(path.left(now), s.agreed.left(now))
	}
	return s.agreed.left(now)
}

// isSilentFor reports whether the target is silent for one host.
func (s *silence) isSilentFor(host netip.AddrPort) bool {
	path := s.byHost[host]
	return path != nil && path.silent
}

// recordTrial records that a host was granted the target.
func (s *silence) recordTrial(now time.Time, host netip.AddrPort) {
	s.agreed.recordTrial(now)
	if path := s.byHost[host]; path != nil {
		path.recordTrial(now)
	}
	if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
}

// recordResponse records that a host had a response from the target: one that was silent for
// all hosts is tried again by all.
func (s *silence) recordResponse(now time.Time, host netip.AddrPort) {
	s.answeredAt, s.answeredBy = now, host
	if path := s.byHost[host]; path != nil {
		*path = silentPath{answeredAt: now}
	}
	if !s.agreed.silent {
		return
	}
	s.agreed = silentState{}
	for _, other := range s.byHost {
		other.trials = 0
		if retryAt := now.Add(minSilentBackoff); other.until.After(retryAt) {
			other.until = retryAt
		}
	}
}

// recordLoss records a request of a host that was left unanswered, and reports whether the
// target may be silent. usual is how long a response takes.
func (s *silence) recordLoss(now time.Time, host netip.AddrPort, took, usual time.Duration) bool {
	sentAt := now.Add(-took)
	if s.answeredBy == host && s.answeredAt.After(sentAt) {
		return false // this request alone was lost
	}
	path := s.pathOf(host)
	if path.answeredAt.After(sentAt) {
		return false
	}
	path.lastSentAt = sentAt
	path.lost++
	path.waited += took
	if path.waited >= silentTimes*usual {
		path.suspected = true
	}
	if path.suspected && path.lost >= minUnanswered {
		path.begin(now)
	}
	return path.suspected
}

// agreeing returns the number of hosts that suspect the target and have lost a request that
// was sent after the last response to any host: else it is their path.
func (s *silence) agreeing(u unreached) int {
	n := 0
	for host, path := range s.byHost {
		if path.suspected && !path.lastSentAt.Before(s.answeredAt) && !u.isolated(host) {
			n++
		}
	}
	return n
}

// isUnanswered reports whether a request that ended without any part of a response had the
// time for one. A host of an earlier build does not state the time that it had.
func (c *Completion) isUnanswered() bool {
	if c.Outcome != Cancelled || c.TimeToFirstPart > 0 {
		return false
	}
	if c.Allowed <= 0 {
		return c.Took > silentTimeout
	}
	return c.Took >= time.Duration(silentShare*float64(c.Allowed))
}

// isResponse reports whether the target has shown a sign of life.
func (c *Completion) isResponse() bool {
	switch c.Outcome {
	case Good, Failed, Rejected:
		return true
	}
	return c.TimeToFirstPart > 0
}

// SilenceChange reports that a target is found silent, or answers again, for logs.
type SilenceChange struct {
	Target string
	Host   netip.AddrPort // for which; invalid for all hosts
	Silent bool
	Usual  time.Duration // time to the start of a response, as known
}

// TakeSilenceChanges returns the changes since the last call.
func (b *Broker) TakeSilenceChanges() []SilenceChange {
	changes := b.silenceChanges
	b.silenceChanges = nil
	return changes
}

// recordSilence records what the end of a request shows of the target's silence.
func (b *Broker) recordSilence(now time.Time, t *target, host netip.AddrPort, c Completion, r *run) {
	if t.published == nil {
		return
	}
	s := &t.silence
	agreed, forHost := s.agreed.silent, s.isSilentFor(host)
	b.observeSilence(now, t, host, c, r)
	if s.agreed.silent != agreed {
		b.silenceChanges = append(b.silenceChanges, SilenceChange{Target: c.Target, Silent: s.agreed.silent, Usual: b.usualTime(t, r.queued)})
	}
	if s.isSilentFor(host) != forHost {
		b.silenceChanges = append(b.silenceChanges, SilenceChange{Target: c.Target, Host: host, Silent: !forHost, Usual: b.usualTime(t, r.queued)})
	}
}

func (b *Broker) observeSilence(now time.Time, t *target, host netip.AddrPort, c Completion, r *run) {
	s := &t.silence
	if t.running <= 0 {
		s.pendingSince = time.Time{}
	}
	if c.isResponse() {
		s.recordResponse(now, host)
		if t.running > 0 {
			s.pendingSince = now
		}
		return
	}
	if !c.isUnanswered() || !s.recordLoss(now, host, c.Took, r.backlog+b.usualTime(t, r.queued)) {
		return
	}
	b.unreached.record(host, c.Target, NoConnect)
	if s.agreeing(b.unreached) >= minAgreeingHosts || b.aliveHosts <= 1 && s.byHost[host].silent {
		s.agreed.begin(now)
	}
	b.useIfMostAreSilent(t.published.Service, host)
}

// recordTrial records a grant: if the target is silent, it is a trial.
func (b *Broker) recordTrial(now time.Time, t *target, host netip.AddrPort) {
	t.silence.recordTrial(now, host)
	if t.silence.agreed.silent || t.silence.isSilentFor(host) {
		b.useIfMostAreSilent(t.published.Service, host)
	}
}

// usualTime is how long a target takes to start a response, as far as responses have shown. q is
// nil for a request that a former leader granted.
func (b *Broker) usualTime(t *target, q *queuedRequest) time.Duration {
	if q == nil {
		q = &queuedRequest{request: Request{Service: t.published.Service}}
	}
	return max(b.startLatencyAt(q, t), t.plainTime)
}

// useIfMostAreSilent ends the backoffs of a service's targets if more of them than
// maxSilentShare are silent for a host, or for all.
func (b *Broker) useIfMostAreSilent(service string, host netip.AddrPort) {
	published := b.roster.ForService(service)
	b.work += uint64(len(published))
	states := func(of func(s *silence) *silentState) {
		var silent []*silentState
		for _, p := range published {
			if t := b.targets[p.ID]; t != nil {
				if x := of(&t.silence); x != nil && x.silent {
					silent = append(silent, x)
				}
			}
		}
		if float64(len(silent)) <= maxSilentShare*float64(len(published)) {
			return
		}
		for _, x := range silent {
			x.until = time.Time{}
		}
	}
	states(func(s *silence) *silentState { return &s.agreed })
	states(func(s *silence) *silentState {
		if path := s.byHost[host]; path != nil {
			return &path.silentState
		}
		return nil
	})
}

// isOverdue reports whether a plain target leaves requests unanswered that it would usually have
// answered by now. Until their time is over, others are better sent to another target: one that
// has never answered looks the fastest.
func (b *Broker) isOverdue(now time.Time, q *queuedRequest, t *target) bool {
	if t.running == 0 || t.silence.pendingSince.IsZero() {
		return false
	}
	if s := b.config.Service(t.published.Service); s == nil || s.Engine {
		return false // a stream takes as long as its events
	}
	usual := b.usualTime(t, q)
	return usual > 0 && now.Sub(t.silence.pendingSince) > silentTimes*usual
}

// findReplaced marks the targets whose process no longer exists: another one that started
// later is published at the same address. The entry of a process that crashed stays for a while.
func (b *Broker) findReplaced(s *roster.Snapshot) {
	latest := map[netip.AddrPort]uint64{}
	for _, p := range s.Targets {
		latest[p.Address] = max(latest[p.Address], p.Born)
	}
	for id, p := range s.Targets {
		b.targets[id].replaced = p.Address.IsValid() && p.Born > 0 && p.Born < latest[p.Address]
	}
}

// forgetProcess forgets whether the former process of a target was silent, or has ended, if another
// one is published in its place.
func (t *target) forgetProcess(published *roster.Target) {
	if t.published != nil && t.published.Born != published.Born {
		t.silence, t.restart = silence{}, restart{}
	}
}

// AttemptTimes limits the attempts of plain requests that may be repeated, so that time is left
// for another target if the first one stays silent. One host learns them from its own responses.
type AttemptTimes struct {
	usual map[string]time.Duration // by service: few responses take longer
}

// Record records how long a good response took.
func (a *AttemptTimes) Record(service string, took time.Duration) {
	if a.usual == nil {
		a.usual = map[string]time.Duration{}
	}
	usual, known := a.usual[service]
	if !known {
		usual = took
	}
	weight := estimateFall
	if took > usual {
		weight = estimateRise
	}
	a.usual[service] = usual + time.Duration(weight*float64(took-usual))
}

// Limit returns the time after which an attempt is better ended: an equal share of the time left,
// given the attempts that the route still allows. It returns 0 for no limit: if it is the last one,
// or responses of the service may well take as long.
func (a *AttemptTimes) Limit(service string, left time.Duration, attempts int) time.Duration {
	usual, known := a.usual[service]
	if attempts <= 1 || !known || left/time.Duration(attempts) < silentTimes*usual {
		return 0
	}
	return left / time.Duration(attempts)
}
