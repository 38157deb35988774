package entry

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"yuccadoor/core/kernel"
	"yuccadoor/core/model"
	"yuccadoor/io/admin"
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

// Names under which the services find each other.
const (
	serviceStats    = "stats"
	serviceLoop     = "loop"
	servicePeers    = "peers"
	serviceReach    = "reach"
	servicePlatform = "platform"
	serviceAdmin    = "admin"
	serviceFront    = "front"
)

// Options replace parts of a host in tests.
type Options struct {
	LogWriter   io.Writer
	DialPeer    mesh.Dial
	DialTarget  conns.Dial
	Now         func() time.Time
	ReadTimeout time.Duration // longest time for reading a caller's body; 0 for the usual
}

// Host is a running entry host.
type Host struct {
	kernel   kernel.Kernel
	settings checked
	loop     *loop.Loop
	log      *logs.Log
	leaving  atomic.Bool // callers are asked to close their connections
}

// New checks the settings, starts a host and returns it with its clean-up
// function, which stops at once. Stop before it for a graceful end.
func New(ctx context.Context, s Settings, o Options) (*Host, func(), error) {
	c, err := s.check()
	if err != nil {
		return nil, nil, err
	}
	if o.Now == nil {
		o.Now = time.Now
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

// Ready reports whether the host may serve.
func (h *Host) Ready() bool { return h.loop.Status().Ready }

// Status is what the host sees.
func (h *Host) Status() loop.Status { return h.loop.Status() }

// Stop ends the host gracefully: it is not ready any more, but serves what still
// arrives until the balancer has noticed; then it refuses new requests and waits
// until those taken in have ended, or the grace is over.
func (h *Host) Stop(ctx context.Context) error {
	server, err := kernel.Lookup[*http.Server](&h.kernel, serviceFront)
	if err != nil {
		return err
	}
	if err := h.loop.MarkNotReady(ctx); err != nil {
		return errors.Wrap(err, "stop being ready")
	}
	h.leaving.Store(true)
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the balancer")
	case <-time.After(h.settings.Notice):
	}
	ctx, cancel := context.WithTimeout(ctx, h.settings.Grace)
	defer cancel()
	if err := h.loop.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop taking requests")
	}
	if err := front.Drain(ctx, h.loop); err != nil {
		return errors.Wrap(err, "wait for running requests")
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

// finder looks services up by name and keeps the first error.
type finder struct {
	kernel *kernel.Kernel
	err    error
}

func need[T any](f *finder, name string) T {
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
	f := finder{kernel: k}
	l := need[*loop.Loop](&f, serviceLoop)
	s := need[*stats.Stats](&f, serviceStats)
	if f.err != nil {
		return nil, nil, f.err
	}
	listener, err := net.Listen("tcp", b.settings.peer.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for peers")
	}
	m, cleanup := peers.New(ctx, peers.Settings{
		Self: b.settings.peer, Listener: listener, Dial: b.options.DialPeer, Counters: s, Log: b.log,
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
	f := finder{kernel: k}
	l := need[*loop.Loop](&f, serviceLoop)
	sender := need[*reach.Sender](&f, serviceReach)
	if f.err != nil {
		return nil, nil, f.err
	}
	client, cleanup := plat.New(b.settings.config, b.settings.hosts)
	d := &duties{client: client, loop: l, sender: sender, log: b.log, now: b.options.Now}
	go d.watchConfig(ctx)
	go d.readHosts(ctx)
	go d.readLoads(ctx)
	return client, cleanup, nil
}

func (b *builder) admin(_ context.Context, k *kernel.Kernel) (any, kernel.Cleanup, error) {
	f := finder{kernel: k}
	l := need[*loop.Loop](&f, serviceLoop)
	s := need[*stats.Stats](&f, serviceStats)
	if f.err != nil {
		return nil, nil, f.err
	}
	s.Gauge("yuccadoor_running", func() float64 { return float64(l.Status().Running) })
	s.Gauge("yuccadoor_config_revision", func() float64 { return float64(l.Status().ConfigRevision) })
	s.Gauge("yuccadoor_peers_alive", func() float64 { return float64(len(l.Status().PeersAlive)) })
	server := admin.Server(l, s, func() map[string]float64 { return objectives(l) })
	cleanup, err := listen(server, b.settings.admin, 0)
	return server, cleanup, errors.Wrap(err, "listen for operators")
}

func objectives(l *loop.Loop) map[string]float64 {
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
	f := finder{kernel: k}
	l := need[*loop.Loop](&f, serviceLoop)
	sender := need[*reach.Sender](&f, serviceReach)
	s := need[*stats.Stats](&f, serviceStats)
	if f.err != nil {
		return nil, nil, f.err
	}
	reading := cmp.Or(b.options.ReadTimeout, front.BodyTimeout)
	handler := front.Handler(front.Settings{
		Self: b.settings.peer, Prefix: idPrefix(b.settings.peer, b.incarnation),
		Loop: l, Sender: sender, Log: b.log, Recorder: s, Now: b.options.Now,
	})
	server := front.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	}), reading)
	cleanup, err := listen(server, b.settings.front, b.settings.MaxConns)
	return server, cleanup, errors.Wrap(err, "listen for callers")
}

// idBase is the base in which numbers are written into request ids.
const idBase = 36

// idPrefix makes request ids of different hosts and incarnations differ.
func idPrefix(self netip.AddrPort, incarnation model.Incarnation) string {
	return strconv.FormatUint(uint64(self.Port()), idBase) + "-" + strconv.FormatUint(uint64(incarnation), idBase)
}

// listen serves at an address, with at most limit connections unless it is 0.
func listen(server *http.Server, at netip.AddrPort, limit int) (kernel.Cleanup, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	if limit > 0 {
		l = netutil.LimitListener(l, limit)
	}
	go func() { _ = server.Serve(l) }()
	return func() { server.Close() }, nil
}
