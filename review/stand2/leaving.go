package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case in which servers that leave complete their answers.
const (
	leavingLength  = 50 * time.Second
	leavingClients = 30
	leavingServers = 12
	leavingPath    = "/stream/80"
	releaseEvery   = 3 * time.Second
)

// playLeaving replaces the servers of a service one after the other. A server that leaves takes no
// new channels at last and completes the answers that it has begun, which end with their channels.
func playLeaving(f *fleet, trouble bool) ([]string, error) {
	f.configure([]route{{"/stream/", "stream", "loom-llm", 1, false, 8 * time.Second}}, 4)
	zones := []string{"a", "b", "c"}
	var servers []*serverProcess
	for i := range leavingServers {
		s, err := f.startServer(serverSpec{Service: "loom-llm", Zone: zones[i%3], Version: "v1", Slots: 4, Queue: 24, Piece: versionPiece})
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if err := f.startHosts(zones...); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []attempt // on kept channels
	var sending sync.WaitGroup
	for i := range leavingClients {
		sending.Go(func() {
			channel, end := newChannel() // which the client keeps
			defer end()
			name := fmt.Sprintf("client-%02d", i)
			h := f.entry(name, zones[i%3], 0)
			kept := false
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50*(i%7)) * time.Millisecond):
				}
				id := fmt.Sprintf("%s-%d", name, n)
				a := f.sendOn(channel, h, http.MethodPost, leavingPath, id, "text of "+id, 8*time.Second, http.Header{
					"X-Yuccadoor-Model": {"m"}, "X-Yuccadoor-Token-Usage": {"1200,400"}, "X-Yuccadoor-Prefix-Hash": {fmt.Sprintf("64:60,%x:1140", 1<<40+i<<16+n)},
				})
				if kept {
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				}
				if kept = a.err == nil; a.err != nil || a.status != http.StatusOK {
					time.Sleep(max(a.retry, 300*time.Millisecond))
				}
			}
		})
	}
	for began, n := time.Now(), 0; time.Since(began) < leavingLength; n++ {
		time.Sleep(releaseEvery)
		if trouble && n < leavingServers {
			next, err := f.replace(servers[n])
			if err != nil {
				return nil, err
			}
			servers[n] = next
		}
	}
	close(stop)
	sending.Wait()
	return checkLeaving(f, all), nil
}

// checkLeaving returns the answers that servers sent whole and that ended without their end.
func checkLeaving(f *fleet, all []attempt) []string {
	time.Sleep(100 * time.Millisecond) // the last records of the servers
	f.mu.Lock()
	sent := map[string]string{}
	for _, r := range f.runs {
		if r.Event == "sent" {
			sent[r.ID] = r.Server
		}
	}
	f.mu.Unlock()
	whole, lost := 0, []string{}
	for _, a := range all {
		if a.err == nil && a.status == http.StatusOK {
			whole++
		} else if server := sent[a.id]; server != "" && a.status == http.StatusOK {
			events := strings.Count(a.body, "data:")
			lost = append(lost, fmt.Sprintf("%s at %s: server %s sent the whole answer, the channel ended after %d events without its end", a.id, a.host.name, server, events))
		}
	}
	f.note("%d requests on kept channels, %d answered whole, %d sent whole by their servers and ended without an answer", len(all), whole, len(lost))
	if len(lost) > 3 {
		return lost
	}
	return nil
}
