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

// Limits of the platform on how often one request, or requests with one part of their
// prompts, may crash servers, and the parameters of the faults.
const (
	crashesToDetect     = 3 // crashes after which hosts must recognize the request
	partCrashesToDetect = 5 // the same for a part of prompts
	crashDetectTime     = 3 * time.Second
	maxLateSends        = 3 // sends of the requests later than crashDetectTime after the last of these crashes
	crashQuery          = "?crash="
	crashDowntime       = 2 * time.Second // until a crashed server is back
	crashDuration       = 8 * time.Second
	crashInterval       = 200 * time.Millisecond
	crashKillDelay      = 2 * time.Second // from the first such request until a host is killed
	hostDowntime        = 500 * time.Millisecond
)

// faultRequestCrashes is the name of the exclusive fault crashServers.
const faultRequestCrashes = "request crashes servers, alone"

// faultPartCrashes is the name of the exclusive fault crashServersByPart.
const faultPartCrashes = "prompt part crashes servers, alone"

// crashPartPrefix begins the ids of the parts of prompts that crash servers.
const crashPartPrefix = "bad0"

// sharedParts are the parts that the prompts of all requests share.
var sharedParts = []string{"5c1e07a2", "91bd3f06"}

// crashSeries is a series of requests that crash the servers that run them.
type crashSeries struct {
	name     string
	toDetect int // crashes after which hosts must recognize the requests
	matches  func(x stand.Run) bool
}

// crashFault returns the requests that crash a server, and how.
func crashFault(tamper string) stand.Crash {
	return stand.Crash{
		Matches: func(q *http.Request, _ string) bool {
			return strings.Contains(q.RequestURI, crashQuery) || strings.Contains(q.Header.Get(stand.PromptHeader), crashPartPrefix)
		},
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
	r.sendCrashing(n, crashSeries{path, crashesToDetect, func(x stand.Run) bool { return x.Path == path }},
		func(h *process, id, key string, _ int) {
			stand.Send(context.Background(), h.node.Front, method, path, id, key, body, clientTimeout)
		})
}

// crashServersByPart sends requests that have one part of their prompts in common, which
// crashes every server that runs it. They share their other parts with the load.
func (r *run) crashServersByPart() {
	time.Sleep(settleTime)
	n := r.random.IntN(1 << 16)
	path := r.deploy.Routes[n%len(r.deploy.Routes)].Prefix + "x"
	part := fmt.Sprintf("%s%04x", crashPartPrefix, n)
	shared := slices.Insert(slices.Clone(sharedParts), n/4%(len(sharedParts)+1), part)
	r.logFault("%6.2f s %s: %s, parts %v", time.Since(r.start).Seconds(), faultPartCrashes, path, shared)
	r.sendCrashing(n, crashSeries{"part " + part, partCrashesToDetect, func(x stand.Run) bool {
		return strings.Contains(x.Header.Get(stand.PromptHeader), part)
	}}, func(h *process, id, key string, i int) {
		stand.Send(context.Background(), h.node.Front, http.MethodPost, path, id, key, fmt.Sprint("body ", i), clientTimeout,
			stand.Prompt(fmt.Sprintf("%08x", i), shared...))
	})
}

// sendCrashing sends the requests of a series to random hosts, one of which is killed and
// restarted meanwhile.
func (r *run) sendCrashing(n int, series crashSeries, send func(h *process, id, key string, i int)) {
	kill := time.AfterFunc(crashKillDelay, func() {
		restart := r.killHost(n / 8)
		time.Sleep(hostDowntime)
		restart()
	})
	defer kill.Stop()
	r.mu.Lock()
	r.crashes = append(r.crashes, series)
	key := r.deploy.Keys[len(r.deploy.Keys)-1]
	r.mu.Unlock()
	for i, end := 0, time.Now().Add(crashDuration); time.Now().Before(end); i++ {
		go send(r.host(r.random.IntN(len(r.hosts))), fmt.Sprintf("crash-%d-%d", n, i), key, i)
		time.Sleep(crashInterval)
	}
}

// checkCrashes checks how often the requests that crash servers reached them.
func (r *run) checkCrashes() {
	for _, c := range r.crashes {
		var crashes []time.Time
		for _, s := range r.servers {
			for _, x := range s.Runs() {
				if c.matches(x) {
					crashes = append(crashes, x.StartedAt)
				}
			}
		}
		slices.SortFunc(crashes, time.Time.Compare)
		if len(crashes) < c.toDetect {
			continue
		}
		late := slices.DeleteFunc(slices.Clone(crashes), func(at time.Time) bool { return at.Sub(crashes[c.toDetect-1]) <= crashDetectTime })
		if len(late) > maxLateSends {
			r.addFindingLocked("%s crashed servers %d times, %d of them over %s after they were to be recognized", c.name, len(crashes), len(late), crashDetectTime)
		}
	}
}
