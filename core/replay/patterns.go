package replay

import (
	"fmt"
	"slices"
	"time"

	"yuccadoor/core/engine"
)

// The two deployments' shapes: engines whose speeds differ, before a plain
// service. Late answers keep half of their worth in the first, a tenth in the
// second.
func halfValueShape() ([]Service, []Class) {
	services := []Service{
		{
			Name: "engine", Targets: 12, Slowness: []float64{0.68, 0.68, 3},
			Profile: engine.Profile{
				Slots: 4, Queue: 24, StepTime: 3700 * time.Microsecond, StepPerSlot: 19 * time.Microsecond,
				FirstTokenDelay: time.Millisecond, PrefillTokensPerMs: 63.9, PrefillChunk: 4096, AttentionCost: 367 * time.Microsecond,
			},
		},
		{Name: "plain", Targets: 3, Profile: engine.Profile{Slots: 6, Queue: 24, Plain: true}},
	}
	classes := []Class{
		{
			Name: "review", Service: "engine", PerSecond: 17.8, Prompt: Size{Mean: 3720, Sigma: 1.1, Max: 53200},
			Output: Size{Mean: 120, Sigma: 1.5, Max: 1200}, Objective: 800 * time.Millisecond, Patience: 4 * time.Second, ValueIfInTime: 5.6, ValueIfLate: 2.7,
		},
		{
			Name: "draft", Service: "engine", PerSecond: 8.2, Prompt: Size{Mean: 2890, Sigma: 1, Max: 39600},
			Output: Size{Mean: 52, Sigma: 1.5, Max: 500}, Objective: 600 * time.Millisecond, Patience: 4 * time.Second, ValueIfInTime: 2.6, ValueIfLate: 1.3, Priority: 1, Idempotent: true,
		},
		{
			Name: "note", Service: "engine", PerSecond: 27, Prompt: Size{Mean: 1110, Sigma: 1, Max: 3790},
			Output: Size{Mean: 172, Sigma: 1.5, Max: 1700}, Objective: 500 * time.Millisecond, Patience: 4 * time.Second, ValueIfInTime: 0.25, ValueIfLate: 0.12, Priority: 2,
		},
		{
			Name: "order", Service: "plain", PerSecond: 13.3, Work: 15 * time.Millisecond,
			Objective: 100 * time.Millisecond, Patience: 800 * time.Millisecond, ValueIfInTime: 0.3, ValueIfLate: 0.15, Priority: 2,
		},
		{
			Name: "stock", Service: "plain", PerSecond: 8, Work: 15 * time.Millisecond,
			Objective: 100 * time.Millisecond, Patience: 800 * time.Millisecond, ValueIfInTime: 0.3, ValueIfLate: 0.15, Priority: 2, Idempotent: true,
		},
	}
	return services, classes
}

func tenthValueShape() ([]Service, []Class) {
	services := []Service{
		{
			Name: "engine", Targets: 12, Slowness: []float64{0.68, 0.68, 3},
			Profile: engine.Profile{
				Slots: 5, Queue: 30, StepTime: 5610 * time.Microsecond, StepPerSlot: 121 * time.Microsecond,
				FirstTokenDelay: 61 * time.Millisecond, PrefillTokensPerMs: 54.6, PrefillChunk: 4096, AttentionCost: 248 * time.Microsecond,
			},
		},
		{Name: "plain", Targets: 4, Profile: engine.Profile{Slots: 6, Queue: 24, Plain: true}},
	}
	classes := []Class{
		{
			Name: "review", Service: "engine", PerSecond: 16.7, Prompt: Size{Mean: 3720, Sigma: 1.1, Max: 53200},
			Output: Size{Mean: 120, Sigma: 1.5, Max: 1200}, Objective: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, ValueIfInTime: 6.8, ValueIfLate: 0.68, Idempotent: true,
		},
		{
			Name: "summary", Service: "engine", PerSecond: 12.1, Prompt: Size{Mean: 2890, Sigma: 1, Max: 39600},
			Output: Size{Mean: 52, Sigma: 1.5, Max: 510}, Objective: 1500 * time.Millisecond, Patience: 6 * time.Second, ValueIfInTime: 1.5, ValueIfLate: 0.15, Priority: 1,
		},
		{
			Name: "notice", Service: "engine", PerSecond: 17.1, Prompt: Size{Mean: 1110, Sigma: 1, Max: 3790},
			Output: Size{Mean: 172, Sigma: 1.5, Max: 1710}, Objective: 2 * time.Second, Patience: 8 * time.Second, ValueIfInTime: 0.31, ValueIfLate: 0.031, Priority: 2, Idempotent: true,
		},
		{
			Name: "order", Service: "plain", PerSecond: 11.5, Work: 30 * time.Millisecond,
			Objective: 150 * time.Millisecond, Patience: 800 * time.Millisecond, ValueIfInTime: 0.3, ValueIfLate: 0.03, Priority: 2,
		},
		{
			Name: "stock", Service: "plain", PerSecond: 8, Work: 30 * time.Millisecond,
			Objective: 150 * time.Millisecond, Patience: 800 * time.Millisecond, ValueIfInTime: 0.3, ValueIfLate: 0.03, Priority: 2, Idempotent: true,
		},
	}
	return services, classes
}

// besidePattern is a shape of its own: engines that run many streams at once, a third
// of them five times as slow as the fastest, and callers that bear short pauses. A
// prompt is read in parts between the tokens of the streams beside it.
func besidePattern() Pattern {
	p := Pattern{
		Name: "beside", Description: "long prompts beside streams that bear pauses of 400 ms, engines of 0.55 to 2.8 times the time",
		Bursts: []Burst{burst(5, 5, 1.5), burst(13, 3, 1.9)},
	}
	p.Services = []Service{{
		Name: engineService, Targets: 9, Slowness: []float64{0.55, 1, 2.8},
		Profile: engine.Profile{
			Slots: 9, Queue: 54, StepTime: 3880 * time.Microsecond, StepPerSlot: 28 * time.Microsecond, TokensPerEvent: 6,
			FirstTokenDelay: 12 * time.Millisecond, PrefillTokensPerMs: 66.2, PrefillChunk: 2048, AttentionCost: 276 * time.Microsecond,
		},
	}}
	const pause = 400 * time.Millisecond
	p.Classes = []Class{
		{
			Name: "summary", Service: engineService, PerSecond: 15.1, Prompt: Size{Mean: 6610, Sigma: 1.4, Max: 54600}, MaxPause: pause,
			Output: Size{Mean: 382, Sigma: 1.5, Max: 3840}, Objective: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, ValueIfInTime: 8, ValueIfLate: 2.4,
		},
		{
			Name: "note", Service: engineService, PerSecond: 19.6, Prompt: Size{Mean: 628, Sigma: 1, Max: 3310}, MaxPause: pause,
			Output: Size{Mean: 292, Sigma: 1.5, Max: 2940}, Objective: 400 * time.Millisecond, Patience: 3200 * time.Millisecond, ValueIfInTime: 1.5, ValueIfLate: 0.45, Priority: 1, Idempotent: true,
		},
		{
			Name: "check", Service: engineService, PerSecond: 21.2, Prompt: Size{Mean: 1800, Sigma: 1.3, Max: 6870}, MaxPause: pause,
			Output: Size{Mean: 23, Sigma: 1.5, Max: 228}, Objective: 400 * time.Millisecond, Patience: 3 * time.Second, ValueIfInTime: 0.38, ValueIfLate: 0.11, Priority: 2,
		},
	}
	return p
}

// Patterns lists the named patterns, most of them in both shapes.
func Patterns() []Pattern {
	var all []Pattern
	for _, p := range append(loadPatterns(), faultPatterns()...) {
		p.Length = patternLength
		for _, name := range []string{"half", "tenth"} {
			shape, _ := ShapeByName(name)
			shaped := p.Pattern
			shaped.Name += "-" + name
			shaped.Services, shaped.Classes = shape.Services, shape.Classes
			if p.adapt != nil {
				p.adapt(&shaped)
			}
			all = append(all, shaped)
		}
	}
	beside := besidePattern()
	beside.Length = patternLength
	return append(all, beside)
}

// patternLength is how long load comes in.
const patternLength = 20 * time.Second

// patternTemplate is a pattern before it has a shape; change, which may be nil, adapts it.
type patternTemplate struct {
	Pattern
	adapt func(p *Pattern)
}

// span makes a span of a pattern: all of them begin when the load is steady.
func span(start, length float64) (at, lasts time.Duration) {
	return time.Duration(start * float64(time.Second)), time.Duration(length * float64(time.Second))
}

func burst(start, length, factor float64) Burst {
	at, lasts := span(start, length)
	return Burst{At: at, Duration: lasts, Factor: factor}
}

// engineFault is of the engines' service.
func engineFault(start, length, share float64) Fault {
	at, lasts := span(start, length)
	return Fault{At: at, Duration: lasts, Service: engineService, Share: share}
}

// engineService is the name of the shapes' service of engines.
const engineService = "engine"

// loadPatterns are patterns in which only load, or what callers do, changes.
func loadPatterns() []patternTemplate {
	urgent := burst(5, 5, 4)
	urgent.Class = "review"
	return []patternTemplate{
		{Pattern: Pattern{Name: "calm", Description: "half of capacity"}},
		{Pattern: Pattern{Name: "twice", Description: "twice capacity for five seconds", Bursts: []Burst{burst(5, 5, 4)}}},
		{Pattern: Pattern{Name: "thrice", Description: "three times capacity for three seconds", Bursts: []Burst{burst(5, 3, 6)}}},
		{Pattern: Pattern{Name: "class", Description: "the most urgent class at four times", Bursts: []Burst{urgent}}},
		{Pattern: Pattern{Name: "eager", Description: "callers that come back at once under three times the load", ImmediateRetryShare: 0.3, Bursts: []Burst{burst(5, 5, 3)}}},
		{Pattern: Pattern{Name: "leave", Description: "callers that leave under three times the load", EarlyLeaveShare: 0.3, Bursts: []Burst{burst(5, 5, 3)}}},
		{Pattern{Name: "tails", Description: "prompts of 53,000 tokens among those of 1,000, twice the load", Bursts: []Burst{burst(5, 5, 2)}}, longTails},
		{Pattern{Name: "subject", Description: "a third of the requests about one subject, twice the load", Bursts: []Burst{burst(5, 5, 2)}}, sharePrefixes},
		{Pattern{Name: "workspace", Description: "one workspace at 7.5 times its load, beyond its allowance"}, addWorkspaces},
	}
}

// faultPatterns are patterns in which targets have troubles.
func faultPatterns() []patternTemplate {
	slowed, crashed, failing, back := engineFault(5, 8, 0.25), engineFault(6, 3, 0.25), engineFault(5, 5, 1), engineFault(5, 2, 1.0/3)
	slowed.Slowdown, crashed.Crash, failing.FailureRate, back.Crash, back.ColdFor = 8, true, 0.45, true, 3*time.Second
	return []patternTemplate{
		{Pattern: Pattern{Name: "slowed", Description: "a quarter of the engines eight times as slow", Faults: []Fault{slowed}, Bursts: []Burst{burst(5, 5, 2)}}},
		{Pattern: Pattern{Name: "crashed", Description: "a quarter of the engines down under double load", Faults: []Fault{crashed}, Bursts: []Burst{burst(5, 5, 2)}}},
		{Pattern: Pattern{Name: "failing", Description: "answers fail at 45%", Faults: []Fault{failing}}},
		{Pattern{Name: "cold", Description: "a third of the engines back cold under double load", Faults: []Fault{back}, Bursts: []Burst{burst(5, 7, 2)}}, limitColdRate},
	}
}

// longTails makes one prompt in fifty as long as can be, among short ones.
func longTails(p *Pattern) {
	for i := range p.Classes {
		if c := &p.Classes[i]; c.Prompt.Mean > 0 {
			c.Prompt = Size{Mean: 1000, Sigma: 0.5, Max: 53_000, MaxShare: 0.02}
		}
	}
}

// sharePrefixes lets prompts share half of their tokens with others of their subject.
func sharePrefixes(p *Pattern) {
	for i := range p.Classes {
		if c := &p.Classes[i]; c.Prompt.Mean > 0 {
			c.SharedPrefixes, c.HotPrefixShare, c.PrefixShare = 100, 1.0/3, 0.5
		}
	}
	for i := range p.Services {
		p.Services[i].Profile.PrefixCacheSize = 8
	}
}

// addWorkspaces lets five addWorkspaces share the load, each with twice its part as
// allowance, and the first go far beyond.
func addWorkspaces(p *Pattern) {
	tokens := 0.0 // of all in a second
	for _, c := range p.Classes {
		tokens += c.PerSecond * (c.Prompt.Mean + c.Output.Mean)
	}
	for i := range 5 {
		part := 0.2
		p.Workspaces = append(p.Workspaces, Workspace{
			Name: fmt.Sprint("w", i), LoadShare: part, PerSecond: 2 * part * tokens, Burst: 4 * part * tokens,
		})
	}
	b := burst(5, 6.5, 7.5)
	b.Workspace = p.Workspaces[0].Name
	p.Bursts = append(p.Bursts, b)
}

// limitColdRate gives engines the bound of a cold one.
func limitColdRate(p *Pattern) {
	for i := range p.Services {
		if s := &p.Services[i]; !s.Profile.Plain {
			s.Profile.MaxColdRate = 8
		}
	}
}

// PatternByName returns a pattern.
func PatternByName(name string) (Pattern, bool) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		return Pattern{}, false
	}
	return all[i], true
}

// PatternNames lists the patterns' names.
func PatternNames() []string {
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return names
}
