package replay

import (
	"fmt"
	"time"

	"yuccadoor/core/engine"
)

// Size of the deployment in which callers compete for too little capacity.
const (
	contendedEngines = 90
	// largestLoadShare is the share of the largest of its workspaces in all requests.
	largestLoadShare = 0.35
	smallWorkspaces  = 15
	// urgentWorkspace is the index of the one workspace with a more urgent tier.
	urgentWorkspace = 9
)

// contendedShape returns services and classes of that deployment: nearly all workspaces
// have one tier, so that the class decides.
func contendedShape() ([]Service, []Class) {
	const gap = 300 * time.Millisecond
	services := []Service{
		{
			Name: engineService, Targets: contendedEngines, Slowness: []float64{0.68, 0.68, 3}, StatesLoad: true,
			Profile: engine.Profile{
				Slots: 4, Queue: 24, StepTime: 4600 * time.Microsecond, StepPerSlot: 19 * time.Microsecond,
				FirstTokenDelay: time.Millisecond, PrefillTokensPerMs: 55, PrefillChunk: 4096, AttentionCost: 367 * time.Microsecond,
			},
		},
		{Name: "plain", Targets: 3, StatesLoad: true, Profile: engine.Profile{Slots: 6, Queue: 24, Plain: true}},
	}
	classes := []Class{
		{
			Name: "review", Service: engineService, PerSecond: 152, Prompt: Size{Mean: 3720, Sigma: 1.1, Max: 53200}, Output: Size{Mean: 120, Sigma: 1.5, Max: 1200},
			Objective: 800 * time.Millisecond, MaxPause: gap, Patience: 3200 * time.Millisecond, TotalWait: 10 * time.Second, ValueIfInTime: 5.3, ValueIfLate: 1.6,
		},
		{
			Name: "draft", Service: engineService, PerSecond: 66, Prompt: Size{Mean: 2890, Sigma: 1, Max: 39600}, Output: Size{Mean: 50, Sigma: 1.5, Max: 500},
			Objective: 600 * time.Millisecond, MaxPause: gap, Patience: 2400 * time.Millisecond, TotalWait: 6 * time.Second, ValueIfInTime: 2.5, ValueIfLate: 0.76, Priority: 1, Idempotent: true,
		},
		{
			Name: "note", Service: engineService, PerSecond: 202, Prompt: Size{Mean: 1110, Sigma: 1, Max: 3790}, Output: Size{Mean: 170, Sigma: 1.5, Max: 1700},
			Objective: 400 * time.Millisecond, MaxPause: gap, Patience: 2400 * time.Millisecond, TotalWait: 12 * time.Second, ValueIfInTime: 0.26, ValueIfLate: 0.079, Priority: 2,
		},
		{
			Name: "order", Service: "plain", PerSecond: 105, Work: 60 * time.Millisecond,
			Objective: 300 * time.Millisecond, Patience: 1500 * time.Millisecond, ValueIfInTime: 0.3, ValueIfLate: 0.09, Priority: 2,
		},
		{
			Name: "stock", Service: "plain", PerSecond: 42, Work: 60 * time.Millisecond,
			Objective: 300 * time.Millisecond, Patience: 1500 * time.Millisecond, ValueIfInTime: 0.3, ValueIfLate: 0.09, Priority: 2, Idempotent: true,
		},
	}
	return services, classes
}

// contendedWorkspaces returns a large workspace, and smaller ones of falling size. One has a
// more urgent tier.
func contendedWorkspaces() []Workspace {
	all := []Workspace{{Name: "large", LoadShare: largestLoadShare, Tier: 1}}
	weights := 0.0
	for n := range smallWorkspaces {
		weights += 1 / float64(n+2)
	}
	for n := range smallWorkspaces {
		all = append(all, Workspace{Name: fmt.Sprint("small-", n), LoadShare: (1 - largestLoadShare) / float64(n+2) / weights, Tier: 1})
	}
	all[urgentWorkspace].Tier = 0
	return all
}

// ContendedPatterns returns the patterns in which callers compete for too little capacity.
// They are ten times as large as the others.
func ContendedPatterns() []Pattern {
	class := func(name string) Burst {
		b := burst(5, 6.4, 2.3)
		b.Class = name
		return b
	}
	workspace := func(name string, factor float64) Burst {
		b := burst(5, 6, factor)
		b.Workspace = name
		return b
	}
	down := func(share float64) []Fault {
		f := engineFault(5, 8, share)
		f.Crash = true
		return []Fault{f}
	}
	all := []Pattern{
		{Name: "contend-calm", Description: "90 engines, 16 workspaces, normal load"},
		{Name: "contend-peak", Description: "the same at 1.9 times the load for 5 s, a quarter of the engines down", Bursts: []Burst{burst(5, 5, 1.9)}, Faults: down(0.25)},
		{Name: "contend-short", Description: "the same at twice the load for 2.5 s, a fifth of the engines down", Bursts: []Burst{burst(5, 2.5, 2)}, Faults: down(0.2)},
		{Name: "contend-large", Description: "the largest workspace at 4 times its load, a fifth of the engines down", Bursts: []Burst{workspace("large", 4)}, Faults: down(0.2)},
		{Name: "contend-small", Description: "a smaller workspace at 8 times its load, a quarter of the engines down", Bursts: []Burst{workspace("small-0", 8)}, Faults: down(0.25)},
		{Name: "contend-class", Description: "the least urgent class at 2.3 times its load, a fifth of the engines down", Bursts: []Burst{class("note")}, Faults: down(0.2)},
		{Name: "contend-urgent", Description: "the most urgent class at 2.3 times its load, a quarter of the engines down", Bursts: []Burst{class("review")}, Faults: down(0.25)},
	}
	for i := range all {
		all[i].Length, all[i].Workspaces, all[i].ImmediateRetryShare = patternLength, contendedWorkspaces(), 0.05
		all[i].Services, all[i].Classes = contendedShape()
	}
	return all
}
