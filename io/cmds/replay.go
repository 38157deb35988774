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
	Groups  bool     `help:"Show each size band of a class and each workspace, and the worst two seconds."`
}

// Run simulates a load pattern in virtual time and prints the results of each policy.
func (c *replayCommand) Run(e *env) error {
	if len(c.Log) > 0 {
		return c.replayLogs(e)
	}
	if c.Pattern == "" {
		for _, p := range append(replay.Patterns(), replay.ContendedPatterns()...) {
			fmt.Fprintf(e.out, "%-16s %s\n", p.Name, p.Description)
		}
		return nil
	}
	names := []string{c.Pattern}
	if c.Pattern == "all" {
		names = replay.PatternNames()
	}
	fmt.Fprintf(e.out, "%-16s %-12s %6s %6s\n", "Pattern", "Policy", "Worth", "Bound")
	for _, name := range names {
		p, ok := replay.PatternByName(name)
		if !ok {
			return errors.Errorf("no pattern %q; there are %s", name, strings.Join(replay.PatternNames(), ", "))
		}
		policies := c.Policy
		if len(policies) == 0 {
			policies = replay.PoliciesFor(p)
		}
		for _, policy := range policies {
			c.printResult(e, replay.Play(p, policy, c.Seed))
		}
	}
	return nil
}

// replayLogs simulates the logged requests and prints the measured results next to
// the simulated results for the same arrivals.
func (c *replayCommand) replayLogs(e *env) error {
	requests, err := readLogs(c.Log)
	if err != nil {
		return err
	}
	records := make([]replay.Record, len(requests))
	for i := range requests {
		r := &requests[i]
		records[i] = replay.Record{
			Arrived: r.Arrived(), Class: r.Route, Service: r.Service, Priority: uint8(r.Class), Target: r.Target,
			Outcome: r.Outcome(), Objective: r.FirstByteObjective, Waited: r.Waited, TimeToFirstByte: r.FirstByte, Prompt: r.PromptTokens, Events: r.StreamEvents,
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
	c.printClasses(e, "measured", measured)
	for _, policy := range policies {
		c.printClasses(e, policy, replay.Play(pattern, policy, c.Seed).Classes)
	}
	return nil
}

// printClasses prints the results of each class of requests under one policy.
func (c *replayCommand) printClasses(e *env, policy string, counts []replay.ClassStats) {
	for _, class := range counts {
		share := func(n int) float64 { return float64(n) / float64(max(class.Requests, 1)) }
		fmt.Fprintf(e.out, "%-14s %-12s %6d %6.3f %6.3f %6.3f %6.3f %8s %8s\n", class.Class, policy, class.Requests,
			share(class.InTime), share(class.Late), share(class.Refused), share(class.Failed),
			class.Median.Round(time.Millisecond), class.P90.Round(time.Millisecond))
	}
}

// printResult prints the result of a pattern under one policy and, with --classes,
// of each class of requests.
func (c *replayCommand) printResult(e *env, r replay.Result) {
	fmt.Fprintf(e.out, "%-16s %-12s %6.3f %6.3f", r.Pattern, r.Policy, r.ValueRatio, r.UpperBound)
	if r.Restarts {
		fmt.Fprintf(e.out, "  %d crashes of starting targets", r.ColdCrashes)
	}
	fmt.Fprintln(e.out)
	if c.Groups {
		printGroups(e, &r)
	}
	if !c.Classes {
		return
	}
	for _, class := range r.Classes {
		fmt.Fprintf(e.out, "    %-8s asked %5d  in time %5d  late %5d  refused %5d  failed %5d  worth %5.3f  wasted %d\n",
			class.Class, class.Requests, class.InTime, class.Late, class.Refused, class.Failed, class.EarnedValue/max(class.EligibleValue, 1e-9), class.WastedPromptTokens)
	}
}

// printGroups prints the results by class, size band and workspace.
func printGroups(e *env, r *replay.Result) {
	fmt.Fprintf(e.out, "    worst two seconds %5.3f\n", r.WorstWindow)
	for _, g := range r.Groups {
		fmt.Fprintf(e.out, "    %-8s %-8s %-10s asked %5d  in time %5d  late %5d  refused %5d  twice %5d  failed %5d  worth %5.3f\n",
			g.Class, g.Band, g.Workspace, g.Requests, g.InTime, g.Late, g.Refused, g.Twice, g.Failed, g.ValueRatio())
	}
}
