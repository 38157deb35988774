// Package replay simulates named load patterns against engine models in virtual
// time under each routing policy, so that routing under load can be measured and
// reproduced without a network. All randomness comes from a seed.
package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yuccadoor/core/engine"
	"yuccadoor/core/model"
)

// Class describes one kind of request in a pattern.
type Class struct {
	Name      string
	Service   string
	PerSecond float64       // requests
	Prompt    Size          // tokens
	Output    Size          // tokens
	Work      time.Duration // mean processing time at a plain service
	Objective time.Duration // for the time to the start of the answer
	MaxPause  time.Duration // longest pause between two stream events of an answer in time; 0 for no limit
	Patience  time.Duration // time after which the caller disconnects if the answer has not started
	TimeLimit time.Duration // time after which the caller disconnects in any case; 0 for none
	// TotalWait is how long the caller waits in all, if its patience begins anew with its
	// next try; 0 if it does not.
	TotalWait      time.Duration
	ValueIfInTime  float64 // earned by an answer in time
	ValueIfLate    float64 // earned by a late answer
	Priority       uint8   // 0 is the most urgent
	Idempotent     bool    // a request may run more than once
	SharedPrefixes int     // distinct prompt prefixes beside the most frequent one; 0 if prompts share nothing
	HotPrefixShare float64 // share of requests whose prompt has the most frequent prefix
	PrefixShare    float64 // part of a prompt that the shared prefix makes up
}

// Workspace is one customer in a pattern, with an allowance of its own.
type Workspace struct {
	Name      string
	LoadShare float64 // of all requests, as a relative weight
	PerSecond float64 // allowance: rate in tokens per second
	Burst     float64 // allowance: bucket size in tokens
	Tier      model.Tier
}

// Size is a heavy-tailed size distribution: log-normal with the given mean, capped
// at Max.
type Size struct {
	Mean, Sigma, Max float64
	MaxShare         float64 // share of samples that equal Max
}

func (s Size) sample(r *rand.Rand) int {
	if s.Mean <= 0 {
		return 0
	}
	if s.MaxShare > 0 && r.Float64() < s.MaxShare {
		return int(s.Max)
	}
	mu := math.Log(s.Mean) - s.Sigma*s.Sigma/2
	return int(min(max(math.Exp(mu+s.Sigma*r.NormFloat64()), 1), s.Max))
}

// Service is a group of targets that answers the requests of its classes.
type Service struct {
	Name    string
	Targets int
	Profile engine.Profile
	// Slowness lists factors on the processing times, assigned to the targets
	// round-robin.
	Slowness []float64
	// StatesLoad is set if the targets state their load, with how long work takes on their
	// machines, in their answers.
	StatesLoad bool
	Contention Contention
}

// Fault is a fault injected into a share of a service's targets.
type Fault struct {
	At          time.Duration
	Duration    time.Duration
	Service     string
	Share       float64
	Targets     []int   // numbers of the affected targets; nil for a random Share of them
	Slowdown    float64 // factor on all times; 0 for no change
	Crash       bool
	Restart     bool          // the targets start anew when the fault ends, see engine.WarmUp
	ColdFor     time.Duration // how long targets are cold after the fault ends
	FailureRate float64       // share of requests that fail after they ran
}

// Burst multiplies the load of all requests, of one class or of one workspace.
type Burst struct {
	At, Duration time.Duration
	Factor       float64
	Class        string
	Workspace    string
}

// Pattern is a load scenario: targets, request classes, bursts and faults.
type Pattern struct {
	Name        string
	Description string
	Length      time.Duration
	Services    []Service
	Classes     []Class
	// Workspaces divide the requests among them; without any, no allowance applies.
	// Requests over an allowance are excluded from the value.
	Workspaces []Workspace
	Bursts     []Burst
	Faults     []Fault
	Swing      Swing
	// LeaderLostAt is when another leader takes over; 0 for never.
	LeaderLostAt time.Duration
	// ImmediateRetryShare is the share of callers that retry a refused request
	// almost at once, several times.
	ImmediateRetryShare float64
	// EarlyLeaveShare is the share of callers that disconnect within half of their
	// objective.
	EarlyLeaveShare float64
	// Recorded arrivals, in time order, replace generated ones. They include the
	// callers' retries, so a refused request is not retried.
	Recorded []Arrival
}

// Arrival is one recorded request.
type Arrival struct {
	At     time.Duration // since the start of the pattern
	Class  string
	Prompt int           // tokens
	Output int           // tokens
	Work   time.Duration // processing time at a plain service
}

// request is the state of one request during a replay.
type request struct {
	id            uint64
	class         *Class
	at            time.Time // arrival of the caller's first try
	job           engine.Job
	objectiveAt   time.Time
	leaveAt       time.Time
	retriesAtOnce bool
	neverRetries  bool       // a refusal is final
	overAllowance bool       // the request exceeds its workspace's allowance
	workspace     *Workspace // nil for none
	tries         int        // tries of the caller that were refused
	runs          int        // that gave no answer
	sends         int        // times it was handed to the policy
	attempt       uint64     // ID of the current attempt
	target        string     // where it runs; empty while it is queued
	sent          time.Time
	began         time.Time
	longestPause  time.Duration // longest pause between two stream events
	willFail      bool          // the current run will fail
	closed        bool
	outcome       outcome
}

type outcome string

const (
	inTime     outcome = "InTime"
	late       outcome = "Late"
	refused    outcome = "Refused"
	failed     outcome = "Failed"
	callerLeft outcome = "Left"
)

// arrivals returns the requests of a pattern, recorded or generated, in time order.
func (p *Pattern) arrivals(start time.Time, r *rand.Rand) []*request {
	all := p.recordedArrivals(start)
	if all == nil {
		all = p.generateArrivals(start, r)
	}
	for i, q := range all {
		q.id = uint64(i + 1)
	}
	return all
}

func (p *Pattern) recordedArrivals(start time.Time) []*request {
	classes := map[string]*Class{}
	for c := range p.Classes {
		classes[p.Classes[c].Name] = &p.Classes[c]
	}
	var all []*request
	for _, a := range p.Recorded {
		class := classes[a.Class]
		q := &request{class: class, at: start.Add(a.At), neverRetries: true, job: engine.Job{Prompt: a.Prompt, Output: a.Output, Work: a.Work}}
		q.objectiveAt, q.leaveAt = q.at.Add(class.Objective), q.at.Add(class.Patience)
		all = append(all, q)
	}
	return all
}

func (p *Pattern) generateArrivals(start time.Time, r *rand.Rand) []*request {
	var all []*request
	for c := range p.Classes {
		class := &p.Classes[c]
		at := time.Duration(0)
		for at < p.Length {
			weights, total := p.workspaceLoads(at)
			rate := class.PerSecond * p.burstFactor(at, class.Name) * total
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			q := &request{class: class, at: start.Add(at), job: engine.Job{
				Prompt: class.Prompt.sample(r), Output: class.Output.sample(r),
				Work: time.Duration(float64(class.Work) * (0.5 + r.ExpFloat64()/2)),
			}}
			class.assignPrefix(q, r)
			q.workspace = p.pickWorkspace(weights, total, r)
			q.objectiveAt = q.at.Add(class.Objective)
			q.leaveAt = q.at.Add(class.Patience)
			if r.Float64() < p.EarlyLeaveShare {
				q.leaveAt = q.at.Add(time.Duration(r.Float64() * float64(class.Objective) / 2))
			}
			q.retriesAtOnce = r.Float64() < p.ImmediateRetryShare
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return a.at.Compare(b.at) })
	p.markOverAllowance(all)
	return all
}

// assignPrefix draws the shared prefix of a request's prompt.
func (c *Class) assignPrefix(q *request, r *rand.Rand) {
	if c.SharedPrefixes == 0 {
		return
	}
	q.job.PrefixID = 1
	if r.Float64() >= c.HotPrefixShare {
		q.job.PrefixID = 2 + r.Uint64N(uint64(c.SharedPrefixes))
	}
	q.job.PrefixTokens = int(c.PrefixShare * float64(q.job.Prompt))
}

// workspaceLoads returns each workspace's share of the load at a time, and their
// sum, which is 1 without a burst.
func (p *Pattern) workspaceLoads(at time.Duration) (weights []float64, total float64) {
	if len(p.Workspaces) == 0 {
		return nil, 1
	}
	for _, w := range p.Workspaces {
		share := w.LoadShare
		for _, b := range p.Bursts {
			if b.Workspace == w.Name && at >= b.At && at < b.At+b.Duration {
				share *= b.Factor
			}
		}
		weights = append(weights, share)
		total += share
	}
	return weights, total
}

// pickWorkspace draws a workspace at random by weight; nil if there is none.
func (p *Pattern) pickWorkspace(weights []float64, total float64, r *rand.Rand) *Workspace {
	remaining := r.Float64() * total
	for i, w := range weights {
		if remaining -= w; remaining < 0 || i == len(weights)-1 {
			return &p.Workspaces[i]
		}
	}
	return nil
}

// markOverAllowance marks the requests that exceed their workspaces' allowances,
// using one token bucket per workspace.
func (p *Pattern) markOverAllowance(all []*request) {
	levels := map[string]float64{}
	last := map[string]time.Time{}
	for _, q := range all {
		w := q.workspace
		if w == nil || w.PerSecond <= 0 {
			continue
		}
		level, ok := levels[w.Name]
		if !ok {
			level = w.Burst
		} else {
			level = min(level+q.at.Sub(last[w.Name]).Seconds()*w.PerSecond, w.Burst)
		}
		last[w.Name] = q.at
		q.overAllowance = q.tokens() > level
		if !q.overAllowance {
			level -= q.tokens()
		}
		levels[w.Name] = level
	}
}

func (q *request) tokens() float64 { return float64(q.job.Prompt + q.job.Output) }

// burstFactor returns the factor of the swing and all bursts on the load of a class at a time,
// without those of single workspaces.
func (p *Pattern) burstFactor(at time.Duration, class string) float64 {
	f := p.Swing.factor(at)
	for _, b := range p.Bursts {
		if b.Workspace == "" && at >= b.At && at < b.At+b.Duration && (b.Class == "" || b.Class == class) {
			f *= b.Factor
		}
	}
	return f
}
