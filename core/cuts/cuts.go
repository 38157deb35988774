// Package cuts detects that the hosts of one availability zone do not reach the targets of
// another one, from how their attempts to connect end. In a large fleet each host meets an
// unreachable target for the first time many times over, so that a backoff for each host
// and target does not end the waste: in a zone of 30 hosts before 60 unreachable targets,
// a third of all requests went to those. While a zone is cut off, one request at a time
// tries the path. The package does no I/O; one goroutine owns a Detector.
package cuts

import (
	"maps"
	"net/netip"
	"time"
)

// Parameters of the detection.
const (
	// minTargets and minHosts are the numbers of targets that failed, and of hosts that
	// failed to connect, before the path counts as cut. A single target may be down, and a
	// single host cut off.
	minTargets = 3
	minHosts   = 2
	// minSilence is how long no target must have answered on the path. When some targets of
	// a zone crash, the others answer many times in it, and failed attempts to connect take
	// up to 200 ms.
	minSilence = 250 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time from a failed probe to the next
	// one, which doubles. A probe costs its caller the time of an attempt to connect, and
	// maxProbeInterval is how long a path that works again may stay unused.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = time.Second
	// probeTimeout is when a probe of which nothing was heard no longer counts. Connecting
	// directly and through other hosts takes about a second.
	probeTimeout = 2 * time.Second
)

// Path is the way from the hosts of one availability zone to the targets of another one, or
// of the same.
type Path struct{ From, To string }

// state is what is known of one path.
type state struct {
	reachedAt time.Time // when a target last answered
	// failures holds the targets that each host could not connect to since then.
	failures map[netip.AddrPort]map[string]bool
	cut      bool
	interval time.Duration // from the last failed probe to the next one
	probeAt  time.Time     // earliest start of the next probe
	probedAt time.Time     // start of the running probe; zero for none
}

// Detector holds the state of all paths.
type Detector struct {
	paths map[Path]*state
	cuts  int // paths that are cut
}

// New returns a detector that knows of no cut.
func New() *Detector { return &Detector{paths: map[Path]*state{}} }

// Reached records that a target answered a host. It reports whether the path was cut.
func (d *Detector) Reached(now time.Time, p Path) (restored bool) {
	s := d.paths[p]
	if s == nil {
		d.paths[p] = &state{reachedAt: now}
		return false
	}
	if restored = s.cut; restored {
		d.cuts--
	}
	*s = state{reachedAt: now}
	return restored
}

// Failed records that a host could not connect to a target. It reports whether the path
// counts as cut since then. isolated reports whether a host reaches no target at all: its
// failures say nothing of the path that others use.
func (d *Detector) Failed(now time.Time, p Path, host netip.AddrPort, target string, isolated func(netip.AddrPort) bool) (cut bool) {
	s := d.paths[p]
	if s == nil {
		s = &state{reachedAt: now}
		d.paths[p] = s
	}
	if s.failures == nil {
		s.failures = map[netip.AddrPort]map[string]bool{}
	}
	if s.failures[host] == nil {
		s.failures[host] = map[string]bool{}
	}
	s.failures[host][target] = true
	if s.cut {
		// Attempts from before the cut was known fail as well; only a probe moves the next one.
		if !s.probedAt.IsZero() {
			s.interval = min(2*s.interval, maxProbeInterval)
			s.probedAt, s.probeAt = time.Time{}, now.Add(s.interval)
		}
		return false
	}
	if now.Sub(s.reachedAt) < minSilence || !s.agree(isolated) {
		return false
	}
	d.cuts++
	s.cut, s.interval, s.probeAt = true, minProbeInterval, now.Add(minProbeInterval)
	return true
}

// agree reports whether enough hosts, of those that reach other targets, failed to connect to
// enough targets.
func (s *state) agree(isolated func(netip.AddrPort) bool) bool {
	hosts, targets := 0, map[string]bool{}
	for host, failed := range s.failures {
		if isolated(host) {
			continue
		}
		hosts++
		maps.Copy(targets, failed)
	}
	return hosts >= minHosts && len(targets) >= minTargets
}

// Any reports whether any path is cut.
func (d *Detector) Any() bool { return d.cuts > 0 }

// Granted records that a request was granted a target on the path. On a path that is cut it
// is a probe.
func (d *Detector) Granted(now time.Time, p Path) {
	if s := d.paths[p]; s != nil && s.cut {
		s.probedAt = now
	}
}

// Wait is how much longer no request may be granted a target on the path: 0 if one may be
// now.
func (d *Detector) Wait(now time.Time, p Path) time.Duration {
	if d.cuts == 0 {
		return 0
	}
	s := d.paths[p]
	if s == nil || !s.cut {
		return 0
	}
	next := s.probeAt
	if running := s.probedAt.Add(probeTimeout); !s.probedAt.IsZero() && running.After(next) {
		next = running
	}
	return max(next.Sub(now), 0)
}
