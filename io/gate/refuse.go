package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"yuccadoor/core/broker"
)

// failRetry is when to come back after a target could not be reached.
const failRetry = 200 * time.Millisecond

// refuse ends a request with an answer of this host's own.
func (c *call) refuse(status int, cause string, after time.Duration) {
	c.status, c.cause = status, cause
	h := c.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	text := cause + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write([]byte(text))
}

// refused passes the coordination's refusal on. Nothing may be promised of a
// request that may have run before.
func (c *call) refused(r *broker.Refusal) {
	c.turn, c.after = r.ExpectedWait, r.RetryAfter
	switch {
	case c.relayed.begun:
		c.breakOff(r.Cause)
	case c.ran > 0 && !c.route.Idempotent():
		c.refuse(http.StatusBadGateway, r.Cause, 0)
	case r.OverQuota:
		c.refuse(http.StatusTooManyRequests, r.Cause, r.RetryAfter)
	default:
		c.refuse(http.StatusServiceUnavailable, r.Cause, r.RetryAfter)
	}
}

// expired ends a request whose caller left or whose time was over before it was
// sent again.
func (c *call) expired(ctx context.Context) {
	switch {
	case c.request.Context().Err() != nil:
		c.breakOff(CauseCallerLeft)
	case c.relayed.begun:
		c.breakOff("TimeOver")
	case c.ran > 0:
		c.refuse(http.StatusGatewayTimeout, "TimeOver", 0)
	case ctx.Err() != nil:
		c.refuse(http.StatusServiceUnavailable, "TimeOver", failRetry)
	}
}

// fail ends a request whose last attempt did not answer it.
func (c *call) fail(ctx context.Context, r result) {
	switch {
	case c.request.Context().Err() != nil:
		c.breakOff(CauseCallerLeft)
	case c.relayed.begun:
		c.breakOff(string(r.outcome))
	case ctx.Err() != nil && c.ran > 0:
		c.refuse(http.StatusGatewayTimeout, "TimeOver", 0)
	case r.status != 0 && r.mayHaveRun && !promises(r.status):
		c.cause = "TargetFailed"
		c.first = c.gate.Now().Sub(c.arrived)
		c.pass(r.status, r.header, r.body)
	case c.ran > 0:
		c.refuse(http.StatusBadGateway, string(r.outcome), 0)
	default:
		c.refuse(http.StatusServiceUnavailable, string(r.outcome), failRetry)
	}
}

// breakOff ends a stream that cannot go on, so that it does not look complete,
// or a request whose caller has left.
func (c *call) breakOff(cause string) {
	c.cause = cause
	panic(http.ErrAbortHandler)
}
