package replay

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/engine"
)

// Times of a replay.
const (
	tickInterval = 50 * time.Millisecond // between two looks of the policy
	// drainTime is how long requests under way are played on after the last arrival.
	drainTime = 10 * time.Second
	// immediateRetryDelay is when an eager caller comes back whatever it was told.
	immediateRetryDelay = 20 * time.Millisecond
	maxImmediateTries   = 4
	maxTries            = 2
	// maxSends is how often a host hands a request on that did not run.
	maxSends = 6
)

// ClassStats is how one class of requests fared.
type ClassStats struct {
	Class              string
	Requests           int
	InTime             int
	Late               int
	Refused            int
	Failed             int
	Left               int // the caller left early; nothing is owed
	OverAllowance      int // its workspace's allowance; nothing is owed
	EarnedValue        float64
	EligibleValue      float64
	WastedPromptTokens int // prompt tokens read for nothing
	// Median and P90 are times to the start of the answers: half and nine in
	// ten of those that were served began no later.
	Median, P90 time.Duration
}

// Result is how a pattern fared under a policy.
type Result struct {
	Pattern    string
	Policy     string
	Classes    []ClassStats
	ValueRatio float64 // earned of owed
	UpperBound float64 // of Worth, with perfect knowledge
	// ColdCrashes is how often a cold engine crashed from too many requests.
	ColdCrashes int
}

// job is a scheduled task of the replay.
type task struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type taskQueue []task

func (s taskQueue) Len() int { return len(s) }
func (s taskQueue) Less(i, j int) bool {
	if c := s[i].at.Compare(s[j].at); c != 0 {
		return c < 0
	}
	return s[i].seq < s[j].seq
}
func (s taskQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *taskQueue) Push(x any) { *s = append(*s, x.(task)) }

// Pop implements heap.Interface.
func (s *taskQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// player is one replay under way.
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

// Play plays a pattern under a policy; the same seed gives the same result.
func Play(p Pattern, policyName string, seed uint64) Result {
	start := time.Unix(0, 0)
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
	}
	play.scheduleFaults()
	for at := time.Duration(0); at < p.Length+drainTime; at += tickInterval {
		play.schedule(start.Add(at), play.policy.tick)
	}
	play.run()
	return play.result(policyName)
}

func (p *player) schedule(at time.Time, do func(now time.Time)) {
	p.seq++
	heap.Push(&p.tasks, task{at, p.seq, do})
}

// run plays steps and engines in the order of time.
func (p *player) run() {
	for len(p.tasks) > 0 {
		id, at := p.nextEngine()
		if id != "" && !at.After(p.tasks[0].at) {
			p.now = at
			p.handleEvents(id, at)
		} else {
			s := heap.Pop(&p.tasks).(task)
			p.now = s.at
			s.run(s.at)
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

// attemptFailed takes in that a run gave no answer: the host tries another target where it
// may, else the caller comes back where it may.
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

// applyDecisions carries out what the policy has decided.
func (p *player) applyDecisions() {
	for _, d := range p.policy.takeDecisions() {
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
		e.Submit(p.now, job)
		p.handleEvents(d.target, p.now)
	}
}

// refuse lets the caller come back once, or an eager one at once and more often.
func (p *player) refuse(q *request, after time.Duration) {
	delete(p.byAttempt, q.attempt)
	q.tries++
	most := maxTries
	if q.retriesAtOnce {
		after, most = immediateRetryDelay, maxImmediateTries
	}
	after = min(after, q.leaveAt.Sub(p.now)/3)
	if q.tries >= most || after <= 0 || q.neverRetries {
		q.closed, q.outcome = true, refused
		return
	}
	p.schedule(p.now.Add(after), func(now time.Time) { p.send(now, q, nil) })
}

// callerLeaves ends a request whose caller has no more patience. Callers that left
// before half of the objective are owed nothing.
func (p *player) callerLeaves(now time.Time, q *request) {
	if q.closed || !q.began.IsZero() {
		return
	}
	q.closed = true
	q.outcome = failed
	if q.leaveAt.Sub(q.at) < q.class.Patience {
		q.outcome = callerLeft
	}
	delete(p.byAttempt, q.attempt)
	if q.target == "" {
		p.policy.cancel(q)
		return
	}
	p.wasted[q.class.Name] += q.job.Prompt
	p.policy.done(now, q, broker.Cancelled)
	p.engines[q.target].Cancel(now, q.attempt)
}

func (p *player) scheduleFaults() {
	for _, t := range p.pattern.Faults {
		var hit []string
		for _, s := range p.pattern.Services {
			if s.Name != t.Service {
				continue
			}
			n := int(t.Share * float64(s.Targets))
			for _, i := range p.random.Perm(s.Targets)[:n] {
				hit = append(hit, targetID(s.Name, i))
			}
		}
		slices.Sort(hit)
		for _, id := range hit {
			p.scheduleFault(t, id)
		}
	}
}

func (p *player) scheduleFault(t Fault, id string) {
	begin, end := p.start.Add(t.At), p.start.Add(t.At+t.Duration)
	p.schedule(begin, func(now time.Time) {
		if t.Crash {
			p.engines[id].Crash(now, end)
			p.handleEvents(id, now)
		}
		if t.Slowdown > 0 {
			p.engines[id].SetSlowdown(t.Slowdown)
		}
		p.failureRates[id] = t.FailureRate
	})
	p.schedule(end, func(now time.Time) {
		if t.ColdFor > 0 {
			until := now.Add(t.ColdFor)
			p.engines[id].SetCold(until)
			p.policy.restartedCold(now, id, until)
		}
		if t.Slowdown > 0 {
			p.engines[id].SetSlowdown(1)
		}
		p.failureRates[id] = 0
	})
}
