package broker

import (
	"maps"
	"slices"
	"time"
)

// Limits for targets that fail if they have to turn away too many requests in a second.
const (
	// rejectionWindow is the time over which rejections count.
	rejectionWindow = time.Second
	// rejectionDelay is the time within which a rejection is known here: a target rejects
	// at once, and the rest is the way through the host.
	rejectionDelay = 250 * time.Millisecond
	// brittleShare is the part of the allowed rejections that is used, since windows here
	// and at the target begin at other times.
	brittleShare = 0.8
)

// mayRiskRejection reports whether a target could turn one more request away without
// failing, if it rejected all that were granted a moment ago as well. A part of the fleet
// uses its share.
func (t *target) mayRiskRejection(now time.Time, b *Broker) bool {
	limit, brittle := t.notice.Brittle(now)
	if !brittle {
		return true
	}
	maps.DeleteFunc(t.unconfirmed, func(_ requestKey, at time.Time) bool { return now.Sub(at) > rejectionDelay })
	t.rejectedAt = since(t.rejectedAt, now.Add(-rejectionWindow))
	allowed := max(int(brittleShare*float64(limit)*b.reachableShare), 1)
	return len(t.unconfirmed)+len(t.rejectedAt) < allowed
}

// since drops the times before a time.
func since(times []time.Time, from time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return at.Before(from) })
}
