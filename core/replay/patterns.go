package replay

import (
	"fmt"
	"slices"
	"time"

	"yuccadoor/core/engine"
)

// halfValueShape returns the shape of a deployment with engines of different
// speeds and a plain service. Late answers keep half of their value.
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

// tenthValueShape returns a shape like that of halfValueShape, of another
// deployment, in which late answers keep a tenth of their value.
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

// besidePattern has a shape of its own: engines that run many streams at once, a
// third of them five times as slow as the fastest, and callers that tolerate only
// short pauses. Prompts are read in chunks between the decoding steps of concurrent
// streams.
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

// Patterns returns all named patterns, most of them once for each shape.
func Patterns() []Pattern {
	beside := besidePattern()
	beside.Length = patternLength
	all := append(shapedPatterns(append(loadPatterns(), faultPatterns()...)), beside)
	return slices.Concat(all, sharedPatterns(), shapedPatterns(startPatterns()))
}

// shapedPatterns returns patterns once for each shape.
func shapedPatterns(templates []patternTemplate) []Pattern {
	var all []Pattern
	for _, p := range templates {
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
	return all
}

// patternLength is how long requests arrive.
const patternLength = 20 * time.Second

// patternTemplate is a pattern without a shape. adapt, unless nil, changes the
// pattern after its shape is set.
type patternTemplate struct {
	Pattern
	adapt func(p *Pattern)
}

// span converts the start and length of a burst or fault from seconds. All spans
// start after the load has become steady.
func span(start, length float64) (at, duration time.Duration) {
	return time.Duration(start * float64(time.Second)), time.Duration(length * float64(time.Second))
}

func burst(start, length, factor float64) Burst {
	at, duration := span(start, length)
	return Burst{At: at, Duration: duration, Factor: factor}
}

// engineFault returns a fault of the engine service.
func engineFault(start, length, share float64) Fault {
	at, duration := span(start, length)
	return Fault{At: at, Duration: duration, Service: engineService, Share: share}
}

// engineService is the name of the engine service in every shape.
const engineService = "engine"

// loadPatterns returns the patterns that vary only the load or the callers' behavior.
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

// faultPatterns returns the patterns that inject faults into targets.
func faultPatterns() []patternTemplate {
	slowed, crashed, failing, restarted := engineFault(5, 8, 0.25), engineFault(6, 3, 0.25), engineFault(5, 5, 1), engineFault(5, 2, 1.0/3)
	slowed.Slowdown, crashed.Crash, failing.FailureRate, restarted.Crash, restarted.ColdFor = 8, true, 0.45, true, 3*time.Second
	return []patternTemplate{
		{Pattern: Pattern{Name: "slowed", Description: "a quarter of the engines eight times as slow", Faults: []Fault{slowed}, Bursts: []Burst{burst(5, 5, 2)}}},
		{Pattern: Pattern{Name: "crashed", Description: "a quarter of the engines down under double load", Faults: []Fault{crashed}, Bursts: []Burst{burst(5, 5, 2)}}},
		{Pattern: Pattern{Name: "failing", Description: "answers fail at 45%", Faults: []Fault{failing}}},
		{Pattern{Name: "cold", Description: "a third of the engines back cold under double load", Faults: []Fault{restarted}, Bursts: []Burst{burst(5, 7, 2)}}, limitColdRate},
	}
}

// longTails gives one prompt in fifty the maximum length, among short ones.
func longTails(p *Pattern) {
	for i := range p.Classes {
		if c := &p.Classes[i]; c.Prompt.Mean > 0 {
			c.Prompt = Size{Mean: 1000, Sigma: 0.5, Max: 53_000, MaxShare: 0.02}
		}
	}
}

// sharePrefixes makes half of each prompt a prefix that other prompts share, and
// gives the targets a prefix cache.
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

// addWorkspaces divides the load among five workspaces, each with an allowance of
// twice its share. A burst takes the first one far over its allowance.
func addWorkspaces(p *Pattern) {
	tokens := 0.0 // of all classes per second
	for _, c := range p.Classes {
		tokens += c.PerSecond * (c.Prompt.Mean + c.Output.Mean)
	}
	for i := range 5 {
		share := 0.2
		p.Workspaces = append(p.Workspaces, Workspace{
			Name: fmt.Sprint("w", i), LoadShare: share, PerSecond: 2 * share * tokens, Burst: 4 * share * tokens,
		})
	}
	b := burst(5, 6.5, 7.5)
	b.Workspace = p.Workspaces[0].Name
	p.Bursts = append(p.Bursts, b)
}

// limitColdRate sets the arrival rate above which cold engines crash.
func limitColdRate(p *Pattern) {
	for i := range p.Services {
		if s := &p.Services[i]; !s.Profile.Plain {
			s.Profile.MaxColdRate = 8
		}
	}
}

// PatternByName returns the pattern with the given name; false if there is none.
func PatternByName(name string) (Pattern, bool) {
	all := append(Patterns(), ContendedPatterns()...)
	i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		return Pattern{}, false
	}
	return all[i], true
}

// PatternNames returns the names of all patterns.
func PatternNames() []string {
	var names []string
	for _, p := range Patterns() {
		names = append(names, p.Name)
	}
	return names
}
