// Package paths tracks which targets a host reaches directly. A failure to connect is
// evidence about the path between host and target first; only if other hosts fail too is it
// evidence about the target. The package does no I/O; its user serializes the calls.
package paths

import (
	"net/netip"
	"time"
)

// Times and limits of direct paths.
const (
	// retryDelay is how long a target is not tried directly after another host reached it
	// and this one did not.
	retryDelay = time.Second
	// isolationTargets is the number of targets with a broken path, and no success since,
	// from which this host counts as cut off from all targets.
	isolationTargets = 2
	// probeInterval is the time between two tries to reach a target directly while this
	// host is cut off from all.
	probeInterval = 300 * time.Millisecond
	// avoidTime is how long a host that could not help is asked last.
	avoidTime = 2 * time.Second
)

// Paths is one host's knowledge of its paths.
type Paths struct {
	broken      map[netip.AddrPort]time.Time // when the direct path to a target last failed that others reach
	failed      map[netip.AddrPort]bool      // targets that were not reached directly since the last success
	succeededAt time.Time                    // when a target was last reached directly
	probedAt    time.Time
	avoided     map[netip.AddrPort]time.Time // hosts that could not help, and until when
}

// New returns the knowledge of a host that has tried no path.
func New() *Paths {
	return &Paths{broken: map[netip.AddrPort]time.Time{}, failed: map[netip.AddrPort]bool{}, avoided: map[netip.AddrPort]time.Time{}}
}

// TryDirect reports whether a target is to be tried directly before other hosts are asked.
func (p *Paths) TryDirect(now time.Time, target netip.AddrPort) bool {
	if failedAt, ok := p.broken[target]; ok && now.Sub(failedAt) < retryDelay {
		return false
	}
	if !p.Isolated() {
		return true
	}
	if now.Sub(p.probedAt) < probeInterval {
		return false
	}
	p.probedAt = now
	return true
}

// Isolated reports whether this host is cut off from all targets, as far as it has tried.
func (p *Paths) Isolated() bool {
	n := 0
	for _, failedAt := range p.broken {
		if failedAt.After(p.succeededAt) {
			n++
		}
	}
	return n >= isolationTargets
}

// MayBeIsolated reports whether this host has reached no target since it failed at several,
// whoever else reaches them.
func (p *Paths) MayBeIsolated() bool { return p.Isolated() || len(p.failed) >= isolationTargets }

// RecordFailure records that a target was not reached directly.
func (p *Paths) RecordFailure(target netip.AddrPort) { p.failed[target] = true }

// RecordDirect records that a target was reached directly.
func (p *Paths) RecordDirect(now time.Time, target netip.AddrPort) {
	p.succeededAt = now
	delete(p.broken, target)
	clear(p.failed)
}

// RecordBroken records that a target was not reached directly, but through another host.
func (p *Paths) RecordBroken(now time.Time, target netip.AddrPort) {
	p.broken[target] = now
	for t, failedAt := range p.broken {
		if now.Sub(failedAt) > time.Minute {
			delete(p.broken, t) // not used any more
		}
	}
}

// Avoid records that a host could not help.
func (p *Paths) Avoid(now time.Time, host netip.AddrPort) { p.avoided[host] = now.Add(avoidTime) }

// Order returns the first hosts to ask, at most limit: those that have not lately failed to
// help go first, in the order given.
func (p *Paths) Order(now time.Time, hosts []netip.AddrPort, limit int) []netip.AddrPort {
	var first, last []netip.AddrPort
	for _, h := range hosts {
		if until, ok := p.avoided[h]; ok && now.Before(until) {
			last = append(last, h)
			continue
		}
		delete(p.avoided, h)
		first = append(first, h)
	}
	ordered := append(first, last...)
	return ordered[:min(limit, len(ordered))]
}
