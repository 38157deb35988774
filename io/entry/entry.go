package entry

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/kernel"
	"yuccadoor/core/model"
	"yuccadoor/io/accept"
	"yuccadoor/io/admin"
	"yuccadoor/io/body"
	"yuccadoor/io/conns"
	"yuccadoor/io/front"
	"yuccadoor/io/logs"
	"yuccadoor/io/loop"
	"yuccadoor/io/mesh"
	"yuccadoor/io/peers"
	"yuccadoor/io/plat"
	"yuccadoor/io/reach"
	"yuccadoor/io/stats"
)

// Names of the services in the kernel, by which they look each other up.
const (
	serviceStats    = "stats"
	serviceLoop     = "loop"
	servicePeers    = "peers"
	serviceReach    = "reach"
	servicePlatform = "platform"
	serviceAdmin    = "admin"
	serviceFront    = "front"
)

// memoryLimitFraction is the part of the machine's memory above which the Go runtime
// collects garbage more often. The rest is for memory that the runtime does not count.
const memoryLimitFraction = 0.7

// Options replaces parts of a host, mainly in tests. A zero DialPeer, DialTarget, Now
// or ReadTimeout selects the default.
type Options struct {
	LogWriter   io.Writer
	DialPeer    mesh.Dial
	DialTarget  conns.DialFunc
	Now         func() time.Time
	ReadTimeout time.Duration // of the callers' listener, for one request including its body
}

// Host is a running entry host.
type Host struct {
	kernel     kernel.Kernel
	settings   parsedSettings
	loop       *loop.Loop
	log        *logs.Log
	closeConns atomic.Bool // responses ask callers to close their connections
}

// New validates the settings, starts a host and returns it with its cleanup function.
// The cleanup function stops the host immediately; call Stop first for a graceful
// shutdown.
func New(ctx context.Context, s Settings, o Options) (*Host, func(), error) {
	c, err := s.parse()
	if err != nil {
		return nil, nil, err
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(c.memoryBytes())))
	}
	log, err := logs.New(o.LogWriter, s.LogLevel)
	if err != nil {
		return nil, nil, err
	}
	h := &Host{settings: c, log: log}
	b := &builder{Host: h, options: o, incarnation: model.Incarnation(rand.Uint32())}
	ctx, cancel := context.WithCancel(ctx)
	steps := []kernel.Step{
		{Name: serviceStats, Start: b.stats},
		{Name: serviceLoop, Start: b.loop},
		{Name: servicePeers, Start: b.peers},
		{Name: serviceReach, Start: b.reach},
		{Name: servicePlatform, Start: b.platform},
		{Name: serviceAdmin, Start: b.admin},
		{Name: serviceFront, Start: b.front},
	}
	if err := h.kernel.StartAll(ctx, steps); err != nil {
		cancel()
		h.kernel.Close()
		return nil, nil, err
	}
	h.loop, _ = kernel.Lookup[*loop.Loop](&h.kernel, serviceLoop)
	log.Event("info", "host started", "Front", s.Front, "Peer", s.Peer, "Admin", s.Admin, "Zone", s.Zone)
	return h, func() {
		cancel()
		h.kernel.Close()
	}, nil
}

// Ready reports whether the host is ready to serve requests.
func (h *Host) Ready() bool { return h.loop.Status().Ready }

// Status returns the host's latest published status.
func (h *Host) Status() loop.Status { return h.loop.Status() }

// Stop shuts the host down gracefully. The host first reports that it is not ready,
// and keeps serving requests for Settings.Notice, until the load balancer has
// noticed. It then refuses new requests and waits for the accepted ones to end, at
// most for Settings.Grace.
func (h *Host) Stop(ctx context.Context) error {
	server, err := kernel.Lookup[*http.Server](&h.kernel, serviceFront)
	if err != nil {
		return err
	}
	if err := h.loop.MarkNotReady(ctx); err != nil {
		return errors.Wrap(err, "mark the host as not ready")
	}
	h.closeConns.Store(true)
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the load balancer")
	case <-time.After(h.settings.Notice):
	}
	ctx, cancel := context.WithTimeout(ctx, h.settings.Grace)
	defer cancel()
	if err := h.loop.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop accepting requests")
	}
	if err := front.Drain(ctx, h.loop); err != nil {
		return errors.Wrap(err, "wait for accepted requests")
	}
	h.log.Event("info", "host drained")
	return errors.Wrap(server.Shutdown(ctx), "close the callers' listener")
}

// builder starts the services of one host.
type builder struct {
	*Host
	options     Options
	incarnation model.Incarnation
}

// serviceLookup looks up services by name and keeps the first error.
type serviceLookup struct {
	kernel *kernel.Kernel
	err    error
}

// lookup returns the service with the given name. On failure it returns the zero
// value and sets f.err.
func lookup[T any](f *serviceLookup, name string) T {
	service, err := kernel.Lookup[T](f.kernel, name)
	if f.err == nil {
		f.err = err
	}
	return service
}

func (b *builder) stats(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	return stats.New(b.options.Now), nil, nil
}

func (b *builder) loop(ctx context.Context, _ *kernel.Kernel) (any, kernel.Cleanup, error) {
	l, cleanup := loop.New(ctx, loop.Settings{
		Self: b.settings.peer, Zone: b.settings.Zone, Incarnation: b.incarnation,
		MaxWaiting: b.settings.MaxWaiting, Policy: b.settings.policy,
		Seed: uint64(b.incarnation), Log: b.log, Now: b.options.Now,
	})
	return l, cleanup, nil
}

func (b *builder) peers(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	f := serviceLookup{kernel: k}
	l := lookup[*loop.Loop](&f, serviceLoop)
	s := lookup[*stats.Stats](&f, serviceStats)
	if f.err != nil {
		return nil, nil, f.err
	}
	listener, err := net.Listen("tcp", b.settings.peer.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for peers")
	}
	m, cleanup := peers.New(ctx, peers.Settings{
		Self: b.settings.peer, Listener: listener, Dial: b.options.DialPeer, Counters: s, Log: b.log, Limits: b.settings.limits(),
	}, l)
	if err := l.Attach(ctx, m); err != nil {
		cleanup()
		return nil, nil, err
	}
	go l.Gossip(ctx)
	return m, cleanup, nil
}

func (b *builder) reach(context.Context, *kernel.Kernel) (any, kernel.Cleanup, error) {
	s, cleanup := reach.New(b.options.DialTarget, b.options.Now)
	return s, cleanup, nil
}

func (b *builder) platform(ctx context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	f := serviceLookup{kernel: k}
	l := lookup[*loop.Loop](&f, serviceLoop)
	sender := lookup[*reach.Sender](&f, serviceReach)
	if f.err != nil {
		return nil, nil, f.err
	}
	client, cleanup := plat.New(b.settings.config, b.settings.hosts)
	p := &pollers{client: client, loop: l, sender: sender, log: b.log, now: b.options.Now}
	go p.pollConfig(ctx)
	go p.pollHosts(ctx)
	go p.pollLoads(ctx)
	return client, cleanup, nil
}

func (b *builder) admin(_ context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	f := serviceLookup{kernel: k}
	l := lookup[*loop.Loop](&f, serviceLoop)
	s := lookup[*stats.Stats](&f, serviceStats)
	if f.err != nil {
		return nil, nil, f.err
	}
	s.Gauge("yuccadoor_running", func() float64 { return float64(l.Status().Running) })
	s.Gauge("yuccadoor_config_revision", func() float64 { return float64(l.Status().ConfigRevision) })
	s.Gauge("yuccadoor_peers_alive", func() float64 { return float64(len(l.Status().PeersAlive)) })
	server := admin.Server(l, s, func() map[string]float64 { return objectiveShares(l) })
	cleanup, err := accept.Serve(server, b.settings.admin, accept.Bounds{Conns: b.settings.limits().SideConns, Port: "admin", Set: s.Set()}, b.log)
	return server, cleanup, errors.Wrap(err, "listen for operators")
}

// objectiveShares returns the objective share of each service in the configuration.
func objectiveShares(l *loop.Loop) map[string]float64 {
	shares := map[string]float64{}
	v := l.View()
	if v == nil || v.Catalog == nil {
		return shares
	}
	for name, s := range v.Catalog.Services {
		shares[name] = s.Objective.Share
	}
	return shares
}

func (b *builder) front(_ context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	f := serviceLookup{kernel: k}
	l := lookup[*loop.Loop](&f, serviceLoop)
	sender := lookup[*reach.Sender](&f, serviceReach)
	s := lookup[*stats.Stats](&f, serviceStats)
	if f.err != nil {
		return nil, nil, f.err
	}
	readTimeout := cmp.Or(b.options.ReadTimeout, front.BodyTimeout)
	limits := b.settings.limits()
	bodies := body.New(body.Settings{Limits: limits, Copies: 1, Set: s.Set(), Now: b.options.Now}) // reach encodes a request with its body
	handler := front.Handler(front.Settings{
		Bodies: bodies,
		Self:   b.settings.peer, RequestIDPrefix: requestIDPrefix(b.settings.peer, b.incarnation),
		Loop: l, Sender: sender, Log: b.log, Recorder: s, Now: b.options.Now,
	})
	server := front.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.closeConns.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	}), readTimeout)
	cleanup, err := accept.Serve(server, b.settings.front, accept.Bounds{
		Conns: limits.Conns, HeadBytes: limits.Heads, Port: "front", Set: s.Set(),
	}, b.log)
	return server, cleanup, errors.Wrap(err, "listen for callers")
}

// requestIDBase is the numeral base of the numbers in request ids.
const requestIDBase = 36

// requestIDPrefix returns a prefix that distinguishes the request ids of different
// hosts and incarnations.
func requestIDPrefix(self netip.AddrPort, incarnation model.Incarnation) string {
	return strconv.FormatUint(uint64(self.Port()), requestIDBase) + "-" + strconv.FormatUint(uint64(incarnation), requestIDBase)
}
