// Package coord runs a host's part in the coordination of all hosts. One
// goroutine owns every decision state: membership, the roster of targets, the
// configuration, the requests that wait and, on the leading host, the broker.
// The other duties hand it events through a bounded ring and read the immutable
// snapshots that it publishes.
package coord

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/hosts"
	"yuccadoor/core/notice"
	"yuccadoor/core/quota"
	"yuccadoor/core/ring"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/core/spread"
)

// Times and bounds of the loop.
const (
	tickPeriod = 50 * time.Millisecond
	eventRing  = 4096
	// behindFor is how long a host waits for its own reading of the store
	// before it asks a peer that knows more.
	behindFor = 150 * time.Millisecond
	// fetchPeriod is how long such a question may go without an answer before
	// another peer is asked.
	fetchPeriod = 400 * time.Millisecond
	// pauseLength is the gap between two ticks that counts as a pause.
	pauseLength = 600 * time.Millisecond
)

// Mesh carries messages to other hosts.
type Mesh interface {
	Send(to netip.AddrPort, method string, params any)
}

// Logger takes one event a line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Counters count what is decided.
type Counters interface {
	Crash(step broker.CrashStep)
}

// Settings are what the coordination needs to know at its start.
type Settings struct {
	Self        netip.AddrPort // towards other hosts
	Zone        string
	Incarnation uint64
	Power       int // processor share in hundredths of a core
	Seeds       []netip.AddrPort
	Tolerance   quota.Tolerance // of workspaces' allowances
	Log         Logger
	Counters    Counters // nil for none
	Now         func() time.Time
	// Awake reads a clock that goes on while the process is suspended.
	Awake func() time.Duration
	// Paused is called after a pause of the process.
	Paused func()
	// Spread makes this host choose targets on its own, for measuring; empty for
	// asking the leader.
	Spread spread.Policy
	// Read starts or ends the reading of the published facts by this host.
	Read func(on bool)
}

// View is what requests are decided on: an immutable snapshot.
type View struct {
	Config *routes.Config       // nil until one is known
	Roster *roster.Snapshot     // never nil
	Hosts  int                  // hosts of the system, as far as known
	Ready  bool                 // config and targets are known and the host is not stopping
	Bound  *notice.Restrictions // by what targets have said of themselves to this host
}

// MaySend reports whether this host may send a target something now, and gives
// what is published of it.
func (v *View) MaySend(now time.Time, target string) (*roster.Target, bool) {
	t := v.Roster.Usable(target)
	return t, t != nil && !v.Bound.Forbids(now, t)
}

// event is one thing for the deciding goroutine to do.
type event = ring.Call

// Coord is the coordinating part of a host.
type Coord struct {
	settings Settings
	calls    *ring.Calls
	view     atomic.Pointer[View]
	known    chan struct{} // closed once a configuration and targets are known

	// Owned by the deciding goroutine.
	mesh    Mesh
	hosts   *hosts.Hosts
	roster  *roster.Roster
	config  *routes.Config
	listed  bool // a whole listing of targets was read
	broker  *broker.Broker
	leader  netip.AddrPort   // that this host asks; invalid while none is known
	synced  bool             // the leader has this host's state
	usage   *quota.Usage     // of this host's callers
	charged process          // the leader that has charged it
	spread  *spread.Spreader // nil unless this host chooses on its own
	pending map[uint64]*pending
	running map[uint64]granted
	out     Asks     // collected for the leader
	fresh   []uint64 // pending requests that the leader was not told yet
	nextID  uint64
	beatAt  time.Time
	ranAt   time.Time
	awakeAt time.Duration
	behind  map[netip.AddrPort]time.Time // since when a peer knows more
	// fetchedAt is when a peer was last asked; zero once it has answered.
	fetchedAt time.Time
	pack      []byte                  // the configuration as it is passed on; nil until asked for
	asking    map[netip.AddrPort]bool // hosts that ask here
	reading   bool                    // this host reads the published facts itself
	storeUp   bool
	returned  time.Time // when the store came back
	everUp    bool
	stopping  bool
	bound     *notice.Restrictions // of this host
	leaving   []notice.Notice      // that other hosts are to be told
	departed  []roster.Departure   // the same, as published
}

// process is one run of a host.
type process struct {
	address     netip.AddrPort
	incarnation uint64
}

// New starts the deciding goroutine and returns it with its clean-up function.
// Attach gives it the mesh.
func New(ctx context.Context, s Settings) (*Coord, func()) {
	now := s.Now()
	self := hosts.Beat{
		Address: s.Self, Zone: s.Zone, Incarnation: s.Incarnation, Power: s.Power, Started: hosts.StartedAt(now),
	}
	c := &Coord{
		settings: s, calls: ring.NewCalls(eventRing), known: make(chan struct{}),
		hosts:  hosts.New(now, self, s.Seeds, s.Incarnation),
		roster: roster.New(), broker: broker.New(s.Tolerance, s.Incarnation),
		usage:   quota.NewUsage(now, s.Tolerance.Window),
		pending: map[uint64]*pending{}, running: map[uint64]granted{},
		behind: map[netip.AddrPort]time.Time{},
		asking: map[netip.AddrPort]bool{}, nextID: rand.Uint64() >> 16,
		awakeAt: s.Awake(), ranAt: now,
	}
	if s.Spread != "" {
		c.spread = spread.New(s.Spread, rand.New(rand.NewPCG(s.Incarnation, 0)))
	}
	c.publish()
	ctx, cancel := context.WithCancel(ctx)
	go c.calls.Run(ctx, ring.Loop{Now: s.Now, Period: tickPeriod, Before: c.wake, Tick: c.tick, After: c.flush})
	return c, func() {
		cancel()
		<-c.calls.Done()
	}
}

// Attach gives the coordination the mesh.
func (c *Coord) Attach(ctx context.Context, m Mesh) error {
	return c.do(ctx, func(time.Time) { c.mesh = m })
}

func (c *Coord) post(e event) { _ = c.calls.Post(context.Background(), e) }

func (c *Coord) do(ctx context.Context, e event) error { return c.calls.Do(ctx, e) }

// wake notices that the process did not run for a while, by a clock that a
// suspension does not stop. What was believed before is old then: the leader is
// looked for anew.
func (c *Coord) wake(now time.Time) {
	awake := c.settings.Awake()
	gap := max(awake-c.awakeAt, now.Sub(c.ranAt))
	c.ranAt, c.awakeAt = now, awake
	if gap < pauseLength {
		return
	}
	c.settings.Log.Event("warn", "process was paused", "Length", gap)
	c.synced = false
	if c.settings.Paused != nil {
		c.settings.Paused()
	}
}

func (c *Coord) tick(now time.Time) {
	if c.mesh == nil {
		return
	}
	if c.hosts.Due(now) {
		c.beat(now)
	}
	if c.storeUp && !c.returned.IsZero() {
		c.expire(now)
	}
	c.elect(now)
	c.chooseReading(now)
	c.fetchBehind(now)
	c.broker.Tick(now)
}

func (c *Coord) expire(now time.Time) {
	before := c.roster.Snapshot()
	c.roster.Expire(now, c.returned)
	if c.roster.Snapshot() != before {
		c.rosterChanged(now)
	}
}

// flush delivers decisions and messages until none are left.
func (c *Coord) flush(now time.Time) {
	if c.mesh == nil {
		return
	}
	for range 4 {
		sent := c.flushAsks(now)
		if !c.flushVerdicts() && !sent {
			break
		}
	}
	c.noteCrashes()
	c.flushCrashes(now)
	c.flushNotices(now)
	c.flushDepartures(now)
}

// tellAll sends a message to all other hosts that are alive.
func (c *Coord) tellAll(now time.Time, method string, params any) {
	for _, h := range c.hosts.Alive(now) {
		if h != c.self() {
			c.mesh.Send(h, method, params)
		}
	}
}

func (c *Coord) self() netip.AddrPort { return c.settings.Self }

// publish makes the current state visible to requests.
func (c *Coord) publish() {
	_, known := c.hosts.Share(c.settings.Now())
	if c.config != nil && c.listed {
		select {
		case <-c.known:
		default:
			defer close(c.known) // once the view is stored
		}
	}
	c.view.Store(&View{
		Config: c.config, Roster: c.roster.Snapshot(), Hosts: known,
		Ready: c.config != nil && c.listed && !c.stopping,
		Bound: c.bound,
	})
}

// Known is closed once a configuration and targets are known.
func (c *Coord) Known() <-chan struct{} { return c.known }

// View is the current snapshot.
func (c *Coord) View() *View { return c.view.Load() }

// Reload takes new seeds and a new tolerance of allowances.
func (c *Coord) Reload(seeds []netip.AddrPort, t quota.Tolerance) {
	c.post(func(now time.Time) {
		c.hosts.SetSeeds(seeds)
		c.broker.SetTolerance(now, t)
		c.usage.SetWindow(t.Window)
	})
}

// Stop makes the host not ready and lets another host lead.
func (c *Coord) Stop(ctx context.Context) error {
	return c.do(ctx, func(now time.Time) {
		c.stopping = true
		c.hosts.Leave()
		c.beat(now)
		c.publish()
	})
}

// Receive implements mesh.Handler.
func (c *Coord) Receive(from netip.AddrPort, method string, params json.RawMessage) {
	e, err := c.decode(from, method, params)
	if err != nil {
		c.settings.Log.Event("warn", "message from host not understood", "From", from, "Method", method, "Error", err)
		return
	}
	c.post(e)
}

// Lost implements mesh.Handler.
func (c *Coord) Lost(host netip.AddrPort) {
	c.post(func(now time.Time) { c.lost(now, host) })
}
