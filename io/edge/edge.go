// Package edge assembles an entry host of a deployment whose operators publish
// routes: logs, metrics, the mesh of hosts, the coordinator, the sender to targets,
// and the listeners for clients, the load balancer and operators. The deployment's
// protocol is given by a gate.Dialect, and its published configuration by a
// SourceFunc. Package entry is the counterpart for the product's own interface.
package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"yuccadoor/core/budget"
	"yuccadoor/core/intake"
	"yuccadoor/core/kernel"
	"yuccadoor/core/model"
	"yuccadoor/core/quota"
	"yuccadoor/core/roster"
	"yuccadoor/core/spread"
	"yuccadoor/core/warmup"
	"yuccadoor/io/accept"
	"yuccadoor/io/body"
	"yuccadoor/io/conns"
	"yuccadoor/io/coord"
	"yuccadoor/io/detour"
	"yuccadoor/io/gate"
	"yuccadoor/io/logs"
	"yuccadoor/io/mesh"
	"yuccadoor/io/relay"
)

// Names by which services look each other up in the kernel.
const (
	serviceMetrics = "metrics"
	serviceCoord   = "coord"
	serviceMesh    = "mesh"
	serviceRelay   = "relay"
	serviceSource  = "source"
	serviceCarry   = "carry"
	serviceReady   = "ready"
	serviceAdmin   = "admin"
	serviceFront   = "front"
)

// Timeouts of the listeners and of a graceful stop, and the memory limit.
const (
	readHeaderTimeout = 5 * time.Second
	// drainDelay is how long a stopping host continues to accept connections: the load
	// balancer checks its readiness each second and removes it after two failed checks.
	drainDelay = 2600 * time.Millisecond
	// exitMargin is the part of the grace period that is left for ending the process.
	exitMargin = 700 * time.Millisecond
	// memoryLimitFraction is the part of the memory limit that is set as the soft limit
	// of the Go runtime, above which garbage is collected more often. The rest is for
	// memory that the runtime does not count.
	memoryLimitFraction = 0.7
)

// Settings are the bootstrap settings of an entry host.
type Settings struct {
	Name        string
	Zone        string         // availability zone
	Front       netip.AddrPort // listen address for clients
	Ready       netip.AddrPort // listen address for the load balancer's readiness checks
	ReadyPath   string
	Peer        netip.AddrPort // address at which other hosts reach this one
	PeerListen  netip.AddrPort // listen address for other hosts; Peer if invalid
	Carry       netip.AddrPort // listen address for other hosts that cannot reach targets, on the same port at all hosts; none if invalid
	Admin       netip.AddrPort // listen address for operators; none if invalid
	Seeds       []netip.AddrPort
	CPUShare    int // in hundredths of a core
	MemoryBytes int64
	Descriptors int           // that the process may have open; 0 if not stated
	Grace       time.Duration // from the signal to stop until the process is killed
	Retries     budget.Bounds
	Tolerance   quota.Tolerance // of workspaces' allowances
	ApplyWithin time.Duration   // within which published changes must be in force on all hosts; 0 if not stated
	LogLevel    string
	Digest      string        // of the settings file; empty for none
	LocalPolicy spread.Policy // load-balancing policy without coordination; empty for the broker
	SlowStart   warmup.Method // how much targets that start may be given; empty for no limit
}

// Reader reads the published configuration and targets while reading is switched on.
type Reader interface {
	SetReading(on bool)
}

// SourceFunc starts a reader that passes what it reads to the coordinator, and returns it
// with its cleanup function.
type SourceFunc func(ctx context.Context, sink *coord.Coordinator, log *logs.Log) (r Reader, cleanup func())

// Options are what a host needs besides its settings.
type Options struct {
	LogTo   io.Writer
	Dialect gate.Dialect
	Source  SourceFunc
	Dial    conns.DialFunc // to targets; nil for TCP
	// ListParts asks a target for the parts of prompts that it keeps; may be nil.
	ListParts func(ctx context.Context, target *roster.Target) ([]model.PromptPart, error)
	Now       func() time.Time
}

// Host is a running entry host.
type Host struct {
	kernel        kernel.Kernel
	settings      Settings
	options       Options
	log           *logs.Log
	coord         *coord.Coordinator
	gate          *gate.Handler
	front         *http.Server
	idle          *idleConns
	grace         atomic.Int64 // in nanoseconds; updated by Reload
	settingsState settingsState
	metrics       *hostMetrics
	limits        intake.Limits
	dialer        *detour.Dialer
	carrier       *detour.Carrier
}

// New starts a host and returns it with its cleanup function, which stops it at once.
// For a graceful stop call Stop before it.
func New(ctx context.Context, s Settings, o Options) (*Host, func(), error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	buffered, flush := logs.NewAsyncWriter(o.LogTo)
	log, err := logs.New(buffered, s.LogLevel)
	if err != nil {
		flush()
		return nil, nil, err
	}
	h := &Host{
		settings: s, options: o, log: log, idle: newIdleConns(o.Now),
		limits: intake.LimitsFor(s.MemoryBytes, accept.MaxDescriptors(s.Descriptors)),
	}
	h.grace.Store(int64(s.Grace))
	ctx, cancel := context.WithCancel(ctx)
	cleanup := func() {
		cancel()
		h.kernel.Close()
		flush()
	}
	steps := []kernel.Step{
		{Name: serviceMetrics, Start: h.startMetrics},
		{Name: serviceCoord, Start: h.startCoord},
		{Name: serviceRelay, Start: h.startRelay},
		{Name: serviceSource, Start: h.startSource},
		{Name: serviceMesh, Start: h.startMesh}, // from here on the coordinator runs
		{Name: serviceCarry, Start: h.startCarry},
		{Name: serviceReady, Start: h.startReady},
		{Name: serviceAdmin, Start: h.startAdmin},
		{Name: serviceFront, Start: h.startFront},
	}
	if err := h.kernel.StartAll(ctx, steps); err != nil {
		cleanup()
		return nil, nil, err
	}
	h.settingsState.setInForce(o.Now(), SettingsRead{"start", s.Digest}, s, nil)
	log.Event("info", "host started", "Digest", s.Digest, "Host", s.Name, "Zone", s.Zone, "Front", s.Front, "Peer", s.Peer, "Power", s.CPUShare)
	return h, cleanup, nil
}

func (h *Host) startMetrics(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	h.metrics = newHostMetrics(h.options.Now)
	h.metrics.registerSettingsGauges(h.settingsState.get)
	return h.metrics, nil, nil
}

func (h *Host) startCoord(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	m, err := kernel.Lookup[*hostMetrics](k, serviceMetrics)
	if err != nil {
		return nil, nil, err
	}
	c, cleanup := coord.New(ctx, coord.Settings{
		Self: h.settings.Peer, Zone: h.settings.Zone, Incarnation: rand.Uint64(), CPUShare: h.settings.CPUShare,
		Seeds: h.settings.Seeds, Tolerance: h.settings.Tolerance, ApplyWithin: h.settings.ApplyWithin, LocalPolicy: h.settings.LocalPolicy, SlowStart: h.settings.SlowStart, Log: h.log, Counters: m, Now: h.options.Now, BootTime: bootTime,
		ListParts: h.options.ListParts,
		OnPause: func() {
			if s, err := kernel.Lookup[*relay.Sender](k, serviceRelay); err == nil {
				s.CloseIdle()
			}
		},
		SetReading: func(on bool) {
			if r, err := kernel.Lookup[Reader](k, serviceSource); err == nil {
				r.SetReading(on)
			}
		},
	})
	h.coord = c
	m.registerCoordGauges(c.View, c.WaitingEvents)
	return c, cleanup, nil
}

// bootTime reads the clock that also advances while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (h *Host) startMesh(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	address := h.settings.Peer
	if h.settings.PeerListen.IsValid() {
		address = h.settings.PeerListen
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for other hosts")
	}
	m, err := kernel.Lookup[*hostMetrics](k, serviceMetrics)
	if err != nil {
		return nil, nil, err
	}
	peers, cleanup := mesh.New(ctx, mesh.Settings{Self: h.settings.Peer, Listener: listener, Counters: m, Limits: h.limits}, h.coord)
	m.set.NewGauge(`yuccadoor_held_bytes{kind="Message"}`, func() float64 { return float64(peers.UnfinishedBytes()) })
	return peers, cleanup, h.coord.Attach(ctx, peers)
}

func (h *Host) startRelay(ctx context.Context, _ *kernel.Kernel) (any, kernel.Cleanup, error) {
	direct := h.options.Dial
	if direct == nil {
		direct = conns.DialTCP
	}
	h.dialer = detour.NewDialer(detour.Settings{Direct: direct, Peers: h.carriers, Now: h.options.Now, Log: h.log})
	h.carrier = detour.NewCarrier(detour.CarrierSettings{
		Direct: direct, MaySend: h.maySendTo, Isolated: h.dialer.Isolated, Now: h.options.Now, Log: h.log,
		MaxCarried: h.limits.Carried,
	})
	h.metrics.set.NewGauge("yuccadoor_carried_connections", func() float64 { return float64(h.carrier.Active()) })
	s, cleanup := relay.New(ctx, h.options.Dialect.HeaderNames(), h.dialer.Dial, h.options.Now)
	return s, cleanup, nil
}

// carriers returns the addresses at which other hosts carry connections to targets.
func (h *Host) carriers(ctx context.Context) []netip.AddrPort {
	if !h.settings.Carry.IsValid() {
		return nil
	}
	var all []netip.AddrPort
	for _, peer := range h.coord.NearestPeers(ctx) {
		all = append(all, netip.AddrPortFrom(peer.Addr(), h.settings.Carry.Port()))
	}
	return all
}

// maySendTo reports whether this host may send requests to the target at an address.
func (h *Host) maySendTo(address netip.AddrPort) bool {
	v := h.coord.View()
	for id, t := range v.Roster.Targets {
		if t.Address == address {
			_, ok := v.MaySend(h.options.Now(), id)
			return ok
		}
	}
	return false
}

func (h *Host) startCarry(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	if !h.settings.Carry.IsValid() {
		return h.carrier, nil, nil
	}
	server := sideServer(h.carrier)
	cleanup, err := accept.Serve(server, h.settings.Carry, h.sideBounds("carry", h.limits.Carried), h.log)
	return h.carrier, cleanup, errors.Wrap(err, "listen for hosts that cannot reach targets")
}

func (h *Host) startSource(ctx context.Context, _ *kernel.Kernel) (any, kernel.Cleanup, error) {
	r, cleanup := h.options.Source(ctx, h.coord, h.log)
	return r, cleanup, nil
}

func (h *Host) startReady(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	server := sideServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != h.settings.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case !h.coord.View().Ready:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	cleanup, err := accept.Serve(server, h.settings.Ready, h.sideBounds("ready", h.limits.SideConns), h.log)
	return server, cleanup, errors.Wrap(err, "listen for the load balancer")
}

func (h *Host) startAdmin(_ context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	if !h.settings.Admin.IsValid() {
		return nil, nil, nil
	}
	m, err := kernel.Lookup[*hostMetrics](k, serviceMetrics)
	if err != nil {
		return nil, nil, err
	}
	server := adminServer(h, m)
	cleanup, err := accept.Serve(server, h.settings.Admin, h.sideBounds("admin", h.limits.SideConns), h.log)
	return server, cleanup, errors.Wrap(err, "listen for operators")
}

func (h *Host) startFront(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	sender, err := kernel.Lookup[*relay.Sender](k, serviceRelay)
	if err != nil {
		return nil, nil, err
	}
	m, err := kernel.Lookup[*hostMetrics](k, serviceMetrics)
	if err != nil {
		return nil, nil, err
	}
	bodies := body.New(body.Settings{Limits: h.limits, Set: m.set, Now: h.options.Now})
	handler, stopGate := gate.New(ctx, gate.Settings{
		Coord: h.coord, Sender: sender, Bodies: bodies, Dialect: h.options.Dialect, Log: h.log, Recorder: m,
		Now: h.options.Now, Budget: budget.New(h.settings.Retries), Zone: h.settings.Zone,
	})
	h.gate = handler
	h.front = &http.Server{
		Handler: h.gate, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ConnState: h.idle.trackState,
	}
	stop := h.idle.start(func() time.Duration {
		if c := h.coord.View().Config; c != nil {
			return c.Limits.IdleTimeout
		}
		return 0
	})
	cleanup, err := accept.Serve(h.front, h.settings.Front, accept.Bounds{
		Conns: h.limits.Conns, HeadBytes: h.limits.Heads, Port: "front", Set: m.set,
	}, h.log)
	return h.front, func() {
		stop()
		if cleanup != nil {
			cleanup()
		}
		stopGate()
	}, errors.Wrap(err, "listen for clients")
}

// maxHeaderBytes limits the size of a client's request header, above any limit that a
// configuration allows.
const maxHeaderBytes = 64 << 10

// Limits of the ports that are not for clients: their requests have short heads and no
// bodies, and are answered at once.
const (
	sideHeaderBytes = 8 << 10
	sideReadTimeout = 5 * time.Second
	sideIdleTimeout = 2 * time.Minute
)

// sideServer returns a server for a port that is not for clients.
func sideServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: sideHeaderBytes, ReadTimeout: sideReadTimeout, IdleTimeout: sideIdleTimeout}
}

// sideBounds returns the bounds of such a port.
func (h *Host) sideBounds(port string, conns int) accept.Bounds {
	return accept.Bounds{Conns: conns, Port: port, Set: h.metrics.set}
}

// Status is a host's view of the deployment and its settings, for operators.
type Status struct {
	coord.Status
	Settings SettingsStatus
}

// Status returns the host's status.
func (h *Host) Status(ctx context.Context) (Status, error) {
	s, err := h.coord.Status(ctx)
	return Status{s, h.settingsState.get()}, err
}

// Stop stops the host gracefully within its grace period. The host is no longer ready, but
// serves new requests until the load balancer has removed it, and then finishes the
// requests that are running.
func (h *Host) Stop(ctx context.Context) error {
	grace := time.Duration(h.grace.Load())
	h.log.Event("info", "host stopping", "Grace", grace)
	started := h.options.Now()
	if err := h.coord.Stop(ctx); err != nil {
		return errors.Wrap(err, "mark the host as not ready")
	}
	h.gate.Stop()
	delay := min(drainDelay, grace/2)
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, max(grace-exitMargin-h.options.Now().Sub(started), 0))
	defer cancel()
	var carried sync.WaitGroup
	carried.Go(func() { h.carrier.Stop(ctx) })
	err := h.front.Shutdown(ctx)
	carried.Wait()
	h.log.Event("info", "host stopped", "Took", h.options.Now().Sub(started), "Error", err)
	return nil
}
