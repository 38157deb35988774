package coord

import (
	"context"
	"net/netip"
	"time"

	"yuccadoor/core/notice"
	"yuccadoor/io/pack"
)

// Noticed takes in what a target has said of itself in an answer to this host. When
// it returns, the host is bound, as View shows, and the leader is on the way to know.
func (c *Coord) Noticed(n notice.Notice) {
	_ = c.do(context.Background(), func(now time.Time) {
		c.note(now, c.self(), []notice.Notice{n})
		if c.leader != c.self() {
			c.out.Notices = append(c.out.Notices, n)
		}
		if c.mesh != nil {
			c.flushAsks(now)
		}
	})
}

// note takes in what targets have said to a host. A leader tells all hosts of
// targets that leave, since any of them may lead next.
func (c *Coord) note(now time.Time, host netip.AddrPort, notices []notice.Notice) {
	changed := false
	for _, n := range notices {
		if !c.broker.RecordNotice(now, host, n) {
			continue
		}
		changed = true
		c.settings.Log.Event("info", "target notice", "Target", n.Target, "Born", n.Born, "Host", host, "Leaving", n.Leaving, "Pause", n.Pause)
		if n.Leaving && c.leader == c.self() {
			n.Pause = 0 // binds one host only
			c.leaving = append(c.leaving, n)
		}
	}
	if changed {
		c.bound = c.broker.RestrictionsFor(now, c.self())
		c.publish()
	}
}

// flushNotices tells all other hosts of targets that leave.
func (c *Coord) flushNotices(now time.Time) {
	if len(c.leaving) == 0 {
		return
	}
	c.tellAll(now, methodNotices, pack.Of(c.leaving))
	c.leaving = nil
}

// handNotices tells a host that may have missed some which targets leave.
func (c *Coord) handNotices(now time.Time, host netip.AddrPort) {
	leaving := c.broker.HandoverNotices(now, netip.AddrPort{})
	if len(leaving) > 0 && host != c.self() {
		c.mesh.Send(host, methodNotices, pack.Of(leaving))
	}
}
