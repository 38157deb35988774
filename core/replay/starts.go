package replay

import (
	"slices"
	"time"

	"yuccadoor/core/engine"
)

// startWarmUp is how engines warm up in the patterns of starts: three times as slow at
// first, and crashing with more than half of their slots in use.
var startWarmUp = engine.WarmUp{Length: 3 * time.Second, Factor: 3, MaxLoad: 2}

// startColdRate is the requests per second that an engine that has just started takes in the
// pattern with a configured rate.
const startColdRate = 4

// startPatterns returns the patterns in which engines start or recover. Their engines state
// their load, so that the product's slow start acts.
func startPatterns() []patternTemplate {
	return []patternTemplate{
		{Pattern{Name: "start-third", Description: "a third of the engines back from a restart under double load", Faults: []Fault{restarts(5, 2, thirdOfEngines...)}, Bursts: []Burst{burst(5, 9, 2)}}, warmUpEngines},
		{Pattern{Name: "start-rate", Description: "the same with a configured cold rate", Faults: []Fault{restarts(5, 2, thirdOfEngines...)}, Bursts: []Burst{burst(5, 9, 2)}}, warmUpEnginesAtRate},
		{Pattern{Name: "start-long", Description: "a third of the engines back, which take twelve seconds to be warm", Faults: []Fault{restarts(4, 1, thirdOfEngines...)}, Bursts: []Burst{burst(4, 14, 2)}}, warmUpEnginesLong},
		{Pattern{Name: "start-release", Description: "all engines replaced one after the other at one and a half times the load", Faults: release(), Bursts: []Burst{burst(3, 15, 1.5)}}, warmUpEngines},
		{Pattern{Name: "start-flapping", Description: "one engine that restarts every three seconds under double load", Faults: flapping(), Bursts: []Burst{burst(3, 14, 2)}}, warmUpEngines},
		{Pattern{Name: "start-all", Description: "all engines restart at once under one and a half times the load", Faults: []Fault{restarts(5, 1, allEngines()...)}, Bursts: []Burst{burst(5, 9, 1.5)}}, warmUpEngines},
		{Pattern{Name: "start-leader", Description: "a third of the engines back from a restart, and the leader lost a second later, under double load", Faults: []Fault{restarts(5, 2, thirdOfEngines...)}, Bursts: []Burst{burst(5, 9, 2)}, LeaderLostAt: 8 * time.Second}, warmUpEngines},
		{Pattern{Name: "start-slow", Description: "the slow engines back from a restart, and warm at once, under double load", Faults: []Fault{restarts(5, 2, slowEngines...)}, Bursts: []Burst{burst(5, 9, 2)}}, stateLoad},
	}
}

// engineCount is the number of engines in both shapes; every third of them is slow.
const engineCount = 12

var (
	thirdOfEngines = []int{0, 1, 2, 3}
	slowEngines    = []int{2, 5, 8, 11}
)

func allEngines() []int {
	var all []int
	for i := range engineCount {
		all = append(all, i)
	}
	return all
}

// restarts returns a fault by which engines are down for a time and then start.
func restarts(start, length float64, targets ...int) Fault {
	f := engineFault(start, length, 0)
	f.Crash, f.Restart, f.Targets = true, true, targets
	return f
}

// release returns restarts of all engines, one a second.
func release() []Fault {
	var all []Fault
	for i := range engineCount {
		all = append(all, restarts(4+float64(i), 1, i))
	}
	return all
}

// flapping returns repeated restarts of one engine.
func flapping() []Fault {
	var all []Fault
	for i := range 5 {
		all = append(all, restarts(3+3*float64(i), 0.5, 0))
	}
	return all
}

// restartsTargets reports whether targets start anew in the pattern.
func (p *Pattern) restartsTargets() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Restart })
}

func stateLoad(p *Pattern) {
	p.Services = slices.Clone(p.Services)
	for i := range p.Services {
		p.Services[i].StatesLoad = !p.Services[i].Profile.Plain
	}
}

func warmUpEngines(p *Pattern) {
	stateLoad(p)
	for i := range p.Services {
		if s := &p.Services[i]; s.StatesLoad {
			s.Profile.WarmUp = startWarmUp
		}
	}
}

func warmUpEnginesLong(p *Pattern) {
	warmUpEngines(p)
	for i := range p.Services {
		p.Services[i].Profile.WarmUp.Length *= 4
	}
}

func warmUpEnginesAtRate(p *Pattern) {
	warmUpEngines(p)
	for i := range p.Services {
		if s := &p.Services[i]; s.StatesLoad {
			s.Profile.MaxColdRate = startColdRate
		}
	}
}
