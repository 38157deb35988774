package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yuccadoor/core/engine"
	"yuccadoor/core/speed"
)

// Contention describes other work on the machines of a service's targets. It comes in
// spells, whose lengths and distances are random.
type Contention struct {
	Factor float64       // on all times, during a spell
	Share  float64       // of the time that spells take
	Spell  time.Duration // mean length of a spell; 0 for no contention
}

// Swing is a periodic change of the load of all requests.
type Swing struct {
	Amplitude float64       // relative to the mean load
	Period    time.Duration // 0 for no swing
}

// factor is the load at a time, relative to its mean.
func (s Swing) factor(at time.Duration) float64 {
	if s.Period <= 0 {
		return 1
	}
	return 1 + s.Amplitude*math.Sin(2*math.Pi*at.Seconds()/s.Period.Seconds())
}

// scheduleContention schedules the spells of all targets. They have a random source of their
// own, so that they are the same under each policy.
func (p *player) scheduleContention(r *rand.Rand) {
	for _, s := range p.pattern.Services {
		if s.Contention.Spell <= 0 {
			continue
		}
		for n := range s.Targets {
			p.scheduleSpells(&s.Contention, p.engines[targetID(s.Name, n)], r)
		}
	}
}

func (p *player) scheduleSpells(c *Contention, e *engine.Engine, r *rand.Rand) {
	spell := c.Spell.Seconds()
	gap := spell * (1 - c.Share) / c.Share
	random := func(mean float64) time.Duration { return time.Duration(mean * r.ExpFloat64() * float64(time.Second)) }
	for at := random(gap); at < p.pattern.Length+drainTime; at += random(gap) {
		p.schedule(p.start.Add(at), func(time.Time) { e.SetContention(c.Factor) })
		at += random(spell)
		p.schedule(p.start.Add(at), func(time.Time) { e.SetContention(1) })
	}
}

// StatesLoad reports whether targets state their load.
func (p *Pattern) StatesLoad() bool {
	return slices.ContainsFunc(p.Services, func(s Service) bool { return s.StatesLoad })
}

// withoutStatedLoad returns the pattern with targets that do not state their load.
func (p *Pattern) withoutStatedLoad() *Pattern {
	silent := *p
	silent.Services = slices.Clone(p.Services)
	for i := range silent.Services {
		silent.Services[i].StatesLoad = false
	}
	return &silent
}

// stateLoad passes what the target of a request states at the head of its answer to the
// policy.
func (p *player) stateLoad(now time.Time, q *request) {
	for _, s := range p.pattern.Services {
		if s.Name == q.class.Service && s.StatesLoad {
			e := p.engines[q.target]
			p.policy.loadStated(now, speed.Report{Target: q.target, Running: e.Load(), Slots: s.Profile.Slots, Slowdown: e.StatedSlowdown()})
		}
	}
}

// Load of the patterns with shared machines. Demand is that of deployment B, scaled down.
const (
	sharedTargets = 18
	sharedScale   = sharedTargets / 90.0
)

// sharedShape returns the services and classes of the patterns with shared machines.
func sharedShape(slots int) ([]Service, []Class) {
	engines := Service{
		Name: engineService, Targets: sharedTargets, Slowness: []float64{0.68, 0.68, 3}, StatesLoad: true,
		Contention: Contention{Factor: 2.5, Share: 0.15, Spell: 600 * time.Millisecond},
		Profile: engine.Profile{
			Slots: slots, Queue: 6 * slots, StepTime: 3700 * time.Microsecond, StepPerSlot: 19 * time.Microsecond,
			FirstTokenDelay: time.Millisecond, PrefillTokensPerMs: 63.9, PrefillChunk: 4096, AttentionCost: 367 * time.Microsecond,
		},
	}
	const pause = 600 * time.Millisecond
	classes := []Class{
		{
			Name: "review", Service: engineService, PerSecond: 204 * sharedScale, Prompt: Size{Mean: 3720, Sigma: 1.1, Max: 53200}, MaxPause: pause,
			Output: Size{Mean: 120, Sigma: 1.5, Max: 1200}, Objective: 800 * time.Millisecond, Patience: 4800 * time.Millisecond, TimeLimit: 8 * time.Second, ValueIfInTime: 5.3, ValueIfLate: 2.5,
		},
		{
			Name: "draft", Service: engineService, PerSecond: 160 * sharedScale, Prompt: Size{Mean: 2890, Sigma: 1, Max: 39600}, MaxPause: pause,
			Output: Size{Mean: 50, Sigma: 1.5, Max: 500}, Objective: 600 * time.Millisecond, Patience: 4800 * time.Millisecond, TimeLimit: 5 * time.Second, ValueIfInTime: 2.4, ValueIfLate: 1.2, Priority: 1, Idempotent: true,
		},
		{
			Name: "note", Service: engineService, PerSecond: 223 * sharedScale, Prompt: Size{Mean: 1110, Sigma: 1, Max: 3790}, MaxPause: pause,
			Output: Size{Mean: 170, Sigma: 1.5, Max: 1700}, Objective: 600 * time.Millisecond, Patience: 4800 * time.Millisecond, TimeLimit: 10 * time.Second, ValueIfInTime: 0.34, ValueIfLate: 0.17, Priority: 2,
		},
	}
	return []Service{engines}, classes
}

// sharedPatterns returns the patterns of targets whose machines carry other work too.
func sharedPatterns() []Pattern {
	all := []Pattern{
		{Name: "shared", Description: "engines that share their machines, 2.5 times as slow for 15% of the time"},
		{Name: "shared-swing", Description: "the same, with demand swinging by 0.55", Swing: Swing{Amplitude: 0.55, Period: 15 * time.Second}},
		{Name: "shared-burst", Description: "the same, with twice the load for 2.5 s", Bursts: []Burst{burst(6, 2.5, 2), burst(14, 2.5, 2)}},
		{Name: "shared-four", Description: "the same, with four slots a target and twice the load for 2.5 s", Bursts: []Burst{burst(6, 2.5, 2)}},
	}
	slowed := engineFault(5, 8, 0.25)
	slowed.Slowdown = 8
	all = append(all, Pattern{Name: "shared-slowed", Description: "the same, with a quarter of the engines eight times as slow without stating it", Faults: []Fault{slowed}})
	for i := range all {
		slots := 5
		if all[i].Name == "shared-four" {
			slots = 4
		}
		all[i].Length = patternLength
		all[i].Services, all[i].Classes = sharedShape(slots)
	}
	return all
}
