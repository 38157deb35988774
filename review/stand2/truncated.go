package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case in which servers crash within answers that end with their channel.
const (
	truncatedLength = 90 * time.Second
	// Of so many engines at most a quarter is down at once.
	truncatedEngines = 12
	crashEvery       = 2 * time.Second
	crashDowntime    = 4 * time.Second
	// Streams and orders begin so often, over all clients.
	streamEvery = 25 * time.Millisecond
	orderEvery  = 50 * time.Millisecond
)

// playTruncated has servers send answers with neither a length nor chunks, and crash one at a
// time. An answer that was cut by a crash must not look complete.
func playTruncated(f *fleet, trouble bool) ([]string, error) {
	f.configure([]route{
		{"/order/", "unsafe", "order-desk", 1, false, 1500 * time.Millisecond},
		{"/stream/", "stream", "loom-llm", 1, false, 8 * time.Second},
	}, 4)
	zones := []string{"a", "b", "c"}
	var servers []*serverProcess
	for i := range truncatedEngines + 3 {
		spec := serverSpec{Service: "loom-llm", Zone: zones[i%3], Version: "v1", Slots: 4, Queue: 24, Piece: 40 * time.Millisecond}
		if i >= truncatedEngines {
			spec.Service, spec.Slots, spec.Piece = "order-desk", 6, 10*time.Millisecond
		}
		s, err := f.startServer(spec)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if err := f.startHosts(zones...); err != nil {
		return nil, err
	}
	c := &truncatedClients{fleet: f}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { c.sendEvery(stop, streamEvery, "/stream/16", zones) })
	sending.Go(func() { c.sendEvery(stop, orderEvery, "/order/8", zones) })
	for began, n := time.Now(), 0; time.Since(began) < truncatedLength; n++ {
		time.Sleep(crashEvery)
		if !trouble {
			continue
		}
		index := n % truncatedEngines
		c.mu.Lock()
		s := servers[index]
		c.mu.Unlock()
		f.crash(s)
		time.AfterFunc(crashDowntime, func() {
			if next, err := f.startServer(s.spec); err == nil {
				c.mu.Lock()
				defer c.mu.Unlock()
				servers[index] = next
			}
		})
	}
	close(stop)
	sending.Wait()
	return c.broken, nil
}

// truncatedClients sends requests and checks the answers.
type truncatedClients struct {
	fleet  *fleet
	mu     sync.Mutex
	broken []string // guarded by mu
}

func (c *truncatedClients) sendEvery(stop chan struct{}, every time.Duration, path string, zones []string) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		pending.Go(func() {
			id := fmt.Sprintf("%s%05d", strings.Trim(path[:4], "/"), n)
			client := fmt.Sprint("client-", rand.IntN(32))
			h := c.fleet.entry(client, zones[n%3], 0)
			a := c.fleet.send(h, http.MethodPost, path, id, "text of "+id, 8*time.Second, http.Header{
				"X-Yuccadoor-Model": {"m"}, "X-Yuccadoor-Token-Usage": {"1200,80"}, "X-Yuccadoor-Prefix-Hash": {fmt.Sprintf("a%d:60,%x:1140", n%20, 1<<32+n)},
			})
			c.check(a, path)
		})
	}
}

// check checks that a success is the whole answer of the server.
func (c *truncatedClients) check(a attempt, path string) {
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	whole := strings.Join(answerPieces(path, a.id, "v1"), "")
	if a.body == whole {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf("%s %s at %s: status 200, the answer ended in order with %d of %d bytes: %q", a.id, path, a.host.name, len(a.body), len(whole), a.body))
}
