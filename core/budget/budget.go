// Package budget bounds how often a host sends requests again. The bound on all
// hosts together is a ratio of the callers' requests and a fixed slack; each
// host uses the ratio of its own requests and its part of the slack.
package budget

import "time"

// Bounds are what all hosts together may use within Window.
type Bounds struct {
	Ratio  float64 // of the requests of a service
	Slack  float64 // beyond that
	Window time.Duration
}

// Parts of the bounds that are used: hosts start anew, fleets grow, and arrivals
// are counted at the targets, later than here.
const (
	ratioPart = 0.6
	slackPart = 0.3
)

// Budget counts for one host, by service. It is owned by one goroutine or
// guarded by its owner.
type Budget struct {
	bounds   Bounds
	hosts    int
	services map[string]*account
}

type account struct {
	level float64
	at    time.Time
}

// New returns a full budget.
func New(b Bounds) *Budget {
	return &Budget{bounds: b, hosts: 1, services: map[string]*account{}}
}

// SetHosts tells among how many hosts the slack is shared.
func (b *Budget) SetHosts(n int) { b.hosts = max(1, n) }

// SetBounds takes new bounds.
func (b *Budget) SetBounds(bounds Bounds) { b.bounds = bounds }

// share is this host's part of the slack: what it may hold at most, and what it
// gains in one window.
func (b *Budget) share() float64 { return b.bounds.Slack * slackPart / float64(b.hosts) }

func (b *Budget) account(now time.Time, service string) *account {
	a := b.services[service]
	if a == nil {
		a = &account{level: b.share(), at: now}
		b.services[service] = a
		return a
	}
	if past := now.Sub(a.at); past > 0 && b.bounds.Window > 0 {
		a.level = min(a.level+b.share()*past.Seconds()/b.bounds.Window.Seconds(), b.most())
		a.at = now
	}
	return a
}

// most is what may be saved up: the share and one more for small fleets' ratio.
func (b *Budget) most() float64 { return max(b.share(), 1) + 1 }

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	a := b.account(now, service)
	a.level = min(a.level+b.bounds.Ratio*ratioPart, b.most())
}

// TakeRetry uses one repeat if there is one.
func (b *Budget) TakeRetry(now time.Time, service string) bool {
	a := b.account(now, service)
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}
