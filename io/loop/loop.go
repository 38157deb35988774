// Package loop is the event loop that makes the decisions of a host. One goroutine
// owns all decision state. Other goroutines send it events through a bounded queue
// and read the immutable views that it publishes. Package coord is the counterpart
// for the edge command, where one leading host decides for all.
package loop

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"yuccadoor/core/conf"
	"yuccadoor/core/crash"
	"yuccadoor/core/limit"
	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/once"
	"yuccadoor/core/permit"
	"yuccadoor/core/ring"
	"yuccadoor/core/route"
	"yuccadoor/core/sched"
	"yuccadoor/core/view"
	"yuccadoor/io/peers"
)

// Parameters of the loop.
const (
	tickPeriod       = 10 * time.Millisecond
	aliveCheckPeriod = 100 * time.Millisecond // between checks which hosts are alive
	eventQueueSize   = 8192
	crashThreshold   = 2 // crashes after which requests with the same content are refused
	// pauseThreshold is the shortest time without a run of the loop that counts as a
	// pause of the process.
	pauseThreshold = 500 * time.Millisecond
)

// Mesh sends messages to peers. peers.Peers implements it.
type Mesh interface {
	Holder(to netip.AddrPort, m permit.FromHolder)
	Manager(to netip.AddrPort, m permit.FromManager)
	Fresh(to netip.AddrPort, r peers.Revisions)
	Displace(to netip.AddrPort, r peers.DisplaceRequest)
	Exchange(ctx context.Context, to netip.AddrPort, x member.Exchange) (member.Exchange, error)
	Fetch(ctx context.Context, to netip.AddrPort, have peers.Revisions) (peers.PublishedState, error)
}

// Logger writes structured log events, one per line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Settings are the parameters of New.
type Settings struct {
	Self        netip.AddrPort // this host's peer address
	Zone        string
	Incarnation model.Incarnation
	MaxWaiting  int
	Policy      route.Policy
	Seed        uint64
	Log         Logger
	Now         func() time.Time
}

// Decision is the decision to start or to refuse a request. Exactly one field is set.
type Decision struct {
	Start   *sched.Start
	Refusal *model.Refusal
}

// event is a function that the loop goroutine runs.
type event = ring.Task

// Loop makes the decisions of a host.
type Loop struct {
	settings Settings
	start    time.Time
	events   *ring.EventLoop
	view     atomic.Pointer[view.View]
	status   atomic.Pointer[Status]

	// Owned by the loop goroutine.
	mesh            Mesh
	sched           *sched.Scheduler
	manager         *permit.Manager
	members         *member.Members
	keys            *once.Table
	crashes         *crash.Records
	waiters         map[model.RequestID]chan Decision // of requests without a decision
	config          configState
	list            *model.HostList
	alive           map[netip.AddrPort]bool
	aliveCheckedAt  time.Time
	lastRanAt       time.Time // start of the last batch of events or tick
	nextID          model.RequestID
	keySerial       uint64
	configConfirmed bool // a peer had no newer configuration
	leaving         bool // MarkNotReady was called
}

// configState holds the configuration in force, and the findings of the last rejected
// one.
type configState struct {
	revision         model.Revision
	text             string
	catalog          *conf.Catalog
	rejectedRevision model.Revision
	findings         string
}

// New starts the loop goroutine and returns the loop with its cleanup function. No
// view is published before Attach.
func New(ctx context.Context, s Settings) (*Loop, func()) {
	start := s.Now()
	holder := permit.NewHolder(s.Incarnation, start)
	l := &Loop{
		settings: s,
		start:    start,
		events:   ring.NewEventLoop(eventQueueSize),
		sched:    sched.New(sched.Settings{MaxWaiting: s.MaxWaiting, Policy: s.Policy, Seed: s.Seed}, holder),
		manager:  permit.NewManager(s.Incarnation),
		members:  member.New(s.Self, s.Seed),
		keys:     once.NewTable(s.Self, s.Incarnation),
		crashes:  crash.NewRecords(uint64(s.Incarnation), crashThreshold),
		waiters:  map[model.RequestID]chan Decision{},
		list:     &model.HostList{},
	}
	l.status.Store(&Status{})
	ctx, cancel := context.WithCancel(ctx)
	go l.events.Run(ctx, ring.LoopConfig{Now: s.Now, Period: tickPeriod, Before: l.detectPause, Tick: l.tick, After: l.flushMessages})
	return l, func() {
		cancel()
		<-l.events.Done()
	}
}

// Attach sets the mesh through which the loop sends messages to peers.
func (l *Loop) Attach(ctx context.Context, m Mesh) error {
	return l.do(ctx, func(time.Time) { l.mesh = m })
}

// post queues an event for the loop goroutine, waiting for room in the queue.
func (l *Loop) post(ctx context.Context, e event) error { return l.events.Post(ctx, e) }

// do queues an event and waits until it has been handled.
func (l *Loop) do(ctx context.Context, e event) error { return l.events.Do(ctx, e) }

// detectPause detects that the process was paused, and then updates the set of alive
// hosts before any event is handled, so that no decision is based on an outdated
// view.
func (l *Loop) detectPause(now time.Time) {
	if !l.lastRanAt.IsZero() && now.Sub(l.lastRanAt) > pauseThreshold {
		l.settings.Log.Event("warn", "process was paused", "Length", now.Sub(l.lastRanAt))
		l.updateAlive(now)
	}
	l.lastRanAt = now
}

// tick runs once per tickPeriod.
func (l *Loop) tick(now time.Time) {
	if now.Sub(l.aliveCheckedAt) >= aliveCheckPeriod {
		l.aliveCheckedAt = now
		l.updateAlive(now)
		l.publishStatus(now)
	}
	if l.view.Load() == nil {
		return
	}
	l.sched.Tick(now)
	l.manager.Tick(now)
}

// flushMessages sends the queued permit messages, until none is addressed to this
// host itself, and then delivers the decisions.
func (l *Loop) flushMessages(now time.Time) {
	if l.view.Load() == nil {
		l.deliverDecisions()
		return
	}
	for {
		local := l.sendHolderMessages(now)
		if !l.sendManagerMessages(now) && !local {
			break
		}
	}
	l.deliverDecisions()
}

// sendHolderMessages sends the permit holder's messages to their managers and reports
// whether one was for this host.
func (l *Loop) sendHolderMessages(now time.Time) (local bool) {
	for _, m := range l.sched.Flush(now) {
		if m.Manager == l.settings.Self {
			l.manager.Receive(now, l.settings.Self, m.Message)
			local = true
		} else {
			l.mesh.Holder(m.Manager, m.Message)
		}
	}
	return local
}

// sendManagerMessages sends the permit manager's messages to their holders and reports
// whether one was for this host.
func (l *Loop) sendManagerMessages(now time.Time) (local bool) {
	for _, m := range l.manager.Flush() {
		if m.Holder == l.settings.Self {
			l.sched.Receive(now, l.settings.Self, m.Message, l.manager)
			local = true
		} else {
			l.mesh.Manager(m.Holder, m.Message)
		}
	}
	return local
}

// deliverDecisions passes the scheduler's decisions to the goroutines of the requests
// and to peers.
func (l *Loop) deliverDecisions() {
	d := l.sched.TakeDecisions()
	for i := range d.Starts {
		l.deliver(d.Starts[i].Request, Decision{Start: &d.Starts[i]})
	}
	for _, x := range d.Displacements {
		l.mesh.Displace(x.Peer, peers.DisplaceRequest{Service: x.Service, Tier: x.Tier})
	}
	for i := range d.Refusals {
		l.deliver(d.Refusals[i].Request, Decision{Refusal: &d.Refusals[i].Refusal})
	}
}

// deliver sends a decision to the goroutine that waits for it, if any.
func (l *Loop) deliver(id model.RequestID, d Decision) {
	if c := l.waiters[id]; c != nil {
		delete(l.waiters, id)
		c <- d
	}
}

// View returns the current view, or nil before Attach and the first host list.
func (l *Loop) View() *view.View { return l.view.Load() }

// Submit submits a request and returns its id and the channel that will receive the
// decision on it.
func (l *Loop) Submit(ctx context.Context, r *model.Request) (model.RequestID, <-chan Decision, error) {
	c := make(chan Decision, 1)
	var id model.RequestID
	// Cancelling ctx must not end this wait: the loop would keep a request whose id the
	// caller of Submit does not know.
	err := l.do(context.WithoutCancel(ctx), func(now time.Time) {
		l.nextID++
		id = l.nextID
		r.ID = id
		l.waiters[id] = c
		if retryAfter, refused := l.crashes.Refused(now, r.Fingerprint); refused {
			l.deliver(id, Decision{Refusal: &model.Refusal{
				Ran: model.NotRun, Reason: model.ReasonCrashesTargets, RetryAfter: retryAfter,
				Detail: "requests of this content have crashed their targets",
			}})
			return
		}
		l.sched.Submit(now, r)
	})
	return id, c, err
}

// Cancel drops a waiting request whose caller has disconnected. If the request was started
// already, its decision says so, and the started request must be ended as
// limit.Unused.
func (l *Loop) Cancel(id model.RequestID) {
	_ = l.post(context.Background(), func(time.Time) { l.sched.Cancel(id) })
}

// RecordResult records the result of a started request.
func (l *Loop) RecordResult(id model.RequestID, r limit.Result) {
	_ = l.post(context.Background(), func(time.Time) { l.sched.Finish(id, r) })
}

// Requeue queues a started request again, of which nothing was sent to its target,
// and returns the channel that will receive the next decision on it.
func (l *Loop) Requeue(id model.RequestID, kind limit.Kind) <-chan Decision {
	c := make(chan Decision, 1)
	_ = l.post(context.Background(), func(now time.Time) {
		l.waiters[id] = c
		l.sched.Requeue(now, id, kind)
	})
	return c
}

// RecordCrash records that a target crashed while it ran a request with the given
// content. ago is the time since the crash, took the time from sending the request to
// the crash.
func (l *Loop) RecordCrash(f model.Fingerprint, target netip.AddrPort, ago, took time.Duration) {
	_ = l.post(context.Background(), func(now time.Time) { l.crashes.RecordCrash(now.Add(-ago), took, f, member.Process{Address: target}) })
}

// RecordAnswer records that a target completed a request with the given content.
func (l *Loop) RecordAnswer(f model.Fingerprint) {
	_ = l.post(context.Background(), func(now time.Time) { l.crashes.RecordAnswer(now, f) })
}

// RecordLoad records a target's load report. load is the number of requests that are
// running or waiting on the target.
func (l *Loop) RecordLoad(target netip.AddrPort, incarnation model.Incarnation, load int) {
	_ = l.post(context.Background(), func(now time.Time) {
		l.manager.Report(now, target, incarnation, load)
		l.sched.SetReportedLoad(target, load)
	})
}

// IssueKey issues an idempotency key whose home is this process.
func (l *Loop) IssueKey(ctx context.Context) (once.Key, error) {
	var k once.Key
	err := l.do(ctx, func(now time.Time) {
		l.keySerial++
		k = once.Issue(l.settings.Self, l.settings.Incarnation, l.keySerial, now)
	})
	return k, err
}

// KeyDecision is the decision on a request with an idempotency key.
type KeyDecision struct {
	Verdict once.Verdict
	Entry   once.Entry     // for verdict Repeat
	Home    netip.AddrPort // for verdict Forward
}

// BeginKey decides on a request with an idempotency key.
func (l *Loop) BeginKey(ctx context.Context, k once.Key, digest model.Fingerprint) (KeyDecision, error) {
	var d KeyDecision
	err := l.do(ctx, func(now time.Time) {
		verdict, entry := l.keys.Begin(now, k, digest)
		d.Verdict = verdict
		if entry != nil {
			d.Entry = *entry
		}
		d.Home, _ = l.keys.Home(k)
	})
	return d, err
}

// CompleteKey records the result of a key's request.
func (l *Loop) CompleteKey(k once.Key, e once.Entry) {
	_ = l.post(context.Background(), func(time.Time) { l.keys.Complete(k, e) })
}

// ForgetKey removes a key whose request is known not to have run.
func (l *Loop) ForgetKey(k once.Key) {
	_ = l.post(context.Background(), func(time.Time) { l.keys.Forget(k) })
}

// MarkNotReady makes the host report that it is not ready. It still accepts requests.
func (l *Loop) MarkNotReady(ctx context.Context) error {
	return l.do(ctx, func(now time.Time) {
		l.leaving = true
		l.publishStatus(now)
	})
}

// Stop makes the loop refuse new requests.
func (l *Loop) Stop(ctx context.Context) error {
	return l.do(ctx, func(now time.Time) {
		l.sched.Stop()
		l.publishStatus(now)
	})
}

// Idle reports whether no request is waiting or running.
func (l *Loop) Idle(ctx context.Context) bool {
	idle := false
	err := l.do(ctx, func(time.Time) { idle = l.sched.Idle() })
	return err == nil && idle
}
