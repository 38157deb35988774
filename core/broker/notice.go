package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
)

// RecordNotice takes in what a target has said of itself to a host, and reports whether it
// is new. A target that leaves gets no more work from any host; one that asked for
// a pause gets none from that host until it is over.
func (b *Broker) RecordNotice(now time.Time, host netip.AddrPort, n notice.Notice) bool {
	if !b.notices.Record(now, host, n) {
		return false
	}
	if t := b.targets[n.Target]; t != nil && t.published != nil {
		t.notice = b.notices.Lookup(t.published)
	}
	return true
}

// HandoverNotices gives what a host hands to a new leader of what targets have said.
func (b *Broker) HandoverNotices(now time.Time, host netip.AddrPort) []notice.Notice {
	return b.notices.Handover(now, host)
}

// RestrictionsFor is what binds a host by what targets have said.
func (b *Broker) RestrictionsFor(now time.Time, host netip.AddrPort) *notice.Restrictions {
	return b.notices.RestrictionsFor(now, host)
}

// agreed is the wait that binds all hosts, of those that bind some: the shortest,
// if as many as hostsAgree have one.
func agreed(waits []time.Duration) time.Duration {
	if len(waits) < hostsAgree {
		return 0
	}
	return slices.Min(waits)
}
