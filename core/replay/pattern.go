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
	Name      string
	Service   string
	PerSecond float64
	Prompt    Size          // tokens
	Output    Size          // tokens
	Work      time.Duration // of a plain service, mean
	Aim       time.Duration // to the start of the answer
	Patience  time.Duration // after which its caller leaves
	Worth     float64       // in time
	Late      float64
	Class     uint8 // urgency, 0 first
	Repeats   bool  // may run more than once
}

// Size is a heavy-tailed size with the given mean: log-normal, cut off.
type Size struct {
	Mean, Spread, Most float64
}

func (s Size) draw(r *rand.Rand) int {
	if s.Mean <= 0 {
		return 0
	}
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return int(min(max(math.Exp(mu+s.Spread*r.NormFloat64()), 1), s.Most))
}

// Service is what answers a class.
type Service struct {
	Name    string
	Targets int
	Profile engine.Profile
	// Slowness holds the factors of the targets' times in turn.
	Slowness []float64
}

// Trouble is something that happens to a share of a service's targets.
type Trouble struct {
	At      time.Duration
	For     time.Duration
	Service string
	Share   float64
	Slow    float64 // factor on all times; 0 to leave them
	Crash   bool
	Fail    float64 // share of answers that fail after running
}

// Burst multiplies the load of all classes, or of one.
type Burst struct {
	At, For time.Duration
	Factor  float64
	Class   string
}

// Pattern is one day of load.
type Pattern struct {
	Name     string
	About    string
	Length   time.Duration
	Services []Service
	Classes  []Class
	Bursts   []Burst
	Troubles []Trouble
	// Eager is the share of callers that come back at once, several times.
	Eager float64
	// Leave is the share of callers that leave within half of their objective.
	Leave float64
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

// The two deployments' shapes: engines whose speeds differ, before a plain
// service. Late answers keep half of their worth in the first, a tenth in the
// second.
func halfWorth() ([]Service, []Class) {
	services := []Service{
		{
			Name: "engine", Targets: 12, Slowness: []float64{0.68, 0.68, 3},
			Profile: engine.Profile{
				Slots: 4, Queue: 24, Step: 3700 * time.Microsecond, StepPerSlot: 19 * time.Microsecond,
				First: time.Millisecond, PromptPerMs: 63.9, Chunk: 4096, PerPairs: 367 * time.Microsecond,
			},
		},
		{Name: "plain", Targets: 3, Profile: engine.Profile{Slots: 6, Queue: 24, Plain: true}},
	}
	classes := []Class{
		{"review", "engine", 17.8, Size{3720, 1.1, 53200}, Size{120, 1.5, 1200}, 0, 800 * time.Millisecond, 4 * time.Second, 5.6, 2.7, 0, false},
		{"draft", "engine", 8.2, Size{2890, 1, 39600}, Size{52, 1.5, 500}, 0, 600 * time.Millisecond, 4 * time.Second, 2.6, 1.3, 1, true},
		{"note", "engine", 27, Size{1110, 1, 3790}, Size{172, 1.5, 1700}, 0, 500 * time.Millisecond, 4 * time.Second, 0.25, 0.12, 2, false},
		{"order", "plain", 13.3, Size{}, Size{}, 15 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond, 0.3, 0.15, 2, false},
		{"stock", "plain", 8, Size{}, Size{}, 15 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond, 0.3, 0.15, 2, true},
	}
	return services, classes
}

func tenthWorth() ([]Service, []Class) {
	services := []Service{
		{
			Name: "engine", Targets: 12, Slowness: []float64{0.68, 0.68, 3},
			Profile: engine.Profile{
				Slots: 5, Queue: 30, Step: 5610 * time.Microsecond, StepPerSlot: 121 * time.Microsecond,
				First: 61 * time.Millisecond, PromptPerMs: 54.6, Chunk: 4096, PerPairs: 248 * time.Microsecond,
			},
		},
		{Name: "plain", Targets: 4, Profile: engine.Profile{Slots: 6, Queue: 24, Plain: true}},
	}
	classes := []Class{
		{"review", "engine", 16.7, Size{3720, 1.1, 53200}, Size{120, 1.5, 1200}, 0, 800 * time.Millisecond, 3200 * time.Millisecond, 6.8, 0.68, 0, true},
		{"summary", "engine", 12.1, Size{2890, 1, 39600}, Size{52, 1.5, 510}, 0, 1500 * time.Millisecond, 6 * time.Second, 1.5, 0.15, 1, false},
		{"notice", "engine", 17.1, Size{1110, 1, 3790}, Size{172, 1.5, 1710}, 0, 2 * time.Second, 8 * time.Second, 0.31, 0.031, 2, true},
		{"order", "plain", 11.5, Size{}, Size{}, 30 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond, 0.3, 0.03, 2, false},
		{"stock", "plain", 8, Size{}, Size{}, 30 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond, 0.3, 0.03, 2, true},
	}
	return services, classes
}

// Patterns lists the named patterns.
func Patterns() []Pattern {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	whole := []Pattern{
		{Name: "calm", About: "half of capacity"},
		{Name: "twice", About: "twice capacity for five seconds", Bursts: []Burst{{seconds(5), seconds(5), 4, ""}}},
		{Name: "thrice", About: "three times capacity for three seconds", Bursts: []Burst{{seconds(5), seconds(3), 6, ""}}},
		{Name: "class", About: "the most urgent class at four times", Bursts: []Burst{{seconds(5), seconds(5), 4, "review"}}},
		{Name: "slowed", About: "a quarter of the engines eight times as slow", Troubles: []Trouble{{At: seconds(5), For: seconds(8), Service: "engine", Share: 0.25, Slow: 8}}, Bursts: []Burst{{seconds(5), seconds(5), 2, ""}}},
		{Name: "crashed", About: "a quarter of the engines down under double load", Troubles: []Trouble{{At: seconds(6), For: seconds(3), Service: "engine", Share: 0.25, Crash: true}}, Bursts: []Burst{{seconds(5), seconds(5), 2, ""}}},
		{Name: "failing", About: "answers fail at 45%", Troubles: []Trouble{{At: seconds(5), For: seconds(5), Service: "engine", Share: 1, Fail: 0.45}}},
		{Name: "eager", About: "callers that come back at once under three times the load", Eager: 0.3, Bursts: []Burst{{seconds(5), seconds(5), 3, ""}}},
		{Name: "leave", About: "callers that leave under three times the load", Leave: 0.3, Bursts: []Burst{{seconds(5), seconds(5), 3, ""}}},
	}
	var all []Pattern
	for _, p := range whole {
		p.Length = seconds(20)
		half := p
		half.Services, half.Classes = halfWorth()
		half.Name += "-half"
		tenth := p
		tenth.Services, tenth.Classes = tenthWorth()
		tenth.Name += "-tenth"
		all = append(all, half, tenth)
	}
	return all
}

// Named returns a pattern.
func Named(name string) (Pattern, bool) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		return Pattern{}, false
	}
	return all[i], true
}

// Names lists the patterns' names.
func Names() []string {
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return names
}

// request is one request of a played pattern.
type request struct {
	id      uint64
	class   *Class
	at      time.Time // of the caller's first try
	job     engine.Job
	aimAt   time.Time
	leaveAt time.Time
	eager   bool
	final   bool // its caller does not come back
	tries   int // of the caller
	runs    int
	sends   int
	attempt uint64 // number of the current try
	target  string // where it runs; empty while it waits
	sent    time.Time
	began   time.Time
	fails   bool // this run will fail
	closed  bool
	outcome outcome
}

type outcome string

const (
	inTime  outcome = "InTime"
	late    outcome = "Late"
	refused outcome = "Refused"
	failed  outcome = "Failed"
	left    outcome = "Left"
)

// arrivals draws the requests of a pattern in the order of time.
func (p *Pattern) arrivals(start time.Time, r *rand.Rand) []*request {
	all := p.recorded(start)
	if all == nil {
		all = p.draw(start, r)
	}
	for i, q := range all {
		q.id = uint64(i + 1)
	}
	return all
}

func (p *Pattern) recorded(start time.Time) []*request {
	classes := map[string]*Class{}
	for c := range p.Classes {
		classes[p.Classes[c].Name] = &p.Classes[c]
	}
	var all []*request
	for _, a := range p.Recorded {
		class := classes[a.Class]
		q := &request{class: class, at: start.Add(a.At), final: true, job: engine.Job{Prompt: a.Prompt, Output: a.Output, Work: a.Work}}
		q.aimAt, q.leaveAt = q.at.Add(class.Aim), q.at.Add(class.Patience)
		all = append(all, q)
	}
	return all
}

func (p *Pattern) draw(start time.Time, r *rand.Rand) []*request {
	var all []*request
	for c := range p.Classes {
		class := &p.Classes[c]
		at := time.Duration(0)
		for at < p.Length {
			rate := class.PerSecond * p.factor(at, class.Name)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			q := &request{class: class, at: start.Add(at), job: engine.Job{
				Prompt: class.Prompt.draw(r), Output: class.Output.draw(r),
				Work: time.Duration(float64(class.Work) * (0.5 + r.ExpFloat64()/2)),
			}}
			q.aimAt = q.at.Add(class.Aim)
			q.leaveAt = q.at.Add(class.Patience)
			if r.Float64() < p.Leave {
				q.leaveAt = q.at.Add(time.Duration(r.Float64() * float64(class.Aim) / 2))
			}
			q.eager = r.Float64() < p.Eager
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return a.at.Compare(b.at) })
	return all
}

func (p *Pattern) factor(at time.Duration, class string) float64 {
	f := 1.0
	for _, b := range p.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Class == "" || b.Class == class) {
			f *= b.Factor
		}
	}
	return f
}
