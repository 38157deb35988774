package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/broker"
	"yuccadoor/io/body"
)

// failureRetryAfter is the Retry-After of requests whose target could not be reached.
const failureRetryAfter = 200 * time.Millisecond

// refuse ends a request with an error response of this host.
func (c *call) refuse(status int, cause string, retryAfter time.Duration) {
	c.status, c.cause = status, cause
	h := c.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	text := cause + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write([]byte(text))
}

// refuseUnread refuses a request whose body has not been read.
func (c *call) refuseUnread(status int, cause string, retryAfter time.Duration) {
	body.BoundUnread(c.writer, c.request)
	c.refuse(status, cause, retryAfter)
}

// refuseBody ends a request whose body could not be read, and closes its connection.
func (c *call) refuseBody(err error) {
	if errors.Is(err, net.ErrClosed) {
		c.abort("ConnectionClosed") // for others, by io/accept
	}
	c.writer.Header().Set("Connection", "close")
	var dropped *body.DroppedError
	switch {
	case errors.As(err, &dropped):
		c.refuse(http.StatusServiceUnavailable, string(dropped.Cause), body.RetryAfter)
	case errors.Is(err, body.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "BodyTooLarge", 0)
	case errors.Is(err, body.ErrTooSlow):
		c.refuse(http.StatusRequestTimeout, "BodyTooSlow", 0)
	case errors.Is(err, body.ErrTimeOver):
		c.refuse(http.StatusServiceUnavailable, "TimeOver", failureRetryAfter)
	default:
		c.refuse(http.StatusBadRequest, "BodyUnreadable", 0)
		return
	}
	body.Discard(c.writer, c.request)
}

// handleRefusal ends a request that the coordinator has refused. The statuses 429 and 503
// tell the client that the request was not run, so an earlier run of a request that is
// not idempotent gives 502.
func (c *call) handleRefusal(r *broker.Refusal) {
	c.expectedWait, c.retryAfter = r.ExpectedWait, r.RetryAfter
	c.suspects, c.crashes = r.Suspects, r.Crashes
	switch {
	case c.stream.started:
		c.abort(r.Cause)
	case c.runs > 0 && !c.route.Idempotent():
		c.refuse(http.StatusBadGateway, r.Cause, 0)
	case r.OverQuota:
		c.refuse(http.StatusTooManyRequests, r.Cause, r.RetryAfter)
	default:
		c.refuse(http.StatusServiceUnavailable, r.Cause, r.RetryAfter)
	}
}

// handleExpiry ends a request whose client disconnected, or whose deadline passed, while
// it waited for a target.
func (c *call) handleExpiry(ctx context.Context) {
	switch {
	case c.request.Context().Err() != nil:
		c.abort(CauseClientDisconnected)
	case c.stream.started:
		c.abort("TimeOver")
	case c.runs > 0:
		c.refuse(http.StatusGatewayTimeout, "TimeOver", 0)
	case ctx.Err() != nil:
		c.refuse(http.StatusServiceUnavailable, "TimeOver", failureRetryAfter)
	}
}

// handleFailure ends a request whose last attempt gave no final response.
func (c *call) handleFailure(ctx context.Context, r attemptResult) {
	switch {
	case c.request.Context().Err() != nil:
		c.abort(CauseClientDisconnected)
	case c.stream.started:
		c.abort(string(r.outcome))
	case ctx.Err() != nil && c.runs > 0:
		c.refuse(http.StatusGatewayTimeout, "TimeOver", 0)
	case r.status != 0 && r.mayHaveRun && !meansNotRun(r.status):
		c.cause = "TargetFailed"
		c.timeToFirstPart = c.handler.Now().Sub(c.arrived)
		c.writeResponse(r.status, r.header, r.body)
	case r.ambiguous:
		c.refuse(http.StatusBadGateway, CauseAmbiguous, 0)
	case c.runs > 0:
		c.refuse(http.StatusBadGateway, string(r.outcome), 0)
	default:
		c.refuse(http.StatusServiceUnavailable, string(r.outcome), failureRetryAfter)
	}
}

// abort closes the connection of a request whose client has disconnected, or of a stream
// that cannot continue, so that the stream does not look complete.
func (c *call) abort(cause string) {
	c.cause = cause
	panic(http.ErrAbortHandler)
}
