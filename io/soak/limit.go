package soak

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"yuccadoor/platform/stand"
)

// Bounds of the platform for a server that names a limit, in requests a second over all
// hosts, and the parameters of the fault.
const (
	limitDeadline  = 3 * time.Second // from the first response that names the limit
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5 // requests
	limitDuration  = limitDeadline + 2*limitWindow
	limitKillDelay = limitDeadline + time.Second // until a host is killed
)

// faultServerLimit is the name of the exclusive fault limitServer.
const faultServerLimit = "server names a limit, alone"

// serverLimits are the limits that servers name.
var serverLimits = []float64{1, 1.3, 2, 4}

// limitSpan is the time during which a limit of a server must be kept.
type limitSpan struct {
	server string
	limit  float64
	span   stand.Span
}

// limitServer makes the server with the most requests name a limit in its responses. The
// only other fault is that one host is killed and restarted.
func (r *run) limitServer() {
	time.Sleep(settleTime)
	s := r.busiestServer(time.Now().Add(-settleTime))
	limit := serverLimits[r.random.IntN(len(serverLimits))]
	killed := r.random.IntN(1 << 16)
	r.logFault("%6.2f s %s: %s, %g a second", time.Since(r.start).Seconds(), faultServerLimit, s.ID, limit)
	if s.Tamper != "Limit" {
		s.SetHeaderHook(func(h http.Header, _ netip.Addr) { h.Set("Server-Limit", strconv.FormatFloat(limit, 'g', -1, 64)) })
	} else {
		// Nothing is named. The other servers of the service are removed, so that this one
		// gets more requests than the limit.
		defer r.removeOthers(s)()
	}
	defer s.SetHeaderHook(nil)
	from := time.Now().Add(limitDeadline)
	time.Sleep(limitKillDelay)
	restart := r.killHost(killed)
	time.Sleep(hostDowntime)
	restart()
	time.Sleep(limitDuration - limitKillDelay - hostDowntime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, limitSpan{s.ID, limit, stand.Span{From: from, To: time.Now()}})
}

// checkLimits checks how many requests servers got while they named a limit.
func (r *run) checkLimits() {
	for _, l := range r.limits {
		for _, s := range r.servers {
			if s.ID != l.server {
				continue
			}
			arrivals := slices.DeleteFunc(s.ArrivalTimes(), func(at time.Time) bool { return at.Before(l.span.From) || at.After(l.span.To) })
			r.checkRate("limit of "+s.ID, arrivals, limitWindow, limitFactor*l.limit*limitWindow.Seconds()+limitSlack)
		}
	}
}
