package local

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/io/entry"
	"yuccadoor/io/fakes"
	"yuccadoor/io/front"
)

// eventually waits until a condition holds, or the scenario's time is over.
func eventually(ctx context.Context, t *testing.T, what string, ok func() bool) {
	t.Helper()
	for !ok() {
		if ctx.Err() != nil {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *System) running() []int {
	var up []int
	for i, stop := range s.stops {
		if stop != nil {
			up = append(up, i)
		}
	}
	return up
}

// inForce reports whether every running host has a revision in force.
func (s *System) inForce(r model.Revision) bool {
	return !slices.ContainsFunc(s.running(), func(i int) bool { return s.Hosts[i].Status().ConfigRevision < r })
}

// runs adds up the runs on all plain services.
func (s *System) runs() []fakes.Run {
	var runs []fakes.Run
	for _, p := range s.Plains {
		runs = append(runs, p.Account().Runs...)
	}
	return runs
}

const chat = `{"model":"lm-1","messages":[{"role":"user","content":"%s"}],"stream":%t,"max_tokens":%d}`

func TestZoneTakenOutGetsNoNewWorkAndComesBack(t *testing.T) {
	ctx, s := start(t, small())
	text := func(out ...string) { // zone state changes while requests run
		r := s.Platform.SetConfig(s.Text(out))
		eventually(ctx, t, "configuration in force everywhere", func() bool { return s.inForce(r) })
	}
	text("b")
	before := [2]int{len(s.Engines[0].Account().Runs), len(s.Engines[1].Account().Runs)}
	for i := range 20 {
		r := s.ask(ctx, i%2, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, "x", false, 2))
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.Equal(t, len(s.Engines[1].Account().Runs), before[1], "zone b got new work")
	assert.Equal(t, len(s.Engines[0].Account().Runs), before[0]+20)
	text()
	eventually(ctx, t, "zone b serves again", func() bool {
		s.ask(ctx, 1, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, "x", false, 2))
		return len(s.Engines[1].Account().Runs) > before[1]
	})
	assert.Equal(t, s.Engines[1].Account().Overrun, 0)
}

func TestLeavingTargetGetsNoNewWorkAndEndsItsOwn(t *testing.T) {
	o := small()
	o.Plain.Work = 300 * time.Millisecond
	ctx, s := start(t, o)
	got := make(chan reply, 1)
	go func() { got <- s.ask(ctx, 0, http.MethodGet, "/services/orders/x", "") }()
	eventually(ctx, t, "one target runs it", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 1 })
	leaving := slices.IndexFunc(s.Plains, func(p *fakes.Plain) bool { return p.Running() == 1 })
	s.Targets[len(s.Engines)+leaving].State = model.Leaving
	s.Publish()
	eventually(ctx, t, "list adopted everywhere", func() bool {
		return s.Hosts[0].Status().ListRevision == 2 && s.Hosts[1].Status().ListRevision == 2
	})
	before := len(s.Plains[leaving].Account().Runs)
	for i := range 6 {
		r := s.ask(ctx, i%2, http.MethodGet, "/services/orders/y", "")
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.Equal(t, len(s.Plains[leaving].Account().Runs), before)
	assert.Equal(t, (<-got).Status, http.StatusOK)
}

func TestGracefulStopCutsOffNothing(t *testing.T) {
	o := small()
	o.Plain.Work = 200 * time.Millisecond
	ctx, s := start(t, o)
	var replies [12]reply
	var asking sync.WaitGroup
	for i := range replies {
		asking.Go(func() { replies[i] = s.ask(ctx, 0, http.MethodGet, "/services/orders/x", "") })
	}
	eventually(ctx, t, "requests wait and run", func() bool {
		st := s.Hosts[0].Status()
		return st.Running+st.Waiting["Draft"] == len(replies)
	})
	stopped := make(chan error, 1)
	go func() { stopped <- s.Hosts[0].Stop(ctx) }()
	late := reply{Status: http.StatusOK}
	eventually(ctx, t, "a late request is refused", func() bool {
		late = s.ask(ctx, 0, http.MethodGet, "/services/orders/late", "")
		return late.Err != nil || late.Status != http.StatusOK
	})
	assert.Assert(t, !s.Hosts[0].Ready(), "the balancer would go on sending")
	if late.Err == nil {
		assert.Equal(t, late.Problem.Ran, model.NotRun)
		assert.Equal(t, late.Problem.Reason, model.ReasonStopping)
	}
	asking.Wait()
	assert.NilError(t, <-stopped)
	for _, r := range replies {
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
}

// A stopping host closed its listener and its idle connections as soon as nothing
// ran: requests that the balancer still sent got no answer.
func TestRequestsArriveUntilTheBalancerHasNoticedTheStop(t *testing.T) {
	o := small()
	o.Notice = 500 * time.Millisecond
	ctx, s := start(t, o)
	begun, stopped := time.Now(), make(chan error, 1)
	go func() { stopped <- s.Hosts[0].Stop(ctx) }()
	eventually(ctx, t, "the host is not ready", func() bool { return !s.Hosts[0].Ready() })
	for time.Since(begun) < o.Notice-100*time.Millisecond {
		r := s.ask(ctx, 0, http.MethodGet, "/services/orders/x", "")
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.NilError(t, <-stopped)
}

func TestCrashedHostGivesItsSlotsBack(t *testing.T) {
	o := small()
	o.Plain.Work = 20 * time.Second
	o.Plain.Cold, o.Plain.Warm = 2, 2
	ctx, s := start(t, o)
	for range 4 {
		go s.ask(ctx, 1, http.MethodGet, "/services/orders/x", "")
	}
	eventually(ctx, t, "all slots are taken", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 4 })
	s.StopHost(1)
	s.Listed = s.Listed[:1]
	s.Publish()
	eventually(ctx, t, "the targets have noticed", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 0 })
	for range 4 {
		go s.ask(ctx, 0, http.MethodGet, "/services/orders/x", "")
	}
	eventually(ctx, t, "all slots are used again", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 4 })
	for _, p := range s.Plains {
		assert.Equal(t, p.Account().Overrun, 0)
	}
}

func TestRequestOnKilledTargetIsNotSentAgain(t *testing.T) {
	o := small()
	o.Plain.Work = 10 * time.Second
	ctx, s := start(t, o)
	got := make(chan reply, 1)
	go func() { got <- s.ask(ctx, 0, http.MethodPost, "/services/orders/rolls", "roll") }()
	eventually(ctx, t, "the request runs", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 1 })
	for _, p := range s.Plains {
		if p.Running() == 1 {
			p.Kill()
		}
	}
	r := <-got
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Status, http.StatusBadGateway, r.Body)
	assert.Equal(t, r.Problem.Ran, model.MayHaveRun)
	assert.Equal(t, len(s.runs()), 1, "the request was dispatched again")
}

func TestTargetThatIsDownCostsNoRequest(t *testing.T) {
	ctx, s := start(t, small())
	s.Plains[0].Kill()
	for i := range 20 {
		r := s.ask(ctx, i%2, http.MethodGet, "/services/orders/x", "")
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.NilError(t, s.Plains[0].Start())
	eventually(ctx, t, "the restarted target serves again", func() bool {
		s.ask(ctx, 0, http.MethodGet, "/services/orders/x", "")
		return len(s.Plains[0].Account().Runs) > 0
	})
	assert.Equal(t, s.Plains[0].Account().Overrun, 0)
}

func TestContentThatCrashesTargetsIsRefusedAfterTwoCrashes(t *testing.T) {
	ctx, s := start(t, small())
	crashes := func() int {
		n := 0
		for _, e := range s.Engines {
			for _, r := range e.Account().Runs {
				if !r.Whole {
					n++
				}
			}
		}
		return n
	}
	poison := fmt.Sprintf(chat, "poison", false, 2)
	var last reply
	for i := 0; last.Problem.Reason != model.ReasonCrashesTargets; i++ {
		last = s.ask(ctx, i%2, http.MethodPost, "/v1/chat/completions", poison)
		assert.NilError(t, last.Err)
		assert.Assert(t, last.Status != http.StatusOK)
		// Peers hear of a crash within an exchange or two.
		time.Sleep(time.Second)
	}
	assert.Equal(t, last.Problem.Ran, model.NotRun)
	assert.Equal(t, crashes(), 2, "the content crashed more targets")
	eventually(ctx, t, "other content is served", func() bool {
		r := s.ask(ctx, 0, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, "fine", false, 2))
		return r.Status == http.StatusOK
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	ctx, s := start(t, small())
	old := s.Platform.Config()
	newest := s.Platform.SetConfig(s.Text([]string{"b"}))
	eventually(ctx, t, "new text in force", func() bool { return s.inForce(newest) })
	// The platform's replica falls back; a host restarts and reads it.
	s.Platform.Restore(old)
	s.StopHost(1)
	assert.NilError(t, s.StartHost(ctx, 1))
	eventually(ctx, t, "the new process is ready", s.Hosts[1].Ready)
	for _, h := range s.Hosts {
		assert.Equal(t, h.Status().ConfigRevision, newest)
	}
}

func TestTextWithFindingsIsRejectedWholeEverywhere(t *testing.T) {
	ctx, s := start(t, small())
	before := s.Hosts[0].Status().ConfigRevision
	bad := s.Platform.SetConfig(strings.Replace(s.Text(nil), "Kind: Plain", "Kind: Planar\n    Colour: red", 1))
	eventually(ctx, t, "both hosts have rejected it", func() bool {
		return s.Hosts[0].Status().RejectedRevision == bad && s.Hosts[1].Status().RejectedRevision == bad
	})
	for _, h := range s.Hosts {
		assert.Equal(t, h.Status().ConfigRevision, before)
		assert.Assert(t, strings.Contains(h.Status().Findings, "unknown field Colour"), h.Status().Findings)
		assert.Equal(t, h.Status().Findings, s.Hosts[0].Status().Findings)
	}
	good := s.Platform.SetConfig(s.Text(nil))
	eventually(ctx, t, "a good text is in force", func() bool { return s.inForce(good) })
}

func TestPlatformOutageStopsNoRequest(t *testing.T) {
	ctx, s := start(t, small())
	s.Platform.SetDown(true)
	for i := range 10 {
		r := s.ask(ctx, i%2, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, "x", false, 2))
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	s.Platform.SetDown(false)
	r := s.Platform.SetConfig(s.Text(nil))
	eventually(ctx, t, "texts arrive again", func() bool { return s.inForce(r) })
}

func TestUrgentRequestOvertakesPatientOnesOfAllHosts(t *testing.T) {
	o := small()
	o.Plains, o.Plain.Cold, o.Plain.Warm, o.Plain.Work = 1, 1, 1, 150*time.Millisecond
	ctx, s := start(t, o)
	var asking sync.WaitGroup
	send := func(host int, tier string) {
		asking.Go(func() { s.ask(ctx, host, http.MethodGet, "/services/orders/x", tier, front.HeaderTier, tier) })
	}
	for i := range 6 {
		send(i%2, "Draft")
	}
	eventually(ctx, t, "drafts wait on both hosts", func() bool {
		return s.Hosts[0].Status().Waiting["Draft"] >= 2 && s.Hosts[1].Status().Waiting["Draft"] >= 2
	})
	send(0, "Order")
	send(1, "Order")
	eventually(ctx, t, "orders wait", func() bool {
		return s.Hosts[0].Status().Waiting["Order"]+s.Hosts[1].Status().Waiting["Order"] == 2 ||
			slices.ContainsFunc(s.runs(), func(r fakes.Run) bool { return r.Tier == "Order" })
	})
	atArrival := len(s.runs())
	asking.Wait()
	runs := s.runs()
	lastOrder := 0
	for i, r := range runs {
		if r.Tier == "Order" {
			lastOrder = i
		}
	}
	// One draft may have been granted before the orders were known.
	assert.Assert(t, lastOrder <= atArrival+2, "runs: %v", tiers(runs))
}

func tiers(runs []fakes.Run) []string {
	var names []string
	for _, r := range runs {
		names = append(names, r.Tier)
	}
	return names
}

func TestBurstNeverOverrunsColdTargets(t *testing.T) {
	o := small()
	o.Engine.Decode = 3 * time.Millisecond
	ctx, s := start(t, o)
	var asking sync.WaitGroup
	for i := range 80 {
		asking.Go(func() {
			s.ask(ctx, i%2, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, "x", true, 10))
		})
	}
	asking.Wait()
	for _, e := range s.Engines {
		a := e.Account()
		assert.Equal(t, a.Overrun, 0)
		assert.Assert(t, len(a.Runs) > 0)
	}
}

func TestStreamOnSilentConnectionIsResumedWhole(t *testing.T) {
	var n network
	o := n.with(small())
	o.Silence = 400 * time.Millisecond
	o.Engine.Decode = 20 * time.Millisecond
	ctx, s := start(t, o)
	got := make(chan reply, 1)
	go func() {
		got <- s.ask(ctx, 0, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, "x", true, 30))
	}()
	eventually(ctx, t, "the stream runs", func() bool { return s.Engines[0].Running()+s.Engines[1].Running() == 1 })
	time.Sleep(100 * time.Millisecond)
	n.Hush()
	r := <-got
	assert.NilError(t, r.Err)
	assert.Equal(t, strings.Count(r.Body, `"content"`), 30)
	for i := range 30 {
		assert.Equal(t, strings.Count(r.Body, fmt.Sprintf(`"w%d "`, i)), 1)
	}
	assert.Assert(t, strings.HasSuffix(r.Body, "data: [DONE]\n\n"))
	assert.Equal(t, len(s.Engines[0].Account().Runs)+len(s.Engines[1].Account().Runs), 1)
}

func TestCallOnSilentConnectionIsRefusedTruthfully(t *testing.T) {
	var n network
	o := n.with(small())
	o.Silence = 300 * time.Millisecond
	o.Plain.Work = 100 * time.Millisecond
	ctx, s := start(t, o)
	got := make(chan reply, 1)
	go func() { got <- s.ask(ctx, 0, http.MethodPost, "/services/orders/rolls", "roll") }()
	eventually(ctx, t, "the call runs", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 1 })
	n.Hush()
	r := <-got
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Problem.Ran, model.MayHaveRun, r.Body)
	assert.Equal(t, len(s.runs()), 1)
	eventually(ctx, t, "new connections serve", func() bool {
		return s.ask(ctx, 0, http.MethodGet, "/services/orders/x", "").Status == http.StatusOK
	})
}

func TestZonesCutApartEachServeTheirOwn(t *testing.T) {
	var n network
	ctx, s := start(t, n.with(small()))
	n.learn(s)
	n.Cut("a", "b")
	eventually(ctx, t, "both sides have noticed", func() bool {
		return len(s.Hosts[0].Status().PeersAlive) == 0 && len(s.Hosts[1].Status().PeersAlive) == 0
	})
	for host := range 2 {
		eventually(ctx, t, "the side serves", func() bool {
			r := s.ask(ctx, host, http.MethodGet, "/services/orders/x", "", front.HeaderDeadline, "1s")
			return r.Status == http.StatusOK
		})
	}
	n.Heal("a", "b")
	eventually(ctx, t, "the sides have found each other", func() bool {
		return len(s.Hosts[0].Status().PeersAlive) == 1 && len(s.Hosts[1].Status().PeersAlive) == 1
	})
	for i := range 6 {
		r := s.ask(ctx, i%2, http.MethodGet, "/services/orders/x", "")
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	for _, p := range s.Plains {
		assert.Equal(t, p.Account().Overrun, 0)
	}
}

// One host's queue is full of orders while the other holds only drafts: a further
// order is kept, and a draft of the other host is refused in its stead.
func TestOrderIsNotShedWhileADraftWaitsAtAnotherHost(t *testing.T) {
	o := small()
	o.Plains, o.Plain.Cold, o.Plain.Warm, o.Plain.Work = 1, 1, 1, 10*time.Second
	o.Deadline, o.Waiting = 8*time.Second, 3
	ctx, s := start(t, o)
	replies := make(chan reply, 16)
	send := func(host int, tier string) {
		go func() {
			replies <- s.ask(ctx, host, http.MethodGet, "/services/orders/x", tier, front.HeaderTier, tier)
		}()
	}
	waiting := func(host int, tier string) int { return s.Hosts[host].Status().Waiting[tier] }
	send(1, "Draft")
	eventually(ctx, t, "the target is busy", func() bool { return s.Plains[0].Running() == 1 })
	for range 3 {
		send(0, "Order")
		send(1, "Draft")
	}
	eventually(ctx, t, "both queues are full", func() bool { return waiting(0, "Order") == 3 && waiting(1, "Draft") == 3 })
	time.Sleep(1500 * time.Millisecond) // the hosts tell each other what waits
	send(0, "Order")
	r := <-replies
	assert.Equal(t, r.Problem.Reason, model.ReasonShed, r.Body)
	assert.Equal(t, r.Problem.Ran, model.NotRun)
	assert.Equal(t, r.Header.Get(front.HeaderTier), "Draft", "an order was shed while drafts wait")
	eventually(ctx, t, "the order is kept", func() bool { return waiting(0, "Order") == 4 && waiting(1, "Draft") == 2 })
}

// The bound on reading a request must not end one that takes long to answer.
func TestLongAnswerOutlivesTheBoundOnReadingTheRequest(t *testing.T) {
	o := small()
	o.Plain.Work = 600 * time.Millisecond
	o.Host = func(_ int, e *entry.Options) { e.ReadTimeout = 150 * time.Millisecond }
	ctx, s := start(t, o)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		r := s.ask(ctx, 0, method, "/services/orders/review", "a long one")
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	r := s.ask(ctx, 0, http.MethodGet, "/services/orders/review", "")
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Status, http.StatusOK, r.Body)
}

// slots is the present limit of an engine, as its manager has it.
func (s *System) slots(engine int) int {
	for _, i := range s.running() {
		for _, l := range s.Hosts[i].Status().Targets {
			if l.Target == s.Targets[engine].Address {
				return l.Slots
			}
		}
	}
	return 0
}

// Nobody announces that the engine has turned cold: one slow stream, whichever
// host sent it, takes it back to its cold limit for all hosts.
func TestWarmTargetThatTurnsColdFallsBackForAllHosts(t *testing.T) {
	o := small()
	o.Engines = 1
	o.Engine.Decode = 3 * time.Millisecond
	ctx, s := start(t, o)
	stream := fmt.Sprintf(chat, "x", true, 12)
	eventually(ctx, t, "the engine is warm", func() bool {
		s.ask(ctx, 0, http.MethodPost, "/v1/chat/completions", stream)
		return s.slots(0) == o.Engine.Warm
	})
	s.Engines[0].Slow(20)
	r := s.ask(ctx, 1, http.MethodPost, "/v1/chat/completions", stream)
	assert.Equal(t, r.Status, http.StatusOK, r.Body)
	eventually(ctx, t, "it is at its cold limit", func() bool { return s.slots(0) == o.Engine.Cold })
}
