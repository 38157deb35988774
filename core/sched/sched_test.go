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

// TestMain sets the default seed and number of checks of the property tests. Flags on
// the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const configFormat = `
Tiers: [{Name: Order}, {Name: Live}, {Name: Draft}]
Zones: [{Name: a, State: %s}, {Name: b}]
Services:
  - {Name: lm, Kind: Plain, Cold: {Slots: 1}, Warm: {Slots: 2}}
  - {Name: dependent, Kind: Plain, DependsOn: [missing], Cold: {Slots: 1}, Warm: {Slots: 2}}
  - {Name: missing, Kind: Plain, Cold: {Slots: 1}, Warm: {Slots: 2}}
Workspaces: []
`

// testHost is a scheduler and a permit manager on one host, without peers. Its methods
// check that each request ends only once and that none is shed while a less urgent one
// waits.
type testHost struct {
	now      time.Time
	sched    *Scheduler
	manager  *permit.Manager
	self     netip.AddrPort
	requests map[model.RequestID]*model.Request
	waiting  map[model.RequestID]bool
	running  map[model.RequestID]netip.AddrPort
	ended    map[model.RequestID]model.Reason
	lastID   model.RequestID
	fatalf   func(string, ...any)
}

const maxWaiting = 6

func newTestHost(t assert.TestingT, fatalf func(string, ...any)) *testHost {
	now := time.Unix(1_000_000, 0)
	h := &testHost{
		now: now, self: netip.MustParseAddrPort("10.0.0.1:1"),
		manager:  permit.NewManager(1),
		sched:    New(Settings{MaxWaiting: maxWaiting, Policy: route.Affinity{}, Seed: 1}, permit.NewHolder(1, now)),
		requests: map[model.RequestID]*model.Request{}, waiting: map[model.RequestID]bool{},
		running: map[model.RequestID]netip.AddrPort{}, ended: map[model.RequestID]model.Reason{}, fatalf: fatalf,
	}
	h.configure(t, "In", 1)
	return h
}

func targetAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", i))
}

func (h *testHost) configure(t assert.TestingT, zoneA string, revision model.Revision) {
	catalog, err := conf.Parse("host", []byte(fmt.Sprintf(configFormat, zoneA)), revision)
	assert.NilError(t, err)
	l := &model.HostList{Revision: 1, Hosts: []model.Host{{Peer: h.self, Zone: "b", State: model.Live}}, Targets: []model.Target{
		{Address: targetAddress(1), Service: "lm", Zone: "a", State: model.Live},
		{Address: targetAddress(2), Service: "lm", Zone: "b", State: model.Live},
		{Address: targetAddress(3), Service: "dependent", Zone: "b", State: model.Live},
	}}
	v := view.New(h.self, "b", catalog, l, nil)
	h.manager.UpdateView(h.now, v)
	h.sched.UpdateView(h.now, v)
	h.deliver()
}

// deliver exchanges messages between the scheduler and the manager until none are
// left, then applies the decisions.
func (h *testHost) deliver() {
	for progress := true; progress; {
		progress = false
		for _, m := range h.sched.Flush(h.now) {
			h.manager.Receive(h.now, h.self, m.Message)
			progress = true
		}
		for _, m := range h.manager.Flush() {
			h.sched.Receive(h.now, h.self, m.Message, h.manager)
			progress = true
		}
	}
	d := h.sched.TakeDecisions()
	for _, s := range d.Starts {
		h.recordStart(s)
	}
	for _, r := range d.Refusals {
		h.recordRefusal(r)
	}
}

func (h *testHost) recordStart(s Start) {
	if !h.waiting[s.Request] {
		h.fatalf("request %d started but was not waiting", s.Request)
	}
	delete(h.waiting, s.Request)
	h.running[s.Request] = s.Target
}

func (h *testHost) recordRefusal(r Refusal) {
	if !h.waiting[r.Request] || h.ended[r.Request] != "" {
		h.fatalf("request %d refused but was not waiting", r.Request)
	}
	if r.Refusal.Ran != model.NotRun {
		h.fatalf("request %d refused as %s while waiting, want NotRun", r.Request, r.Refusal.Ran)
	}
	delete(h.waiting, r.Request)
	h.ended[r.Request] = r.Refusal.Reason
	if r.Refusal.Reason != model.ReasonShed {
		return
	}
	for id := range h.waiting {
		if h.requests[id].Tier > h.requests[r.Request].Tier {
			h.fatalf("request of tier %d shed while one of tier %d waits", h.requests[r.Request].Tier, h.requests[id].Tier)
		}
	}
}

func (h *testHost) arrive(service string, tier model.Tier, patience time.Duration) model.RequestID {
	h.lastID++
	r := &model.Request{
		ID: h.lastID, Service: service, Tier: tier, Workspace: "w",
		Arrived: h.now, Deadline: h.now.Add(patience),
	}
	h.requests[r.ID] = r
	h.waiting[r.ID] = true
	h.sched.Submit(h.now, r)
	h.deliver()
	return r.ID
}

func (h *testHost) finish(id model.RequestID, k limit.Kind) {
	delete(h.running, id)
	h.ended[id] = "Finished"
	h.sched.Finish(id, limit.Result{Kind: k})
	h.deliver()
}

func (h *testHost) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.sched.Tick(h.now)
	h.manager.Tick(h.now)
	h.deliver()
	for id := range h.waiting {
		if !h.now.Before(h.requests[id].Deadline) {
			h.fatalf("request %d still waits after its deadline", id)
		}
	}
}

// lowestID returns the lowest key of m, so that the choice does not depend on map
// iteration order.
func lowestID[T any](m map[model.RequestID]T) (model.RequestID, bool) {
	best, found := model.RequestID(0), false
	for id := range m {
		if !found || id < best {
			best, found = id, true
		}
	}
	return best, found
}

// Invariants under random events: each request ends exactly once; no request is shed
// while a less urgent one waits; none waits past its deadline; and no target runs
// more requests than its limit.
func TestSchedulerInvariantsUnderRandomEvents(t *testing.T) {
	finished := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newTestHost(t, t.Fatalf)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "finish", "finish", "requeue", "cancel", "advance", "zone"}).Draw(t, "step") {
			case "arrive":
				patience := time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience")) * time.Millisecond
				h.arrive("lm", model.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), patience)
			case "finish":
				if id, ok := lowestID(h.running); ok {
					finished++
					h.finish(id, rapid.SampledFrom([]limit.Kind{limit.Completed, limit.Broken, limit.Cancelled}).Draw(t, "kind"))
				}
			case "requeue":
				if id, ok := lowestID(h.running); ok {
					delete(h.running, id)
					h.waiting[id] = true
					h.sched.Requeue(h.now, id, limit.NoConnect)
					h.deliver()
				}
			case "cancel":
				if id, ok := lowestID(h.waiting); ok {
					h.sched.Cancel(id)
					h.deliver()
				}
			case "advance":
				h.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			case "zone":
				h.configure(t, rapid.SampledFrom([]string{"In", "Out"}).Draw(t, "state"), 2)
			}
			load := map[netip.AddrPort]int{}
			for _, at := range h.running {
				load[at]++
				if load[at] > 2 {
					t.Fatalf("target %s runs %d requests, its limit is 2", at, load[at])
				}
			}
		}
		h.advance(10 * time.Second)
		if len(h.waiting) > 0 || len(h.ended)+len(h.running) != len(h.requests) {
			t.Fatalf("%d requests: %d ended, %d running, %d waiting", len(h.requests), len(h.ended), len(h.running), len(h.waiting))
		}
	})
	assert.Assert(t, finished > 0)
}

func TestUrgentRequestUsesPermitOfLessUrgentOne(t *testing.T) {
	h := newTestHost(t, t.Fatalf)
	var first []model.RequestID
	for range 2 {
		first = append(first, h.arrive("lm", 2, time.Minute))
	}
	h.advance(firstWidenDelay) // the second request asks for the other target too
	assert.Equal(t, len(h.running), 2)
	lessUrgent := h.arrive("lm", 2, time.Minute)
	urgent := h.arrive("lm", 0, time.Minute)
	h.finish(first[0], limit.Completed)
	_, urgentRuns := h.running[urgent]
	_, lessUrgentRuns := h.running[lessUrgent]
	assert.Assert(t, urgentRuns && !lessUrgentRuns)
}

// A more urgent request arrives while a grant is in transit from the manager: it must
// get the permit.
func TestGrantInTransitServesMostUrgentRequest(t *testing.T) {
	h := newTestHost(t, t.Fatalf)
	arrive := func(tier model.Tier) model.RequestID {
		h.lastID++
		r := &model.Request{ID: h.lastID, Service: "lm", Tier: tier, Workspace: "w", Deadline: h.now.Add(time.Minute)}
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

func TestRequestIsRefusedIfDependencyHasNoTarget(t *testing.T) {
	h := newTestHost(t, t.Fatalf)
	id := h.arrive("dependent", 0, time.Minute)
	assert.Equal(t, h.ended[id], model.ReasonNoTarget)
}

func TestWaitingRequestAvoidsZoneOut(t *testing.T) {
	h := newTestHost(t, t.Fatalf)
	a := h.arrive("lm", 1, time.Minute)
	b := h.arrive("lm", 1, time.Minute)
	h.advance(firstWidenDelay) // the second request asks for the other target too
	waits := h.arrive("lm", 1, time.Minute)
	h.configure(t, "Out", 2)
	for id, at := range h.running { // the request in zone a ends; its target gets no new one
		if at == targetAddress(1) {
			h.finish(id, limit.Completed)
		}
	}
	assert.Assert(t, h.waiting[waits])
	for id, at := range h.running {
		assert.Equal(t, at, targetAddress(2))
		h.finish(id, limit.Completed)
	}
	assert.Equal(t, h.running[waits], targetAddress(2))
	assert.Assert(t, h.ended[a] != "" && h.ended[b] != "")
}
