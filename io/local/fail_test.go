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

// eventually polls ok until it returns true, and fails the test once ctx is done.
func eventually(ctx context.Context, t *testing.T, what string, ok func() bool) {
	t.Helper()
	for !ok() {
		if ctx.Err() != nil {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// runningHosts returns the indexes of the hosts that are running.
func (s *System) runningHosts() []int {
	var running []int
	for i, stop := range s.stops {
		if stop != nil {
			running = append(running, i)
		}
	}
	return running
}

// configInForce reports whether every running host applies the given
// configuration revision or a newer one.
func (s *System) configInForce(revision model.Revision) bool {
	return !slices.ContainsFunc(s.runningHosts(), func(i int) bool { return s.Hosts[i].Status().ConfigRevision < revision })
}

// plainRuns returns the requests executed by all plain services.
func (s *System) plainRuns() []fakes.Run {
	var runs []fakes.Run
	for _, p := range s.Plains {
		runs = append(runs, p.Stats().Runs...)
	}
	return runs
}

// chatBody formats a completion request from its content, stream flag and token
// limit.
const chatBody = `{"model":"lm-1","messages":[{"role":"user","content":"%s"}],"stream":%t,"max_tokens":%d}`

func TestZoneTakenOutGetsNoNewRequestsUntilRestored(t *testing.T) {
	ctx, s := start(t, smallOptions())
	setZonesOut := func(out ...string) { // zone states change while requests run
		revision := s.Platform.SetConfig(s.ConfigText(out))
		eventually(ctx, t, "all hosts apply the configuration", func() bool { return s.configInForce(revision) })
	}
	setZonesOut("b")
	before := [2]int{len(s.Engines[0].Stats().Runs), len(s.Engines[1].Stats().Runs)}
	for i := range 20 {
		r := s.send(ctx, i%2, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, "x", false, 2))
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.Equal(t, len(s.Engines[1].Stats().Runs), before[1], "zone b received new requests")
	assert.Equal(t, len(s.Engines[0].Stats().Runs), before[0]+20)
	setZonesOut()
	eventually(ctx, t, "zone b serves requests again", func() bool {
		s.send(ctx, 1, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, "x", false, 2))
		return len(s.Engines[1].Stats().Runs) > before[1]
	})
	assert.Equal(t, s.Engines[1].Stats().ColdOverloads, 0)
}

func TestLeavingTargetGetsNoNewRequestsAndCompletesRunningOnes(t *testing.T) {
	o := smallOptions()
	o.Plain.ProcessingTime = 300 * time.Millisecond
	ctx, s := start(t, o)
	result := make(chan reply, 1)
	go func() { result <- s.send(ctx, 0, http.MethodGet, "/services/orders/x", "") }()
	eventually(ctx, t, "a target executes the request", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 1 })
	leaving := slices.IndexFunc(s.Plains, func(p *fakes.Plain) bool { return p.Running() == 1 })
	s.Targets[len(s.Engines)+leaving].State = model.Leaving
	s.Publish()
	eventually(ctx, t, "all hosts apply the target list", func() bool {
		return s.Hosts[0].Status().ListRevision == 2 && s.Hosts[1].Status().ListRevision == 2
	})
	before := len(s.Plains[leaving].Stats().Runs)
	for i := range 6 {
		r := s.send(ctx, i%2, http.MethodGet, "/services/orders/y", "")
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.Equal(t, len(s.Plains[leaving].Stats().Runs), before)
	assert.Equal(t, (<-result).Status, http.StatusOK)
}

func TestGracefulStopCompletesAcceptedRequests(t *testing.T) {
	o := smallOptions()
	o.Plain.ProcessingTime = 200 * time.Millisecond
	ctx, s := start(t, o)
	var replies [12]reply
	var requests sync.WaitGroup
	for i := range replies {
		requests.Go(func() { replies[i] = s.send(ctx, 0, http.MethodGet, "/services/orders/x", "") })
	}
	eventually(ctx, t, "all requests are queued or running", func() bool {
		st := s.Hosts[0].Status()
		return st.Running+st.Waiting["Draft"] == len(replies)
	})
	stopped := make(chan error, 1)
	go func() { stopped <- s.Hosts[0].Stop(ctx) }()
	late := reply{Status: http.StatusOK}
	eventually(ctx, t, "a late request is refused", func() bool {
		late = s.send(ctx, 0, http.MethodGet, "/services/orders/late", "")
		return late.Err != nil || late.Status != http.StatusOK
	})
	assert.Assert(t, !s.Hosts[0].Ready(), "a stopping host reports ready, so the load balancer keeps sending to it")
	if late.Err == nil {
		assert.Equal(t, late.Problem.Ran, model.NotRun)
		assert.Equal(t, late.Problem.Reason, model.ReasonStopping)
	}
	requests.Wait()
	assert.NilError(t, <-stopped)
	for _, r := range replies {
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
}

// Guards against a stopping host that closes its listener and idle connections as
// soon as no request is running: requests that the load balancer sends before it
// has noticed the stop would get no response.
func TestRequestsArriveUntilTheLoadBalancerNoticesTheStop(t *testing.T) {
	o := smallOptions()
	o.Notice = 500 * time.Millisecond
	ctx, s := start(t, o)
	begun, stopped := time.Now(), make(chan error, 1)
	go func() { stopped <- s.Hosts[0].Stop(ctx) }()
	eventually(ctx, t, "the host is not ready", func() bool { return !s.Hosts[0].Ready() })
	for time.Since(begun) < o.Notice-100*time.Millisecond {
		r := s.send(ctx, 0, http.MethodGet, "/services/orders/x", "")
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.NilError(t, <-stopped)
}

func TestSlotsOfCrashedHostAreReleased(t *testing.T) {
	o := smallOptions()
	o.Plain.ProcessingTime = 20 * time.Second
	o.Plain.ColdSlots, o.Plain.WarmSlots = 2, 2
	ctx, s := start(t, o)
	for range 4 {
		go s.send(ctx, 1, http.MethodGet, "/services/orders/x", "")
	}
	eventually(ctx, t, "all slots are in use", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 4 })
	s.StopHost(1)
	s.ListedHosts = s.ListedHosts[:1]
	s.Publish()
	eventually(ctx, t, "the targets have cancelled the requests of the crashed host", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 0 })
	for range 4 {
		go s.send(ctx, 0, http.MethodGet, "/services/orders/x", "")
	}
	eventually(ctx, t, "all slots are in use again", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 4 })
	for _, p := range s.Plains {
		assert.Equal(t, p.Stats().ColdOverloads, 0)
	}
}

func TestRequestOnKilledTargetIsNotSentAgain(t *testing.T) {
	o := smallOptions()
	o.Plain.ProcessingTime = 10 * time.Second
	ctx, s := start(t, o)
	result := make(chan reply, 1)
	go func() { result <- s.send(ctx, 0, http.MethodPost, "/services/orders/rolls", "roll") }()
	eventually(ctx, t, "a target executes the request", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 1 })
	for _, p := range s.Plains {
		if p.Running() == 1 {
			p.Kill()
		}
	}
	r := <-result
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Status, http.StatusBadGateway, r.Body)
	assert.Equal(t, r.Problem.Ran, model.MayHaveRun)
	assert.Equal(t, len(s.plainRuns()), 1, "the request was sent to a target again")
}

func TestTargetThatIsDownFailsNoRequest(t *testing.T) {
	ctx, s := start(t, smallOptions())
	s.Plains[0].Kill()
	for i := range 20 {
		r := s.send(ctx, i%2, http.MethodGet, "/services/orders/x", "")
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	assert.NilError(t, s.Plains[0].Start())
	eventually(ctx, t, "the restarted target serves again", func() bool {
		s.send(ctx, 0, http.MethodGet, "/services/orders/x", "")
		return len(s.Plains[0].Stats().Runs) > 0
	})
	assert.Equal(t, s.Plains[0].Stats().ColdOverloads, 0)
}

func TestContentThatCrashesTargetsIsRefusedAfterTwoCrashes(t *testing.T) {
	ctx, s := start(t, smallOptions())
	interruptedRuns := func() int {
		n := 0
		for _, e := range s.Engines {
			for _, r := range e.Stats().Runs {
				if !r.Completed {
					n++
				}
			}
		}
		return n
	}
	poison := fmt.Sprintf(chatBody, "poison", false, 2)
	var last reply
	for i := 0; last.Problem.Reason != model.ReasonCrashesTargets; i++ {
		last = s.send(ctx, i%2, http.MethodPost, "/v1/chat/completions", poison)
		assert.NilError(t, last.Err)
		assert.Assert(t, last.Status != http.StatusOK)
		// A crash is known to peers after one or two exchanges.
		time.Sleep(time.Second)
	}
	assert.Equal(t, last.Problem.Ran, model.NotRun)
	assert.Equal(t, interruptedRuns(), 2, "the content must crash exactly two targets")
	eventually(ctx, t, "other content is served", func() bool {
		r := s.send(ctx, 0, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, "fine", false, 2))
		return r.Status == http.StatusOK
	})
}

func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	ctx, s := start(t, smallOptions())
	old := s.Platform.Config()
	newest := s.Platform.SetConfig(s.ConfigText([]string{"b"}))
	eventually(ctx, t, "all hosts apply the new configuration", func() bool { return s.configInForce(newest) })
	// The platform serves the older revision, as a stale replica would, while a
	// host restarts.
	s.Platform.Restore(old)
	s.StopHost(1)
	assert.NilError(t, s.StartHost(ctx, 1))
	eventually(ctx, t, "the restarted host is ready", s.Hosts[1].Ready)
	for _, h := range s.Hosts {
		assert.Equal(t, h.Status().ConfigRevision, newest)
	}
}

func TestInvalidConfigurationIsRejectedByAllHosts(t *testing.T) {
	ctx, s := start(t, smallOptions())
	before := s.Hosts[0].Status().ConfigRevision
	bad := s.Platform.SetConfig(strings.Replace(s.ConfigText(nil), "Kind: Plain", "Kind: Planar\n    Colour: red", 1))
	eventually(ctx, t, "both hosts reject the configuration", func() bool {
		return s.Hosts[0].Status().RejectedRevision == bad && s.Hosts[1].Status().RejectedRevision == bad
	})
	for _, h := range s.Hosts {
		assert.Equal(t, h.Status().ConfigRevision, before)
		assert.Assert(t, strings.Contains(h.Status().Findings, "unknown field Colour"), h.Status().Findings)
		assert.Equal(t, h.Status().Findings, s.Hosts[0].Status().Findings)
	}
	good := s.Platform.SetConfig(s.ConfigText(nil))
	eventually(ctx, t, "all hosts apply a valid configuration", func() bool { return s.configInForce(good) })
}

func TestRequestsSucceedDuringPlatformOutage(t *testing.T) {
	ctx, s := start(t, smallOptions())
	s.Platform.SetDown(true)
	for i := range 10 {
		r := s.send(ctx, i%2, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, "x", false, 2))
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	s.Platform.SetDown(false)
	r := s.Platform.SetConfig(s.ConfigText(nil))
	eventually(ctx, t, "all hosts apply a configuration published after the outage", func() bool { return s.configInForce(r) })
}

func TestUrgentRequestsPrecedeLessUrgentOnesOfAllHosts(t *testing.T) {
	o := smallOptions()
	o.Plains, o.Plain.ColdSlots, o.Plain.WarmSlots, o.Plain.ProcessingTime = 1, 1, 1, 150*time.Millisecond
	ctx, s := start(t, o)
	var requests sync.WaitGroup
	send := func(host int, tier string) {
		requests.Go(func() { s.send(ctx, host, http.MethodGet, "/services/orders/x", tier, front.HeaderTier, tier) })
	}
	for i := range 6 {
		send(i%2, "Draft")
	}
	eventually(ctx, t, "Draft requests are queued on both hosts", func() bool {
		return s.Hosts[0].Status().Waiting["Draft"] >= 2 && s.Hosts[1].Status().Waiting["Draft"] >= 2
	})
	send(0, "Order")
	send(1, "Order")
	eventually(ctx, t, "both Order requests are queued or one is running", func() bool {
		return s.Hosts[0].Status().Waiting["Order"]+s.Hosts[1].Status().Waiting["Order"] == 2 ||
			slices.ContainsFunc(s.plainRuns(), func(r fakes.Run) bool { return r.Tier == "Order" })
	})
	atArrival := len(s.plainRuns())
	requests.Wait()
	runs := s.plainRuns()
	lastOrder := 0
	for i, r := range runs {
		if r.Tier == "Order" {
			lastOrder = i
		}
	}
	// One Draft request may have been granted a slot before the Order requests were
	// known to the manager.
	assert.Assert(t, lastOrder <= atArrival+2, "runs: %v", tiers(runs))
}

// tiers returns the tier of each run.
func tiers(runs []fakes.Run) []string {
	var names []string
	for _, r := range runs {
		names = append(names, r.Tier)
	}
	return names
}

func TestBurstNeverOverloadsColdTargets(t *testing.T) {
	o := smallOptions()
	o.Engine.Decode = 3 * time.Millisecond
	ctx, s := start(t, o)
	var requests sync.WaitGroup
	for i := range 80 {
		requests.Go(func() {
			s.send(ctx, i%2, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, "x", true, 10))
		})
	}
	requests.Wait()
	for _, e := range s.Engines {
		a := e.Stats()
		assert.Equal(t, a.ColdOverloads, 0)
		assert.Assert(t, len(a.Runs) > 0)
	}
}

func TestStreamOnSilentConnectionIsResumedCompletely(t *testing.T) {
	var n network
	o := n.configure(smallOptions())
	o.Silence = 400 * time.Millisecond
	o.Engine.Decode = 20 * time.Millisecond
	ctx, s := start(t, o)
	result := make(chan reply, 1)
	go func() {
		result <- s.send(ctx, 0, http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, "x", true, 30))
	}()
	eventually(ctx, t, "the stream is running", func() bool { return s.Engines[0].Running()+s.Engines[1].Running() == 1 })
	time.Sleep(100 * time.Millisecond)
	n.SilenceAll()
	r := <-result
	assert.NilError(t, r.Err)
	assert.Equal(t, strings.Count(r.Body, `"content"`), 30)
	for i := range 30 {
		assert.Equal(t, strings.Count(r.Body, fmt.Sprintf(`"w%d "`, i)), 1)
	}
	assert.Assert(t, strings.HasSuffix(r.Body, "data: [DONE]\n\n"))
	assert.Equal(t, len(s.Engines[0].Stats().Runs)+len(s.Engines[1].Stats().Runs), 1)
}

func TestRequestOnSilentConnectionIsReportedAsMayHaveRun(t *testing.T) {
	var n network
	o := n.configure(smallOptions())
	o.Silence = 300 * time.Millisecond
	o.Plain.ProcessingTime = 100 * time.Millisecond
	ctx, s := start(t, o)
	result := make(chan reply, 1)
	go func() { result <- s.send(ctx, 0, http.MethodPost, "/services/orders/rolls", "roll") }()
	eventually(ctx, t, "a target executes the request", func() bool { return s.Plains[0].Running()+s.Plains[1].Running() == 1 })
	n.SilenceAll()
	r := <-result
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Problem.Ran, model.MayHaveRun, r.Body)
	assert.Equal(t, len(s.plainRuns()), 1)
	eventually(ctx, t, "requests over new connections succeed", func() bool {
		return s.send(ctx, 0, http.MethodGet, "/services/orders/x", "").Status == http.StatusOK
	})
}

func TestPartitionedZonesServeIndependently(t *testing.T) {
	var n network
	ctx, s := start(t, n.configure(smallOptions()))
	n.addSystem(s)
	n.Cut("a", "b")
	eventually(ctx, t, "both hosts have lost their peer", func() bool {
		return len(s.Hosts[0].Status().PeersAlive) == 0 && len(s.Hosts[1].Status().PeersAlive) == 0
	})
	for host := range 2 {
		eventually(ctx, t, "the host serves requests during the partition", func() bool {
			r := s.send(ctx, host, http.MethodGet, "/services/orders/x", "", front.HeaderDeadline, "1s")
			return r.Status == http.StatusOK
		})
	}
	n.Heal("a", "b")
	eventually(ctx, t, "both hosts see their peer again", func() bool {
		return len(s.Hosts[0].Status().PeersAlive) == 1 && len(s.Hosts[1].Status().PeersAlive) == 1
	})
	for i := range 6 {
		r := s.send(ctx, i%2, http.MethodGet, "/services/orders/x", "")
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	for _, p := range s.Plains {
		assert.Equal(t, p.Stats().ColdOverloads, 0)
	}
}

// When one host's queue is full of Order requests while another host queues only
// Draft requests, a further Order request is queued and a Draft request of the
// other host is shed instead.
func TestOrderIsNotShedWhileADraftIsQueuedAtAnotherHost(t *testing.T) {
	o := smallOptions()
	o.Plains, o.Plain.ColdSlots, o.Plain.WarmSlots, o.Plain.ProcessingTime = 1, 1, 1, 10*time.Second
	o.Deadline, o.MaxWaiting = 8*time.Second, 3
	ctx, s := start(t, o)
	replies := make(chan reply, 16)
	send := func(host int, tier string) {
		go func() {
			replies <- s.send(ctx, host, http.MethodGet, "/services/orders/x", tier, front.HeaderTier, tier)
		}()
	}
	queued := func(host int, tier string) int { return s.Hosts[host].Status().Waiting[tier] }
	send(1, "Draft")
	eventually(ctx, t, "the target's only slot is in use", func() bool { return s.Plains[0].Running() == 1 })
	for range 3 {
		send(0, "Order")
		send(1, "Draft")
	}
	eventually(ctx, t, "both queues are full", func() bool { return queued(0, "Order") == 3 && queued(1, "Draft") == 3 })
	time.Sleep(1500 * time.Millisecond) // for the hosts to exchange their queue lengths
	send(0, "Order")
	r := <-replies
	assert.Equal(t, r.Problem.Reason, model.ReasonShed, r.Body)
	assert.Equal(t, r.Problem.Ran, model.NotRun)
	assert.Equal(t, r.Header.Get(front.HeaderTier), "Draft", "an Order request was shed while Draft requests are queued")
	eventually(ctx, t, "the Order request is queued", func() bool { return queued(0, "Order") == 4 && queued(1, "Draft") == 2 })
}

// The timeout for reading a request must not abort one whose response takes longer
// than that timeout.
func TestSlowResponseIsNotCutOffByTheReadTimeout(t *testing.T) {
	o := smallOptions()
	o.Plain.ProcessingTime = 600 * time.Millisecond
	o.ConfigureHost = func(_ int, e *entry.Options) { e.ReadTimeout = 150 * time.Millisecond }
	ctx, s := start(t, o)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		r := s.send(ctx, 0, method, "/services/orders/review", "a long one")
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
	}
	r := s.send(ctx, 0, http.MethodGet, "/services/orders/review", "")
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Status, http.StatusOK, r.Body)
}

// engineSlots returns the current concurrency limit of an engine, as its manager
// reports it.
func (s *System) engineSlots(engine int) int {
	for _, i := range s.runningHosts() {
		for _, load := range s.Hosts[i].Status().Targets {
			if load.Target == s.Targets[engine].Address {
				return load.Slots
			}
		}
	}
	return 0
}

// An engine doesn't announce that it has become cold. One slow stream, sent by any
// host, must reduce its concurrency limit to the cold limit for all hosts.
func TestWarmTargetThatBecomesColdIsLimitedForAllHosts(t *testing.T) {
	o := smallOptions()
	o.Engines = 1
	o.Engine.Decode = 3 * time.Millisecond
	ctx, s := start(t, o)
	stream := fmt.Sprintf(chatBody, "x", true, 12)
	eventually(ctx, t, "the engine is at its warm limit", func() bool {
		s.send(ctx, 0, http.MethodPost, "/v1/chat/completions", stream)
		return s.engineSlots(0) == o.Engine.WarmSlots
	})
	s.Engines[0].SetSlowdown(20)
	r := s.send(ctx, 1, http.MethodPost, "/v1/chat/completions", stream)
	assert.Equal(t, r.Status, http.StatusOK, r.Body)
	eventually(ctx, t, "the engine is at its cold limit", func() bool { return s.engineSlots(0) == o.Engine.ColdSlots })
}
