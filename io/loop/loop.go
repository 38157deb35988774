// Package loop runs a host's decisions. One goroutine owns every decision
// state; the other duties hand it events through a bounded ring and read the
// immutable snapshots that it publishes.
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

// Times and bounds of the loop.
const (
	tickPeriod     = 10 * time.Millisecond
	viewPeriod     = 100 * time.Millisecond // between looks at who is alive
	eventRing      = 8192
	crashThreshold = 2 // crashes before a content is refused
	// pauseLength is the gap between two ticks that counts as a pause.
	pauseLength = 500 * time.Millisecond
)

// Mesh carries messages to peers.
type Mesh interface {
	Holder(to netip.AddrPort, m permit.FromHolder)
	Manager(to netip.AddrPort, m permit.FromManager)
	Fresh(to netip.AddrPort, f peers.Revisions)
	Displace(to netip.AddrPort, d peers.DisplaceRequest)
	Exchange(ctx context.Context, to netip.AddrPort, x member.Exchange) (member.Exchange, error)
	Fetch(ctx context.Context, to netip.AddrPort, f peers.Revisions) (peers.PublishedState, error)
}

// Logger takes one event a line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Settings are what a loop needs to know at its start.
type Settings struct {
	Self        netip.AddrPort
	Zone        string
	Incarnation model.Incarnation
	MaxWaiting  int
	Policy      route.Policy
	Seed        uint64
	Log         Logger
	Now         func() time.Time
}

// Decision is the decision on a request: start it, or refuse it.
type Decision struct {
	Start   *sched.Start
	Refusal *model.Refusal
}

// event is one thing for the deciding goroutine to do.
type event = ring.Task

// Loop is the deciding part of a host.
type Loop struct {
	settings Settings
	start    time.Time
	calls    *ring.EventLoop
	view     atomic.Pointer[view.View]
	status   atomic.Pointer[Status]

	// Owned by the deciding goroutine.
	mesh     Mesh
	sched    *sched.Scheduler
	manager  *permit.Manager
	members  *member.Members
	keys     *once.Table
	crashes  *crash.Records
	verdicts map[model.RequestID]chan Decision
	config   document
	list     *model.HostList
	alive    map[netip.AddrPort]bool
	viewedAt time.Time
	ranAt    time.Time // when the goroutine last ran
	nextID   model.RequestID
	serial   uint64
	peersMet bool
	leaving  bool // not ready any more
}

// document is the operators' text as adopted or rejected.
type document struct {
	revision model.Revision
	text     string
	catalog  *conf.Catalog
	rejected model.Revision
	findings string
}

// New starts the deciding goroutine and returns the loop with its clean-up
// function. Attach gives it the mesh.
func New(ctx context.Context, s Settings) (*Loop, func()) {
	start := s.Now()
	holder := permit.NewHolder(s.Incarnation, start)
	l := &Loop{
		settings: s,
		start:    start,
		calls:    ring.NewEventLoop(eventRing),
		sched:    sched.New(sched.Settings{MaxWaiting: s.MaxWaiting, Policy: s.Policy, Seed: s.Seed}, holder),
		manager:  permit.NewManager(s.Incarnation),
		members:  member.New(s.Self, s.Seed),
		keys:     once.NewTable(s.Self, s.Incarnation),
		crashes:  crash.NewRecords(uint64(s.Incarnation), crashThreshold),
		verdicts: map[model.RequestID]chan Decision{},
		list:     &model.HostList{},
	}
	l.status.Store(&Status{})
	ctx, cancel := context.WithCancel(ctx)
	go l.calls.Run(ctx, ring.LoopConfig{Now: s.Now, Period: tickPeriod, Before: l.wake, Tick: l.tick, After: l.pump})
	return l, func() {
		cancel()
		<-l.calls.Done()
	}
}

// Attach gives the loop the mesh through which it reaches peers.
func (l *Loop) Attach(ctx context.Context, m Mesh) error {
	return l.do(ctx, func(time.Time) { l.mesh = m })
}

// post hands an event to the deciding goroutine, waiting for room.
func (l *Loop) post(ctx context.Context, e event) error { return l.calls.Post(ctx, e) }

// do hands over an event and waits until it has been handled.
func (l *Loop) do(ctx context.Context, e event) error { return l.calls.Do(ctx, e) }

// wake looks at who is alive before anything else when the process has not run
// for a while, so that a process that was paused does not act on an old view.
func (l *Loop) wake(now time.Time) {
	if !l.ranAt.IsZero() && now.Sub(l.ranAt) > pauseLength {
		l.settings.Log.Event("warn", "process was paused", "Length", now.Sub(l.ranAt))
		l.watchMembers(now)
	}
	l.ranAt = now
}

func (l *Loop) tick(now time.Time) {
	if now.Sub(l.viewedAt) >= viewPeriod {
		l.viewedAt = now
		l.watchMembers(now)
		l.publish(now)
	}
	if l.view.Load() == nil {
		return
	}
	l.sched.Tick(now)
	l.manager.Tick(now)
}

// pump delivers messages until none are left for this host itself, then hands
// the verdicts out.
func (l *Loop) pump(now time.Time) {
	if l.view.Load() == nil {
		l.deliver()
		return
	}
	for {
		local := l.sendHolder(now)
		if !l.sendManager(now) && !local {
			break
		}
	}
	l.deliver()
}

func (l *Loop) sendHolder(now time.Time) (local bool) {
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

func (l *Loop) sendManager(now time.Time) (local bool) {
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

// deliver hands the scheduler's decisions to the requests' goroutines.
func (l *Loop) deliver() {
	d := l.sched.Take()
	for i := range d.Starts {
		l.hand(d.Starts[i].Request, Decision{Start: &d.Starts[i]})
	}
	for _, x := range d.Displaces {
		l.mesh.Displace(x.Peer, peers.DisplaceRequest{Service: x.Service, Tier: x.Tier})
	}
	for i := range d.Refuses {
		l.hand(d.Refuses[i].Request, Decision{Refusal: &d.Refuses[i].Refusal})
	}
}

func (l *Loop) hand(id model.RequestID, v Decision) {
	if c := l.verdicts[id]; c != nil {
		delete(l.verdicts, id)
		c <- v
	}
}

// View is the current snapshot; nil before the host knows enough.
func (l *Loop) View() *view.View { return l.view.Load() }

// Submit hands in a request and returns its number and where its verdict will
// come.
func (l *Loop) Submit(ctx context.Context, r *model.Request) (model.RequestID, <-chan Decision, error) {
	c := make(chan Decision, 1)
	var id model.RequestID
	// The loop must not keep a request whose caller no longer knows of it.
	err := l.do(context.WithoutCancel(ctx), func(now time.Time) {
		l.nextID++
		id = l.nextID
		r.ID = id
		l.verdicts[id] = c
		if left, refused := l.crashes.Refused(now, r.Fingerprint); refused {
			l.hand(id, Decision{Refusal: &model.Refusal{
				Ran: model.NotRun, Reason: model.ReasonCrashesTargets, RetryAfter: left,
				Detail: "requests of this content have crashed their targets",
			}})
			return
		}
		l.sched.Arrive(now, r)
	})
	return id, c, err
}

// Cancel drops a request whose caller went away. If it has started already, the
// verdict says so, and the start must be finished as unused.
func (l *Loop) Cancel(id model.RequestID) {
	_ = l.post(context.Background(), func(time.Time) { l.sched.Cancel(id) })
}

// RecordResult reports how a started request ended.
func (l *Loop) RecordResult(id model.RequestID, r limit.Result) {
	_ = l.post(context.Background(), func(time.Time) { l.sched.Finished(id, r) })
}

// Requeue gives a started request back, of which nothing was sent, and returns
// where its next verdict will come.
func (l *Loop) Requeue(id model.RequestID, kind limit.Kind) <-chan Decision {
	c := make(chan Decision, 1)
	_ = l.post(context.Background(), func(now time.Time) {
		l.verdicts[id] = c
		l.sched.Returned(now, id, kind)
	})
	return c
}

// RecordCrash reports that a target broke some time ago, while it ran a content that
// it had been sent took before that.
func (l *Loop) RecordCrash(f model.Fingerprint, target netip.AddrPort, ago, took time.Duration) {
	_ = l.post(context.Background(), func(now time.Time) { l.crashes.Crashed(now.Add(-ago), took, f, target) })
}

// RecordAnswer reports that a target answered a content whole.
func (l *Loop) RecordAnswer(f model.Fingerprint) {
	_ = l.post(context.Background(), func(now time.Time) { l.crashes.Answered(now, f) })
}

// RecordLoad takes in a target's own account: its incarnation and its load.
func (l *Loop) RecordLoad(target netip.AddrPort, incarnation model.Incarnation, load int) {
	_ = l.post(context.Background(), func(now time.Time) {
		l.manager.Report(now, target, incarnation, load)
		l.sched.Reported(target, load)
	})
}

// IssueKey makes a key of which this process is the home.
func (l *Loop) IssueKey(ctx context.Context) (once.Key, error) {
	var k once.Key
	err := l.do(ctx, func(now time.Time) {
		l.serial++
		k = once.Issue(l.settings.Self, l.settings.Incarnation, l.serial, now)
	})
	return k, err
}

// KeyDecision is what to do with a keyed request.
type KeyDecision struct {
	Verdict once.Verdict
	Entry   once.Entry     // with Repeat
	Home    netip.AddrPort // with Forward
}

// BeginKey decides on a keyed request.
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

// CompleteKey records how a key's request ended.
func (l *Loop) CompleteKey(k once.Key, e once.Entry) {
	_ = l.post(context.Background(), func(time.Time) { l.keys.Complete(k, e) })
}

// ForgetKey forgets a key whose request certainly did not run.
func (l *Loop) ForgetKey(k once.Key) {
	_ = l.post(context.Background(), func(time.Time) { l.keys.Forget(k) })
}

// MarkNotReady makes the host not ready. It still takes requests.
func (l *Loop) MarkNotReady(ctx context.Context) error {
	return l.do(ctx, func(now time.Time) {
		l.leaving = true
		l.publish(now)
	})
}

// Stop refuses new requests from now on.
func (l *Loop) Stop(ctx context.Context) error {
	return l.do(ctx, func(now time.Time) {
		l.sched.Stop()
		l.publish(now)
	})
}

// Idle reports whether no request waits or runs.
func (l *Loop) Idle(ctx context.Context) bool {
	idle := false
	err := l.do(ctx, func(time.Time) { idle = l.sched.Idle() })
	return err == nil && idle
}
