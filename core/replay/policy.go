package replay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/model"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/core/spread"
)

// decision is what a policy does with a request: a target, or a refusal.
type decision struct {
	attempt    uint64
	target     string
	retryAfter time.Duration // of a refusal
}

// policy decides where requests go.
type policy interface {
	arrive(now time.Time, q *request, avoid []string)
	done(now time.Time, q *request, o broker.Outcome)
	cancel(q *request)
	tick(now time.Time)
	restartedCold(now time.Time, target string, until time.Time)
	takeDecisions() []decision
}

// Policies lists the names of the policies that are kept.
func Policies() []string {
	names := []string{brokerPolicy}
	for _, p := range spread.Policies() {
		names = append(names, string(p))
	}
	return names
}

// brokerPolicy is the name of the policy that the product runs.
const brokerPolicy = "broker"

func newPolicy(name string, p *Pattern, start time.Time, r *rand.Rand) policy {
	if name == brokerPolicy {
		return newBroker(p, start)
	}
	return newIndependent(spread.Policy(name), p, r)
}

func targetID(service string, n int) string { return fmt.Sprint(service, "-", n) }

// brokerBacked is the broker that the product runs on its leading host.
type brokerBacked struct {
	broker   *broker.Broker
	roster   *roster.Roster
	revision uint64
}

// entryHost is the one host that asks in a replay: where a request came in makes no
// difference to the broker.
var entryHost = netip.MustParseAddrPort("10.0.0.1:1")

func newBroker(p *Pattern, start time.Time) *brokerBacked {
	c := &brokerBacked{broker: broker.New(quota.Tolerance{}, 0), roster: roster.New()}
	config := &routes.Config{Version: 1}
	for _, w := range p.Workspaces {
		config.Workspaces = append(config.Workspaces, routes.Workspace{
			Name: w.Name, Allowance: routes.Allowance{PerSecond: w.PerSecond, Burst: w.Burst, InTokens: true},
		})
	}
	for _, s := range p.Services {
		config.Services = append(config.Services, routes.Service{
			Name: s.Name, Engine: !s.Profile.Plain, Slots: s.Profile.Slots, TokensInEvent: 1,
			ColdPerSecond: s.Profile.MaxColdRate,
		})
		for n := range s.Targets {
			c.revision++
			c.roster.Put(roster.Target{
				ID: targetID(s.Name, n), Service: s.Name, Slots: s.Profile.Slots, Revision: c.revision, Born: c.revision,
				Address: netip.AddrPortFrom(entryHost.Addr(), uint16(c.revision)),
			})
		}
	}
	c.broker.Adopt(start, config.Index())
	c.broker.SetRoster(start, c.roster.Snapshot())
	return c
}

func (c *brokerBacked) arrive(now time.Time, q *request, avoid []string) {
	a := broker.Ask{
		ID: q.attempt, Service: q.class.Service, Class: model.Tier(q.class.Priority), Aim: q.objectiveAt.Sub(now),
		Left: q.at.Add(q.class.Patience).Sub(now), Prompt: q.job.Prompt, Output: q.job.Output, Avoid: avoid,
		Again: q.sends > 1 && q.tries == 0, Pause: q.class.MaxPause,
	}
	if q.workspace != nil {
		a.Workspace, a.Tokens = q.workspace.Name, q.tokens()
	}
	c.broker.Ask(now, entryHost, a)
}

// restartedCold publishes that a target has started anew.
func (c *brokerBacked) restartedCold(now time.Time, target string, until time.Time) {
	t := *c.roster.Snapshot().Targets[target]
	c.revision++
	t.Revision, t.Born, t.ColdUntil = c.revision, c.revision, until
	c.roster.Put(t)
	c.broker.SetRoster(now, c.roster.Snapshot())
}

func (c *brokerBacked) done(now time.Time, q *request, o broker.Outcome) {
	d := broker.Done{ID: q.attempt, Target: q.target, Outcome: o, Took: now.Sub(q.sent)}
	if !q.began.IsZero() {
		d.First = q.began.Sub(q.sent)
	}
	if q.class.Work == 0 {
		d.Tokens, d.Pause = q.job.Output, q.longestPause
	}
	c.broker.Done(now, entryHost, d)
}

func (c *brokerBacked) cancel(q *request)  { c.broker.Cancel(entryHost, q.attempt) }
func (c *brokerBacked) tick(now time.Time) { c.broker.Tick(now) }

func (c *brokerBacked) takeDecisions() []decision {
	grants, refusals := c.broker.Take()
	var all []decision
	for _, g := range grants[entryHost] {
		all = append(all, decision{attempt: g.ID, target: g.Target})
	}
	for _, r := range refusals[entryHost] {
		all = append(all, decision{attempt: r.ID, retryAfter: r.After})
	}
	return all
}

// hostCount is how many hosts decide on their own in the policies without
// coordination.
const hostCount = 8

// independentHosts are hosts that send each request at once, knowing only their own.
type independentHosts struct {
	targets   map[string][]string // ids by service
	hosts     []*spread.Balancer
	decisions []decision
}

func newIndependent(policy spread.Policy, p *Pattern, r *rand.Rand) *independentHosts {
	i := &independentHosts{targets: map[string][]string{}}
	for _, s := range p.Services {
		for n := range s.Targets {
			i.targets[s.Name] = append(i.targets[s.Name], targetID(s.Name, n))
		}
	}
	for range hostCount {
		i.hosts = append(i.hosts, spread.New(policy, r))
	}
	return i
}

func (i *independentHosts) host(q *request) *spread.Balancer { return i.hosts[q.id%hostCount] }

func (i *independentHosts) arrive(_ time.Time, q *request, avoid []string) {
	ids := i.targets[q.class.Service]
	if len(avoid) > 0 {
		ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(avoid, id) })
	}
	target := i.host(q).Choose(q.class.Service, ids)
	i.decisions = append(i.decisions, decision{attempt: q.attempt, target: target})
}

func (i *independentHosts) done(_ time.Time, q *request, _ broker.Outcome) { i.host(q).Done(q.target) }
func (i *independentHosts) cancel(*request)                                {}
func (i *independentHosts) tick(time.Time)                                 {}
func (i *independentHosts) restartedCold(time.Time, string, time.Time)     {}

func (i *independentHosts) takeDecisions() []decision {
	out := i.decisions
	i.decisions = nil
	return out
}
