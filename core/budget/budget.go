// Package budget implements retry budgets. The bound on the retries of all hosts
// together is a ratio of the callers' requests plus a fixed slack. Each host uses the
// ratio of its own requests and its share of the slack.
package budget

import "time"

// Bounds limits the retries of all hosts together within Window.
type Bounds struct {
	Ratio  float64 // retries per request of a service
	Slack  float64 // retries on top of the ratio
	Window time.Duration
}

// Parts of the bounds that hosts use. The rest is a margin, since hosts restart with a
// new budget, fleets grow, and the bounds count arrivals at the targets, which are later
// than the sending counted here.
const (
	ratioPart = 0.6
	slackPart = 0.3
)

// Budget is the retry budget of one host, with a token bucket per service. It is not
// safe for concurrent use.
type Budget struct {
	bounds   Bounds
	hosts    int
	services map[string]*bucket
}

type bucket struct {
	level float64   // retries available
	at    time.Time // of the last refill
}

// New returns a full budget of a fleet with one host.
func New(b Bounds) *Budget {
	return &Budget{bounds: b, hosts: 1, services: map[string]*bucket{}}
}

// SetHosts sets the number of hosts that share the slack.
func (b *Budget) SetHosts(n int) { b.hosts = max(1, n) }

// SetBounds sets the bounds.
func (b *Budget) SetBounds(bounds Bounds) { b.bounds = bounds }

// slackShare returns this host's share of the slack: the level of a new bucket, and
// its refill in one window.
func (b *Budget) slackShare() float64 { return b.bounds.Slack * slackPart / float64(b.hosts) }

// bucket returns a service's bucket, refilled up to now. A new bucket starts with the
// slack share.
func (b *Budget) bucket(now time.Time, service string) *bucket {
	k := b.services[service]
	if k == nil {
		k = &bucket{level: b.slackShare(), at: now}
		b.services[service] = k
		return k
	}
	if elapsed := now.Sub(k.at); elapsed > 0 && b.bounds.Window > 0 {
		k.level = min(k.level+b.slackShare()*elapsed.Seconds()/b.bounds.Window.Seconds(), b.capacity())
		k.at = now
	}
	return k
}

// capacity returns the level of a full bucket: the slack share, at least 1, plus one
// retry that lets the ratio accumulate in small fleets.
func (b *Budget) capacity() float64 { return max(b.slackShare(), 1) + 1 }

// RecordRequest adds the retries that a caller's request for a service earns.
func (b *Budget) RecordRequest(now time.Time, service string) {
	k := b.bucket(now, service)
	k.level = min(k.level+b.bounds.Ratio*ratioPart, b.capacity())
}

// TakeRetry takes one retry for a service from the budget and reports whether there was
// one.
func (b *Budget) TakeRetry(now time.Time, service string) bool {
	k := b.bucket(now, service)
	if k.level < 1 {
		return false
	}
	k.level--
	return true
}
