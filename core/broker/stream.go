package broker

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
	"yuccadoor/core/origin"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
)

// maxResolveTime is how long the version of a stream may stay unknown: until other hosts have
// been asked, one interval between two listings of targets' parts, and the time that a
// listing takes.
const maxResolveTime = origin.MaxAskTime + 2*origin.ListInterval

// versionState is the software version that a request needs.
type versionState struct {
	pinned     bool // only targets of version may run it
	version    string
	unresolved bool // the version is yet to be found
}

// allows reports whether a target is of the version that a request needs.
func (v *versionState) allows(t *roster.Target) bool {
	return !v.unresolved && (!v.pinned || t.Version == v.version)
}

// LongestStream is the longest time that a request for a resumable stream may take.
func LongestStream(c *routes.Config) time.Duration {
	var longest time.Duration
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == routes.Stream && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// StreamEvent tells by what the version of a stream that was taken up was found, or that it
// was not.
type StreamEvent struct {
	Host    netip.AddrPort // that asked
	Request uint64
	Stream  uint64
	Service string
	Waited  time.Duration
	origin.Finding
}

// maxStreamEvents limits the events between two calls of TakeStreamEvents.
const maxStreamEvents = 1024

// TakeStreamEvents returns the streams whose versions were found, or not, since the last call.
func (b *Broker) TakeStreamEvents() []StreamEvent {
	events := b.streamEvents
	b.streamEvents = nil
	return events
}

// resolve determines the version that began the stream of a request. It returns false if
// it cannot be known.
func (b *Broker) resolve(now time.Time, q *queuedRequest) bool {
	if !q.unresolved {
		return true
	}
	waited := now.Sub(q.queuedAt)
	finding := b.origins.Find(now, q.stream())
	if finding.Verdict == origin.Pending && waited < maxResolveTime {
		return true
	}
	if len(b.streamEvents) < maxStreamEvents {
		b.streamEvents = append(b.streamEvents, StreamEvent{q.host, q.request.ID, q.request.Stream, q.request.Service, waited, finding})
	}
	if finding.Verdict != origin.Known {
		return false
	}
	q.versionState = versionState{pinned: true, version: finding.Version}
	return true
}

// stream returns the stream that a request continues.
func (q *queuedRequest) stream() origin.Stream {
	return origin.Stream{Service: q.request.Service, Key: q.request.Stream, Part: q.request.LastPart, AskedAt: q.queuedAt}
}

// resolveAll determines the versions of waiting requests, and refuses those whose version
// cannot be known or has no target left.
func (b *Broker) resolveAll(now time.Time, service string) {
	queue := b.queues[service]
	b.work += uint64(len(queue))
	b.queues[service] = slices.DeleteFunc(queue, func(q *queuedRequest) bool { return q.cancelled || !b.checkVersion(now, q) })
}

// checkVersion determines the version of a request. It returns false if it has refused the
// request.
func (b *Broker) checkVersion(now time.Time, q *queuedRequest) bool {
	switch {
	case !b.resolve(now, q):
		b.refuseVersion(q, "VersionUnknown")
	case q.pinned && !b.hasVersion(q):
		b.refuseVersion(q, "VersionGone")
	default:
		return true
	}
	return false
}

// refuseVersion refuses a request whose stream cannot go on now. Another server of its
// version may be published some seconds later.
func (b *Broker) refuseVersion(q *queuedRequest, cause string) {
	b.returnTokens(q)
	b.refuse(q.requestKey, Refusal{ID: q.request.ID, RetryAfter: maxRetryAfter, Cause: cause})
}

// hasVersion reports whether a request's version has a target that it may use.
func (b *Broker) hasVersion(q *queuedRequest) bool {
	return slices.ContainsFunc(b.roster.ForService(q.request.Service), func(t *roster.Target) bool {
		return q.allows(t) && !slices.Contains(q.request.ExcludedTargets, t.ID)
	})
}

// withOtherVersions returns excluded targets and those of versions that a request cannot
// use.
func (b *Broker) withOtherVersions(q *queuedRequest, excluded []string) []string {
	if !q.pinned {
		return excluded
	}
	all := slices.Clone(excluded)
	b.work += uint64(len(b.roster.ForService(q.request.Service)))
	for _, t := range b.roster.ForService(q.request.Service) {
		if !q.allows(t) {
			all = append(all, t.ID)
		}
	}
	return all
}

// SetOutOfStep sets whether other hosts may know of targets that this one does not.
func (b *Broker) SetOutOfStep(now time.Time, on bool) { b.origins.SetOutOfStep(now, on) }

// Origins returns what this host knows of the versions that began streams. Callers use it on
// the goroutine that owns the Broker.
func (b *Broker) Origins() *origin.Store { return b.origins }

// ResolveStreams determines the versions of waiting streams, after other hosts have told what
// they know.
func (b *Broker) ResolveStreams(now time.Time) {
	for service, queue := range b.queues {
		if slices.ContainsFunc(queue, func(q *queuedRequest) bool { return q.unresolved && !q.cancelled }) {
			b.resolveAll(now, service)
			b.unmatched[service] = true
		}
	}
}

// TargetsToList returns the targets that are to list the parts of prompts that they keep,
// so that versions of waiting streams can be told that no host knows.
func (b *Broker) TargetsToList(now time.Time) []*roster.Target {
	var targets []*roster.Target
	for service, queue := range b.queues {
		for _, q := range queue {
			if q.unresolved && !q.cancelled && !b.origins.AwaitsHosts(now, q.stream()) {
				targets = append(targets, b.origins.TargetsToList(now, service, q.queuedAt)...)
			}
		}
	}
	return targets
}

// RecordParts records the parts of prompts that a target keeps; nil if it did not tell.
func (b *Broker) RecordParts(now time.Time, target string, parts []model.PromptPart) {
	b.origins.RecordParts(target, parts)
	if t := b.roster.Targets[target]; t != nil {
		for _, q := range b.queues[t.Service] {
			if q.unresolved && !q.cancelled {
				b.origins.ObserveKept(t.Service, q.request.LastPart)
			}
		}
		b.resolveAll(now, t.Service)
		b.unmatched[t.Service] = true
	}
}
