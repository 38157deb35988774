package sched

import (
	"net/netip"
	"time"

	"yuccadoor/core/model"
)

// displace refuses a waiting request of a less urgent tier to make room.
func (s *Scheduler) displace(r *model.Request) bool {
	var worst *entry
	for _, q := range s.queues {
		_, e, ok := q.Worst(r.Tier)
		if ok && (worst == nil || worse(e.request, worst.request)) {
			worst = e
		}
	}
	if worst == nil {
		return false
	}
	s.leave(worst)
	s.refuse(worst.request.ID, model.ReasonShed, "displaced by a more urgent request", s.comeBack())
	return true
}

// displaceAtPeer makes room in the fleet where this host has nothing less urgent
// to refuse: a peer refuses a request in its stead, and this host keeps one more
// than its bound, up to reserve times the bound.
func (s *Scheduler) displaceAtPeer(r *model.Request) bool {
	if len(s.waiting) >= reserve*s.settings.MaxWaiting {
		return false
	}
	var chosen netip.AddrPort
	lowest := r.Tier
	for a, waiting := range s.peers {
		t, ok := waiting[r.Service]
		if !ok || !s.view.Alive(a) || t <= r.Tier {
			continue
		}
		if t > lowest || (t == lowest && a.Compare(chosen) < 0) {
			chosen, lowest = a, t
		}
	}
	if !chosen.IsValid() {
		return false
	}
	s.decisions.Displacements = append(s.decisions.Displacements, Displacement{Peer: chosen, Service: r.Service, Tier: r.Tier})
	return true
}

// DisplaceForPeer refuses a waiting request of a service that is less urgent than
// tier, on behalf of a peer that has none. Without one it does nothing.
func (s *Scheduler) DisplaceForPeer(service string, tier model.Tier) {
	q := s.queues[service]
	if q == nil {
		return
	}
	if _, e, ok := q.Worst(tier); ok {
		s.leave(e)
		s.refuse(e.request.ID, model.ReasonShed, "displaced by a more urgent request at another host", s.comeBack())
	}
}

// SetPeerLowestTiers takes in the least urgent tier that waits at a peer, by service.
func (s *Scheduler) SetPeerLowestTiers(peer netip.AddrPort, lowest map[string]model.Tier) {
	if len(lowest) == 0 {
		delete(s.peers, peer)
		return
	}
	s.peers[peer] = lowest
}

// LowestTiers is the least urgent tier that waits on this host, by service.
func (s *Scheduler) LowestTiers() map[string]model.Tier {
	lowest := map[string]model.Tier{}
	for name, q := range s.queues {
		if t, ok := q.LowestTier(); ok {
			lowest[name] = t
		}
	}
	return lowest
}

// worse reports whether a is displaced before b.
func worse(a, b *model.Request) bool {
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

// comeBack estimates when waiting work will have drained.
func (s *Scheduler) comeBack() time.Duration {
	if s.rate <= 0 {
		return retryLeast
	}
	drain := time.Duration(float64(len(s.waiting)) / s.rate * float64(time.Second))
	return min(max(drain, retryLeast), retryMost)
}

func (s *Scheduler) expire(e *entry) {
	if len(s.view.Targets(e.request.Service)) == 0 {
		s.refuse(e.request.ID, model.ReasonNoTarget, "no target of the service takes work", s.comeBack())
		return
	}
	s.refuse(e.request.ID, model.ReasonExpired, "the deadline passed while the request waited", s.comeBack())
}
