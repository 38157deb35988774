package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yuccadoor/platform/stand"
)

// Parameters of playStatusLines.
const (
	statusTimeout = time.Second            // timeout_ms of the routes
	statusLate    = 500 * time.Millisecond // within which a final answer must follow it
	statusEvery   = 20                     // one in so many answers of the servers in trouble is spoilt
	statusRepeats = 1_200_000              // of the beginning of a status line after a spoilt answer, 15.6 MB
	statusLoad    = 160                    // requests a second
	statusLength  = 5 * time.Second
)

// playStatusLines has two of four servers go on writing the beginning of a status line after one in
// twenty of their answers, which have no length, and then end the connection in order.
func playStatusLines(ctx context.Context, s *system, trouble bool) (verdict, error) {
	var spoiling atomic.Bool
	var count atomic.Int64
	rest := strings.Repeat("HTTP/1.1 200 ", statusRepeats) + "\r\n\r\n"
	sound := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(15 * time.Millisecond)
		writeFramed(w, "stock of "+r.Header.Get(headerRequest)+"\n")
	}
	faulty := func(w http.ResponseWriter, r *http.Request) {
		if !spoiling.Load() || count.Add(1)%statusEvery != 0 {
			sound(w, r)
			return
		}
		s.record.line("server %s spoils its answer to %s", r.Header.Get(headerExpect), r.Header.Get(headerRequest))
		writeUnframed(w, "stock of "+r.Header.Get(headerRequest)+"\n"+rest)
	}
	_, cleanup, err := startDesk(ctx, s, statusTimeout, faulty, faulty, sound, sound)
	defer cleanup()
	if err != nil {
		return verdict{}, err
	}
	spoiling.Store(trouble)
	var mu sync.Mutex
	var pending sync.WaitGroup
	answered, lasting, unanswered := 0, 0, 0
	began := time.Now()
	for n := 0; time.Since(began) < statusLength; n++ {
		pending.Go(func() {
			id, sent := fmt.Sprintf("%016x", 0x5d10000000000000+n), time.Now()
			reply := stand.Send(ctx, s.nodes[n%hostCount].Front, http.MethodGet, "/look/stock", id, "key-1", "", 10*time.Second)
			took := time.Since(sent)
			if took > statusTimeout || reply.Status != http.StatusOK {
				s.record.line("sent %s to %s: answered %d after %s, error %v", id, s.nodes[n%hostCount].Name, reply.Status, took.Round(time.Millisecond), reply.Err)
			}
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == http.StatusOK {
				answered++
			}
			if took > statusTimeout {
				lasting++
			}
			if took > statusTimeout+statusLate {
				unanswered++
			}
		})
		time.Sleep(time.Second / statusLoad)
	}
	pending.Wait()
	s.record.line("%d requests were served; %d lasted longer than timeout_ms, of which %d had no final answer 0.5 s after it", answered, lasting, unanswered)
	if !trouble && answered == 0 {
		return verdict{}, fmt.Errorf("no request was served")
	}
	s.recordMemory()
	return verdict{2*unanswered > lasting, fmt.Sprintf("%d of %d requests that last longer than timeout_ms had no final answer 0.5 s after it", unanswered, lasting)}, nil
}
