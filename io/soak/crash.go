package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"yuccadoor/platform/stand"
)

// Limits of the platform on how often one request may crash servers, and the
// parameters of the fault.
const (
	crashesToDetect = 3 // crashes after which hosts must recognize the request
	crashDetectTime = 3 * time.Second
	maxLateSends    = 3 // sends of the request later than crashDetectTime after the last of these crashes
	crashQuery      = "?crash="
	crashDowntime   = 2 * time.Second // until a crashed server is back
	crashDuration   = 8 * time.Second
	crashInterval   = 200 * time.Millisecond
	crashKillDelay  = 2 * time.Second // from the first such request until a host is killed
	hostDowntime    = 500 * time.Millisecond
)

// faultRequestCrashes is the name of the exclusive fault crashServers.
const faultRequestCrashes = "request crashes servers, alone"

// crashFault returns the requests that crash a server, and how.
func crashFault(tamper string) stand.Crash {
	return stand.Crash{
		Matches:  func(q *http.Request, _ string) bool { return strings.Contains(q.RequestURI, crashQuery) },
		Downtime: crashDowntime, StayUp: tamper == "Crash",
	}
}

// crashServers repeatedly sends a request that crashes every server that runs it.
// The only other fault is that one host is killed and restarted.
func (r *run) crashServers() {
	time.Sleep(settleTime)
	n := r.random.IntN(1 << 16)
	route := r.deploy.Routes[n%len(r.deploy.Routes)]
	path := fmt.Sprint(route.Prefix, "x", crashQuery, n)
	method, body := http.MethodPost, "body"
	if n/4%2 == 0 {
		method, body = http.MethodGet, ""
	}
	r.logFault("%6.2f s %s: %s %s", time.Since(r.start).Seconds(), faultRequestCrashes, method, path)
	kill := time.AfterFunc(crashKillDelay, func() {
		restart := r.killHost(n / 8)
		time.Sleep(hostDowntime)
		restart()
	})
	defer kill.Stop()
	r.mu.Lock()
	r.crashPaths = append(r.crashPaths, path)
	key := r.deploy.Keys[len(r.deploy.Keys)-1]
	r.mu.Unlock()
	for i, end := 0, time.Now().Add(crashDuration); time.Now().Before(end); i++ {
		h, id := r.host(r.random.IntN(len(r.hosts))), fmt.Sprintf("crash-%d-%d", n, i)
		go stand.Send(context.Background(), h.node.Front, method, path, id, key, body, clientTimeout)
		time.Sleep(crashInterval)
	}
}

// checkCrashes checks how often the requests that crash servers reached them.
func (r *run) checkCrashes() {
	for _, path := range r.crashPaths {
		var crashes []time.Time
		for _, s := range r.servers {
			for _, x := range s.Runs() {
				if x.Path == path {
					crashes = append(crashes, x.StartedAt)
				}
			}
		}
		slices.SortFunc(crashes, time.Time.Compare)
		if len(crashes) < crashesToDetect {
			continue
		}
		late := slices.DeleteFunc(slices.Clone(crashes), func(at time.Time) bool { return at.Sub(crashes[crashesToDetect-1]) <= crashDetectTime })
		if len(late) > maxLateSends {
			r.addFindingLocked("%s crashed servers %d times, %d of them over %s after the third", path, len(crashes), len(late), crashDetectTime)
		}
	}
}
