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

func (r *run) addFinding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addFindingLocked(format, args...)
}

// addFindingLocked records a violated guarantee. The caller holds mu.
func (r *run) addFindingLocked(format string, args ...any) {
	r.report.Findings = append(r.report.Findings, fmt.Sprintf(format, args...))
}

// checkRecovery checks that every host serves every route again, and waits up to
// recoveryTimeout for each.
func (r *run) checkRecovery(ctx context.Context) {
	for _, h := range r.hosts {
		for _, route := range r.deploy.Routes {
			n := 0
			recovered := r.waitFor(ctx, recoveryTimeout, func(ctx context.Context) bool {
				n++
				r.mu.Lock()
				key := r.deploy.Keys[len(r.deploy.Keys)-1]
				r.mu.Unlock()
				id := fmt.Sprintf("again-%s-%s%d", h.node.Name, strings.Trim(route.Prefix, "/"), n)
				reply := stand.Send(ctx, h.node.Front, "POST", route.Prefix+"x", id, key, "", clientTimeout)
				return reply.Status == http.StatusOK && reply.Err == nil
			})
			if !recovered {
				r.addFinding("%s does not serve %s %s after the last fault", h.node.Name, route.Prefix, recoveryTimeout)
			}
		}
	}
}

// checkResults compares what callers received with what servers ran.
func (r *run) checkResults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]stand.Run{}
	var limited []time.Time
	for _, s := range r.servers {
		for _, x := range s.Runs() {
			runs[x.ID] = append(runs[x.ID], x)
			// A request counts once toward the rate limit, however often it is run.
			if len(runs[x.ID]) == 1 && x.Workspace == stand.LimitedWorkspace {
				limited = append(limited, x.StartedAt)
			}
		}
		r.checkDepartures(s)
		r.checkColdRate(s)
	}
	rate := float64(limitedRate)
	r.checkRate("the rate-limited workspace", limited, stand.QuotaWindow,
		(rate*stand.QuotaWindow.Seconds()+rate)*(1+stand.QuotaOvershoot)+stand.QuotaSlack)
	r.checkRetries(runs)
	r.checkCrashes()
	r.checkLimits()
	for _, q := range r.requests {
		r.report.Requests++
		r.checkRequest(q, runs[q.id])
		r.checkVersions(q, runs)
	}
}

func (r *run) checkRequest(q *request, runs []stand.Run) {
	atMostOnce := q.route.Kind != "safe" && !q.route.Resumable
	if atMostOnce && len(runs) > 1 {
		r.addFindingLocked("%s (%s) ran %d times", q.id, q.route.Prefix, len(runs))
	}
	if atMostOnce && q.reply.NotRun() && len(runs) > 0 {
		r.addFindingLocked("%s (%s) was answered %d, which means not run, but ran", q.id, q.route.Prefix, q.reply.Status)
	}
	if !atMostOnce && len(runs) > q.route.Attempts {
		r.addFindingLocked("%s (%s) ran %d times; the limit is %d", q.id, q.route.Prefix, len(runs), q.route.Attempts)
	}
	for _, x := range runs {
		if x.Body != "body" || x.Path != q.route.Prefix+"x" {
			r.addFindingLocked("%s reached a server modified: path %s, body %q", q.id, x.Path, x.Body)
		}
	}
	switch {
	case q.reply.Status == http.StatusOK && q.reply.Err == nil:
		r.report.Served++
		r.checkResponse(q, len(runs))
	case q.reply.NotRun():
		r.report.Refused++
		if q.reply.Stamped {
			r.addFindingLocked("%s was refused with a Server-Stamp header", q.id)
		}
	default:
		r.report.Failed++
		r.checkFailure(q)
	}
}

// expectedBody returns the complete response body of a request.
func expectedBody(q *request) string {
	if q.route.Kind != "stream" {
		return stand.Answer(q.id)
	}
	var b strings.Builder
	for n := 1; n <= 10; n++ {
		b.WriteString(stand.Event(q.id, n))
	}
	return b.String()
}

// checkResponse checks the response of a request that was served.
func (r *run) checkResponse(q *request, runs int) {
	if !q.reply.Stamped || runs == 0 {
		r.addFindingLocked("%s was answered 200 without a Server-Stamp header or without a run", q.id)
	}
	if want := expectedBody(q); q.reply.Body != want {
		r.addFindingLocked("%s (%s) received the body %q", q.id, q.route.Prefix, q.reply.Body)
	}
}

// checkFailure checks the reply to a request that failed. A truncated stream must be
// a prefix of the complete one. All requests are valid, so the status must be neither
// a redirect nor a client error, except 401 while a host does not know a new key yet.
func (r *run) checkFailure(q *request) {
	if q.route.Kind == "stream" && q.reply.Status == http.StatusOK && !strings.HasPrefix(expectedBody(q), q.reply.Body) {
		r.addFindingLocked("%s (%s) received the body %q before it was truncated", q.id, q.route.Prefix, q.reply.Body)
	}
	if q.reply.HeaderReceived && q.reply.Status >= 300 && q.reply.Status < 500 && q.reply.Status != http.StatusUnauthorized {
		r.addFindingLocked("%s (%s) was answered %d", q.id, q.route.Prefix, q.reply.Status)
	}
}

// checkDepartures checks that no request reached a server later than
// leaveDeadline after it had left.
func (r *run) checkDepartures(s *stand.Server) {
	for _, d := range r.departures {
		if d.server != s.ID {
			continue
		}
		for _, at := range s.ArrivalTimes() {
			if at.Sub(d.span.From) > leaveDeadline && at.Before(d.span.To) {
				r.addFindingLocked("%s received a request %s after it had left", s.ID, at.Sub(d.span.From))
			}
		}
	}
}

// checkColdRate checks the request rate of an engine while it was cold.
func (r *run) checkColdRate(s *stand.Server) {
	if s.Service != "engine" {
		return
	}
	for _, c := range s.ColdSpans() {
		arrivals := slices.DeleteFunc(s.ArrivalTimes(), func(at time.Time) bool { return at.Before(c.From) || at.After(c.To) })
		r.checkRate("cold "+s.ID, arrivals, time.Second, coldRate*stand.ColdOvershoot+stand.ColdSlack)
	}
}

// checkRate checks that no window contains more requests than the limit.
func (r *run) checkRate(subject string, times []time.Time, window time.Duration, limit float64) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; float64(n) > limit {
			r.addFindingLocked("%s: %d requests within %s; the limit is %v", subject, n, window, limit)
			return
		}
	}
}

// checkRetries checks, by service, the rate of runs beyond the first of each
// request. The load is steady, so the number of requests in a window is
// proportional to its length.
func (r *run) checkRetries(runs map[string][]stand.Run) {
	retries := map[string][]time.Time{}
	requests := map[string]int{}
	for _, q := range r.requests {
		service := q.route.Service
		requests[service]++
		for i, x := range runs[q.id] {
			if i > 0 {
				retries[service] = append(retries[service], x.StartedAt)
			}
		}
	}
	elapsed := time.Since(r.start).Seconds()
	for service, times := range retries {
		inWindow := float64(requests[service]) * min(stand.RetryWindow.Seconds()/elapsed, 1)
		r.checkRate("retries of service "+service, times, stand.RetryWindow,
			inWindow*stand.RetryRatio+stand.RetrySlack)
	}
}
