package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
)

// RecordNotice records what a target reported of itself to a host, and returns
// whether it is new. A target that is leaving gets no more work from any host;
// one that asked for a pause gets none from that host until the pause is over, and one
// that named a limit gets no more than that from all hosts together.
func (b *Broker) RecordNotice(now time.Time, host netip.AddrPort, n notice.Notice) bool {
	if !b.notices.Record(now, host, n) {
		return false
	}
	if t := b.targets[n.Target]; t != nil && t.published != nil {
		b.setNotice(now, t)
	}
	return true
}

// setNotice sets what is known of a target by its notices. Under a new limit, or once the
// target is known to be cold, the first grant waits for its turn, since requests that
// former leaders granted may be on their way.
func (b *Broker) setNotice(now time.Time, t *target) {
	_, wasLimited := t.notice.Limit()
	wasCold := t.cold(now)
	t.notice = b.notices.Lookup(t.published)
	if interval := b.coldInterval(t); interval > 0 && t.cold(now) && !wasCold {
		t.nextColdGrant = now.Add(interval)
	}
	if interval := b.limitInterval(t); interval > 0 && !wasLimited {
		t.nextLimitedGrant = now.Add(interval)
	}
}

// coldInterval is the time between two grants of a cold target; 0 without a limit. A part
// of the fleet uses its share of the limit.
func (b *Broker) coldInterval(t *target) time.Duration {
	s := b.config.Service(t.published.Service)
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / (s.ColdPerSecond * max(b.reachableShare, minReachableShare)))
}

// limitInterval is the time between two grants of a target that has named a limit; 0
// without a limit. A part of the fleet uses its share of the limit.
func (b *Broker) limitInterval(t *target) time.Duration {
	limit, ok := t.notice.Limit()
	if !ok {
		return 0
	}
	return time.Duration(float64(time.Second) / (limit * max(b.reachableShare, minReachableShare)))
}

// limitedFor is how long a host waits for the next grant that the limits of a service's
// targets allow; 0 if there is a target without a limit, or none at all.
func (b *Broker) limitedFor(now time.Time, service string, host netip.AddrPort, excluded []string) time.Duration {
	shortest, found := time.Duration(0), false
	for _, p := range b.roster.ForService(service) {
		b.work++
		t := b.targets[p.ID]
		if t == nil || t.notice.Leaving() || t.blockedFor(now, host) > 0 || slices.Contains(excluded, p.ID) {
			continue
		}
		wait := time.Duration(0)
		if _, limited := t.notice.Limit(); limited {
			wait = max(t.nextLimitedGrant.Sub(now), 0)
		}
		if wait == 0 {
			return 0
		}
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
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
