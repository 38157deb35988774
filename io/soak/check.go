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

func (r *run) finding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found(format, args...)
}

// found notes a broken promise; mu is held.
func (r *run) found(format string, args ...any) {
	r.report.Findings = append(r.report.Findings, fmt.Sprintf(format, args...))
}

// recovers waits until every host serves every kind of request again.
func (r *run) recovers(ctx context.Context) {
	for _, h := range r.hosts {
		for _, route := range r.deploy.Routes {
			n := 0
			whole := r.within(ctx, recoverWithin, func(ctx context.Context) bool {
				n++
				r.mu.Lock()
				key := r.deploy.Keys[len(r.deploy.Keys)-1]
				r.mu.Unlock()
				id := fmt.Sprintf("again-%s-%s%d", h.node.Name, strings.Trim(route.Prefix, "/"), n)
				reply := stand.Send(ctx, h.node.Front, "POST", route.Prefix+"x", id, key, "", patience)
				return reply.Status == http.StatusOK && reply.Err == nil
			})
			if !whole {
				r.finding("%s does not serve %s %s after the last fault", h.node.Name, route.Prefix, recoverWithin)
			}
		}
	}
}

// check compares what callers got with what servers ran.
func (r *run) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]stand.Run{}
	var bounded []time.Time
	for _, s := range r.servers {
		for _, x := range s.Runs() {
			runs[x.ID] = append(runs[x.ID], x)
			// A request counts once, however often it is run.
			if len(runs[x.ID]) == 1 && x.Workspace == stand.LimitedWorkspace {
				bounded = append(bounded, x.StartedAt)
			}
		}
		r.checkLeft(s)
		r.checkCold(s)
	}
	rate := float64(boundedRate)
	r.checkRate("the bounded workspace", bounded, stand.QuotaWindow,
		(rate*stand.QuotaWindow.Seconds()+rate)*(1+stand.QuotaOvershoot)+stand.QuotaSlack)
	r.checkRepeats(runs)
	r.checkCrashes()
	for _, q := range r.requests {
		r.report.Requests++
		r.checkRequest(q, runs[q.id])
	}
}

func (r *run) checkRequest(q *request, runs []stand.Run) {
	once := q.route.Kind != "safe" && !q.route.Resumable
	if once && len(runs) > 1 {
		r.found("%s (%s) ran %d times", q.id, q.route.Prefix, len(runs))
	}
	if once && q.reply.NotRun() && len(runs) > 0 {
		r.found("%s (%s) was answered %d and ran", q.id, q.route.Prefix, q.reply.Status)
	}
	if !once && len(runs) > q.route.Attempts {
		r.found("%s (%s) ran %d times of at most %d", q.id, q.route.Prefix, len(runs), q.route.Attempts)
	}
	for _, x := range runs {
		if x.Body != "body" || x.Path != q.route.Prefix+"x" {
			r.found("%s reached a server changed: %s %q", q.id, x.Path, x.Body)
		}
	}
	switch {
	case q.reply.Status == http.StatusOK && q.reply.Err == nil:
		r.report.Served++
		r.checkBody(q, len(runs))
	case q.reply.NotRun():
		r.report.Refused++
		if q.reply.Stamped {
			r.found("%s was refused with a server's proof", q.id)
		}
	default:
		r.report.Failed++
		r.checkPart(q)
	}
}

// whole is the body that a request's answer has.
func whole(q *request) string {
	if q.route.Kind != "stream" {
		return stand.Answer(q.id)
	}
	var b strings.Builder
	for n := 1; n <= 10; n++ {
		b.WriteString(stand.Event(q.id, n))
	}
	return b.String()
}

func (r *run) checkBody(q *request, runs int) {
	if !q.reply.Stamped || runs == 0 {
		r.found("%s was answered 200 without a server's proof or run", q.id)
	}
	if want := whole(q); q.reply.Body != want {
		r.found("%s (%s) got %q", q.id, q.route.Prefix, q.reply.Body)
	}
}

// checkPart looks at a stream that was cut: it has the first events, whole.
func (r *run) checkPart(q *request) {
	if q.route.Kind == "stream" && q.reply.Status == http.StatusOK && !strings.HasPrefix(whole(q), q.reply.Body) {
		r.found("%s (%s) got %q before it was cut", q.id, q.route.Prefix, q.reply.Body)
	}
	if q.reply.HeaderReceived && q.reply.Status >= 300 && q.reply.Status < 500 && q.reply.Status != http.StatusUnauthorized {
		r.found("%s (%s) was answered %d", q.id, q.route.Prefix, q.reply.Status)
	}
}

// checkLeft looks at what reached a server after it had left.
func (r *run) checkLeft(s *stand.Server) {
	for _, m := range r.marks {
		if m.server != s.ID {
			continue
		}
		for _, at := range s.ArrivalTimes() {
			if at.Sub(m.left.From) > leaveBound && at.Before(m.left.To) {
				r.found("%s got a request %s after it had left", s.ID, at.Sub(m.left.From))
			}
		}
	}
}

// checkCold looks at how much a server got while it was cold.
func (r *run) checkCold(s *stand.Server) {
	if s.Service != "engine" {
		return
	}
	for _, c := range s.ColdSpans() {
		came := slices.DeleteFunc(s.ArrivalTimes(), func(at time.Time) bool { return at.Before(c.From) || at.After(c.To) })
		r.checkRate("cold "+s.ID, came, time.Second, coldPace*stand.ColdOvershoot+stand.ColdSlack)
	}
}

// checkRate looks for a window in which more came than may.
func (r *run) checkRate(what string, came []time.Time, window time.Duration, most float64) {
	slices.SortFunc(came, time.Time.Compare)
	first := 0
	for i, at := range came {
		for at.Sub(came[first]) >= window {
			first++
		}
		if n := i - first + 1; float64(n) > most {
			r.found("%s got %d requests within %s, of at most %v", what, n, window, most)
			return
		}
	}
}

// checkRepeats looks at the runs beyond the first of each request, by service. The
// load is steady, so that the requests of a window are those of its length.
func (r *run) checkRepeats(runs map[string][]stand.Run) {
	repeats := map[string][]time.Time{}
	asked := map[string]int{}
	for _, q := range r.requests {
		service := q.route.Service
		asked[service]++
		for i, x := range runs[q.id] {
			if i > 0 {
				repeats[service] = append(repeats[service], x.StartedAt)
			}
		}
	}
	length := time.Since(r.start).Seconds()
	for service, came := range repeats {
		inWindow := float64(asked[service]) * min(stand.RetryWindow.Seconds()/length, 1)
		r.checkRate("service "+service+", beyond the first of each request,", came, stand.RetryWindow,
			inWindow*stand.RetryRatio+stand.RetrySlack)
	}
}
