// Package replay plays named load patterns against engine models in virtual
// time, for each policy that is kept, so that a decision under load can be
// measured and repeated without a network. All randomness comes from a seed.
package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yuccadoor/core/engine"
)

// Class is one kind of request of a pattern.
type Class struct {
	Name           string
	Service        string
	PerSecond      float64
	Prompt         Size          // tokens
	Output         Size          // tokens
	Work           time.Duration // of a plain service, mean
	Objective      time.Duration // to the start of the answer
	MaxPause       time.Duration // between two events of its stream, for which it is in time; 0 for any
	Patience       time.Duration // after which its caller leaves
	ValueIfInTime  float64       // in time
	ValueIfLate    float64
	Priority       uint8   // urgency, 0 first
	Idempotent     bool    // may run more than once
	SharedPrefixes int     // what its prompts are about; 0 for nothing in common
	HotPrefixShare float64 // share of requests that are about one subject
	PrefixShare    float64 // part of a prompt that those of one subject share
}

// Workspace is one customer of a pattern.
type Workspace struct {
	Name      string
	LoadShare float64 // of all requests, by weight
	PerSecond float64 // tokens that it may use, over time
	Burst     float64 // tokens that it may use at once
}

// Size is a heavy-tailed size with the given mean: log-normal, cut off.
type Size struct {
	Mean, Sigma, Max float64
	MaxShare         float64 // share of draws that are Most
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

// Service is what answers a class.
type Service struct {
	Name    string
	Targets int
	Profile engine.Profile
	// Slowness holds the factors of the targets' times in turn.
	Slowness []float64
}

// Fault is something that happens to a share of a service's targets.
type Fault struct {
	At          time.Duration
	Duration    time.Duration
	Service     string
	Share       float64
	Slowdown    float64 // factor on all times; 0 to leave them
	Crash       bool
	ColdFor     time.Duration // how long targets are cold that were down
	FailureRate float64       // share of answers that fail after running
}

// Burst multiplies the load of all, of one class, or of one workspace.
type Burst struct {
	At, Duration time.Duration
	Factor       float64
	Class        string
	Workspace    string
}

// Pattern is one day of load.
type Pattern struct {
	Name        string
	Description string
	Length      time.Duration
	Services    []Service
	Classes     []Class
	// Workspaces share the requests; without any, none is bounded. What one asks
	// beyond its allowance is not owed.
	Workspaces []Workspace
	Bursts     []Burst
	Faults     []Fault
	// ImmediateRetryShare is the share of callers that come back at once, several times.
	ImmediateRetryShare float64
	// EarlyLeaveShare is the share of callers that leave within half of their objective.
	EarlyLeaveShare float64
	// Recorded arrivals, in the order of time, are played instead of drawn ones.
	// Callers that come back are among them, so that a refusal is final.
	Recorded []Arrival
}

// Arrival is one recorded request.
type Arrival struct {
	At     time.Duration // from the start
	Class  string
	Prompt int           // tokens
	Output int           // tokens
	Work   time.Duration // of a plain service
}

// request is one request of a played pattern.
type request struct {
	id            uint64
	class         *Class
	at            time.Time // of the caller's first try
	job           engine.Job
	objectiveAt   time.Time
	leaveAt       time.Time
	retriesAtOnce bool
	neverRetries  bool       // its caller does not come back
	overAllowance bool       // its workspace's allowance
	workspace     *Workspace // nil for none
	tries         int        // of the caller
	runs          int
	sends         int
	attempt       uint64 // number of the current try
	target        string // where it runs; empty while it waits
	sent          time.Time
	began         time.Time
	longestPause  time.Duration // the longest between two events
	willFail      bool          // this run will fail
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

// arrivals draws the requests of a pattern in the order of time.
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

// assignPrefix gives a request its subject.
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

// workspaceLoads gives each workspace's part of the load at a time, and their sum, which
// is 1 without a burst.
func (p *Pattern) workspaceLoads(at time.Duration) (weights []float64, total float64) {
	if len(p.Workspaces) == 0 {
		return nil, 1
	}
	for _, w := range p.Workspaces {
		part := w.LoadShare
		for _, b := range p.Bursts {
			if b.Workspace == w.Name && at >= b.At && at < b.At+b.Duration {
				part *= b.Factor
			}
		}
		weights = append(weights, part)
		total += part
	}
	return weights, total
}

// pickWorkspace draws a workspace by weight; nil if there is none.
func (p *Pattern) pickWorkspace(weights []float64, total float64, r *rand.Rand) *Workspace {
	left := r.Float64() * total
	for i, w := range weights {
		if left -= w; left < 0 || i == len(weights)-1 {
			return &p.Workspaces[i]
		}
	}
	return nil
}

// markOverAllowance marks the requests that are beyond their workspaces' allowances, by the
// plainest bucket.
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

func (p *Pattern) burstFactor(at time.Duration, class string) float64 {
	f := 1.0
	for _, b := range p.Bursts {
		if b.Workspace == "" && at >= b.At && at < b.At+b.Duration && (b.Class == "" || b.Class == class) {
			f *= b.Factor
		}
	}
	return f
}
