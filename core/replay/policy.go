package replay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/model"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/core/speed"
	"yuccadoor/core/spread"
	"yuccadoor/core/warmup"
)

// decision assigns a target to an attempt, or refuses it if target is empty.
type decision struct {
	attempt    uint64
	target     string
	retryAfter time.Duration // set for a refusal
}

// policy decides which target runs each request.
type policy interface {
	arrive(now time.Time, q *request, avoid []string)
	done(now time.Time, q *request, o broker.Outcome)
	cancel(q *request)
	tick(now time.Time)
	restartedCold(now time.Time, target string, until time.Time)
	loadStated(now time.Time, r speed.Report)
	replaceLeader(now time.Time, open []*request)
	takeDecisions(now time.Time) []decision
}

// Policies returns the names of all policies.
func Policies() []string {
	names := []string{brokerPolicy}
	for _, p := range spread.Policies() {
		names = append(names, string(p))
	}
	return names
}

// PoliciesFor returns the names of the policies to which a pattern applies: also the broker
// without what targets state of their load, if they state it, and with other ways to start
// targets, if they restart.
func PoliciesFor(p Pattern) []string {
	names := Policies()
	if p.restartsTargets() {
		names = slices.Insert(names, 1, slices.Sorted(maps.Keys(slowStartPolicies))...)
	}
	if p.StatesLoad() {
		names = slices.Insert(names, 1, unstatedPolicy)
	}
	return names
}

// Names of policies with the central broker.
const (
	brokerPolicy   = "broker"   // as the product uses it
	unstatedPolicy = "unstated" // without what targets state of their load
)

// slowStartPolicies are the broker with another way to start targets: as without a slow
// start, and with one by time.
var slowStartPolicies = map[string]warmup.Method{"no-start": warmup.None, "timed-start": warmup.ByTime}

// PriorityPolicy is the name of the policy of a broker whose decisions do not adapt to
// contention; without what targets state, since that is what they adapt by in the patterns.
const PriorityPolicy = "priority"

func newPolicy(name string, p *Pattern, start time.Time, r *rand.Rand) policy {
	switch name {
	case brokerPolicy:
		return newBrokerBacked(p, start)
	case unstatedPolicy, PriorityPolicy:
		return newBrokerBacked(p.withoutStatedLoad(), start)
	}
	if method, ok := slowStartPolicies[name]; ok {
		b := newBrokerBacked(p, start)
		b.slowStart = method
		b.newLeader(start)
		return b
	}
	return newIndependentHosts(spread.Policy(name), p, r)
}

func targetID(service string, n int) string { return fmt.Sprint(service, "-", n) }

// brokerBacked is a policy that uses the broker, which the product runs on its
// leader.
type brokerBacked struct {
	heeds     map[string]bool // services whose targets' statements are used
	broker    *broker.Broker
	slowStart warmup.Method
	config    *routes.Config
	services  []Service
	roster    *roster.Roster
	revision  uint64
}

// entryHost is the only host that sends requests to the broker in a replay: the
// broker's decisions do not depend on the host that received a request.
var entryHost = netip.MustParseAddrPort("10.0.0.1:1")

func newBrokerBacked(p *Pattern, start time.Time) *brokerBacked {
	b := &brokerBacked{heeds: map[string]bool{}, slowStart: warmup.ByResponses, config: &routes.Config{Version: 1}, services: p.Services, roster: roster.New()}
	config := b.config
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
			b.revision++
			b.roster.Put(roster.Target{
				ID: targetID(s.Name, n), Service: s.Name, Slots: s.Profile.Slots, Revision: b.revision, Born: b.revision,
				Address: netip.AddrPortFrom(entryHost.Addr(), uint16(b.revision)),
			})
		}
	}
	config.Index()
	b.newLeader(start)
	return b
}

// newLeader continues with a broker that knows what is published, and no more.
func (b *brokerBacked) newLeader(now time.Time) {
	b.broker = broker.New(quota.Tolerance{}, 0)
	b.broker.SetConfig(now, b.config)
	b.broker.SetRoster(now, b.roster.Snapshot())
	b.broker.SetSlowStart(now, b.slowStart)
	for _, s := range b.services {
		if s.StatesLoad {
			b.heeds[s.Name] = true
			b.broker.ObserveLoad(now, speed.Report{Target: targetID(s.Name, 0), Born: b.roster.Snapshot().Targets[targetID(s.Name, 0)].Born, Slots: s.Profile.Slots, Slowdown: 1})
		}
	}
}

// replaceLeader continues with a new leader, to which the host reports its requests.
func (b *brokerBacked) replaceLeader(now time.Time, open []*request) {
	b.newLeader(now)
	var running []broker.RunningRequest
	for _, q := range open {
		if q.target != "" {
			running = append(running, broker.RunningRequest{ID: q.attempt, Target: q.target})
		}
	}
	b.broker.Sync(now, entryHost, running, nil)
	for _, q := range open {
		if q.target == "" {
			b.arrive(now, q, nil)
		}
	}
}

func (b *brokerBacked) arrive(now time.Time, q *request, avoid []string) {
	a := broker.Request{
		ID: q.attempt, Service: q.class.Service, Class: model.Tier(q.class.Priority), StartWithin: q.objectiveAt.Sub(now),
		ExpiresIn: q.at.Add(q.class.Patience).Sub(now), PromptTokens: q.job.Prompt, OutputTokens: q.job.Output, ExcludedTargets: avoid,
		Resubmitted: q.sends > 1 && q.tries == 0, MaxEventGap: q.class.MaxPause,
	}
	if q.class.TimeLimit > 0 {
		a.CallerWait = q.at.Add(q.class.TimeLimit).Sub(now)
	}
	if q.class.TotalWait > 0 {
		a.ExpiresIn, a.CallerWait, a.Content = q.leaveAt.Sub(now), q.endAt().Sub(now), model.Fingerprint(q.id)
	}
	if q.workspace != nil {
		a.Workspace, a.QuotaTokens, a.Tier = q.workspace.Name, q.tokens(), q.workspace.Tier
	}
	b.broker.Submit(now, entryHost, a)
}

// restartedCold publishes that a target has restarted and is cold until a given
// time.
func (b *brokerBacked) restartedCold(now time.Time, target string, until time.Time) {
	t := *b.roster.Snapshot().Targets[target]
	b.revision++
	t.Revision, t.Born, t.ColdUntil = b.revision, uint64(now.UnixMilli()), until
	b.roster.Put(t)
	b.broker.SetRoster(now, b.roster.Snapshot())
}

func (b *brokerBacked) done(now time.Time, q *request, o broker.Outcome) {
	d := broker.Completion{ID: q.attempt, Target: q.target, Outcome: o, Took: now.Sub(q.sent)}
	if !q.began.IsZero() {
		d.TimeToFirstPart = q.began.Sub(q.sent)
	}
	if q.class.Work == 0 {
		d.OutputTokens, d.MaxEventGap = q.job.Output, q.longestPause
	}
	b.broker.Complete(now, entryHost, d)
}

func (b *brokerBacked) loadStated(now time.Time, r speed.Report) {
	if t := b.roster.Snapshot().Targets[r.Target]; t != nil && b.heeds[t.Service] {
		r.Born = t.Born
		b.broker.ObserveLoad(now, r)
	}
}

func (b *brokerBacked) cancel(q *request)  { b.broker.Cancel(entryHost, q.attempt) }
func (b *brokerBacked) tick(now time.Time) { b.broker.Tick(now) }

func (b *brokerBacked) takeDecisions(now time.Time) []decision {
	grants, refusals := b.broker.TakeDecisions(now)
	var all []decision
	for _, g := range grants[entryHost] {
		all = append(all, decision{attempt: g.ID, target: g.Target})
	}
	for _, r := range refusals[entryHost] {
		all = append(all, decision{attempt: r.ID, retryAfter: r.RetryAfter})
	}
	return all
}

// hostCount is the number of hosts that decide independently in the policies
// without coordination.
const hostCount = 8

// independentHosts is a policy in which each host sends its requests at once and
// knows of no other host's requests.
type independentHosts struct {
	targets   map[string][]string // target IDs by service
	hosts     []*spread.Balancer
	decisions []decision
}

func newIndependentHosts(policy spread.Policy, p *Pattern, r *rand.Rand) *independentHosts {
	h := &independentHosts{targets: map[string][]string{}}
	for _, s := range p.Services {
		for n := range s.Targets {
			h.targets[s.Name] = append(h.targets[s.Name], targetID(s.Name, n))
		}
	}
	for range hostCount {
		h.hosts = append(h.hosts, spread.New(policy, r))
	}
	return h
}

func (h *independentHosts) host(q *request) *spread.Balancer { return h.hosts[q.id%hostCount] }

func (h *independentHosts) arrive(_ time.Time, q *request, avoid []string) {
	ids := h.targets[q.class.Service]
	if len(avoid) > 0 {
		ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(avoid, id) })
	}
	target := h.host(q).Choose(q.class.Service, ids)
	h.decisions = append(h.decisions, decision{attempt: q.attempt, target: target})
}

func (h *independentHosts) done(_ time.Time, q *request, _ broker.Outcome) { h.host(q).Done(q.target) }
func (h *independentHosts) cancel(*request)                                {}
func (h *independentHosts) tick(time.Time)                                 {}
func (h *independentHosts) restartedCold(time.Time, string, time.Time)     {}
func (h *independentHosts) replaceLeader(time.Time, []*request)            {}

func (h *independentHosts) loadStated(time.Time, speed.Report) {}

func (h *independentHosts) takeDecisions(time.Time) []decision {
	out := h.decisions
	h.decisions = nil
	return out
}
