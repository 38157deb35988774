package sched

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/conf"
	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
	"yuccadoor/core/route"
	"yuccadoor/core/view"
)

// TestMain fixes the seed and the number of the random tests unless the command
// line names others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const hostText = `
Tiers: [{Name: Order}, {Name: Live}, {Name: Draft}]
Zones: [{Name: a, State: %s}, {Name: b}]
Services:
  - {Name: lm, Kind: Plain, Cold: {Slots: 1}, Warm: {Slots: 2}}
  - {Name: needy, Kind: Plain, DependsOn: [gone], Cold: {Slots: 1}, Warm: {Slots: 2}}
  - {Name: gone, Kind: Plain, Cold: {Slots: 1}, Warm: {Slots: 2}}
Workspaces: []
`

// host is one scheduler with its own manager and no peers.
type host struct {
	now      time.Time
	sched    *Scheduler
	manager  *permit.Manager
	self     netip.AddrPort
	requests map[model.RequestID]*model.Request
	waiting  map[model.RequestID]bool
	running  map[model.RequestID]netip.AddrPort
	ended    map[model.RequestID]model.Reason
	next     model.RequestID
	fatal    func(string, ...any)
}

const maxWaiting = 6

func newHost(t assert.TestingT, fatal func(string, ...any)) *host {
	now := time.Unix(1_000_000, 0)
	h := &host{
		now: now, self: netip.MustParseAddrPort("10.0.0.1:1"),
		manager:  permit.NewManager(1),
		sched:    New(Settings{MaxWaiting: maxWaiting, Policy: route.Affinity{}, Seed: 1}, permit.NewHolder(1, now)),
		requests: map[model.RequestID]*model.Request{}, waiting: map[model.RequestID]bool{},
		running: map[model.RequestID]netip.AddrPort{}, ended: map[model.RequestID]model.Reason{}, fatal: fatal,
	}
	h.configure(t, "In", 1)
	return h
}

func target(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", i)) }

func (h *host) configure(t assert.TestingT, zoneA string, revision model.Revision) {
	catalog, err := conf.Parse("host", []byte(fmt.Sprintf(hostText, zoneA)), revision)
	assert.NilError(t, err)
	l := &model.HostList{Revision: 1, Hosts: []model.Host{{Peer: h.self, Zone: "b", State: model.Live}}, Targets: []model.Target{
		{Address: target(1), Service: "lm", Zone: "a", State: model.Live},
		{Address: target(2), Service: "lm", Zone: "b", State: model.Live},
		{Address: target(3), Service: "needy", Zone: "b", State: model.Live},
	}}
	v := view.New(h.self, "b", catalog, l, nil)
	h.manager.UpdateView(h.now, v)
	h.sched.UpdateView(h.now, v)
	h.pump()
}

func (h *host) pump() {
	for again := true; again; {
		again = false
		for _, m := range h.sched.Flush(h.now) {
			h.manager.Receive(h.now, h.self, m.Message)
			again = true
		}
		for _, m := range h.manager.Flush() {
			h.sched.Receive(h.now, h.self, m.Message, h.manager)
			again = true
		}
	}
	d := h.sched.TakeDecisions()
	for _, s := range d.Starts {
		h.started(s)
	}
	for _, r := range d.Refusals {
		h.refused(r)
	}
}

func (h *host) started(s Start) {
	if !h.waiting[s.Request] {
		h.fatal("request %d started though it did not wait", s.Request)
	}
	delete(h.waiting, s.Request)
	h.running[s.Request] = s.Target
}

func (h *host) refused(r Refusal) {
	if !h.waiting[r.Request] || h.ended[r.Request] != "" {
		h.fatal("request %d refused though it did not wait", r.Request)
	}
	if r.Refusal.Ran != model.NotRun {
		h.fatal("a waiting request is refused as %s", r.Refusal.Ran)
	}
	delete(h.waiting, r.Request)
	h.ended[r.Request] = r.Refusal.Reason
	if r.Refusal.Reason != model.ReasonShed {
		return
	}
	for id := range h.waiting {
		if h.requests[id].Tier > h.requests[r.Request].Tier {
			h.fatal("tier %d was shed while tier %d waits", h.requests[r.Request].Tier, h.requests[id].Tier)
		}
	}
}

func (h *host) arrive(service string, tier model.Tier, patience time.Duration) model.RequestID {
	h.next++
	r := &model.Request{
		ID: h.next, Service: service, Tier: tier, Workspace: "w",
		Arrived: h.now, Deadline: h.now.Add(patience),
	}
	h.requests[r.ID] = r
	h.waiting[r.ID] = true
	h.sched.Submit(h.now, r)
	h.pump()
	return r.ID
}

func (h *host) finish(id model.RequestID, k limit.Kind) {
	delete(h.running, id)
	h.ended[id] = "Finished"
	h.sched.Finish(id, limit.Result{Kind: k})
	h.pump()
}

func (h *host) pass(d time.Duration) {
	h.now = h.now.Add(d)
	h.sched.Tick(h.now)
	h.manager.Tick(h.now)
	h.pump()
	for id := range h.waiting {
		if !h.now.Before(h.requests[id].Deadline) {
			h.fatal("request %d waits past its deadline", id)
		}
	}
}

// lowest returns the smallest running or waiting request, for a fixed order.
func lowest[T any](m map[model.RequestID]T) (model.RequestID, bool) {
	best, found := model.RequestID(0), false
	for id := range m {
		if !found || id < best {
			best, found = id, true
		}
	}
	return best, found
}

// Each request ends exactly once; no more urgent one is shed for load while a
// less urgent one waits; none outlives its deadline in the queue; and a target
// never has more than its limit.
func TestSchedulerKeepsItsPromisesOnRandomEvents(t *testing.T) {
	finished := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHost(t, t.Fatalf)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "finish", "finish", "return", "cancel", "pass", "zone"}).Draw(t, "step") {
			case "arrive":
				patience := time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience")) * time.Millisecond
				h.arrive("lm", model.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), patience)
			case "finish":
				if id, ok := lowest(h.running); ok {
					finished++
					h.finish(id, rapid.SampledFrom([]limit.Kind{limit.Completed, limit.Broken, limit.Cancelled}).Draw(t, "kind"))
				}
			case "return":
				if id, ok := lowest(h.running); ok {
					delete(h.running, id)
					h.waiting[id] = true
					h.sched.Requeue(h.now, id, limit.NoConnect)
					h.pump()
				}
			case "cancel":
				if id, ok := lowest(h.waiting); ok {
					h.sched.Cancel(id)
					h.pump()
				}
			case "pass":
				h.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			case "zone":
				h.configure(t, rapid.SampledFrom([]string{"In", "Out"}).Draw(t, "state"), 2)
			}
			load := map[netip.AddrPort]int{}
			for _, at := range h.running {
				load[at]++
				if load[at] > 2 {
					t.Fatalf("target %s runs more than it bears", at)
				}
			}
		}
		h.pass(10 * time.Second)
		if len(h.waiting) > 0 || len(h.ended)+len(h.running) != len(h.requests) {
			t.Fatalf("%d requests: %d ended, %d run, %d wait", len(h.requests), len(h.ended), len(h.running), len(h.waiting))
		}
	})
	assert.Assert(t, finished > 0)
}

func TestUrgentRequestTakesThePermitOfAPatientOne(t *testing.T) {
	h := newHost(t, t.Fatalf)
	var first []model.RequestID
	for range 2 {
		first = append(first, h.arrive("lm", 2, time.Minute))
	}
	h.pass(widenFirst) // the second request asks for the other target too
	assert.Equal(t, len(h.running), 2)
	patient := h.arrive("lm", 2, time.Minute)
	urgent := h.arrive("lm", 0, time.Minute)
	h.finish(first[0], limit.Completed)
	_, urgentRuns := h.running[urgent]
	_, patientRuns := h.running[patient]
	assert.Assert(t, urgentRuns && !patientRuns)
}

// A permit that was under way when a more urgent request arrived serves that
// one.
func TestGrantUnderWayServesTheMostUrgent(t *testing.T) {
	h := newHost(t, t.Fatalf)
	arrive := func(tier model.Tier) model.RequestID {
		h.next++
		r := &model.Request{ID: h.next, Service: "lm", Tier: tier, Workspace: "w", Deadline: h.now.Add(time.Minute)}
		h.requests[r.ID], h.waiting[r.ID] = r, true
		h.sched.Submit(h.now, r)
		return r.ID
	}
	arrive(2)
	for _, m := range h.sched.Flush(h.now) {
		h.manager.Receive(h.now, h.self, m.Message)
	}
	grant := h.manager.Flush()
	urgent := arrive(0)
	for _, m := range grant {
		h.sched.Receive(h.now, h.self, m.Message, h.manager)
	}
	starts := h.sched.TakeDecisions().Starts
	assert.Assert(t, len(starts) > 0)
	assert.Equal(t, starts[0].Request, urgent)
}

func TestServiceWhoseDependencyHasNoTargetIsRefusedAtOnce(t *testing.T) {
	h := newHost(t, t.Fatalf)
	id := h.arrive("needy", 0, time.Minute)
	assert.Equal(t, h.ended[id], model.ReasonNoTarget)
}

func TestZoneOutMovesWaitingWork(t *testing.T) {
	h := newHost(t, t.Fatalf)
	a := h.arrive("lm", 1, time.Minute)
	b := h.arrive("lm", 1, time.Minute)
	h.pass(widenFirst) // the second request asks for the other target too
	waits := h.arrive("lm", 1, time.Minute)
	h.configure(t, "Out", 2)
	for id, at := range h.running { // the one in zone a ends; nothing follows it
		if at == target(1) {
			h.finish(id, limit.Completed)
		}
	}
	assert.Assert(t, h.waiting[waits])
	for id, at := range h.running {
		assert.Equal(t, at, target(2))
		h.finish(id, limit.Completed)
	}
	assert.Equal(t, h.running[waits], target(2))
	assert.Assert(t, h.ended[a] != "" && h.ended[b] != "")
}
