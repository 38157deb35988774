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

// outcome is the result of a request with an idempotency key, as the client sees it.
type outcome string

const (
	ran        outcome = "Ran"      // executed for this request
	replayed   outcome = "Replayed" // response of an earlier execution
	notRun     outcome = "NotRun"
	mayHaveRun outcome = "MayHaveRun"
)

func outcomeOf(r reply) outcome {
	switch {
	case r.Err != nil:
		return mayHaveRun
	case r.Status == http.StatusOK && r.Header.Get(front.HeaderIdempotentReplay) != "":
		return replayed
	case r.Status == http.StatusOK:
		return ran
	case r.Problem.Ran == model.NotRun:
		return notRun
	}
	return mayHaveRun
}

// atMostOnce is the linearizability model of one idempotency key: its request is
// executed at most once, a replay requires an earlier execution, and after
// MayHaveRun both states are possible.
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
		executed := state.(bool)
		switch output.(outcome) {
		case ran:
			if executed {
				return nil
			}
			return []any{true}
		case replayed:
			if !executed {
				return nil
			}
			return []any{true}
		case mayHaveRun:
			return []any{executed, true}
		}
		return []any{executed}
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder records a history of concurrent calls for porcupine.
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

// executions counts how often the plain services executed each request body.
func (s *System) executions() map[model.Fingerprint]int {
	counts := map[model.Fingerprint]int{}
	for _, r := range s.plainRuns() {
		counts[r.Content]++
	}
	return counts
}

func fingerprint(body string) model.Fingerprint { return model.Fingerprint(xxhash.Sum64String(body)) }

// issueKey requests an idempotency key from a host; it returns "" on failure.
func (s *System) issueKey(ctx context.Context, host int) string {
	r := s.send(ctx, host, http.MethodPost, "/keys", "")
	var key struct{ Key string }
	if err := decodeJSON(r.Body, &key); err != nil {
		return ""
	}
	return key.Key
}

// Clients send each request several times, concurrently and sequentially, through
// all hosts, with issued and client-generated idempotency keys, while a host is
// killed and restarted.
func TestKeyedRequestRunsAtMostOnceWhileHostsFail(t *testing.T) {
	o := smallOptions()
	o.Plain.ProcessingTime = 5 * time.Millisecond
	o.Hosts = 3
	var offset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	o.ConfigureHost = func(_ int, e *entry.Options) { e.Now = now }
	ctx, s := start(t, o)
	// A client-generated key is executed only if it was created sufficiently long
	// after its home host started, so the clock is advanced past that margin.
	offset.Store(int64(30 * time.Second))
	for host := range 3 {
		eventually(ctx, t, "the host executes requests for which it is the home host", func() bool {
			return outcomeOf(s.send(ctx, host, http.MethodPost, "/services/orders/rolls", "probe",
				front.HeaderIdempotencyKey, uuidAt(now()).String())) == ran && s.ready()
		})
	}

	var history recorder
	var keys sync.Map // request body by key
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(c)))
			for i := range 12 {
				key := s.issueKey(ctx, random.IntN(3))
				if random.IntN(2) == 0 || key == "" {
					key = uuidAt(now()).String()
				}
				body := fmt.Sprintf("roll %d of %d", i, c)
				keys.Store(key, body)
				var sends sync.WaitGroup
				for range 3 {
					host := random.IntN(3)
					sends.Go(func() {
						history.call(c, key, func() reply {
							return s.send(ctx, host, http.MethodPost, "/services/orders/rolls", body, front.HeaderIdempotencyKey, key)
						})
					})
				}
				sends.Wait()
				host := random.IntN(3)
				history.call(c, key, func() reply {
					return s.send(ctx, host, http.MethodPost, "/services/orders/rolls", body, front.HeaderIdempotencyKey, key)
				})
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.StopHost(2)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, s.StartHost(ctx, 2))
	clients.Wait()

	executions := s.executions()
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
		n := executions[fingerprint(body.(string))] // every key has a body of its own
		assert.Assert(t, n <= 1, "%s was executed %d times", body, n)
		if completed[key.(string)] {
			assert.Equal(t, n, 1)
		}
		return true
	})
	m := atMostOnce.ToModel()
	assert.Assert(t, porcupine.CheckOperations(m, history.history))
}

// uuidAt returns a version 7 UUID with the given timestamp.
func uuidAt(at time.Time) uuid.UUID {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id
}

func TestKeyOfARestartedHostIsAnsweredMayHaveRun(t *testing.T) {
	ctx, s := start(t, smallOptions())
	key := s.issueKey(ctx, 0)
	send := func(host int) reply {
		return s.send(ctx, host, http.MethodPost, "/services/orders/rolls", "roll", front.HeaderIdempotencyKey, key)
	}
	assert.Equal(t, send(1).Status, http.StatusOK, "the request is forwarded to the key's home host")
	assert.Equal(t, outcomeOf(send(0)), replayed)
	s.StopHost(0)
	assert.Equal(t, outcomeOf(send(1)), mayHaveRun, "the key's home host is down")
	assert.NilError(t, s.StartHost(ctx, 0))
	eventually(ctx, t, "the restarted host is ready", s.Hosts[0].Ready)
	r := send(0)
	assert.Equal(t, outcomeOf(r), mayHaveRun, "the key's home host has restarted: %s", r.Body)
	assert.Equal(t, r.Problem.Reason, model.ReasonKeyUnknown)
	assert.Equal(t, len(s.plainRuns()), 1)
}

func TestKeyUsedForAnotherRequestIsRefused(t *testing.T) {
	ctx, s := start(t, smallOptions())
	key := s.issueKey(ctx, 0)
	first := s.send(ctx, 0, http.MethodPost, "/services/orders/rolls", "one", front.HeaderIdempotencyKey, key)
	assert.Equal(t, first.Status, http.StatusOK)
	other := s.send(ctx, 0, http.MethodPost, "/services/orders/rolls", "two", front.HeaderIdempotencyKey, key)
	assert.Equal(t, other.Status, http.StatusUnprocessableEntity, other.Body)
	assert.Equal(t, len(s.plainRuns()), 1)
}
