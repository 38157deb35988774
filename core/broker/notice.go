package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
)

// RecordNotice records what a target reported of itself to a host, and returns
// whether it is new. A target that is leaving gets no more work from any host;
// one that asked for a pause gets none from that host until the pause is over.
func (b *Broker) RecordNotice(now time.Time, host netip.AddrPort, n notice.Notice) bool {
	if !b.notices.Record(now, host, n) {
		return false
	}
	if t := b.targets[n.Target]; t != nil && t.published != nil {
		t.notice = b.notices.Lookup(t.published)
	}
	return true
}

// HandoverNotices returns the notices that a host reports to a new leader.
func (b *Broker) HandoverNotices(now time.Time, host netip.AddrPort) []notice.Notice {
	return b.notices.Handover(now, host)
}

// RestrictionsFor returns the restrictions on a host that follow from the notices
// of targets.
func (b *Broker) RestrictionsFor(now time.Time, host netip.AddrPort) *notice.Restrictions {
	return b.notices.RestrictionsFor(now, host)
}

// agreedBackoff is the backoff that applies to all hosts, given the backoffs of
// some: the shortest, if at least minAgreeingHosts hosts have one.
func agreedBackoff(waits []time.Duration) time.Duration {
	if len(waits) < minAgreeingHosts {
		return 0
	}
	return slices.Min(waits)
}
