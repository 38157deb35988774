package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/routes"
)

// newUnequalEngines returns a harness with two engines, the first five times as
// slow as the second, and settled estimates: the fast one reads a prompt token in
// 10 us, with gaps of 80 ms between events meanwhile.
func newUnequalEngines(slots int) *harness {
	w := newHarness(2, routes.Service{Name: "engine", Engine: true, Slots: slots})
	w.b.targets["t0"].tokenTime, w.b.targets["t1"].tokenTime = 50*time.Millisecond, 10*time.Millisecond
	a := &latencyEstimate{base: 20 * time.Millisecond, perPromptToken: 10 * time.Microsecond, fastestTokenTime: 10 * time.Millisecond, eventGap: 80 * time.Millisecond}
	w.b.latencies["engine"] = a
	return w
}

const pause = 400 * time.Millisecond

// A slow engine read long prompts beside streams, and the events of the streams
// came too late.
func TestLongPromptIsNotReadBesideStreamsOfASlowTarget(t *testing.T) {
	w := newUnequalEngines(2)
	short, long := Request{PromptTokens: 500, OutputTokens: 100, MaxEventGap: pause}, Request{PromptTokens: 10_000, OutputTokens: 100, MaxEventGap: pause}
	var fast []uint64
	for range 2 {
		fast = append(fast, w.ask(hostA, short))
	}
	slow := w.ask(hostA, short)
	assert.Equal(t, w.granted(hostA, slow), "t0")
	waits := w.ask(hostA, long)
	assert.Equal(t, w.granted(hostA, waits), "", "its 500 ms would hold up the stream")
	assert.Equal(t, w.granted(hostA, w.ask(hostA, short)), "t0", "the 25 ms of this one do not")
	w.done(hostA, fast[0], Good, time.Second)
	assert.Equal(t, w.granted(hostA, waits), "t1")
}

// A slow engine reads a long prompt if it holds up no stream there or is late
// already; otherwise long prompts might never be served.
func TestLongPromptIsReadAtASlowTarget(t *testing.T) {
	long := Request{PromptTokens: 10_000, OutputTokens: 100, MaxEventGap: pause}
	for _, c := range []struct {
		name string
		then func(w *harness)
	}{
		{"that is idle", func(w *harness) { w.done(hostA, w.firstGranted("t0"), Good, time.Second) }},
		{"once it is late", func(w *harness) { w.advance(time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newUnequalEngines(1)
			w.ask(hostA, Request{OutputTokens: 100, MaxEventGap: pause})
			w.ask(hostA, Request{OutputTokens: 100, MaxEventGap: pause})
			w.b.config.Services[0].Slots = 2
			w.ask(hostA, Request{OutputTokens: 100, MaxEventGap: pause}) // fills the fast engine
			id := w.ask(hostA, long)
			assert.Equal(t, w.granted(hostA, id), "")
			c.then(w)
			assert.Equal(t, w.granted(hostA, id), "t0")
		})
	}
}

// firstGranted returns the first request of host A that was granted a target.
func (w *harness) firstGranted(target string) uint64 {
	for _, g := range w.grants[hostA] {
		if g.Target == target {
			return g.ID
		}
	}
	return 0
}

// All prompts went to the fastest engine while it had free places, and were read
// there one after the other.
func TestPromptsBeforeARequestCount(t *testing.T) {
	w := newUnequalEngines(4)
	w.b.targets["t0"].tokenTime = 15 * time.Millisecond
	assert.Equal(t, w.granted(hostA, w.ask(hostA, Request{PromptTokens: 50_000, OutputTokens: 10})), "t1")
	assert.Equal(t, w.granted(hostA, w.ask(hostA, Request{PromptTokens: 100, OutputTokens: 10})), "t0")
	w.now = w.now.Add(500 * time.Millisecond) // the long prompt is read
	assert.Equal(t, w.granted(hostA, w.ask(hostA, Request{PromptTokens: 100, OutputTokens: 10})), "t1")
}

// Under load the time per prompt token was estimated as zero, since answers that
// started late for other reasons masked it.
func TestTimeToReadIsLearntUnderLoad(t *testing.T) {
	w := newHarness(1, routes.Service{Name: "engine", Engine: true, Slots: 4})
	random := rand.New(rand.NewPCG(1, 2))
	const token = 15 * time.Microsecond
	for range 400 {
		prompt := random.IntN(8000)
		id := w.ask(hostA, Request{PromptTokens: prompt, OutputTokens: 10})
		delay := time.Duration(random.ExpFloat64() * float64(60*time.Millisecond))
		first := 12*time.Millisecond + delay + time.Duration(prompt)*token
		w.now = w.now.Add(time.Second)
		w.b.Complete(w.now, hostA, Completion{ID: id, Target: "t0", Outcome: Good, Took: time.Second, TimeToFirstPart: first, OutputTokens: 10})
		w.collect()
	}
	learnt := w.b.latencies["engine"].perPromptToken
	assert.Assert(t, learnt > token/2 && learnt < 2*token, fmt.Sprint(learnt))
}
