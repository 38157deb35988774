// Package sched implements the request scheduler of one entry host. It queues
// requests by tier and deadline, asks the targets' managers for permits, and
// decides which requests to start on which target and which to refuse. It does no
// I/O and reads no clock.
package sched

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
	"yuccadoor/core/queue"
	"yuccadoor/core/route"
	"yuccadoor/core/view"
)

// Timing parameters and limits of the scheduler.
const (
	initialAsks     = 1                      // initial limit of open asks for one request
	maxAsks         = 8                      // final limit of open asks for one request
	firstWidenDelay = 20 * time.Millisecond  // until a waiting request may have a second open ask
	widenDelay      = 100 * time.Millisecond // until it may have each further one
	deniedDelay     = 300 * time.Millisecond // until a target that denied an ask is asked again
	overflowFactor  = 2                      // times MaxWaiting; the limit when peers refuse requests in exchange
	minRetryAfter   = time.Second            // lower bound of RetryAfter
	maxRetryAfter   = time.Minute            // upper bound of RetryAfter
	historyBlocks   = 1 << 14                // prompt prefix blocks per generation of the history
	TokensPerBlock  = 64                     // prompt tokens per prefix block
	rateWeight      = 0.2                    // weight of the newest sample in the completion rate
)

// Start is the decision to send a request to a target. The request must not be sent
// after Expires.
type Start struct {
	Request model.RequestID
	Target  netip.AddrPort
	Expires time.Time
	Fence   model.Revision
}

// Refusal is the decision to refuse a request.
type Refusal struct {
	Request model.RequestID
	Refusal model.Refusal
}

// Displacement is the decision to have a peer refuse one of its waiting requests
// for Service that is less urgent than Tier, because this host has no such request.
type Displacement struct {
	Peer    netip.AddrPort
	Service string
	Tier    model.Tier
}

// Decisions are actions that the caller must carry out.
type Decisions struct {
	Starts        []Start
	Refusals      []Refusal
	Displacements []Displacement
}

// waitingRequest is a queued request with its open asks.
type waitingRequest struct {
	request     *model.Request
	asks        map[netip.AddrPort]permit.Ticket
	deniedUntil map[netip.AddrPort]time.Time // targets that may not be asked before the given time
	askLimit    int                          // maximum number of open asks
	widenAt     time.Time                    // when askLimit next grows by one
}

// runningRequest is a started request and the permit that it uses.
type runningRequest struct {
	request *model.Request
	target  netip.AddrPort
	ticket  permit.Ticket
}

// targetCounts counts this host's running requests and open asks on one target.
type targetCounts struct {
	running int
	asks    int
}

// Settings configures a Scheduler.
type Settings struct {
	MaxWaiting int // maximum number of waiting requests
	Policy     route.Policy
	Seed       uint64 // seed for random choices of the policy
}

// Scheduler schedules the requests of one host. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	view     *view.View
	holder   *permit.Holder
	random   *rand.Rand
	history  *route.History

	waiting         map[model.RequestID]*waitingRequest
	queues          map[string]*queue.Queue[model.RequestID, *waitingRequest] // by service
	running         map[model.RequestID]runningRequest
	tickets         map[permit.Ticket]model.RequestID
	counts          map[netip.AddrPort]targetCounts
	reportedLoad    map[netip.AddrPort]int                   // last reported load, by target
	peerLowestTiers map[netip.AddrPort]map[string]model.Tier // least urgent waiting tier, by peer and service
	lastTicket      permit.Ticket

	nextCheck           time.Time // earliest time at which a waiting request must be checked; zero for none
	finishedSinceUpdate int       // requests finished since rateUpdatedAt
	completionRate      float64   // requests finished per second, smoothed
	rateUpdatedAt       time.Time
	stopping            bool
	candidateBuffer     []route.Candidate
	decisions           Decisions
}

// New returns a scheduler without requests. Submit refuses all requests until
// UpdateView provides a catalog.
func New(s Settings, holder *permit.Holder) *Scheduler {
	return &Scheduler{
		settings:        s,
		holder:          holder,
		random:          rand.New(rand.NewPCG(s.Seed, s.Seed)),
		history:         route.NewHistory(historyBlocks, TokensPerBlock),
		waiting:         map[model.RequestID]*waitingRequest{},
		queues:          map[string]*queue.Queue[model.RequestID, *waitingRequest]{},
		running:         map[model.RequestID]runningRequest{},
		tickets:         map[permit.Ticket]model.RequestID{},
		counts:          map[netip.AddrPort]targetCounts{},
		reportedLoad:    map[netip.AddrPort]int{},
		peerLowestTiers: map[netip.AddrPort]map[string]model.Tier{},
	}
}

// TakeDecisions returns the decisions made since the previous call.
func (s *Scheduler) TakeDecisions() Decisions {
	d := s.decisions
	s.decisions = Decisions{}
	return d
}

// UpdateView replaces the view of the cluster and withdraws asks for targets that are
// no longer usable.
func (s *Scheduler) UpdateView(now time.Time, v *view.View) {
	s.view = v
	s.HandleEvents(now, s.holder.UpdateView(v))
	for _, e := range s.waiting {
		for t := range e.asks {
			if !v.Usable(t) {
				s.withdraw(e, t)
			}
		}
	}
	s.nextCheck = now
	s.Tick(now)
}

// Stop makes Submit refuse new requests. Waiting and running ones continue.
func (s *Scheduler) Stop() { s.stopping = true }

// Idle reports whether there are no waiting or running requests.
func (s *Scheduler) Idle() bool { return len(s.waiting) == 0 && len(s.running) == 0 }

// Submit queues a request or refuses it.
func (s *Scheduler) Submit(now time.Time, r *model.Request) {
	switch {
	case s.stopping:
		s.refuse(r.ID, model.ReasonStopping, "this host is shutting down", minRetryAfter)
		return
	case s.view == nil || s.view.Catalog == nil:
		s.refuse(r.ID, model.ReasonNotReady, "no configuration yet", minRetryAfter)
		return
	case !r.Deadline.After(now):
		s.refuse(r.ID, model.ReasonExpired, "the deadline has passed", 0)
		return
	case s.view.UnavailableService(r.Service) != "":
		detail := "no target takes work of service " + s.view.UnavailableService(r.Service)
		s.refuse(r.ID, model.ReasonNoTarget, detail, minRetryAfter)
		return
	case len(s.waiting) >= s.settings.MaxWaiting && !s.displace(r) && !s.displaceAtPeer(r):
		s.refuse(r.ID, model.ReasonShed, "too many requests wait", s.retryAfter())
		return
	}
	s.enqueue(now, &waitingRequest{
		request:     r,
		asks:        map[netip.AddrPort]permit.Ticket{},
		deniedUntil: map[netip.AddrPort]time.Time{},
		askLimit:    initialAsks,
	})
}

// enqueue adds a waiting request to the queue of its service and sends its first ask.
func (s *Scheduler) enqueue(now time.Time, e *waitingRequest) {
	r := e.request
	s.waiting[r.ID] = e
	q := s.queues[r.Service]
	if q == nil {
		q = queue.New[model.RequestID, *waitingRequest]()
		s.queues[r.Service] = q
	}
	q.Add(r.ID, queue.Rank{Tier: r.Tier, Workspace: r.Workspace, Deadline: r.Deadline}, e)
	e.widenAt = now.Add(firstWidenDelay)
	s.checkAt(e.widenAt)
	s.checkAt(r.Deadline)
	s.sendAsks(now, e)
}

// checkAt schedules a check of the waiting requests no later than the given time.
func (s *Scheduler) checkAt(at time.Time) {
	if s.nextCheck.IsZero() || at.Before(s.nextCheck) {
		s.nextCheck = at
	}
}

// removeWaiting removes a request from its queue and withdraws its asks.
func (s *Scheduler) removeWaiting(e *waitingRequest) {
	for t := range e.asks {
		s.withdraw(e, t)
	}
	delete(s.waiting, e.request.ID)
	s.queues[e.request.Service].Remove(e.request.ID)
}

func (s *Scheduler) withdraw(e *waitingRequest, target netip.AddrPort) {
	ticket := e.asks[target]
	s.holder.Withdraw(ticket, target)
	s.removeAsk(e, target)
}

// removeAsk removes an ask that was answered or withdrawn.
func (s *Scheduler) removeAsk(e *waitingRequest, target netip.AddrPort) {
	delete(s.tickets, e.asks[target])
	delete(e.asks, target)
	s.addCounts(target, 0, -1)
}

func (s *Scheduler) addCounts(target netip.AddrPort, running, asks int) {
	c := s.counts[target]
	c.running += running
	c.asks += asks
	if c == (targetCounts{}) {
		delete(s.counts, target)
		return
	}
	s.counts[target] = c
}

// sendAsks sends asks for a request until it has askLimit open ones or no candidate
// is left.
func (s *Scheduler) sendAsks(now time.Time, e *waitingRequest) {
	for len(e.asks) < e.askLimit {
		cs := s.candidates(now, e)
		i := s.settings.Policy.Pick(e.request, cs, s.random.Uint64)
		if i < 0 {
			return
		}
		target := cs[i].Target.Address
		s.lastTicket++
		if !s.holder.Ask(now, s.lastTicket, e.request, target) {
			e.deniedUntil[target] = now.Add(deniedDelay)
			continue
		}
		e.asks[target] = s.lastTicket
		s.tickets[s.lastTicket] = e.request.ID
		s.addCounts(target, 0, 1)
	}
}

// candidates returns the targets of a request's service for the policy to choose
// from. The slice is valid until the next call.
func (s *Scheduler) candidates(now time.Time, e *waitingRequest) []route.Candidate {
	service := s.view.Catalog.Services[e.request.Service]
	s.candidateBuffer = s.candidateBuffer[:0]
	if service == nil {
		return s.candidateBuffer
	}
	cacheTarget, cached := s.history.Cached(e.request.Prefix)
	for _, choice := range s.view.UsableTargets(e.request.Service) {
		t := choice.Target
		c := s.counts[t.Address]
		_, asked := e.asks[t.Address]
		candidate := route.Candidate{
			Target: t, Hash: choice.Hash, Local: t.Zone == s.view.Zone, Slots: service.Warm.Slots,
			Running: c.running, Waiting: c.asks, ReportedLoad: s.reportedLoad[t.Address],
			Excluded: asked || now.Before(e.deniedUntil[t.Address]),
		}
		if t.Address == cacheTarget {
			candidate.CachedTokens = cached
		}
		s.candidateBuffer = append(s.candidateBuffer, candidate)
	}
	return s.candidateBuffer
}

// HandleEvents handles the results of asks.
func (s *Scheduler) HandleEvents(now time.Time, events []permit.Event) {
	for _, ev := range events {
		id, known := s.tickets[ev.Ticket]
		e := s.waiting[id]
		switch {
		case !known || e == nil:
			if ev.Kind == permit.Granted {
				s.holder.Release(ev.Ticket, ev.Target, limit.Result{Kind: limit.Unused})
			}
		case ev.Kind == permit.Granted:
			s.handleGrant(now, e, ev)
		case ev.Kind == permit.Denied:
			s.removeAsk(e, ev.Target)
			e.deniedUntil[ev.Target] = now.Add(deniedDelay)
			s.checkAt(e.deniedUntil[ev.Target])
			s.sendAsks(now, e)
		}
	}
}

// handleGrant uses a permit to start the most urgent waiting request of the service,
// which may be another than the one that asked.
func (s *Scheduler) handleGrant(now time.Time, asker *waitingRequest, ev permit.Event) {
	s.removeAsk(asker, ev.Target)
	if !now.Before(ev.Expires) || !s.view.Usable(ev.Target) {
		s.holder.Release(ev.Ticket, ev.Target, limit.Result{Kind: limit.Unused})
		s.sendAsks(now, asker)
		return
	}
	e := s.mostUrgent(asker)
	s.removeWaiting(e)
	r := e.request
	s.running[r.ID] = runningRequest{request: r, target: ev.Target, ticket: ev.Ticket}
	s.addCounts(ev.Target, 1, 0)
	s.history.Record(r.Prefix, ev.Target)
	s.decisions.Starts = append(s.decisions.Starts, Start{
		Request: r.ID, Target: ev.Target, Expires: ev.Expires, Fence: ev.Fence,
	})
	if e != asker {
		s.sendAsks(now, asker)
	}
}

// mostUrgent returns the most urgent waiting request of asker's service if its tier is
// more urgent than that of asker, and asker otherwise.
func (s *Scheduler) mostUrgent(asker *waitingRequest) *waitingRequest {
	_, e, ok := s.queues[asker.request.Service].Best(func(string) float64 { return 0 })
	if ok && e.request.Tier < asker.request.Tier {
		return e
	}
	return asker
}

// Receive handles a message from a manager.
func (s *Scheduler) Receive(now time.Time, manager netip.AddrPort, in permit.FromManager, local permit.LocalManager) {
	s.HandleEvents(now, s.holder.Receive(manager, in, local))
}

// Finish records the result of a running request and releases its permit.
func (s *Scheduler) Finish(id model.RequestID, r limit.Result) {
	run, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	s.addCounts(run.target, -1, 0)
	s.holder.Release(run.ticket, run.target, r)
	s.finishedSinceUpdate++
	if r.Kind == limit.Broken || r.Kind == limit.NoConnect {
		s.history.Forget(run.target)
	}
}

// Requeue returns to the queue a started request of which nothing was sent. The next
// Tick refuses it if its deadline has passed.
func (s *Scheduler) Requeue(now time.Time, id model.RequestID, kind limit.Kind) {
	run, ok := s.running[id]
	if !ok {
		return
	}
	s.Finish(id, limit.Result{Kind: kind})
	e := &waitingRequest{
		request:     run.request,
		asks:        map[netip.AddrPort]permit.Ticket{},
		deniedUntil: map[netip.AddrPort]time.Time{run.target: now.Add(deniedDelay)},
		askLimit:    initialAsks,
	}
	s.enqueue(now, e)
}

// Cancel removes a waiting request after its caller has disconnected. It does not
// affect a request that has started.
func (s *Scheduler) Cancel(id model.RequestID) {
	if e := s.waiting[id]; e != nil {
		s.removeWaiting(e)
		s.refuse(id, model.ReasonCancelled, "the caller went away", 0)
	}
}

// SetReportedLoad stores the number of running and waiting requests that a target
// reported.
func (s *Scheduler) SetReportedLoad(target netip.AddrPort, load int) { s.reportedLoad[target] = load }

// MessagesLost must be called when messages to a manager may not have arrived.
func (s *Scheduler) MessagesLost(manager netip.AddrPort) { s.holder.MessagesLost(manager) }

// Flush returns the pending messages to managers.
func (s *Scheduler) Flush(now time.Time) []permit.ToManager { return s.holder.Flush(now) }

// Tick expires requests whose deadline has passed and sends further asks for requests
// that have waited long enough. It must be called periodically.
func (s *Scheduler) Tick(now time.Time) {
	s.updateRate(now)
	if s.nextCheck.IsZero() || now.Before(s.nextCheck) {
		return
	}
	s.nextCheck = time.Time{}
	var waiting []*waitingRequest
	for _, e := range s.waiting {
		waiting = append(waiting, e)
	}
	slices.SortFunc(waiting, func(a, b *waitingRequest) int { return compareUrgency(a.request, b.request) })
	for _, e := range waiting {
		s.checkWaiting(now, e)
	}
}

// compareUrgency orders requests by tier, then by deadline, then by ID.
func compareUrgency(a, b *model.Request) int {
	if a.Tier != b.Tier {
		return int(a.Tier) - int(b.Tier)
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return int(int64(a.ID) - int64(b.ID))
}

// checkWaiting refuses a waiting request whose deadline has passed; otherwise it sends
// the further asks that are due.
func (s *Scheduler) checkWaiting(now time.Time, e *waitingRequest) {
	if !now.Before(e.request.Deadline) {
		s.removeWaiting(e)
		s.expire(e)
		return
	}
	if !now.Before(e.widenAt) {
		e.askLimit = min(e.askLimit+1, maxAsks)
		e.widenAt = now.Add(widenDelay)
	}
	s.sendAsks(now, e)
	s.checkAt(e.widenAt)
	s.checkAt(e.request.Deadline)
}

// updateRate updates the exponentially weighted moving average of the completion rate,
// at most once per second.
func (s *Scheduler) updateRate(now time.Time) {
	if s.rateUpdatedAt.IsZero() {
		s.rateUpdatedAt = now
	}
	elapsed := now.Sub(s.rateUpdatedAt)
	if elapsed < time.Second {
		return
	}
	s.completionRate += rateWeight * (float64(s.finishedSinceUpdate)/elapsed.Seconds() - s.completionRate)
	s.finishedSinceUpdate, s.rateUpdatedAt = 0, now
}

// WaitingByTier returns the number of waiting requests by tier.
func (s *Scheduler) WaitingByTier() map[model.Tier]int {
	sizes := map[model.Tier]int{}
	for _, e := range s.waiting {
		sizes[e.request.Tier]++
	}
	return sizes
}

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return len(s.running) }
