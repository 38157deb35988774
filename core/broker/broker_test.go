package broker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/model"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
)

var (
	start = time.Unix(1_700_000_000, 0)
	hostA = netip.MustParseAddrPort("10.0.0.1:1")
	hostB = netip.MustParseAddrPort("10.0.0.2:1")
)

// harness drives one broker in virtual time.
type harness struct {
	b        *Broker
	now      time.Time
	roster   *roster.Roster
	serial   uint64
	grants   map[netip.AddrPort][]Grant
	refusals map[netip.AddrPort][]Refusal
}

func newHarness(targets int, services ...routes.Service) *harness {
	w := &harness{
		b: New(quota.Tolerance{}, 1), now: start, roster: roster.New(),
		grants: map[netip.AddrPort][]Grant{}, refusals: map[netip.AddrPort][]Refusal{},
	}
	if len(services) == 0 {
		services = []routes.Service{{Name: "engine", Engine: true, Slots: 2, ColdPerSecond: 4}}
	}
	w.b.SetConfig(w.now, (&routes.Config{Version: 1, Services: services, Workspaces: []routes.Workspace{
		{Name: "bounded", Allowance: routes.Allowance{PerSecond: 10, Burst: 10}},
	}}).Index())
	for i := range targets {
		w.putTarget(roster.Target{ID: fmt.Sprint("t", i), Service: "engine", Slots: 2, Zone: "a"})
	}
	return w
}

func (w *harness) putTarget(t roster.Target) {
	w.serial++
	t.Revision = w.serial
	t.Address = netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(w.serial))
	w.roster.Put(t)
	w.b.SetRoster(w.now, w.roster.Snapshot())
}

func (w *harness) ask(host netip.AddrPort, a Request) uint64 {
	w.serial++
	a.ID = w.serial
	if a.Service == "" {
		a.Service = "engine"
	}
	if a.StartWithin == 0 {
		a.StartWithin = time.Second
	}
	if a.ExpiresIn == 0 {
		a.ExpiresIn = 10 * time.Second
	}
	w.b.Submit(w.now, host, a)
	w.collect()
	return a.ID
}

func (w *harness) collect() {
	grants, refusals := w.b.TakeDecisions()
	for h, g := range grants {
		w.grants[h] = append(w.grants[h], g...)
	}
	for h, r := range refusals {
		w.refusals[h] = append(w.refusals[h], r...)
	}
}

func (w *harness) granted(host netip.AddrPort, id uint64) string {
	for _, g := range w.grants[host] {
		if g.ID == id {
			return g.Target
		}
	}
	return ""
}

func (w *harness) refused(host netip.AddrPort, id uint64) *Refusal {
	for i, r := range w.refusals[host] {
		if r.ID == id {
			return &w.refusals[host][i]
		}
	}
	return nil
}

func (w *harness) done(host netip.AddrPort, id uint64, o Outcome, took time.Duration) {
	w.b.Complete(w.now, host, Completion{ID: id, Target: w.granted(host, id), Outcome: o, Took: took, OutputTokens: 10})
	w.collect()
}

func (w *harness) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.b.Tick(w.now)
	w.collect()
}

// fill submits n requests of host A and returns their ids.
func (w *harness) fill(n int) []uint64 {
	var ids []uint64
	for range n {
		ids = append(ids, w.ask(hostA, Request{}))
	}
	return ids
}

func TestUrgentWorkGoesFirstWhicheverHostItCameTo(t *testing.T) {
	w := newHarness(1)
	running := w.fill(2)
	patient := w.ask(hostA, Request{Tier: 2})
	urgent := w.ask(hostB, Request{Tier: 0})
	assert.Equal(t, w.granted(hostB, urgent), "")
	w.done(hostA, running[0], Good, 100*time.Millisecond)
	assert.Equal(t, w.granted(hostB, urgent), "t0")
	assert.Equal(t, w.granted(hostA, patient), "")
}

func TestLateWorkRanksBehindTheNextClassOnly(t *testing.T) {
	w := newHarness(1)
	running := w.fill(2)
	late := w.ask(hostA, Request{Class: 0, StartWithin: time.Millisecond})
	next := w.ask(hostA, Request{Class: 1, StartWithin: 5 * time.Second})
	third := w.ask(hostA, Request{Class: 2, StartWithin: 5 * time.Second})
	w.advance(10 * time.Millisecond)
	for _, c := range []struct {
		free uint64
		then uint64
	}{{running[0], next}, {running[1], late}, {next, third}} {
		w.done(hostA, c.free, Good, 100*time.Millisecond)
		assert.Equal(t, w.granted(hostA, c.then), "t0")
	}
}

// All workspaces of a deployment may have the same tier; then only the class
// tells which request is urgent.
func TestClassesOrderWorkOfOneTier(t *testing.T) {
	w := newHarness(1)
	running := w.fill(2)
	patient := w.ask(hostA, Request{Tier: 1, Class: 2, StartWithin: 10 * time.Millisecond})
	urgent := w.ask(hostA, Request{Tier: 1, Class: 0, StartWithin: 5 * time.Second})
	first := w.ask(hostA, Request{Tier: 0, Class: 2, StartWithin: 5 * time.Second})
	w.done(hostA, running[0], Good, 100*time.Millisecond)
	assert.Equal(t, w.granted(hostA, first), "t0")
	w.done(hostA, running[1], Good, 100*time.Millisecond)
	assert.Equal(t, w.granted(hostA, urgent), "t0")
	assert.Equal(t, w.granted(hostA, patient), "")
}

// Under overload a long prompt is worth more per unit of engine time than a long
// answer of the same size.
func TestWorthForTheWorkGoesFirst(t *testing.T) {
	w := newHarness(1)
	running := w.fill(2)
	w.ask(hostA, Request{PromptTokens: 2000, OutputTokens: 100, ExpiresIn: time.Hour}) // the usual size
	answer := w.ask(hostA, Request{PromptTokens: 100, OutputTokens: 800, ExpiresIn: time.Hour})
	prompt := w.ask(hostA, Request{PromptTokens: 8000, OutputTokens: 10, ExpiresIn: time.Hour})
	w.done(hostA, running[0], Good, 100*time.Millisecond)
	assert.Equal(t, w.granted(hostA, prompt), "t0")
	assert.Equal(t, w.granted(hostA, answer), "")
}

// A slow target is left to requests that start in time there.
func TestSlowTargetGetsWhatItIsFastEnoughFor(t *testing.T) {
	w := newHarness(2)
	for range 60 {
		id := w.ask(hostA, Request{PromptTokens: 10})
		at := w.granted(hostA, id)
		took := 200 * time.Millisecond
		if at == "t1" {
			took = time.Second
		}
		w.b.Complete(w.now, hostA, Completion{ID: id, Target: at, Outcome: Good, Took: took, TimeToFirstPart: took / 2, OutputTokens: 10})
		other := w.ask(hostA, Request{PromptTokens: 10, ExcludedTargets: []string{at}})
		if at = w.granted(hostA, other); at != "" {
			took = 200 * time.Millisecond
			if at == "t1" {
				took = time.Second
			}
			w.b.Complete(w.now, hostA, Completion{ID: other, Target: at, Outcome: Good, Took: took, TimeToFirstPart: took / 2, OutputTokens: 10})
		}
		w.collect()
	}
	running := map[string]uint64{}
	for range 4 {
		id := w.ask(hostA, Request{})
		running[w.granted(hostA, id)] = id
	}
	hurried := w.ask(hostA, Request{StartWithin: 300 * time.Millisecond, PromptTokens: 100, OutputTokens: 1})
	patient := w.ask(hostA, Request{StartWithin: 2 * time.Second, PromptTokens: 10, OutputTokens: 500})
	w.done(hostA, running["t1"], Cancelled, 0)
	assert.Equal(t, w.granted(hostA, hurried), "")
	assert.Equal(t, w.granted(hostA, patient), "t1")
	w.done(hostA, running["t0"], Cancelled, 0)
	assert.Equal(t, w.granted(hostA, hurried), "t0")
}

func TestWorkThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	w := newHarness(1)
	for _, id := range w.fill(2) {
		w.done(hostA, id, Good, 10*time.Second) // one second per token
	}
	w.fill(2)
	var last uint64
	for range 8 {
		last = w.ask(hostA, Request{OutputTokens: 10, ExpiresIn: 4 * time.Second})
	}
	w.advance(50 * time.Millisecond)
	r := w.refused(hostA, last)
	assert.Assert(t, r != nil)
	assert.Equal(t, r.OverQuota, false)
	assert.Assert(t, r.RetryAfter > 0)
}

func TestWorkWaitsForTheOnlyTargetToComeBack(t *testing.T) {
	w := newHarness(1)
	first := w.ask(hostA, Request{})
	w.done(hostA, first, NoConnect, 0)
	second := w.ask(hostA, Request{})
	w.advance(50 * time.Millisecond)
	assert.Assert(t, w.refused(hostA, second) == nil)
	assert.Equal(t, w.granted(hostA, second), "")
	w.advance(minBackoff)
	assert.Equal(t, w.granted(hostA, second), "t0")
}

// When one host could not connect to a target, no other host was granted it
// either.
func TestOneHostThatCannotConnectTakesNoTargetFromOthers(t *testing.T) {
	w := newHarness(1)
	w.done(hostA, w.ask(hostA, Request{}), NoConnect, 0)
	cut := w.ask(hostA, Request{})
	assert.Equal(t, w.granted(hostA, cut), "")
	assert.Equal(t, w.granted(hostB, w.ask(hostB, Request{})), "t0")
	w.advance(minBackoff)
	assert.Equal(t, w.granted(hostA, cut), "t0")
}

func TestTargetThatTwoHostsCannotReachIsBackedOffFrom(t *testing.T) {
	w := newHarness(2)
	for _, host := range []netip.AddrPort{hostA, hostB} {
		w.done(host, w.ask(host, Request{ExcludedTargets: []string{"t1"}}), NoConnect, 0)
	}
	hostC := netip.MustParseAddrPort("10.0.0.3:1")
	assert.Equal(t, w.granted(hostC, w.ask(hostC, Request{ExcludedTargets: []string{"t1"}})), "")
	assert.Equal(t, w.granted(hostC, w.ask(hostC, Request{})), "t1")
}

// A target that fails immediately always has free places and got most of the
// requests.
func TestTargetThatOnlyFailsIsEjected(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  Completion
	}{
		{"resets", Completion{Outcome: Broken}},
		{"errors", Completion{Outcome: Failed, Took: time.Millisecond}},
		{"silent", Completion{Outcome: Cancelled, Took: 4 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(4)
			for range 6 {
				w.ask(hostA, Request{ExcludedTargets: []string{"t2"}})
			}
			bad := 0
			for range 400 {
				w.ask(hostA, Request{ExpiresIn: 20 * time.Millisecond})
				for _, g := range w.grants[hostA] {
					if g.Target == "t2" {
						bad++
						d := c.bad
						d.ID, d.Target = g.ID, g.Target
						w.b.Complete(w.now, hostA, d)
						w.collect()
					}
				}
				w.grants[hostA] = nil
				w.advance(10 * time.Millisecond)
			}
			assert.Assert(t, bad >= ejectAfterFailures && bad < 10, "%d requests went there in four seconds", bad)
			// It gets a trial request, and all its places once it answers.
			w.advance(maxEjection)
			for range 4 {
				id := w.ask(hostA, Request{})
				assert.Equal(t, w.granted(hostA, id), "t2")
				w.done(hostA, id, Good, 10*time.Millisecond)
			}
		})
	}
}

// When all targets fail equally often, ejecting some would only reduce capacity.
func TestFailuresOfAllEjectNone(t *testing.T) {
	w := newHarness(4)
	for i := range 200 {
		o := Good
		if i%2 == 0 {
			o = Failed
		}
		w.done(hostA, w.ask(hostA, Request{}), o, 10*time.Millisecond)
	}
	running := 0
	for range 8 {
		if w.granted(hostA, w.ask(hostA, Request{})) != "" {
			running++
		}
	}
	assert.Equal(t, running, 8)
}

// Answers lost in transit took a healthy target out of use.
func TestLostAnswersTakeNoTargetOut(t *testing.T) {
	w := newHarness(1)
	for range 4 {
		id := w.ask(hostA, Request{})
		assert.Equal(t, w.granted(hostA, id), "t0")
		w.done(hostA, id, Broken, 0)
	}
}

func TestFailingAndSlowTargetsComeLast(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		took    time.Duration
	}{{"failing", Failed, 10 * time.Millisecond}, {"slow", Good, 20 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(2)
			for range 20 {
				id := w.ask(hostA, Request{})
				if w.granted(hostA, id) == "t0" {
					w.done(hostA, id, c.outcome, c.took)
				} else {
					w.done(hostA, id, Good, 10*time.Millisecond)
				}
			}
			assert.Equal(t, w.granted(hostA, w.ask(hostA, Request{})), "t1")
			assert.Equal(t, w.granted(hostA, w.ask(hostA, Request{ExcludedTargets: []string{"t1"}})), "t0")
		})
	}
}

func TestNewLeaderKnowsWhatRuns(t *testing.T) {
	w := newHarness(1)
	w.b.Sync(w.now, hostA, []RunningRequest{{ID: 900, Target: "t0"}, {ID: 901, Target: "t0"}}, []Request{
		{ID: 902, Service: "engine", StartWithin: time.Second, ExpiresIn: time.Second},
	})
	w.collect()
	assert.Equal(t, w.granted(hostA, 902), "")
	w.b.Complete(w.now, hostA, Completion{ID: 900, Target: "t0", Outcome: Good})
	w.collect()
	assert.Equal(t, w.granted(hostA, 902), "t0")
	w.b.RemoveHost(w.now, hostA)
	assert.Equal(t, w.granted(hostB, w.ask(hostB, Request{})), "t0")
}

func TestAllowanceIsGivenBackForWorkThatDidNotRun(t *testing.T) {
	w := newHarness(1)
	ask := Request{Workspace: "bounded", QuotaTokens: 10}
	first := w.ask(hostA, ask)
	assert.Equal(t, w.granted(hostA, first), "t0")
	over := w.ask(hostA, ask)
	r := w.refused(hostA, over)
	assert.Assert(t, r != nil && r.OverQuota)
	assert.Equal(t, r.RetryAfter, time.Second)
	w.done(hostA, first, Rejected, 0)
	w.advance(rejectBackoff)
	assert.Equal(t, w.granted(hostA, w.ask(hostA, ask)), "t0")
}

// reportBrokenRun reports that a run ended without its answer.
func (w *harness) reportBrokenRun(id uint64, content model.Fingerprint, target string, refused bool) {
	t := w.b.roster.Targets[target]
	w.b.ReportBrokenRun(w.now, BrokenRun{
		RequestID: fmt.Sprint(id), Content: content, Target: target, Address: t.Address, Born: t.Born, EndedAt: w.now, ConnectRefused: refused,
	})
	w.collect()
}

// A content that was running at three crashes is refused. One that ran beside two
// of them, or whose answers were only lost in transit, is not.
func TestContentThatCrashesTargets(t *testing.T) {
	w := newHarness(4)
	const most = 3 // crashes that the platform allows per content
	for n := range most {
		id := w.ask(hostA, Request{Content: 7})
		at := w.granted(hostA, id)
		assert.Assert(t, at != "")
		w.done(hostA, id, Broken, 0)
		if n < most-1 { // a concurrent request, retried by its caller
			w.reportBrokenRun(id, 8, at, true)
		}
		w.reportBrokenRun(id, 7, at, true)
		w.advance(time.Second)
	}
	r := w.refused(hostB, w.ask(hostB, Request{Content: 7}))
	assert.Assert(t, r != nil && r.Cause == "CrashesTargets")
	assert.Assert(t, w.granted(hostB, w.ask(hostB, Request{Content: 8})) != "")
	for range 5 { // answers that are lost while their targets keep running
		id := w.ask(hostA, Request{Content: 10})
		at := w.granted(hostA, id)
		assert.Assert(t, at != "")
		w.done(hostA, id, Broken, 0)
		w.reportBrokenRun(id, 10, at, false)
		w.advance(3 * time.Second)
	}
}

func TestContentThatIsAnsweredIsNotRefused(t *testing.T) {
	w := newHarness(4)
	inFlight := w.ask(hostB, Request{Content: 7})
	var crash []uint64
	for range crashThreshold {
		crash = append(crash, w.ask(hostA, Request{Content: 7}))
	}
	for _, id := range crash {
		w.done(hostA, id, Broken, 0)
		w.reportBrokenRun(id, 7, w.granted(hostA, id), true)
		w.advance(time.Second)
	}
	assert.Assert(t, w.refused(hostA, w.ask(hostA, Request{Content: 7})) != nil)
	w.done(hostB, inFlight, Good, time.Second)
	assert.Assert(t, w.granted(hostA, w.ask(hostA, Request{Content: 7})) != "")
	assert.Equal(t, len(w.b.NewAnswers(w.now)), 1)
	assert.Equal(t, len(w.b.NewAnswers(w.now)), 0)
}

// Requests that were waiting when their content's third crash became known were
// still sent.
func TestWaitingRequestOfCrashingContentIsRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		learned bool // from another host
	}{{"seen here", false}, {"told by another host", true}} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(1)
			running := w.fill(2)
			waits, other := w.ask(hostB, Request{Content: 7}), w.ask(hostB, Request{Content: 8})
			seer := w.b
			if c.learned {
				seer = New(quota.Tolerance{}, 2)
			}
			for i := range crashThreshold {
				address := netip.AddrPortFrom(netip.MustParseAddr("10.1.0.9"), uint16(i))
				seer.ReportBrokenRun(w.now, BrokenRun{Content: 7, Address: address, EndedAt: w.now, ConnectRefused: true})
			}
			if c.learned {
				w.b.MergeCrashes(w.now, seer.NewCrashes(w.now))
			}
			w.done(hostA, running[0], Good, time.Millisecond)
			w.done(hostA, running[1], Good, time.Millisecond)
			r := w.refused(hostB, waits)
			assert.Assert(t, r != nil && r.Cause == "CrashesTargets", "%v", r)
			assert.Equal(t, w.granted(hostB, waits), "")
			assert.Equal(t, w.granted(hostB, other), "t0")
		})
	}
}

// After the first crash of a content, copies submitted at once were all sent
// before their own crashes were known.
func TestCrashingContentRunsNoMoreThanItMayCrash(t *testing.T) {
	w := newHarness(6)
	first := w.ask(hostA, Request{Content: 7})
	w.done(hostA, first, Broken, 0)
	w.reportBrokenRun(first, 7, w.granted(hostA, first), true)
	var copies, granted []uint64
	for range 5 {
		copies = append(copies, w.ask(hostA, Request{Content: 7}))
	}
	running := func() []uint64 {
		granted = nil
		for _, id := range copies {
			if w.granted(hostA, id) != "" {
				granted = append(granted, id)
			}
		}
		return granted
	}
	assert.Equal(t, len(running()), crashThreshold-1)
	assert.Assert(t, w.granted(hostA, w.ask(hostA, Request{Content: 8})) != "", "another content waits")

	w.done(hostA, granted[0], Broken, 0) // not examined yet
	w.done(hostA, granted[1], Failed, 0)
	w.advance(crashCheckTime - time.Millisecond)
	assert.Equal(t, len(running()), crashThreshold)
	w.advance(time.Millisecond) // by now a crash of the first would be known
	assert.Equal(t, len(running()), crashThreshold+1)

	w.done(hostA, granted[2], Good, time.Millisecond)
	assert.Equal(t, len(running()), len(copies), "a whole answer clears the content")
}

// A target that restarted before its connection was found broken accepts
// connections again; only its published start shows the crash.
func TestCrashShowsInThePublishedStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		before bool // published before the break is reported
		after  time.Duration
		step   CrashStep
	}{
		{"published at once", true, 0, CrashRecorded},
		{"published within two beats", false, restartPublishDelay - time.Millisecond, CrashRecorded},
		{"published long after", false, restartPublishDelay, CrashRuledOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(1)
			old := *w.b.roster.Targets["t0"]
			again := old
			again.Born++
			if c.before {
				w.putTarget(again)
			}
			w.b.ReportBrokenRun(w.now, BrokenRun{Content: 7, Target: "t0", Address: old.Address, Born: old.Born, EndedAt: w.now})
			w.advance(c.after)
			if !c.before {
				w.putTarget(again)
			}
			notes := w.b.TakeCrashEvents()
			assert.Equal(t, notes[len(notes)-1].Step, c.step)
		})
	}
}

// Each step of a crash investigation is reported, so that logs show why a content
// was or was not refused.
func TestCrashNotes(t *testing.T) {
	w := newHarness(1)
	steps := func() (steps []CrashStep) {
		for _, n := range w.b.TakeCrashEvents() {
			assert.Equal(t, n.Run.Content, model.Fingerprint(7))
			steps = append(steps, n.Step)
		}
		return steps
	}
	w.reportBrokenRun(1, 7, "t0", false)
	assert.DeepEqual(t, steps(), []CrashStep{CrashSuspected})
	w.advance(restartPublishDelay)
	assert.DeepEqual(t, steps(), []CrashStep{CrashRuledOut})
	w.reportBrokenRun(2, 7, "t0", true)
	assert.DeepEqual(t, steps(), []CrashStep{CrashSuspected, CrashRecorded})
}

func TestPartOfTheFleetUsesItsPartOfTheAllowance(t *testing.T) {
	w := newHarness(1)
	w.b.SetReachableShare(1, 4)
	w.advance(10 * time.Second)
	first := w.ask(hostA, Request{Workspace: "bounded", QuotaTokens: 2.5})
	assert.Equal(t, w.granted(hostA, first), "t0")
	assert.Assert(t, w.refused(hostA, w.ask(hostA, Request{Workspace: "bounded", QuotaTokens: 2.5})) != nil)
}

func TestColdTargetIsPaced(t *testing.T) {
	for _, c := range []struct {
		alive, known int
		most         int // granted in three seconds at 4 a second
	}{{1, 1, 13}, {1, 2, 7}, {1, 4, 4}} {
		w := newHarness(0)
		w.b.SetReachableShare(c.alive, c.known)
		w.putTarget(roster.Target{ID: "cold", Service: "engine", ColdUntil: w.now.Add(time.Minute)})
		for range 300 {
			w.ask(hostA, Request{ExpiresIn: 20 * time.Millisecond})
			for _, g := range w.grants[hostA] {
				w.done(hostA, g.ID, Good, time.Millisecond)
			}
			w.advance(10 * time.Millisecond)
		}
		n := len(w.grants[hostA])
		assert.Assert(t, n >= c.most-2 && n <= c.most, "%d of %d hosts: %d granted", c.alive, c.known, n)
	}
}

// A target that reports itself cold with an answer is limited to its cold rate at
// once.
func TestTargetThatTellsItIsColdIsPaced(t *testing.T) {
	w := newHarness(1)
	id := w.ask(hostA, Request{})
	w.b.Complete(w.now, hostA, Completion{ID: id, Target: "t0", Outcome: Good, ColdLeft: time.Second})
	w.collect()
	first := w.ask(hostB, Request{})
	assert.Equal(t, w.granted(hostB, first), "t0")
	w.done(hostB, first, Good, time.Millisecond)
	second := w.ask(hostB, Request{})
	assert.Equal(t, w.granted(hostB, second), "")
	w.advance(250 * time.Millisecond)
	assert.Equal(t, w.granted(hostB, second), "t0")
}

// TestBroker runs random operation sequences. No target gets more than it runs at
// once, no unusable target gets a request, every request gets at most one
// verdict, and no request waits while a target could take it.
func TestBroker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(rapid.IntRange(1, 3).Draw(t, "targets"))
		out := map[uint64]netip.AddrPort{}  // submitted, without verdict
		runs := map[uint64]netip.AddrPort{} // granted, not completed
		settle := func() {
			w.collect()
			count := map[string]int{}
			for h, gs := range w.grants {
				for _, g := range gs {
					if at, ok := out[g.ID]; ok && at == h {
						delete(out, g.ID)
						runs[g.ID] = h
						assert.Assert(t, w.roster.Snapshot().Usable(g.Target) != nil, "unusable target")
					}
				}
			}
			for h, rs := range w.refusals {
				for _, r := range rs {
					_, running := runs[r.ID]
					assert.Assert(t, !running, "refused while running")
					if out[r.ID] == h {
						delete(out, r.ID)
					}
				}
			}
			for id, h := range runs {
				count[w.granted(h, id)]++
			}
			for id, n := range count {
				assert.Assert(t, n <= 2, "target %s has %d", id, n)
			}
			for _, host := range out {
				for tid, k := range w.b.targets {
					p := w.roster.Snapshot().Usable(tid)
					busy := p == nil || count[tid] >= 2 || k.consecutiveFailures >= ejectAfterFailures || k.blockedFor(w.now, host) > 0 || w.now.Before(k.rejectedUntil) || k.cold(w.now)
					assert.Assert(t, busy, "a request waits while %s is free", tid)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { settle() },
			"ask": func(t *rapid.T) {
				host := rapid.SampledFrom([]netip.AddrPort{hostA, hostB}).Draw(t, "host")
				id := w.ask(host, Request{
					Tier: model.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), OutputTokens: rapid.IntRange(1, 500).Draw(t, "output"),
					StartWithin: time.Duration(rapid.IntRange(1, 2000).Draw(t, "aim")) * time.Millisecond,
					ExpiresIn:   time.Duration(rapid.IntRange(1, 4000).Draw(t, "left")) * time.Millisecond,
				})
				out[id] = host
			},
			"done": func(t *rapid.T) {
				for id, h := range runs {
					delete(runs, id)
					o := rapid.SampledFrom([]Outcome{Good, Failed, Rejected, Broken, NoConnect, Unused, Cancelled}).Draw(t, "outcome")
					w.done(h, id, o, time.Duration(rapid.IntRange(1, 900).Draw(t, "took"))*time.Millisecond)
					return
				}
			},
			"cancel": func(*rapid.T) {
				for id, h := range out {
					w.b.Cancel(h, id)
					delete(out, id)
					return
				}
			},
			"pass": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					w.putTarget(roster.Target{ID: "t0", Service: "engine", Slots: 2, Draining: rapid.Bool().Draw(t, "draining")})
				}
			},
		})
	})
}

func BenchmarkAskAndDone(b *testing.B) {
	for _, n := range []int{15, 95, 600} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			w := newHarness(n)
			b.ReportAllocs()
			for b.Loop() {
				id := w.ask(hostA, Request{OutputTokens: 100})
				w.done(hostA, id, Good, time.Second)
				clear(w.grants)
			}
		})
	}
}

// The start latency of plain services was not learnt. Their requests ran in the
// order of their objectives, each sent when it could no longer be in time.
func TestPlainRequestsThatCannotBeInTimeMakeWay(t *testing.T) {
	w := newHarness(0, routes.Service{Name: "plain"})
	w.putTarget(roster.Target{ID: "p", Service: "plain", Slots: 1})
	plain := func(aim time.Duration) uint64 { return w.ask(hostA, Request{Service: "plain", StartWithin: aim}) }
	finish := func(id uint64) {
		const took = 60 * time.Millisecond
		w.now = w.now.Add(took)
		w.b.Complete(w.now, hostA, Completion{ID: id, Target: "p", Outcome: Good, Took: took})
		w.collect()
	}
	for range 20 {
		finish(plain(300 * time.Millisecond))
	}
	running := plain(300 * time.Millisecond)
	late, inTime := plain(90*time.Millisecond), plain(300*time.Millisecond)
	finish(running) // 30 ms are left until the objective of one, 240 ms for the other
	assert.Equal(t, w.granted(hostA, late), "")
	assert.Equal(t, w.granted(hostA, inTime), "p")
}

// After a Sync a host may still use a grant from before it and report the end at
// that target. The place of the later grant was then never freed, and once all
// places were lost this way nothing more was granted.
func TestGrantThatIsNotUsedIsFreedWithItsRequest(t *testing.T) {
	w := newHarness(2, routes.Service{Name: "engine", Engine: true, Slots: 1})
	first := w.ask(hostA, Request{})
	taken := w.granted(hostA, first)
	w.ask(hostB, Request{})
	waits := w.ask(hostB, Request{}) // gets the place freed when host A's state is dropped
	w.grants = map[netip.AddrPort][]Grant{}
	w.b.RemoveHost(w.now, hostA)
	w.collect()
	assert.Equal(t, w.granted(hostB, waits), taken)
	w.done(hostB, waits, Good, time.Second)
	w.b.Sync(w.now, hostA, nil, []Request{{ID: first, Service: "engine", StartWithin: time.Second, ExpiresIn: 10 * time.Second, ExcludedTargets: []string{taken}}})
	w.collect()
	assert.Equal(t, w.granted(hostA, first), "", "the other target is busy")
	for _, g := range w.grants[hostB] {
		w.b.Complete(w.now, hostB, Completion{ID: g.ID, Target: g.Target, Outcome: Good, Took: time.Second, OutputTokens: 10})
	}
	for k, r := range w.b.runs {
		if k.host == hostB {
			w.b.Complete(w.now, hostB, Completion{ID: k.id, Target: r.target, Outcome: Good, Took: time.Second, OutputTokens: 10})
		}
	}
	w.collect()
	other := w.granted(hostA, first)
	assert.Assert(t, other != "" && other != taken)
	w.b.Complete(w.now, hostA, Completion{ID: first, Target: taken, Outcome: Good, Took: time.Second, OutputTokens: 10})
	assert.Equal(t, len(w.b.runs), 0)
	next := w.ask(hostB, Request{ExcludedTargets: []string{taken}})
	assert.Equal(t, w.granted(hostB, next), other)
}
