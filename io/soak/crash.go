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

// What the platform allows a request that crashes its servers, and how it is played.
const (
	crashesFree  = 3 // crashes before hosts must know the request
	crashNotice  = 3 * time.Second
	sendsAfter   = 3 // later than crashNotice after these crashes
	crashMark    = "?crash="
	crashDown    = 2 * time.Second // until a server is back
	crashLength  = 8 * time.Second
	crashPeriod  = 200 * time.Millisecond
	crashKill    = 2 * time.Second // from the first such request until a host is killed
	hostComeBack = 500 * time.Millisecond
)

// crashing is the name of the fault that plays it, without any other.
const crashing = "request crashes servers, alone"

// crashesServers is what crashes a server of the soak.
func crashesServers(tamper string) stand.Crash {
	return stand.Crash{
		Matches:  func(q *http.Request, _ string) bool { return strings.Contains(q.RequestURI, crashMark) },
		Downtime: crashDown, StayUp: tamper == "Crash",
	}
}

// crashAlone sends a request again and again that crashes the servers that run
// it, while nothing else is wrong but that a host is killed and comes back.
func (r *run) crashAlone() {
	time.Sleep(touch)
	n := r.random.IntN(1 << 16)
	route := r.deploy.Routes[n%len(r.deploy.Routes)]
	path := fmt.Sprint(route.Prefix, "x", crashMark, n)
	method, body := http.MethodPost, "body"
	if n/4%2 == 0 {
		method, body = http.MethodGet, ""
	}
	r.note("%6.2f s %s: %s %s", time.Since(r.start).Seconds(), crashing, method, path)
	kill := time.AfterFunc(crashKill, func() {
		back := r.killHost(n / 8)
		time.Sleep(hostComeBack)
		back()
	})
	defer kill.Stop()
	r.mu.Lock()
	r.crashing = append(r.crashing, path)
	key := r.deploy.Keys[len(r.deploy.Keys)-1]
	r.mu.Unlock()
	for i, end := 0, time.Now().Add(crashLength); time.Now().Before(end); i++ {
		h, id := r.host(r.random.IntN(len(r.hosts))), fmt.Sprintf("crash-%d-%d", n, i)
		go stand.Send(context.Background(), h.node.Front, method, path, id, key, body, patience)
		time.Sleep(crashPeriod)
	}
}

// checkCrashes looks at how often the requests that crash servers reached them.
func (r *run) checkCrashes() {
	for _, path := range r.crashing {
		var at []time.Time
		for _, s := range r.servers {
			for _, x := range s.Runs() {
				if x.Path == path {
					at = append(at, x.StartedAt)
				}
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		if len(at) < crashesFree {
			continue
		}
		late := slices.DeleteFunc(slices.Clone(at), func(a time.Time) bool { return a.Sub(at[crashesFree-1]) <= crashNotice })
		if len(late) > sendsAfter {
			r.found("%s crashed servers %d times, %d of them over %s after the third", path, len(at), len(late), crashNotice)
		}
	}
}
