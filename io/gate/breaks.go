package gate

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/broker"
	"yuccadoor/core/roster"
	"yuccadoor/io/relay"
)

// Limits of the check whether broken runs have crashed their target.
const (
	// brokenRunQueueSize is how many broken runs may wait for the check: more than the
	// loss of an availability zone breaks at once.
	brokenRunQueueSize = 256
	// maxCrashIdle is the time without data from the target after which a run that ends
	// by its deadline, or because the client disconnects, may hide a crash.
	maxCrashIdle = time.Second
	// crashIdleShare is the same as a fraction of the time that the run had, where that is
	// shorter: a target that crashes silently sends nothing until the deadline.
	crashIdleShare = 0.5
)

// minCrashIdle returns the time without data after which a run that may take up to allowed,
// and has ended without its answer, may hide a crash.
func minCrashIdle(allowed time.Duration) time.Duration {
	return min(maxCrashIdle, time.Duration(crashIdleShare*float64(allowed)))
}

// mayHaveCrashed reports whether the target's process may have ended during the run.
func (r *attemptResult) mayHaveCrashed() bool {
	switch r.outcome {
	case broker.Broken:
		return true
	case broker.Good:
		return r.unframed
	case broker.Cancelled:
		return r.mayHaveRun && r.idle >= minCrashIdle(r.allowed)
	}
	return false
}

// reportBrokenRun queues a run for the check whether it has crashed its target. If the queue
// is full, the run is not checked.
func (c *call) reportBrokenRun(t *roster.Target, r *attemptResult) {
	if !r.mayHaveCrashed() {
		return
	}
	run := broker.BrokenRun{
		RequestID: c.info.ID, Content: c.content, SharedParts: c.info.SharedParts, Target: t.ID, Address: t.Address, Born: t.Born, EndedAt: c.handler.Now(), Took: r.duration,
		Answered: r.outcome == broker.Good,
	}
	if run.Answered {
		c.handler.Coord.ReportBrokenRun(run) // the target has taken a connection since; see relay.Response.ConfirmEnd
		return
	}
	if !c.handler.brokenRuns.Offer(run) {
		c.handler.Log.Event("warn", "broken run not checked for a crash", "Request", run.RequestID, "Content", run.Content, "Target", run.Target)
	}
}

// processBrokenRuns checks whether the targets of broken runs still accept
// connections, and reports the runs to the coordinator.
func (h *Handler) processBrokenRuns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-h.brokenRuns.Items():
			h.checkTargets(ctx, h.drainBrokenRuns(run))
		}
	}
}

// drainBrokenRuns returns first and all queued broken runs, by the target's address.
func (h *Handler) drainBrokenRuns(first broker.BrokenRun) map[netip.AddrPort][]broker.BrokenRun {
	runs := map[netip.AddrPort][]broker.BrokenRun{first.Address: {first}}
	for {
		select {
		case run := <-h.brokenRuns.Items():
			runs[run.Address] = append(runs[run.Address], run)
		default:
			return runs
		}
	}
}

// checkTargets tries to connect to each target once and reports its broken runs
// with the result.
func (h *Handler) checkTargets(ctx context.Context, runs map[netip.AddrPort][]broker.BrokenRun) {
	var checks sync.WaitGroup
	for target, targetRuns := range runs {
		checks.Go(func() {
			refused := refusesConnections(h.Sender.CheckConnect(ctx, target))
			for _, run := range targetRuns {
				run.ConnectRefused = refused
				h.Coord.ReportBrokenRun(run)
			}
		})
	}
	checks.Wait()
}

// refusesConnections reports whether an error of connecting shows that the target accepts
// no connections, rather than that this host cannot open any.
func refusesConnections(err error) bool {
	return isRefusal(err) || relay.IsTimeout(err)
}

// isRefusal reports whether the other side has refused or reset a connection.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
