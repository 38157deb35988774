// Package coord coordinates an entry host with the other hosts. A single event-loop
// goroutine owns all mutable state: host membership, the target roster, the
// configuration, waiting requests and, on the leader, the broker. Other goroutines
// send it events through a bounded queue and read the immutable snapshots that it
// publishes. Package loop is the counterpart for the serve command, where each host
// schedules its own requests by permits.
package coord

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"yuccadoor/core/admit"
	"yuccadoor/core/broker"
	"yuccadoor/core/hosts"
	"yuccadoor/core/model"
	"yuccadoor/core/notice"
	"yuccadoor/core/origin"
	"yuccadoor/core/quota"
	"yuccadoor/core/ring"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/core/speed"
	"yuccadoor/core/spread"
	"yuccadoor/core/warmup"
)

// Timing and limits of the event loop.
const (
	tickPeriod     = 50 * time.Millisecond
	eventQueueSize = 4096
	// fetchDelay is how long a host that reads the store waits for its own read
	// before it fetches from a peer with newer state.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout is how long a fetch may stay unanswered before another peer is
	// asked.
	fetchTimeout = 400 * time.Millisecond
	// backlogThreshold is the number of waiting events, and lateEvent the age of a message
	// at its turn, from which decisions count as late; the log tells of it at most once
	// per backlogLogInterval.
	backlogThreshold   = eventQueueSize / 8
	lateEvent          = 100 * time.Millisecond
	backlogLogInterval = time.Second
	// pauseThreshold is the gap between two iterations of the event loop from which
	// the process counts as having been paused.
	pauseThreshold = 600 * time.Millisecond
)

// Mesh sends messages to other hosts.
type Mesh interface {
	Send(to netip.AddrPort, method string, params any)
}

// prober is implemented by a Mesh that can check at once whether it reaches a host. It reports
// a host that it does not reach as one to which messages were lost.
type prober interface {
	Probe(host netip.AddrPort)
}

// Logger writes structured log events, one per line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Counters counts the steps of crash detection, zones that are cut off, the changes of what
// starting targets may be given, and streams that were taken up, for metrics.
type Counters interface {
	RecordCrashStep(step broker.CrashStep)
	// RecordZonePath counts that a zone began or ceased to be cut off from another one's targets.
	RecordZonePath(cut bool)
	RecordStartChange(service string, cause warmup.Cause)
	// RecordStreamTakenUp counts a stream that was taken up, by what its version was found.
	RecordStreamTakenUp(service string, source origin.Source)
}

// Settings are the parameters of New.
type Settings struct {
	Self        netip.AddrPort // address at which other hosts reach this one
	Zone        string
	Incarnation uint64
	CPUShare    int // in hundredths of a core
	Seeds       []netip.AddrPort
	Tolerance   quota.Tolerance // of workspaces' allowances
	ApplyWithin time.Duration   // within which published changes must be in force on all hosts; 0 if not stated
	Log         Logger
	Counters    Counters // nil for none
	Now         func() time.Time
	// BootTime reads a clock that keeps running while the process is suspended.
	BootTime func() time.Duration
	// OnPause is called when a pause of the process was detected; may be nil.
	OnPause func()
	// LocalPolicy makes this host choose targets by itself, as a baseline for
	// benchmarks; if empty, the leader chooses.
	LocalPolicy spread.Policy
	// SlowStart is how much targets that start may be given; empty for no limit.
	SlowStart warmup.Method
	// SetReading starts or stops this host's reading of the store; may be nil.
	SetReading func(on bool)
	// ListParts asks a target for the parts of prompts that it keeps; may be nil.
	ListParts func(ctx context.Context, target *roster.Target) ([]model.PromptPart, error)
}

// View is an immutable snapshot of the state needed to handle requests.
type View struct {
	Config       *routes.Config       // nil until one is known
	Roster       *roster.Snapshot     // never nil
	KnownHosts   int                  // number of hosts in the system, as far as known
	Ready        bool                 // config and targets are known and the host is not stopping
	ReadsStore   bool                 // this host reads the store itself
	Restrictions *notice.Restrictions // which targets this host must not use, from their notices
}

// MaySend reports whether this host may send requests to a target now, and returns
// the target's published entry.
func (v *View) MaySend(now time.Time, target string) (*roster.Target, bool) {
	t := v.Roster.Usable(target)
	return t, t != nil && !v.Restrictions.Forbids(now, t)
}

// event is a function that runs on the event loop.
type event = ring.Task

// Coordinator is one host's part in the coordination of all hosts.
type Coordinator struct {
	settings    Settings
	events      *ring.EventLoop
	view        atomic.Pointer[View]
	initialized chan struct{} // closed once a configuration and targets are known

	// Owned by the event loop.
	mesh          Mesh
	hosts         *hosts.Hosts
	roster        *roster.Roster
	config        *routes.Config
	hasListing    bool // a complete list of targets was received
	broker        *broker.Broker
	leader        netip.AddrPort               // invalid while none is known
	synced        bool                         // the current leader was sent this host's state
	probedAt      map[netip.AddrPort]time.Time // when the leader and its successor were probed last
	usage         *quota.Usage                 // of allowances, by requests of this host
	usageSentTo   process                      // the leader process that was last sent usage
	localSelector *spread.Balancer             // nil unless LocalPolicy is set
	pending       map[uint64]*pendingRequest
	running       map[uint64]grantedRequest
	outgoing      RequestUpdates // not yet sent to the leader
	unsent        []uint64       // pending requests not yet sent to the leader
	nextID        uint64
	beatAt        time.Time
	lastRunAt     time.Time
	lastBootTime  time.Duration
	peersAhead    map[netip.AddrPort]announcement // peers with newer state
	// fetchedAt is when a peer was last asked; zero once it has answered.
	fetchedAt   time.Time
	fetchedFrom netip.AddrPort // the peer that was asked last
	// configBehindSince is when a peer first announced a newer configuration; zero if
	// none has.
	configBehindSince time.Time
	load              loadWindow
	step              stepState
	pace              broker.Pace             // of messages to the leader
	lag               time.Duration           // age of the oldest message of the last batch
	batchBegins       bool                    // no message of the present batch was handled yet
	encoded           []byte                  // the encoded configuration; nil until needed
	clientHosts       map[netip.AddrPort]bool // hosts whose requests this host's broker holds
	reading           bool                    // this host reads the store itself
	storeUp           bool
	storeReturnedAt   time.Time // end of the store's last outage
	storeWasUp        bool      // the store was reachable since this host began to read it
	stopping          bool
	restrictions      *notice.Restrictions // which targets this host must not use, from their notices
	sharedNotices     []notice.Notice      // not yet sent to other hosts
	streams           streamRecords
	returns           admit.Log          // what callers of this host were told to come back for
	departures        []roster.Departure // read from the store, not yet sent to other hosts
	loads             *speed.Outbox      // what targets stated of their load to this host
	speedsLoggedAt    time.Time
}

// process identifies one process of a host.
type process struct {
	address     netip.AddrPort
	incarnation uint64
}

// New starts the event loop and returns the Coordinator with its cleanup function.
// Attach sets the mesh.
func New(ctx context.Context, s Settings) (*Coordinator, func()) {
	now := s.Now()
	self := hosts.Heartbeat{
		Address: s.Self, Zone: s.Zone, Incarnation: s.Incarnation, CPUShare: s.CPUShare, Started: hosts.StartBucket(now),
		KeepsStreams: true,
	}
	c := &Coordinator{
		settings: s, events: ring.NewEventLoop(eventQueueSize), initialized: make(chan struct{}),
		hosts:  hosts.New(now, self, s.Seeds, s.Incarnation),
		roster: roster.New(), broker: broker.New(s.Tolerance, s.Incarnation),
		usage:   quota.NewUsage(now, s.Tolerance.Window),
		pending: map[uint64]*pendingRequest{}, running: map[uint64]grantedRequest{},
		peersAhead: map[netip.AddrPort]announcement{}, streams: newStreamRecords(now), loads: speed.NewOutbox(),
		probedAt: map[netip.AddrPort]time.Time{}, clientHosts: map[netip.AddrPort]bool{}, nextID: rand.Uint64() >> 16,
		lastBootTime: s.BootTime(), lastRunAt: now,
	}
	c.broker.SetSlowStart(now, cmp.Or(s.SlowStart, warmup.None))
	if s.LocalPolicy != "" {
		c.localSelector = spread.New(s.LocalPolicy, rand.New(rand.NewPCG(s.Incarnation, 0)))
	}
	c.hosts.SetApplyWithin(s.ApplyWithin)
	c.publish()
	ctx, cancel := context.WithCancel(ctx)
	go c.events.Run(ctx, ring.LoopConfig{Now: s.Now, Period: tickPeriod, Before: c.detectPause, Tick: c.tick, After: c.flush})
	return c, func() {
		cancel()
		<-c.events.Done()
	}
}

// Attach sets the mesh through which other hosts are reached.
func (c *Coordinator) Attach(ctx context.Context, m Mesh) error {
	return c.do(ctx, func(time.Time) { c.mesh = m })
}

func (c *Coordinator) post(e event) { _ = c.events.Post(context.Background(), e) }

func (c *Coordinator) do(ctx context.Context, e event) error { return c.events.Do(ctx, e) }

// detectPause detects that the process did not run for a while, using a clock that
// keeps running during a suspension. State from before the pause may be stale, so
// the leader is determined again and this host resyncs with it.
func (c *Coordinator) detectPause(now time.Time) {
	c.batchBegins = true
	bootTime := c.settings.BootTime()
	gap := max(bootTime-c.lastBootTime, now.Sub(c.lastRunAt))
	c.lastRunAt, c.lastBootTime = now, bootTime
	if gap < pauseThreshold {
		return
	}
	c.settings.Log.Event("warn", "process was paused", "Length", gap)
	c.synced = false
	c.setUnsettled(now)
	c.hosts.Resume(now)
	if c.settings.OnPause != nil {
		c.settings.OnPause()
	}
}

func (c *Coordinator) tick(now time.Time) {
	c.logLoad(now)
	if c.mesh == nil {
		return
	}
	c.expireTargets(now)
	c.updateLeader(now)
	c.updateReading(now)
	if c.hosts.Due(now) {
		c.sendHeartbeat(now)
	}
	c.fetchFromPeer(now)
	c.broker.Tick(now)
	c.logSpeeds(now)
	c.updateVersions(now)
	c.broker.Origins().SetOtherHosts(c.hosts.Telling(), len(c.hosts.RecordKeepers(now)))
	c.copyStreams(now)
	c.listParts(now)
}

// WaitingEvents returns the number of events that wait for the event loop.
func (c *Coordinator) WaitingEvents() int { return c.events.Len() }

// expireTargets drops targets whose entries lapsed while the store was unreachable, or
// are missing since it was restored, and have not come back.
func (c *Coordinator) expireTargets(now time.Time) {
	before := c.roster.Snapshot()
	if c.storeUp && !c.storeReturnedAt.IsZero() {
		c.roster.Expire(now, c.storeReturnedAt)
	}
	c.roster.Settle(now)
	if c.roster.Snapshot() != before {
		c.rosterChanged(now)
	}
}

// flush delivers outstanding decisions and messages. Decisions may cause further
// updates, so it repeats until none are left, up to a bound.
func (c *Coordinator) flush(now time.Time) {
	if c.mesh == nil {
		return
	}
	if !c.batchBegins {
		c.broker.SetLag(c.lag)
	}
	for range 4 {
		sent := c.flushRequests(now)
		if !c.flushDecisions(now) && !sent {
			break
		}
	}
	c.logCrashSteps()
	c.logCuts()
	c.logSilence()
	c.logStarts()
	c.logStreams()
	c.flushCrashes(now)
	c.flushNotices(now)
	c.flushDepartures(now)
	c.tellStreams(now)
	c.askForStreams(now)
}

// broadcast sends a message to all other hosts that are alive.
func (c *Coordinator) broadcast(now time.Time, method string, params any) {
	for _, h := range c.hosts.Alive(now) {
		if h != c.self() {
			c.mesh.Send(h, method, params)
		}
	}
}

func (c *Coordinator) self() netip.AddrPort { return c.settings.Self }

// publish stores a new View of the current state.
func (c *Coordinator) publish() {
	_, known := c.hosts.Counts(c.settings.Now())
	if c.config != nil && c.hasListing {
		select {
		case <-c.initialized:
		default:
			defer close(c.initialized) // after the view is stored
		}
	}
	c.view.Store(&View{
		Config: c.config, Roster: c.roster.Snapshot(), KnownHosts: known,
		Ready:        c.config != nil && c.hasListing && !c.stopping,
		ReadsStore:   c.reading,
		Restrictions: c.restrictions,
	})
}

// maxNearPeers is the number of hosts of the same zone that NearestPeers puts first.
const maxNearPeers = 2

// NearestPeers returns the other live hosts in random order, two of the same zone first.
func (c *Coordinator) NearestPeers(ctx context.Context) []netip.AddrPort {
	var near, far []netip.AddrPort
	_ = c.do(ctx, func(now time.Time) {
		peers := c.hosts.Alive(now)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, p := range peers {
			if len(near) < maxNearPeers && c.hosts.Zone(p) == c.settings.Zone {
				near = append(near, p)
			} else {
				far = append(far, p)
			}
		}
	})
	return append(near, far...)
}

// Initialized returns a channel that is closed once a configuration and targets are known.
func (c *Coordinator) Initialized() <-chan struct{} { return c.initialized }

// View returns the current snapshot.
func (c *Coordinator) View() *View { return c.view.Load() }

// Reload sets the seed addresses, the tolerance of allowances and the time within which
// published changes must be in force.
func (c *Coordinator) Reload(seeds []netip.AddrPort, t quota.Tolerance, applyWithin time.Duration) {
	c.post(func(now time.Time) {
		c.hosts.SetSeeds(seeds)
		c.hosts.SetApplyWithin(applyWithin)
		c.broker.SetTolerance(now, t)
		c.usage.SetWindow(t.Window)
	})
}

// Stop makes the host not ready and announces that it is leaving, so that another host
// becomes the leader.
func (c *Coordinator) Stop(ctx context.Context) error {
	return c.do(ctx, func(now time.Time) {
		c.stopping = true
		c.hosts.Leave()
		c.sendHeartbeat(now)
		c.publish()
	})
}

// Receive implements mesh.Handler.
func (c *Coordinator) Receive(from netip.AddrPort, method string, params json.RawMessage) {
	e, err := c.decode(from, method, params)
	if err != nil {
		c.settings.Log.Event("warn", "cannot decode message from host", "From", from, "Method", method, "Error", err)
		return
	}
	received := c.settings.Now()
	c.post(func(now time.Time) {
		c.recordAge(method, c.settings.Now().Sub(received))
		e(now)
	})
}

// MessagesLost implements mesh.Handler. It does not wait for room in the event queue, since
// it is also called on the event loop, while that sends.
func (c *Coordinator) MessagesLost(host netip.AddrPort) {
	e := func(now time.Time) { c.handleMessagesLost(now, host) }
	if !c.events.Offer(e) {
		go c.post(e)
	}
}
