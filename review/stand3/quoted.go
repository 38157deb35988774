package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"yuccadoor/platform/stand"
)

// plainRoutes are the routes of the plain service.
func plainRoutes(timeout time.Duration) []stand.Route {
	return []stand.Route{
		{Prefix: "/look/", Kind: "safe", Service: "desk", Attempts: 2, Timeout: timeout},
		{Prefix: "/order/", Kind: "unsafe", Service: "desk", Attempts: 1, Timeout: timeout},
	}
}

// startDesk starts the servers of the plain service and publishes the deployment.
func startDesk(ctx context.Context, s *system, timeout time.Duration, answers ...answer) ([]*server, func(), error) {
	var servers []*server
	var cleanups []func()
	cleanup := func() {
		for _, c := range cleanups {
			c()
		}
	}
	for n, a := range answers {
		v, stop, err := newServer(fmt.Sprintf("i-%04d", n+1), "desk", zoneOf(n), a)
		if err != nil {
			return nil, cleanup, err
		}
		cleanups = append(cleanups, stop)
		v.register(s.store)
		servers = append(servers, v)
	}
	d := &stand.Deployment{Version: 1, Routes: plainRoutes(timeout), Keys: []string{"key-1"}, ColdRate: 1}
	return servers, cleanup, s.publish(ctx, d)
}

// trail is the answer of the order desk: the trail of an order, which quotes what the desk's
// supplier answered to it.
func trail(id string) string {
	return "Trail of order " + id + "\n" +
		"1. passed on to the mill, which answered:\n\n" +
		"HTTP/1.1 200 OK\r\nX-Yuccadoor-Request-Id: 77aa01c4d2e95b30\r\nContent-Length: 14\r\n\r\n{\"rolls\":\"12\"}\n" +
		"2. 12 rolls reserved, to be cut on Monday\n3. confirmed to the buyer\nEnd of trail\n"
}

// playQuoted has the servers answer with a text that quotes an answer in HTTP. With the disruption
// the answers have no length and end with their connections; without it they state their lengths.
func playQuoted(ctx context.Context, s *system, trouble bool) (verdict, error) {
	write := writeFramed
	if trouble {
		write = writeUnframed
	}
	sound := func(w http.ResponseWriter, r *http.Request) { write(w, trail(r.Header.Get(headerRequest))) }
	servers, cleanup, err := startDesk(ctx, s, 3*time.Second, sound, sound, sound)
	defer cleanup()
	if err != nil {
		return verdict{}, err
	}
	const requests = 24
	var mu sync.Mutex
	var pending sync.WaitGroup
	served, mixed := 0, 0
	for n := range requests {
		pending.Go(func() {
			route := []string{"/look/", "/order/"}[n%2]
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n)
			reply := stand.Send(ctx, s.nodes[n%hostCount].Front, http.MethodPost, route+"trail", id, "key-1", "order", 3*time.Second)
			ran := 0
			for _, v := range servers {
				ran += v.runs(id)
			}
			whole := reply.Body == trail(id)
			s.record.line("sent %s to %s, route %s: ran %d times; answered %d, stamped %v, %d of %d bytes, whole %v, error %v",
				id, s.nodes[n%hostCount].Name, route, ran, reply.Status, reply.Stamped, len(reply.Body), len(trail(id)), whole, reply.Err)
			mu.Lock()
			defer mu.Unlock()
			if reply.Err == nil && reply.Status/100 == 2 {
				served++
				if !whole {
					mixed++
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	pending.Wait()
	if !trouble && served < requests {
		return verdict{}, fmt.Errorf("only %d of %d requests were served without the disruption", served, requests)
	}
	return verdict{mixed > 0, fmt.Sprintf("%d of %d successes do not have the server's whole body, and look complete", mixed, served)}, nil
}
