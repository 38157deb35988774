package gate

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
)

const (
	// connectShare is the share of the time left that connecting to a target may take, since
	// nothing has been sent yet and another target can be tried without risk.
	connectShare = 0.5
	// minConnectTime is some tens of round trips between availability zones.
	minConnectTime = 100 * time.Millisecond
	// fullConnectTime is enough to connect directly or through another host. Less time says
	// little of a target, as the end of a request without a response.
	fullConnectTime = 300 * time.Millisecond
)

// connectTime is how long the next attempt may take to connect.
func (c *call) connectTime() time.Duration {
	return max(time.Duration(connectShare*float64(c.deadline.Sub(c.handler.Now()))), minConnectTime)
}

// timeForStart is the time that an attempt has for the first part of its response: until the
// deadline, or until the client is expected to give up a stream.
func (c *call) timeForStart(started time.Time) time.Duration {
	if c.route.Kind == routes.Stream && c.stream.started {
		return min(c.deadline.Sub(started), c.eventWait)
	}
	return c.startDeadline.Sub(started)
}

// attemptLimit ends an attempt after a time so that the request can be repeated.
type attemptLimit struct {
	after   time.Duration // 0 for no limit
	reached atomic.Bool   // the attempt was ended, and a retry taken from the budget
}

// limitAttempt returns the context of an attempt at a target, and the function that ends it. The
// attempt goes on beyond its limit if there is no retry left in the budget.
func (c *call) limitAttempt(ctx context.Context, t *roster.Target) (context.Context, *attemptLimit, func()) {
	l := &attemptLimit{}
	if l.after = c.timeLimit(); l.after <= 0 || !c.hasOtherTarget(t) {
		return ctx, &attemptLimit{}, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(l.after, func() {
		if c.handler.takeRetry(c.service) {
			l.reached.Store(true)
			cancel()
		}
	})
	return ctx, l, func() {
		timer.Stop()
		cancel()
	}
}

// timeLimit returns the time after which the next attempt is ended so that the request can be
// repeated; 0 if it cannot, or if an attempt may well take that long.
func (c *call) timeLimit() time.Duration {
	if c.route.Kind != routes.Safe || c.sends+1 >= maxSends {
		return 0
	}
	return c.handler.attemptLimit(c.service, c.deadline.Sub(c.handler.Now()), c.route.MaxAttempts-c.runs)
}

// hasOtherTarget reports whether this request may be sent to another target of its service.
func (c *call) hasOtherTarget(t *roster.Target) bool {
	view := c.handler.Coord.View()
	for _, other := range view.Roster.ForService(c.service) {
		if other.ID != t.ID && !slices.Contains(c.excludedTargets, other.ID) {
			if _, ok := view.MaySend(c.handler.Now(), other.ID); ok {
				return true
			}
		}
	}
	return false
}

// attemptLimit returns the time after which an attempt is ended, or 0; see broker.AttemptTimes.
func (h *Handler) attemptLimit(service string, left time.Duration, attempts int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attemptTimes.Limit(service, left, attempts)
}

// recordAttempt records how long a plain response took.
func (h *Handler) recordAttempt(service string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptTimes.Record(service, took)
}
