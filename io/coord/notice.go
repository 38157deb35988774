package coord

import (
	"context"
	"net/netip"
	"time"

	"yuccadoor/core/notice"
	"yuccadoor/io/pack"
)

// ReportNotice applies a notice that a target sent to this host with a response.
// When it returns, the View includes the notice and it has been queued for the leader.
func (c *Coordinator) ReportNotice(n notice.Notice) {
	_ = c.do(context.Background(), func(now time.Time) {
		c.applyNotices(now, c.self(), []notice.Notice{n})
		if c.leader != c.self() {
			c.outgoing.Notices = append(c.outgoing.Notices, n)
		}
		if c.mesh != nil {
			c.flushRequests(now)
		}
	})
}

// applyNotices applies notices that a host received from targets. A leader forwards
// those that concern all hosts to them, since any of them may be the next leader.
func (c *Coordinator) applyNotices(now time.Time, host netip.AddrPort, notices []notice.Notice) {
	changed := false
	for _, n := range notices {
		if !c.broker.RecordNotice(now, host, n) {
			continue
		}
		changed = true
		c.settings.Log.Event("info", "target notice", "Target", n.Target, "Born", n.Born, "Host", host, "Leaving", n.Leaving, "Pause", n.Pause, "Limit", n.Limit, "Unlimited", n.Unlimited, "Cold", n.Cold, "Brittle", n.Brittle)
		if n.ForAllHosts() && c.leader == c.self() {
			n.Pause = 0 // a pause applies to one host only
			c.sharedNotices = append(c.sharedNotices, n)
		}
	}
	if changed {
		c.restrictions = c.broker.RestrictionsFor(now, c.self())
		c.publish()
	}
}

// flushNotices sends new notices that concern all hosts to the others.
func (c *Coordinator) flushNotices(now time.Time) {
	if len(c.sharedNotices) == 0 {
		return
	}
	c.broadcast(now, methodNotices, pack.Of(c.sharedNotices))
	c.sharedNotices = nil
}

// sendNotices sends all notices that concern all hosts to a host that may have missed
// some.
func (c *Coordinator) sendNotices(now time.Time, host netip.AddrPort) {
	known := c.broker.HandoverNotices(now, netip.AddrPort{})
	if len(known) > 0 && host != c.self() {
		c.mesh.Send(host, methodNotices, pack.Of(known))
	}
}
