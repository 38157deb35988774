// Package edge assembles an entry host of a deployment whose operators publish
// routes: logs, metrics, the mesh of hosts, the coordination, the sender to
// targets, and the listeners for callers, the balancer and operators. What the
// deployment speaks is given by a dialect and a source of published facts.
package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"yuccadoor/core/budget"
	"yuccadoor/core/kernel"
	"yuccadoor/core/quota"
	"yuccadoor/core/spread"
	"yuccadoor/io/conns"
	"yuccadoor/io/coord"
	"yuccadoor/io/gate"
	"yuccadoor/io/logs"
	"yuccadoor/io/mesh"
	"yuccadoor/io/relay"
)

// Names under which the services find each other.
const (
	serviceCounts = "counts"
	serviceCoord  = "coord"
	serviceMesh   = "mesh"
	serviceRelay  = "relay"
	serviceSource = "source"
	serviceReady  = "ready"
	serviceAdmin  = "admin"
	serviceFront  = "front"
)

// Times of the listeners and of a graceful stop.
const (
	headTimeout = 5 * time.Second
	// noticeTime is how long a stopping host goes on taking connections: the
	// balancer asks each second and leaves a host out after two refusals.
	noticeTime = 2600 * time.Millisecond
	// endMargin is left of the grace for ending the process.
	endMargin = 700 * time.Millisecond
	// memoryPart is the part of the memory limit at which the collector works
	// harder; the rest is for what the runtime does not count.
	memoryPart = 0.7
)

// Settings are the bootstrap settings of an entry host.
type Settings struct {
	Name        string
	Zone        string         // availability zone
	Front       netip.AddrPort // where callers are served
	Ready       netip.AddrPort // where the balancer asks
	ReadyPath   string
	Peer        netip.AddrPort // where other hosts reach this one
	PeerListen  netip.AddrPort // where they are served; invalid for the same
	Admin       netip.AddrPort // where operators are served; invalid for nowhere
	Seeds       []netip.AddrPort
	Power       int // processor share in hundredths of a core
	MemoryBytes int64
	Grace       time.Duration // between the order to stop and being killed
	Retries     budget.Bounds
	Tolerance   quota.Tolerance // of workspaces' allowances
	LogLevel    string
	Digest      string        // of the file that the settings are from; empty for none
	Spread      spread.Policy // how targets are chosen without coordination; empty for the broker
}

// Reader reads published facts while it is told to.
type Reader interface {
	Read(on bool)
}

// Source makes a reader that feeds the coordination, with its clean-up function.
type Source func(ctx context.Context, feed *coord.Coordinator, log *logs.Log) (r Reader, cleanup func())

// Options are what a host is assembled with beyond its settings.
type Options struct {
	LogTo   io.Writer
	Dialect gate.Dialect
	Source  Source
	Dial    conns.Dial // nil for TCP
	Now     func() time.Time
}

// Host is a running entry host.
type Host struct {
	kernel   kernel.Kernel
	settings Settings
	options  Options
	log      *logs.Log
	coord    *coord.Coordinator
	gate     *gate.Gate
	front    *http.Server
	idle     *idleConns
	grace    atomic.Int64 // in nanoseconds, as last reloaded
	kept     settingsLog
	counts   *counts
}

// New starts a host and returns it with its clean-up function, which stops at
// once. Stop before it for a graceful end.
func New(ctx context.Context, s Settings, o Options) (*Host, func(), error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	}
	buffered, flush := logs.NewAsyncWriter(o.LogTo)
	log, err := logs.New(buffered, s.LogLevel)
	if err != nil {
		flush()
		return nil, nil, err
	}
	h := &Host{settings: s, options: o, log: log, idle: newIdleConns(o.Now)}
	h.grace.Store(int64(s.Grace))
	ctx, cancel := context.WithCancel(ctx)
	cleanup := func() {
		cancel()
		h.kernel.Close()
		flush()
	}
	steps := []kernel.Step{
		{Name: serviceCounts, Start: h.startCounts},
		{Name: serviceCoord, Start: h.startCoord},
		{Name: serviceRelay, Start: h.startRelay},
		{Name: serviceSource, Start: h.startSource},
		{Name: serviceMesh, Start: h.startMesh}, // from here on the coordination runs
		{Name: serviceReady, Start: h.startReady},
		{Name: serviceAdmin, Start: h.startAdmin},
		{Name: serviceFront, Start: h.startFront},
	}
	if err := h.kernel.StartAll(ctx, steps); err != nil {
		cleanup()
		return nil, nil, err
	}
	h.kept.inForce(o.Now(), Read{"start", s.Digest}, s, nil)
	log.Event("info", "host started", "Digest", s.Digest, "Host", s.Name, "Zone", s.Zone, "Front", s.Front, "Peer", s.Peer, "Power", s.Power)
	return h, cleanup, nil
}

func (h *Host) startCounts(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	h.counts = newCounts(h.options.Now)
	h.counts.watchSettings(h.kept.get)
	return h.counts, nil, nil
}

func (h *Host) startCoord(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	n, err := kernel.Lookup[*counts](k, serviceCounts)
	if err != nil {
		return nil, nil, err
	}
	c, cleanup := coord.New(ctx, coord.Settings{
		Self: h.settings.Peer, Zone: h.settings.Zone, Incarnation: rand.Uint64(), CPUShare: h.settings.Power,
		Seeds: h.settings.Seeds, Tolerance: h.settings.Tolerance, LocalPolicy: h.settings.Spread, Log: h.log, Counters: n, Now: h.options.Now, BootTime: awake,
		OnPause: func() {
			if s, err := kernel.Lookup[*relay.Sender](k, serviceRelay); err == nil {
				s.DropIdle()
			}
		},
		SetReading: func(on bool) {
			if r, err := kernel.Lookup[Reader](k, serviceSource); err == nil {
				r.Read(on)
			}
		},
	})
	h.coord = c
	return c, cleanup, nil
}

// awake reads the clock that goes on while the machine is suspended.
func awake() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func (h *Host) startMesh(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	at := h.settings.Peer
	if h.settings.PeerListen.IsValid() {
		at = h.settings.PeerListen
	}
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for other hosts")
	}
	n, err := kernel.Lookup[*counts](k, serviceCounts)
	if err != nil {
		return nil, nil, err
	}
	m, cleanup := mesh.New(ctx, mesh.Settings{Self: h.settings.Peer, Listener: listener, Counters: n}, h.coord)
	return m, cleanup, h.coord.Attach(ctx, m)
}

func (h *Host) startRelay(ctx context.Context, _ *kernel.Kernel) (any, kernel.Cleanup, error) {
	s, cleanup := relay.New(ctx, h.options.Dialect.Names(), h.options.Dial, h.options.Now)
	return s, cleanup, nil
}

func (h *Host) startSource(ctx context.Context, _ *kernel.Kernel) (any, kernel.Cleanup, error) {
	r, cleanup := h.options.Source(ctx, h.coord, h.log)
	return r, cleanup, nil
}

func (h *Host) startReady(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	server := &http.Server{ReadHeaderTimeout: headTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != h.settings.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case !h.coord.View().Ready:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	cleanup, err := serve(server, h.settings.Ready)
	return server, cleanup, errors.Wrap(err, "listen for the balancer")
}

func (h *Host) startAdmin(_ context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	if !h.settings.Admin.IsValid() {
		return nil, nil, nil
	}
	n, err := kernel.Lookup[*counts](k, serviceCounts)
	if err != nil {
		return nil, nil, err
	}
	server := adminServer(h, n)
	cleanup, err := serve(server, h.settings.Admin)
	return server, cleanup, errors.Wrap(err, "listen for operators")
}

func (h *Host) startFront(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	sender, err := kernel.Lookup[*relay.Sender](k, serviceRelay)
	if err != nil {
		return nil, nil, err
	}
	n, err := kernel.Lookup[*counts](k, serviceCounts)
	if err != nil {
		return nil, nil, err
	}
	g, cleanGate := gate.New(ctx, gate.Settings{
		Coord: h.coord, Sender: sender, Dialect: h.options.Dialect, Log: h.log, Recorder: n,
		Now: h.options.Now, Budget: budget.New(h.settings.Retries), Zone: h.settings.Zone,
	})
	h.gate = g
	h.front = &http.Server{
		Handler: h.gate, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headTimeout, ConnState: h.idle.changed,
	}
	stop := h.idle.sweep(func() time.Duration {
		if c := h.coord.View().Config; c != nil {
			return c.Limits.IdleTimeout
		}
		return 0
	})
	cleanup, err := serve(h.front, h.settings.Front)
	return h.front, func() {
		stop()
		if cleanup != nil {
			cleanup()
		}
		cleanGate()
	}, errors.Wrap(err, "listen for callers")
}

// maxHeaderBytes bounds a caller's head beyond what any configuration allows.
const maxHeaderBytes = 64 << 10

func serve(server *http.Server, at netip.AddrPort) (kernel.Cleanup, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(l) }()
	return func() { server.Close() }, nil
}

// Status is what a host sees, for operators.
type Status struct {
	coord.Status
	Settings SettingsStatus
}

// Status is what the host sees.
func (h *Host) Status(ctx context.Context) (Status, error) {
	s, err := h.coord.Status(ctx)
	return Status{s, h.kept.get()}, err
}

// Stop ends the host gracefully within its grace: it is not ready any more, but
// serves what still arrives until the balancer has noticed, and then what is
// under way.
func (h *Host) Stop(ctx context.Context) error {
	grace := time.Duration(h.grace.Load())
	h.log.Event("info", "host stopping", "Grace", grace)
	begun := h.options.Now()
	if err := h.coord.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop being ready")
	}
	h.gate.Stop()
	notice := min(noticeTime, grace/2)
	select {
	case <-time.After(notice):
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, max(grace-endMargin-h.options.Now().Sub(begun), 0))
	defer cancel()
	err := h.front.Shutdown(ctx)
	h.log.Event("info", "host stopped", "Took", h.options.Now().Sub(begun), "Error", err)
	return nil
}
