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

// Bounds of the examination of runs that broke off.
const (
	// breakRing is how many may wait for it: more than break off at once when an
	// availability zone is lost.
	breakRing = 256
	// silentBreak is after how long without a sign of the target the end of a
	// request's time, or its caller's leaving, may hide a crash.
	silentBreak = time.Second
)

// broke reports whether the target may have ended under the run.
func (r *result) broke() bool {
	switch r.outcome {
	case broker.Broken:
		return true
	case broker.Cancelled:
		return r.mayHaveRun && r.silent >= silentBreak
	}
	return false
}

// examine hands over a run that may have ended with its target. If too many wait,
// it is not examined.
func (c *call) examine(t *roster.Target, r *result) {
	if !r.broke() {
		return
	}
	k := broker.Break{
		Request: c.caller.ID, Content: c.content, Target: t.ID, Address: t.Address, Born: t.Born, At: c.gate.Now(), Took: r.took,
	}
	if !c.gate.breaks.Offer(k) {
		c.gate.Log.Event("warn", "break not examined", "Request", k.Request, "Content", k.Content, "Target", k.Target)
	}
}

// examineBreaks finds out whether the targets of runs that broke off still take
// connections, and reports the runs to the coordination.
func (g *Handler) examineBreaks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-g.breaks.Items():
			g.examineTargets(ctx, g.waitingBreaks(k))
		}
	}
}

// waitingBreaks collects a break and those that wait, by target's address.
func (g *Handler) waitingBreaks(first broker.Break) map[netip.AddrPort][]broker.Break {
	breaks := map[netip.AddrPort][]broker.Break{first.Address: {first}}
	for {
		select {
		case k := <-g.breaks.Items():
			breaks[k.Address] = append(breaks[k.Address], k)
		default:
			return breaks
		}
	}
}

func (g *Handler) examineTargets(ctx context.Context, breaks map[netip.AddrPort][]broker.Break) {
	var examining sync.WaitGroup
	for target, ks := range breaks {
		examining.Go(func() {
			refused := takesNone(g.Sender.CheckConnect(ctx, target))
			for _, k := range ks {
				k.Refused = refused
				g.Coord.Broke(k)
			}
		})
	}
	examining.Wait()
}

// takesNone tells a target that takes no connections from a host that can open
// none.
func takesNone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || relay.IsTimeout(err)
}
