package cmds

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/replay"
)

type replayCommand struct {
	Pattern string   `arg:"" optional:"" help:"Name of the pattern; without one, all are listed."`
	Log     []string `help:"Log files of a measured day, played instead of a pattern beside what was measured." type:"existingfile"`
	Shape   string   `help:"With logs: what targets are like, half or tenth, as in the patterns' names." default:"half" enum:"half,tenth"`
	Policy  []string `help:"Policies to play; all by default."`
	Seed    uint64   `help:"Seed of arrivals and sizes." default:"1"`
	Classes bool     `help:"Show each class of requests."`
}

// Run plays a load pattern in virtual time and prints how each policy fared.
func (c *replayCommand) Run(e *env) error {
	if len(c.Log) > 0 {
		return c.measured(e)
	}
	if c.Pattern == "" {
		for _, p := range replay.Patterns() {
			fmt.Fprintf(e.out, "%-16s %s\n", p.Name, p.Description)
		}
		return nil
	}
	names := []string{c.Pattern}
	if c.Pattern == "all" {
		names = replay.PatternNames()
	}
	policies := c.Policy
	if len(policies) == 0 {
		policies = replay.Policies()
	}
	fmt.Fprintf(e.out, "%-16s %-12s %6s %6s\n", "Pattern", "Policy", "Worth", "Bound")
	for _, name := range names {
		p, ok := replay.PatternByName(name)
		if !ok {
			return errors.Errorf("no pattern %q; there are %s", name, strings.Join(replay.PatternNames(), ", "))
		}
		for _, policy := range policies {
			c.print(e, replay.Play(p, policy, c.Seed))
		}
	}
	return nil
}

// measured plays the day that logs tell of and prints both: what was measured,
// and what the model makes of the same arrivals.
func (c *replayCommand) measured(e *env) error {
	requests, err := readLogs(c.Log)
	if err != nil {
		return err
	}
	records := make([]replay.Record, len(requests))
	for i := range requests {
		r := &requests[i]
		records[i] = replay.Record{
			Arrived: r.Arrived(), Class: r.Route, Service: r.Service, Priority: uint8(r.Class), Target: r.Target,
			Outcome: r.Fate(), Objective: r.Aim, Waited: r.Waited, TimeToFirstByte: r.First, Prompt: r.Prompt, Events: r.Events,
		}
	}
	shape, _ := replay.ShapeByName(c.Shape)
	pattern, measured := replay.PatternFromRecords(shape, records)
	if len(measured) == 0 {
		return errors.New("the logs tell of no request")
	}
	policies := c.Policy
	if len(policies) == 0 {
		policies = replay.Policies()[:1]
	}
	fmt.Fprintf(e.out, "%-14s %-12s %6s %6s %6s %6s %6s %8s %8s\n", "Route", "Policy", "Asked", "InTime", "Late", "Refus.", "Failed", "Median", "9 in 10")
	c.compare(e, "measured", measured)
	for _, policy := range policies {
		c.compare(e, policy, replay.Play(pattern, policy, c.Seed).Classes)
	}
	return nil
}

func (c *replayCommand) compare(e *env, policy string, counts []replay.ClassStats) {
	for _, n := range counts {
		share := func(k int) float64 { return float64(k) / float64(max(n.Requests, 1)) }
		fmt.Fprintf(e.out, "%-14s %-12s %6d %6.3f %6.3f %6.3f %6.3f %8s %8s\n", n.Class, policy, n.Requests,
			share(n.InTime), share(n.Late), share(n.Refused), share(n.Failed),
			n.Median.Round(time.Millisecond), n.P90.Round(time.Millisecond))
	}
}

func (c *replayCommand) print(e *env, r replay.Result) {
	fmt.Fprintf(e.out, "%-16s %-12s %6.3f %6.3f\n", r.Pattern, r.Policy, r.ValueRatio, r.UpperBound)
	if !c.Classes {
		return
	}
	for _, k := range r.Classes {
		fmt.Fprintf(e.out, "    %-8s asked %5d  in time %5d  late %5d  refused %5d  failed %5d  worth %5.3f  wasted %d\n",
			k.Class, k.Requests, k.InTime, k.Late, k.Refused, k.Failed, k.EarnedValue/max(k.EligibleValue, 1e-9), k.WastedPromptTokens)
	}
}
