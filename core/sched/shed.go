package sched

import (
	"net/netip"
	"time"

	"yuccadoor/core/model"
)

// displace makes room for r by refusing a waiting request of a less urgent tier, if
// there is one.
func (s *Scheduler) displace(r *model.Request) bool {
	var worst *waitingRequest
	for _, q := range s.queues {
		_, e, ok := q.Worst(r.Tier)
		if ok && (worst == nil || displacedBefore(e.request, worst.request)) {
			worst = e
		}
	}
	if worst == nil {
		return false
	}
	s.removeWaiting(worst)
	s.refuse(worst.request.ID, model.ReasonShed, "displaced by a more urgent request", s.retryAfter())
	return true
}

// displaceAtPeer is used when this host has no less urgent request to displace. It
// has a peer refuse one instead, and this host exceeds MaxWaiting by one request, up to
// overflowFactor times MaxWaiting in total. It reports whether r may be queued.
func (s *Scheduler) displaceAtPeer(r *model.Request) bool {
	if len(s.waiting) >= overflowFactor*s.settings.MaxWaiting {
		return false
	}
	var peer netip.AddrPort
	lowest := r.Tier
	for a, tiers := range s.peerLowestTiers {
		t, ok := tiers[r.Service]
		if !ok || !s.view.Alive(a) || t <= r.Tier {
			continue
		}
		if t > lowest || (t == lowest && a.Compare(peer) < 0) {
			peer, lowest = a, t
		}
	}
	if !peer.IsValid() {
		return false
	}
	s.decisions.Displacements = append(s.decisions.Displacements, Displacement{Peer: peer, Service: r.Service, Tier: r.Tier})
	return true
}

// DisplaceForPeer refuses a waiting request for a service that is less urgent than
// tier, on behalf of a peer that has none. It does nothing if there is none here
// either.
func (s *Scheduler) DisplaceForPeer(service string, tier model.Tier) {
	q := s.queues[service]
	if q == nil {
		return
	}
	if _, e, ok := q.Worst(tier); ok {
		s.removeWaiting(e)
		s.refuse(e.request.ID, model.ReasonShed, "displaced by a more urgent request at another host", s.retryAfter())
	}
}

// SetPeerLowestTiers stores the least urgent tier of the requests that wait at a peer,
// by service.
func (s *Scheduler) SetPeerLowestTiers(peer netip.AddrPort, lowest map[string]model.Tier) {
	if len(lowest) == 0 {
		delete(s.peerLowestTiers, peer)
		return
	}
	s.peerLowestTiers[peer] = lowest
}

// LowestTiers returns the least urgent tier of the requests that wait on this host,
// by service.
func (s *Scheduler) LowestTiers() map[string]model.Tier {
	lowest := map[string]model.Tier{}
	for name, q := range s.queues {
		if t, ok := q.LowestTier(); ok {
			lowest[name] = t
		}
	}
	return lowest
}

// displacedBefore reports whether a is displaced before b: the less urgent tier first,
// then the later deadline, then the higher ID.
func displacedBefore(a, b *model.Request) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.After(b.Deadline)
	}
	return a.ID > b.ID
}

func (s *Scheduler) refuse(id model.RequestID, reason model.Reason, detail string, retry time.Duration) {
	s.decisions.Refusals = append(s.decisions.Refusals, Refusal{Request: id, Refusal: model.Refusal{
		Ran: model.NotRun, Reason: reason, Detail: detail, RetryAfter: retry,
	}})
}

// retryAfter estimates the time until the waiting requests have been served.
func (s *Scheduler) retryAfter() time.Duration {
	if s.completionRate <= 0 {
		return minRetryAfter
	}
	drain := time.Duration(float64(len(s.waiting)) / s.completionRate * float64(time.Second))
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

// expire refuses a request whose deadline has passed while it waited.
func (s *Scheduler) expire(e *waitingRequest) {
	if len(s.view.UsableTargets(e.request.Service)) == 0 {
		s.refuse(e.request.ID, model.ReasonNoTarget, "no target of the service takes work", s.retryAfter())
		return
	}
	s.refuse(e.request.ID, model.ReasonExpired, "the deadline passed while the request waited", s.retryAfter())
}
