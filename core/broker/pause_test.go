package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/routes"
)

// newUnequalEngines returns a simulation with two engines, the first five times as
// slow as the second, and settled estimates: the fast one reads a prompt token in
// 10 us, with gaps of 80 ms between events meanwhile.
func newUnequalEngines(slots int) *simulation {
	s := newSimulation(2, routes.Service{Name: "engine", Engine: true, Slots: slots})
	s.b.targets["t0"].tokenTime, s.b.targets["t1"].tokenTime = 50*time.Millisecond, 10*time.Millisecond
	e := &latencyEstimate{base: 20 * time.Millisecond, perPromptToken: 10 * time.Microsecond, fastestTokenTime: 10 * time.Millisecond, eventGap: 80 * time.Millisecond}
	s.b.latencies["engine"] = e
	return s
}

const allowedGap = 400 * time.Millisecond

// Regression test: a slow engine read long prompts beside streams, and the events
// of the streams came too late.
func TestLongPromptIsNotReadBesideStreamsOfASlowTarget(t *testing.T) {
	s := newUnequalEngines(2)
	short, long := Request{PromptTokens: 500, OutputTokens: 100, MaxEventGap: allowedGap}, Request{PromptTokens: 10_000, OutputTokens: 100, MaxEventGap: allowedGap}
	var fast []uint64
	for range 2 {
		fast = append(fast, s.submit(hostA, short))
	}
	slow := s.submit(hostA, short)
	assert.Equal(t, s.granted(hostA, slow), "t0")
	waiting := s.submit(hostA, long)
	assert.Equal(t, s.granted(hostA, waiting), "", "its 500 ms would hold up the stream")
	assert.Equal(t, s.granted(hostA, s.submit(hostA, short)), "t0", "the 25 ms of this one do not")
	s.complete(hostA, fast[0], Good, time.Second)
	assert.Equal(t, s.granted(hostA, waiting), "t1")
}

// A slow engine reads a long prompt if it holds up no stream there or is late
// already; otherwise long prompts might never be served.
func TestLongPromptIsReadAtASlowTarget(t *testing.T) {
	long := Request{PromptTokens: 10_000, OutputTokens: 100, MaxEventGap: allowedGap}
	for _, c := range []struct {
		name string
		then func(s *simulation)
	}{
		{"target is idle", func(s *simulation) { s.complete(hostA, s.firstGranted("t0"), Good, time.Second) }},
		{"request is late", func(s *simulation) { s.advance(time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newUnequalEngines(1)
			s.submit(hostA, Request{OutputTokens: 100, MaxEventGap: allowedGap})
			s.submit(hostA, Request{OutputTokens: 100, MaxEventGap: allowedGap})
			s.b.config.Services[0].Slots = 2
			s.submit(hostA, Request{OutputTokens: 100, MaxEventGap: allowedGap}) // fills the fast engine
			id := s.submit(hostA, long)
			assert.Equal(t, s.granted(hostA, id), "")
			c.then(s)
			assert.Equal(t, s.granted(hostA, id), "t0")
		})
	}
}

// firstGranted returns the first request of host A that was granted a target.
func (s *simulation) firstGranted(target string) uint64 {
	for _, g := range s.grants[hostA] {
		if g.Target == target {
			return g.ID
		}
	}
	return 0
}

// Regression test: all prompts went to the fastest engine while it had free
// slots, and were read there one after the other.
func TestPromptsBeforeARequestCount(t *testing.T) {
	s := newUnequalEngines(4)
	s.b.targets["t0"].tokenTime = 15 * time.Millisecond
	assert.Equal(t, s.granted(hostA, s.submit(hostA, Request{PromptTokens: 50_000, OutputTokens: 10})), "t1")
	assert.Equal(t, s.granted(hostA, s.submit(hostA, Request{PromptTokens: 100, OutputTokens: 10})), "t0")
	s.now = s.now.Add(500 * time.Millisecond) // the long prompt is read
	assert.Equal(t, s.granted(hostA, s.submit(hostA, Request{PromptTokens: 100, OutputTokens: 10})), "t1")
}

// Regression test: under load the time per prompt token was estimated as zero,
// since answers that started late for other reasons masked it.
func TestTimeToReadIsLearntUnderLoad(t *testing.T) {
	s := newSimulation(1, routes.Service{Name: "engine", Engine: true, Slots: 4})
	random := rand.New(rand.NewPCG(1, 2))
	const token = 15 * time.Microsecond
	for range 400 {
		prompt := random.IntN(8000)
		id := s.submit(hostA, Request{PromptTokens: prompt, OutputTokens: 10})
		delay := time.Duration(random.ExpFloat64() * float64(60*time.Millisecond))
		first := 12*time.Millisecond + delay + time.Duration(prompt)*token
		s.now = s.now.Add(time.Second)
		s.b.Complete(s.now, hostA, Completion{ID: id, Target: "t0", Outcome: Good, Took: time.Second, TimeToFirstPart: first, OutputTokens: 10})
		s.collect()
	}
	learnt := s.b.latencies["engine"].perPromptToken
	assert.Assert(t, learnt > token/2 && learnt < 2*token, fmt.Sprint(learnt))
}
