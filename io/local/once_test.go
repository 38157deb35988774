package local

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/io/entry"
	"yuccadoor/io/front"
)

// outcome is what a caller learnt of a keyed request.
type outcome string

const (
	ran      outcome = "Ran"      // it ran now
	replayed outcome = "Replayed" // it had run before
	notRun   outcome = "NotRun"
	mayHave  outcome = "MayHaveRun"
)

func outcomeOf(r reply) outcome {
	switch {
	case r.Err != nil:
		return mayHave
	case r.Status == http.StatusOK && r.Header.Get(front.HeaderIdempotentReplay) != "":
		return replayed
	case r.Status == http.StatusOK:
		return ran
	case r.Problem.Ran == model.NotRun:
		return notRun
	}
	return mayHave
}

// atMostOnce is the specification of one key: it runs at most once, a replay
// follows a run, and after MayHaveRun it may have run or not.
var atMostOnce = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		has := state.(bool)
		switch output.(outcome) {
		case ran:
			if has {
				return nil
			}
			return []any{true}
		case replayed:
			if !has {
				return nil
			}
			return []any{true}
		case mayHave:
			return []any{has, true}
		}
		return []any{has}
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder gathers a history of concurrent calls.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation // guarded by mu
}

func (r *recorder) call(client int, key string, f func() reply) outcome {
	began := time.Now().UnixNano()
	out := outcomeOf(f())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: key, Call: began, Output: out, Return: time.Now().UnixNano(),
	})
	return out
}

// truth counts the runs of each content on the targets.
func (s *System) truth() map[model.Fingerprint]int {
	counts := map[model.Fingerprint]int{}
	for _, r := range s.runs() {
		counts[r.Content]++
	}
	return counts
}

func content(body string) model.Fingerprint { return model.Fingerprint(xxhash.Sum64String(body)) }

// issueKey gets a key from a host.
func (s *System) issueKey(ctx context.Context, host int) string {
	r := s.ask(ctx, host, http.MethodPost, "/keys", "")
	var key struct{ Key string }
	if err := decodeJSON(r.Body, &key); err != nil {
		return ""
	}
	return key.Key
}

// Callers send each order several times, at once and in a row, through all
// hosts, with keys of both kinds, while a host is killed and comes back.
func TestKeyedOrderRunsAtMostOnceWhileHostsFail(t *testing.T) {
	o := small()
	o.Plain.Work = 5 * time.Millisecond
	o.Hosts = 3
	var offset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	o.Host = func(_ int, e *entry.Options) { e.Now = now }
	ctx, s := start(t, o)
	// Far enough from the start that a new home may trust keys made now.
	offset.Store(int64(30 * time.Second))
	for host := range 3 {
		eventually(ctx, t, "the host acts as a home again", func() bool {
			return outcomeOf(s.ask(ctx, host, http.MethodPost, "/services/orders/rolls", "probe",
				front.HeaderIdempotencyKey, madeAt(now()).String())) == ran && s.ready()
		})
	}

	var history recorder
	var keys sync.Map // key to body
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(c)))
			for i := range 12 {
				key := s.issueKey(ctx, random.IntN(3))
				if random.IntN(2) == 0 || key == "" {
					key = madeAt(now()).String()
				}
				body := fmt.Sprintf("roll %d of %d", i, c)
				keys.Store(key, body)
				var sends sync.WaitGroup
				for range 3 {
					host := random.IntN(3)
					sends.Go(func() {
						history.call(c, key, func() reply {
							return s.ask(ctx, host, http.MethodPost, "/services/orders/rolls", body, front.HeaderIdempotencyKey, key)
						})
					})
				}
				sends.Wait()
				host := random.IntN(3)
				history.call(c, key, func() reply {
					return s.ask(ctx, host, http.MethodPost, "/services/orders/rolls", body, front.HeaderIdempotencyKey, key)
				})
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.StopHost(2)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, s.StartHost(ctx, 2))
	clients.Wait()

	truth := s.truth()
	outcomes := map[outcome]int{}
	completed := map[string]bool{}
	for _, op := range history.history {
		outcomes[op.Output.(outcome)]++
		if out := op.Output.(outcome); out == ran || out == replayed {
			completed[op.Input.(string)] = true
		}
	}
	t.Logf("outcomes: %v", outcomes)
	assert.Assert(t, outcomes[ran] > 0 && outcomes[replayed] > 0)
	keys.Range(func(key, body any) bool {
		n := truth[content(body.(string))] // bodies are unique to their keys
		assert.Assert(t, n <= 1, "%s ran %d times", body, n)
		if completed[key.(string)] {
			assert.Equal(t, n, 1)
		}
		return true
	})
	m := atMostOnce.ToModel()
	assert.Assert(t, porcupine.CheckOperations(m, history.history))
}

// madeAt makes a version 7 UUID of a given time.
func madeAt(at time.Time) uuid.UUID {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id
}

func TestKeyOfARestartedHostIsAnsweredMayHaveRun(t *testing.T) {
	ctx, s := start(t, small())
	key := s.issueKey(ctx, 0)
	send := func(host int) reply {
		return s.ask(ctx, host, http.MethodPost, "/services/orders/rolls", "roll", front.HeaderIdempotencyKey, key)
	}
	assert.Equal(t, send(1).Status, http.StatusOK, "forwarded to its home")
	assert.Equal(t, outcomeOf(send(0)), replayed)
	s.StopHost(0)
	assert.Equal(t, outcomeOf(send(1)), mayHave, "its home is gone")
	assert.NilError(t, s.StartHost(ctx, 0))
	eventually(ctx, t, "the new process is ready", s.Hosts[0].Ready)
	r := send(0)
	assert.Equal(t, outcomeOf(r), mayHave, "another process is at its home: %s", r.Body)
	assert.Equal(t, r.Problem.Reason, model.ReasonKeyUnknown)
	assert.Equal(t, len(s.runs()), 1)
}

func TestKeyUsedForAnotherRequestIsRefused(t *testing.T) {
	ctx, s := start(t, small())
	key := s.issueKey(ctx, 0)
	first := s.ask(ctx, 0, http.MethodPost, "/services/orders/rolls", "one", front.HeaderIdempotencyKey, key)
	assert.Equal(t, first.Status, http.StatusOK)
	other := s.ask(ctx, 0, http.MethodPost, "/services/orders/rolls", "two", front.HeaderIdempotencyKey, key)
	assert.Equal(t, other.Status, http.StatusUnprocessableEntity, other.Body)
	assert.Equal(t, len(s.runs()), 1)
}
