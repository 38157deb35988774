package replay

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/engine"
)

// Timing and limits of a replay.
const (
	tickInterval = 50 * time.Millisecond // between two ticks of the policy
	// drainTime is how long the replay continues after the last arrival, to let
	// running requests end.
	drainTime = 10 * time.Second
	// immediateRetryDelay is when a caller that retries at once does so, regardless
	// of the delay it was told.
	immediateRetryDelay = 20 * time.Millisecond
	maxImmediateTries   = 4
	maxTries            = 2
	// startAge is the age of all targets at the start of a replay: they have long been warm.
	startAge = time.Hour
	// maxSends limits how often a host sends a request that did not run.
	maxSends = 6
)

// ClassStats holds the results of one class of requests.
type ClassStats struct {
	Class              string
	Requests           int
	InTime             int
	Late               int
	Refused            int
	Failed             int
	Left               int // the caller disconnected early; excluded from the value
	OverAllowance      int // over the workspace's allowance; excluded from the value
	EarnedValue        float64
	EligibleValue      float64
	WastedPromptTokens int // of runs that gave no answer
	// Median and P90 are the median and the 90th percentile of the time to the start
	// of the answers, over the served requests.
	Median, P90 time.Duration
}

// Result holds the results of a pattern under a policy.
type Result struct {
	Pattern    string
	Policy     string
	Classes    []ClassStats
	ValueRatio float64 // earned value divided by eligible value
	UpperBound float64 // of ValueRatio, for a scheduler with perfect knowledge
	// WorstWindow is the lowest ratio of the requests that arrived in any two seconds.
	WorstWindow float64
	Groups      []GroupStats
	// ColdCrashes counts crashes of cold engines under too many requests.
	ColdCrashes int
	Restarts    bool // targets start anew in the pattern
}

// task is a function that is scheduled at a point in virtual time.
type task struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// taskQueue is a heap of tasks, ordered by time and then by sequence number.
type taskQueue []task

func (t taskQueue) Len() int { return len(t) }
func (t taskQueue) Less(i, j int) bool {
	if c := t[i].at.Compare(t[j].at); c != 0 {
		return c < 0
	}
	return t[i].seq < t[j].seq
}
func (t taskQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *taskQueue) Push(x any) { *t = append(*t, x.(task)) }

// Pop implements heap.Interface.
func (t *taskQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// player is the state of a running replay.
type player struct {
	pattern      *Pattern
	policy       policy
	random       *rand.Rand
	start        time.Time
	now          time.Time
	tasks        taskQueue
	seq          int
	engines      map[string]*engine.Engine
	engineIDs    []string
	failureRates map[string]float64
	requests     []*request
	byAttempt    map[uint64]*request
	attempts     uint64
	wasted       map[string]int
}

// Play simulates a pattern under a policy; the same seed gives the same result.
func Play(p Pattern, policyName string, seed uint64) Result {
	start := time.Unix(0, 0).Add(startAge)
	play := &player{
		pattern: &p, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		engines: map[string]*engine.Engine{}, failureRates: map[string]float64{}, byAttempt: map[uint64]*request{},
		wasted: map[string]int{},
	}
	play.policy = newPolicy(policyName, &p, start, rand.New(rand.NewPCG(seed, 2)))
	for _, s := range p.Services {
		for n := range s.Targets {
			profile := s.Profile
			if len(s.Slowness) > 0 {
				profile.Slowness = s.Slowness[n%len(s.Slowness)]
			}
			id := targetID(s.Name, n)
			play.engines[id] = engine.New(profile)
			play.engineIDs = append(play.engineIDs, id)
		}
	}
	play.requests = p.arrivals(start, play.random)
	for _, q := range play.requests {
		play.schedule(q.at, func(now time.Time) { play.send(now, q, nil) })
		play.schedule(q.leaveAt, func(now time.Time) { play.callerLeaves(now, q) })
		if q.class.TimeLimit > 0 {
			play.schedule(q.at.Add(q.class.TimeLimit), func(now time.Time) { play.endCall(now, q, failed) })
		}
	}
	play.scheduleFaults()
	play.scheduleContention(rand.New(rand.NewPCG(seed, 3)))
	if p.LeaderLostAt > 0 {
		play.schedule(start.Add(p.LeaderLostAt), play.loseLeader)
	}
	for at := time.Duration(0); at < p.Length+drainTime; at += tickInterval {
		play.schedule(start.Add(at), play.policy.tick)
	}
	play.run()
	return play.result(policyName)
}

func (p *player) schedule(at time.Time, run func(now time.Time)) {
	p.seq++
	heap.Push(&p.tasks, task{at, p.seq, run})
}

// run processes tasks and engine events in time order. An engine event precedes a
// task at the same time.
func (p *player) run() {
	for len(p.tasks) > 0 {
		id, at := p.nextEngine()
		if id != "" && !at.After(p.tasks[0].at) {
			p.now = at
			p.handleEvents(id, at)
		} else {
			t := heap.Pop(&p.tasks).(task)
			p.now = t.at
			t.run(t.at)
		}
		p.applyDecisions()
	}
}

func (p *player) nextEngine() (string, time.Time) {
	var id string
	var first time.Time
	for _, e := range p.engineIDs {
		if at, ok := p.engines[e].NextEvent(); ok && (id == "" || at.Before(first)) {
			id, first = e, at
		}
	}
	return id, first
}

func (p *player) handleEvents(id string, now time.Time) {
	for _, ev := range p.engines[id].Advance(now) {
		if q := p.byAttempt[ev.Job]; q != nil {
			q.longestPause = ev.LongestPause
			p.handleEvent(now, q, ev.Kind)
		}
	}
}

func (p *player) handleEvent(now time.Time, q *request, k engine.Kind) {
	switch k {
	case engine.Began:
		p.stateLoad(now, q)
		if !q.willFail {
			q.began = now
		}
	case engine.Ended:
		if q.willFail {
			p.attemptFailed(now, q, broker.Failed)
			return
		}
		p.policy.done(now, q, broker.Good)
		delete(p.byAttempt, q.attempt)
		q.closed = true
		q.outcome = late
		if !q.began.After(q.objectiveAt) && (q.class.MaxPause == 0 || q.longestPause <= q.class.MaxPause) {
			q.outcome = inTime
		}
	case engine.Rejected:
		p.attemptFailed(now, q, broker.Rejected)
	case engine.Lost:
		p.attemptFailed(now, q, broker.Broken)
	case engine.Down:
		p.attemptFailed(now, q, broker.NoConnect)
	}
}

// attemptFailed handles an attempt that gave no answer. The host tries another
// target if the request did not run, or if it is idempotent and ran only once;
// otherwise the request fails.
func (p *player) attemptFailed(now time.Time, q *request, o broker.Outcome) {
	p.policy.done(now, q, o)
	delete(p.byAttempt, q.attempt)
	avoid := q.target
	ran := o != broker.Rejected && o != broker.NoConnect
	if ran {
		p.wasted[q.class.Name] += q.job.Prompt
		q.runs++
	}
	q.target, q.began = "", time.Time{}
	switch {
	case !ran && q.sends < maxSends:
		p.send(now, q, []string{avoid})
	case q.class.Idempotent && q.runs < 2:
		p.send(now, q, []string{avoid})
	default:
		q.closed, q.outcome = true, failed
	}
}

func (p *player) send(now time.Time, q *request, avoid []string) {
	if q.closed {
		return
	}
	p.attempts++
	q.attempt = p.attempts
	q.sends++
	p.byAttempt[q.attempt] = q
	p.policy.arrive(now, q, avoid)
}

// applyDecisions carries out the policy's pending decisions.
func (p *player) applyDecisions() {
	for _, d := range p.policy.takeDecisions(p.now) {
		q := p.byAttempt[d.attempt]
		if q == nil || q.closed {
			continue
		}
		if d.target == "" {
			p.refuse(q, d.retryAfter)
			continue
		}
		q.target, q.sent = d.target, p.now
		q.willFail = p.random.Float64() < p.failureRates[d.target]
		job := q.job
		job.ID = q.attempt
		e := p.engines[d.target]
		crashes := e.ColdCrashes()
		e.Submit(p.now, job)
		if e.WarmsUp() && e.ColdCrashes() > crashes {
			p.schedule(e.UpAt(), func(now time.Time) { p.restart(now, d.target) })
		}
		p.handleEvents(d.target, p.now)
	}
}

// restart starts a target anew and publishes that it did.
func (p *player) restart(now time.Time, id string) {
	p.policy.restartedCold(now, id, p.engines[id].Start(now))
}

// refuse schedules the caller's next try: one retry for most callers, several quick
// ones for those that retry at once.
func (p *player) refuse(q *request, after time.Duration) {
	delete(p.byAttempt, q.attempt)
	q.tries++
	limit := maxTries
	if q.retriesAtOnce {
		after, limit = immediateRetryDelay, maxImmediateTries
	}
	after = min(after, q.endAt().Sub(p.now)/3)
	if q.tries >= limit || after <= 0 || q.neverRetries {
		q.closed, q.outcome = true, refused
		return
	}
	if q.class.TotalWait == 0 {
		p.schedule(p.now.Add(after), func(now time.Time) { p.send(now, q, nil) })
		return
	}
	q.leaveAt = q.endAt()
	p.schedule(p.now.Add(after), func(now time.Time) {
		q.leaveAt = earlier(now.Add(q.class.Patience), q.endAt())
		p.schedule(q.leaveAt, func(now time.Time) { p.callerLeaves(now, q) })
		p.send(now, q, nil)
	})
}

// endAt returns when the caller gives up for good.
func (q *request) endAt() time.Time {
	if q.class.TotalWait == 0 {
		return q.leaveAt
	}
	return q.at.Add(q.class.TotalWait)
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// callerLeaves ends a request whose caller disconnects before the answer starts.
// Callers that leave within half of the objective are excluded from the value.
func (p *player) callerLeaves(now time.Time, q *request) {
	if !q.began.IsZero() || now.Before(q.leaveAt) {
		return
	}
	outcome := failed
	if q.leaveAt.Sub(q.at) < q.class.Patience {
		outcome = callerLeft
	}
	p.endCall(now, q, outcome)
}

// endCall ends a request whose caller disconnects.
func (p *player) endCall(now time.Time, q *request, o outcome) {
	if q.closed {
		return
	}
	q.closed, q.outcome = true, o
	delete(p.byAttempt, q.attempt)
	if q.target == "" {
		p.policy.cancel(q)
		return
	}
	p.wasted[q.class.Name] += q.job.Prompt
	p.policy.done(now, q, broker.Cancelled)
	p.engines[q.target].Cancel(now, q.attempt)
}

// loseLeader hands all open requests to another leader.
func (p *player) loseLeader(now time.Time) {
	var open []*request
	for _, id := range slices.Sorted(maps.Keys(p.byAttempt)) {
		open = append(open, p.byAttempt[id])
	}
	p.policy.replaceLeader(now, open)
}

func (p *player) scheduleFaults() {
	for _, f := range p.pattern.Faults {
		var affected []string
		for _, s := range p.pattern.Services {
			if s.Name != f.Service {
				continue
			}
			for _, i := range f.Targets {
				affected = append(affected, targetID(s.Name, i))
			}
			if f.Targets != nil {
				continue
			}
			n := int(f.Share * float64(s.Targets))
			for _, i := range p.random.Perm(s.Targets)[:n] {
				affected = append(affected, targetID(s.Name, i))
			}
		}
		slices.Sort(affected)
		for _, id := range affected {
			p.scheduleFault(f, id)
		}
	}
}

func (p *player) scheduleFault(f Fault, id string) {
	begin, end := p.start.Add(f.At), p.start.Add(f.At+f.Duration)
	p.schedule(begin, func(now time.Time) {
		if f.Crash {
			p.engines[id].Crash(now, end)
			p.handleEvents(id, now)
		}
		if f.Slowdown > 0 {
			p.engines[id].SetSlowdown(f.Slowdown)
		}
		p.failureRates[id] = f.FailureRate
	})
	p.schedule(end, func(now time.Time) {
		if f.ColdFor > 0 {
			until := now.Add(f.ColdFor)
			p.engines[id].SetCold(until)
			p.policy.restartedCold(now, id, until)
		}
		if f.Restart {
			p.restart(now, id)
		}
		if f.Slowdown > 0 {
			p.engines[id].SetSlowdown(1)
		}
		p.failureRates[id] = 0
	})
}
