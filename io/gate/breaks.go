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

// Limits of checking whether runs that broke off have crashed their target.
const (
	// breakQueueSize is how many may wait for the check: more than break off at once
	// when an availability zone is lost.
	breakQueueSize = 256
	// minIdleBreak is the time without data from the target after which a run that ends
	// by its deadline, or because the client disconnects, may hide a crash.
	minIdleBreak = time.Second
)

// mayHaveCrashed reports whether the target's process may have ended during the run.
func (r *attemptResult) mayHaveCrashed() bool {
	switch r.outcome {
	case broker.Broken:
		return true
	case broker.Cancelled:
		return r.mayHaveRun && r.idle >= minIdleBreak
	}
	return false
}

// reportBreak queues a run for the check whether it has crashed its target. If the queue
// is full, the run is not checked.
func (c *call) reportBreak(t *roster.Target, r *attemptResult) {
	if !r.mayHaveCrashed() {
		return
	}
	k := broker.BrokenRun{
		RequestID: c.info.ID, Content: c.content, Target: t.ID, Address: t.Address, Born: t.Born, EndedAt: c.handler.Now(), Took: r.duration,
	}
	if !c.handler.breaks.Offer(k) {
		c.handler.Log.Event("warn", "broken run not checked for a crash", "Request", k.RequestID, "Content", k.Content, "Target", k.Target)
	}
}

// processBreaks checks whether the targets of runs that broke off still accept
// connections, and reports the runs to the coordinator.
func (h *Handler) processBreaks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-h.breaks.Items():
			h.checkTargets(ctx, h.drainBreaks(k))
		}
	}
}

// drainBreaks returns first and all queued breaks, by the target's address.
func (h *Handler) drainBreaks(first broker.BrokenRun) map[netip.AddrPort][]broker.BrokenRun {
	breaks := map[netip.AddrPort][]broker.BrokenRun{first.Address: {first}}
	for {
		select {
		case k := <-h.breaks.Items():
			breaks[k.Address] = append(breaks[k.Address], k)
		default:
			return breaks
		}
	}
}

// checkTargets tries to connect to each target once and reports its breaks with the
// result.
func (h *Handler) checkTargets(ctx context.Context, breaks map[netip.AddrPort][]broker.BrokenRun) {
	var checks sync.WaitGroup
	for target, targetBreaks := range breaks {
		checks.Go(func() {
			refused := refusesConnections(h.Sender.CheckConnect(ctx, target))
			for _, k := range targetBreaks {
				k.ConnectRefused = refused
				h.Coord.ReportBrokenRun(k)
			}
		})
	}
	checks.Wait()
}

// refusesConnections reports whether an error of connecting shows that the target accepts
// no connections, rather than that this host cannot open any.
func refusesConnections(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || relay.IsTimeout(err)
}
