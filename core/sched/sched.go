// Package sched is the scheduler of one entry host: it keeps requests waiting
// by tier and deadline, asks managers for permits, and decides which request
// starts, where, and which is refused. It is pure; one goroutine owns it.
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

// Times and bounds of the scheduler.
const (
	asksAtOnce     = 1                      // asks out for one request at first
	asksAtMost     = 8                      // asks out for one request at last
	widenFirst     = 20 * time.Millisecond  // before the second ask is sent
	widenPeriod    = 100 * time.Millisecond // before each further one
	denyPeriod     = 300 * time.Millisecond // before a denied target is asked again
	reserve        = 2                      // times the bound, for requests displaced elsewhere
	retryLeast     = time.Second            // earliest time to come back
	retryMost      = time.Minute            // latest time to come back
	historySize    = 1 << 14                // prefix blocks a generation
	TokensPerBlock = 64                     // prompt tokens in a prefix block
	rateWeight     = 0.2                    // of a new second in the completion rate
)

// Start is the decision to send a request to a target. Nothing may be sent
// after Expires.
type Start struct {
	Request model.RequestID
	Target  netip.AddrPort
	Expires time.Time
	Fence   model.Revision
}

// Refusal is the decision to end a request with a refusal.
type Refusal struct {
	Request model.RequestID
	Refusal model.Refusal
}

// Displacement is the decision to let a peer refuse a waiting request of a service
// that is less urgent than Tier, since this host has none to refuse.
type Displacement struct {
	Peer    netip.AddrPort
	Service string
	Tier    model.Tier
}

// Decisions are what the scheduler wants done.
type Decisions struct {
	Starts        []Start
	Refusals      []Refusal
	Displacements []Displacement
}

type entry struct {
	request *model.Request
	asks    map[netip.AddrPort]permit.Ticket
	denied  map[netip.AddrPort]time.Time // until when not to ask
	width   int                          // asks out at most
	widenAt time.Time
}

type running struct {
	request *model.Request
	target  netip.AddrPort
	ticket  permit.Ticket
}

type counts struct {
	running int
	asks    int
}

// Settings bound a scheduler.
type Settings struct {
	MaxWaiting int // requests waiting on this host
	Policy     route.Policy
	Seed       uint64 // of the random choices
}

// Scheduler decides for one host.
type Scheduler struct {
	settings Settings
	view     *view.View
	holder   *permit.Holder
	random   *rand.Rand
	history  *route.History

	waiting  map[model.RequestID]*entry
	queues   map[string]*queue.Queue[model.RequestID, *entry] // by service
	running  map[model.RequestID]running
	tickets  map[permit.Ticket]model.RequestID
	counts   map[netip.AddrPort]counts
	reported map[netip.AddrPort]int                   // load by target, as last reported
	peers    map[netip.AddrPort]map[string]model.Tier // least urgent tier waiting, by service
	ticket   permit.Ticket

	nextDue   time.Time // earliest time at which a waiting request needs a look
	finished  int       // since rateAt
	rate      float64   // completions a second
	rateAt    time.Time
	stopping  bool
	scratch   []route.Candidate
	decisions Decisions
}

// New returns a scheduler without requests.
func New(s Settings, holder *permit.Holder) *Scheduler {
	return &Scheduler{
		settings: s,
		holder:   holder,
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
		history:  route.NewHistory(historySize, TokensPerBlock),
		waiting:  map[model.RequestID]*entry{},
		queues:   map[string]*queue.Queue[model.RequestID, *entry]{},
		running:  map[model.RequestID]running{},
		tickets:  map[permit.Ticket]model.RequestID{},
		counts:   map[netip.AddrPort]counts{},
		reported: map[netip.AddrPort]int{},
		peers:    map[netip.AddrPort]map[string]model.Tier{},
	}
}

// TakeDecisions returns the decisions made since the last call.
func (s *Scheduler) TakeDecisions() Decisions {
	d := s.decisions
	s.decisions = Decisions{}
	return d
}

// UpdateView takes a new snapshot.
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
	s.nextDue = now
	s.Tick(now)
}

// Stop refuses new requests from now on; waiting and running ones go on.
func (s *Scheduler) Stop() { s.stopping = true }

// Idle reports whether nothing waits or runs.
func (s *Scheduler) Idle() bool { return len(s.waiting) == 0 && len(s.running) == 0 }

// Submit takes in a request.
func (s *Scheduler) Submit(now time.Time, r *model.Request) {
	switch {
	case s.stopping:
		s.refuse(r.ID, model.ReasonStopping, "this host is shutting down", retryLeast)
		return
	case s.view == nil || s.view.Catalog == nil:
		s.refuse(r.ID, model.ReasonNotReady, "no configuration yet", retryLeast)
		return
	case !r.Deadline.After(now):
		s.refuse(r.ID, model.ReasonExpired, "the deadline has passed", 0)
		return
	case s.view.Missing(r.Service) != "":
		detail := "no target takes work of service " + s.view.Missing(r.Service)
		s.refuse(r.ID, model.ReasonNoTarget, detail, retryLeast)
		return
	case len(s.waiting) >= s.settings.MaxWaiting && !s.displace(r) && !s.displaceAtPeer(r):
		s.refuse(r.ID, model.ReasonShed, "too many requests wait", s.comeBack())
		return
	}
	s.enqueue(now, &entry{
		request: r,
		asks:    map[netip.AddrPort]permit.Ticket{},
		denied:  map[netip.AddrPort]time.Time{},
		width:   asksAtOnce,
	})
}

func (s *Scheduler) enqueue(now time.Time, e *entry) {
	r := e.request
	s.waiting[r.ID] = e
	q := s.queues[r.Service]
	if q == nil {
		q = queue.New[model.RequestID, *entry]()
		s.queues[r.Service] = q
	}
	q.Add(r.ID, queue.Rank{Tier: r.Tier, Workspace: r.Workspace, Deadline: r.Deadline}, e)
	e.widenAt = now.Add(widenFirst)
	s.due(e.widenAt)
	s.due(r.Deadline)
	s.askNext(now, e)
}

func (s *Scheduler) due(at time.Time) {
	if s.nextDue.IsZero() || at.Before(s.nextDue) {
		s.nextDue = at
	}
}

// leave takes a request out of the queue and its asks back.
func (s *Scheduler) leave(e *entry) {
	for t := range e.asks {
		s.withdraw(e, t)
	}
	delete(s.waiting, e.request.ID)
	s.queues[e.request.Service].Remove(e.request.ID)
}

func (s *Scheduler) withdraw(e *entry, target netip.AddrPort) {
	ticket := e.asks[target]
	s.holder.Withdraw(ticket, target)
	s.forgetAsk(e, target)
}

func (s *Scheduler) forgetAsk(e *entry, target netip.AddrPort) {
	delete(s.tickets, e.asks[target])
	delete(e.asks, target)
	s.count(target, 0, -1)
}

func (s *Scheduler) count(target netip.AddrPort, running, asks int) {
	c := s.counts[target]
	c.running += running
	c.asks += asks
	if c == (counts{}) {
		delete(s.counts, target)
		return
	}
	s.counts[target] = c
}

// askNext sends asks until as many are out as the request's width allows.
func (s *Scheduler) askNext(now time.Time, e *entry) {
	for len(e.asks) < e.width {
		cs := s.candidates(now, e)
		at := s.settings.Policy.Pick(e.request, cs, s.random.Uint64)
		if at < 0 {
			return
		}
		target := cs[at].Target.Address
		s.ticket++
		if !s.holder.Ask(now, s.ticket, e.request, target) {
			e.denied[target] = now.Add(denyPeriod)
			continue
		}
		e.asks[target] = s.ticket
		s.tickets[s.ticket] = e.request.ID
		s.count(target, 0, 1)
	}
}

func (s *Scheduler) candidates(now time.Time, e *entry) []route.Candidate {
	service := s.view.Catalog.Services[e.request.Service]
	s.scratch = s.scratch[:0]
	if service == nil {
		return s.scratch
	}
	holder, cached := s.history.Cached(e.request.Prefix)
	for _, choice := range s.view.Targets(e.request.Service) {
		t := choice.Target
		c := s.counts[t.Address]
		_, asked := e.asks[t.Address]
		candidate := route.Candidate{
			Target: t, Mark: choice.Mark, Local: t.Zone == s.view.Zone, Slots: service.Warm.Slots,
			Running: c.running, Asks: c.asks, Reported: s.reported[t.Address],
			Skip: asked || now.Before(e.denied[t.Address]),
		}
		if t.Address == holder {
			candidate.Cached = cached
		}
		s.scratch = append(s.scratch, candidate)
	}
	return s.scratch
}

// HandleEvents handles what became of asks.
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
			s.granted(now, e, ev)
		case ev.Kind == permit.Denied:
			s.forgetAsk(e, ev.Target)
			e.denied[ev.Target] = now.Add(denyPeriod)
			s.due(e.denied[ev.Target])
			s.askNext(now, e)
		}
	}
}

// granted starts the most urgent waiting request that the permit can serve,
// which need not be the one that asked.
func (s *Scheduler) granted(now time.Time, asker *entry, ev permit.Event) {
	s.forgetAsk(asker, ev.Target)
	if !now.Before(ev.Expires) || !s.view.Usable(ev.Target) {
		s.holder.Release(ev.Ticket, ev.Target, limit.Result{Kind: limit.Unused})
		s.askNext(now, asker)
		return
	}
	e := s.mostUrgent(asker)
	s.leave(e)
	r := e.request
	s.running[r.ID] = running{request: r, target: ev.Target, ticket: ev.Ticket}
	s.count(ev.Target, 1, 0)
	s.history.Sent(r.Prefix, ev.Target)
	s.decisions.Starts = append(s.decisions.Starts, Start{
		Request: r.ID, Target: ev.Target, Expires: ev.Expires, Fence: ev.Fence,
	})
	if e != asker {
		s.askNext(now, asker)
	}
}

func (s *Scheduler) mostUrgent(asker *entry) *entry {
	_, e, ok := s.queues[asker.request.Service].Best(func(string) float64 { return 0 })
	if ok && e.request.Tier < asker.request.Tier {
		return e
	}
	return asker
}

// Receive handles a manager's message.
func (s *Scheduler) Receive(now time.Time, manager netip.AddrPort, in permit.FromManager, local permit.LocalManager) {
	s.HandleEvents(now, s.holder.Receive(manager, in, local))
}

// Finish takes in how a started request ended.
func (s *Scheduler) Finish(id model.RequestID, r limit.Result) {
	run, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	s.count(run.target, -1, 0)
	s.holder.Release(run.ticket, run.target, r)
	s.finished++
	if r.Kind == limit.Broken || r.Kind == limit.NoConnect {
		s.history.Forget(run.target)
	}
}

// Requeue takes back a started request of which nothing was sent. It waits
// again, unless its deadline has passed.
func (s *Scheduler) Requeue(now time.Time, id model.RequestID, kind limit.Kind) {
	run, ok := s.running[id]
	if !ok {
		return
	}
	s.Finish(id, limit.Result{Kind: kind})
	e := &entry{
		request: run.request,
		asks:    map[netip.AddrPort]permit.Ticket{},
		denied:  map[netip.AddrPort]time.Time{run.target: now.Add(denyPeriod)},
		width:   asksAtOnce,
	}
	s.enqueue(now, e)
}

// Cancel drops a request whose caller went away while it waited.
func (s *Scheduler) Cancel(id model.RequestID) {
	if e := s.waiting[id]; e != nil {
		s.leave(e)
		s.refuse(id, model.ReasonCancelled, "the caller went away", 0)
	}
}

// SetReportedLoad takes in a target's load report: requests running and waiting.
func (s *Scheduler) SetReportedLoad(target netip.AddrPort, load int) { s.reported[target] = load }

// MessagesLost tells the scheduler that messages to a manager may not have arrived.
func (s *Scheduler) MessagesLost(manager netip.AddrPort) { s.holder.MessagesLost(manager) }

// Flush returns the messages to managers.
func (s *Scheduler) Flush(now time.Time) []permit.ToManager { return s.holder.Flush(now) }

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now time.Time) {
	s.updateRate(now)
	if s.nextDue.IsZero() || now.Before(s.nextDue) {
		return
	}
	s.nextDue = time.Time{}
	var due []*entry
	for _, e := range s.waiting {
		due = append(due, e)
	}
	slices.SortFunc(due, func(a, b *entry) int { return order(a.request, b.request) })
	for _, e := range due {
		s.look(now, e)
	}
}

// order is the order in which waiting requests are looked at.
func order(a, b *model.Request) int {
	if a.Tier != b.Tier {
		return int(a.Tier) - int(b.Tier)
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return int(int64(a.ID) - int64(b.ID))
}

// look refuses a waiting request whose deadline has passed, or widens its asks.
func (s *Scheduler) look(now time.Time, e *entry) {
	if !now.Before(e.request.Deadline) {
		s.leave(e)
		s.expire(e)
		return
	}
	if !now.Before(e.widenAt) {
		e.width = min(e.width+1, asksAtMost)
		e.widenAt = now.Add(widenPeriod)
	}
	s.askNext(now, e)
	s.due(e.widenAt)
	s.due(e.request.Deadline)
}

func (s *Scheduler) updateRate(now time.Time) {
	if s.rateAt.IsZero() {
		s.rateAt = now
	}
	past := now.Sub(s.rateAt)
	if past < time.Second {
		return
	}
	s.rate += rateWeight * (float64(s.finished)/past.Seconds() - s.rate)
	s.finished, s.rateAt = 0, now
}

// WaitingByTier counts the waiting requests by tier.
func (s *Scheduler) WaitingByTier() map[model.Tier]int {
	sizes := map[model.Tier]int{}
	for _, e := range s.waiting {
		sizes[e.request.Tier]++
	}
	return sizes
}

// Running is the number of started requests.
func (s *Scheduler) Running() int { return len(s.running) }
