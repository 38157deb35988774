// Package soak runs entry hosts as processes of their own on loopback, with
// stand-ins for everything around them, injects faults from outside and checks,
// from what callers and back ends see, what must always hold. Each run follows
// from its seed and is bounded in time; it ends only processes that it started.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/platform/stand"
)

// Times and sizes of a run.
const (
	requestPeriod = 15 * time.Millisecond // between two requests of the load
	patience      = 2500 * time.Millisecond
	readyWithin   = 10 * time.Second
	// recoverWithin bounds the time from the last fault to a whole service.
	recoverWithin = 12 * time.Second
	grace         = 4 * time.Second
	zones         = 2 // availability zones
	// coldPace is how many requests a second a cold engine bears, and boundedRate
	// how many the bounded workspace may send: both well below the load.
	coldPace    = 1
	boundedRate = 4
	boundedPart = 5 // of so many requests one is the bounded workspace's
)

// Settings are what a run needs.
type Settings struct {
	Program string // the program under test
	Hosts   int
	Seed    uint64
	Length  time.Duration
	Out     io.Writer
	KeepDir string // folder in which hosts' settings files and logs are left; empty to leave none
	// Only names the kinds of fault that are played; empty for all.
	Only []string
	// Tamper lets the stand-ins break a promise, to show that the check sees it.
	Tamper string
}

// Report is how a run went.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Refused  int
	Failed   int
	Faults   []string
	Findings []string // broken promises
}

// run is one run under way.
type run struct {
	settings Settings
	// addresses tells the loopback addresses of this run's hosts from others'.
	addresses uint32
	random    *rand.Rand
	store     *stand.Store
	servers   []*stand.Server
	hosts     []*process
	into      []*proxy // before each host, for other hosts
	reading   []*proxy // before the store, for each host
	deploy    stand.Deployment
	start     time.Time

	mu       sync.Mutex
	requests []*request // guarded by mu
	report   Report     // guarded by mu
	calm     time.Time  // guarded by mu; when the last fault ended
	marks    []mark     // guarded by mu
	crashing []string   // guarded by mu; paths of the requests that crash servers
}

// request is one request of the load with what its caller got.
type request struct {
	id       string
	route    stand.Route
	sent     time.Time
	reply    stand.Reply
	answered time.Time
}

// mark is that a server had left, with nothing else wrong, and must get nothing.
type mark struct {
	server string
	left   stand.Span
}

// Run executes one soak run and returns its report.
func Run(ctx context.Context, s Settings) (Report, error) {
	r := &run{settings: s, addresses: newRange(), random: rand.New(rand.NewPCG(s.Seed, 9)), start: time.Now()}
	r.report.Seed = s.Seed
	folder := s.KeepDir
	if folder == "" {
		made, err := os.MkdirTemp("", "yuccadoor-soak")
		if err != nil {
			return r.report, errors.Wrap(err, "make a folder for settings files")
		}
		defer os.RemoveAll(made)
		folder = made
	}
	cleanup, err := r.build(ctx, folder)
	defer cleanup()
	if err != nil {
		return r.report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var working sync.WaitGroup
	working.Go(func() { r.load(ctx) })
	r.faults(ctx)
	r.recovers(ctx)
	cancel()
	working.Wait()
	r.check()
	return r.report, nil
}

// build starts the stand-ins and the hosts.
func (r *run) build(ctx context.Context, folder string) (func(), error) {
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	local := netip.MustParseAddr("127.0.0.1")
	store, stop, err := stand.NewStore(local)
	if err != nil {
		return cleanup, errors.Wrap(err, "start the store")
	}
	cleanups = append(cleanups, stop)
	r.store = store
	r.deploy = stand.Deployment{Version: 1, Routes: stand.DefaultRoutes(), Keys: []string{"key-1"}, ColdRate: coldPace, LimitedRate: boundedRate}
	if r.settings.Tamper == "Quota" {
		r.deploy.LimitedRate *= 10
	}
	r.deploy.Publish(store)
	for i := range 8 {
		_, stop, err := r.addServer(i)
		if err != nil {
			return cleanup, err
		}
		cleanups = append(cleanups, stop)
	}
	var listen []netip.AddrPort
	for n := range r.settings.Hosts {
		at, stop, err := r.proxies(n)
		cleanups = append(cleanups, stop...)
		if err != nil {
			return cleanup, err
		}
		listen = append(listen, at)
	}
	for n := range r.settings.Hosts {
		p, err := r.newProcess(folder, n, listen[n])
		if err != nil {
			return cleanup, err
		}
		r.hosts = append(r.hosts, p)
		cleanups = append(cleanups, p.end)
	}
	for _, h := range r.hosts {
		if !r.within(ctx, readyWithin, h.ready) {
			return cleanup, errors.Errorf("host %s was not ready in %s; it logged last: %s", h.node.Name, readyWithin, h.lastLine())
		}
	}
	return cleanup, nil
}

func (r *run) addServer(n int) (*stand.Server, func(), error) {
	s := &stand.Server{
		ID: fmt.Sprint("server-", n), Service: []string{"plain", "engine"}[n%2], Zone: zone(n / 2), Slots: 4,
		Events: 10, EventInterval: 4 * time.Millisecond, ProcessingTime: 5 * time.Millisecond, Tamper: r.settings.Tamper,
	}
	_, stop, err := stand.NewServer(r.hostAddress(serverPlace), s)
	if err != nil {
		return nil, nil, errors.Wrap(err, "start a server")
	}
	s.SetCrash(crashesServers(r.settings.Tamper))
	s.Register(r.store)
	r.servers = append(r.servers, s)
	return s, stop, nil
}

func zone(n int) string { return []string{"a", "b"}[n%zones] }

// Ports of a host, below those that the system gives to outgoing connections.
const (
	portFront = 8001 + iota
	portReady
	portListen // for other hosts
	portInto   // the proxy before portListen
	portStore  // the proxy before the store
)

// serverPlace is the place of the servers' address, beyond those of hosts: no port
// of a server that is down for a while is taken by anything else.
const serverPlace = 200

// runs counts the runs of this process.
var runs atomic.Uint32

// newRange gives a range of loopback addresses that no other run uses now.
func newRange() uint32 {
	const perProcess = 8 // runs at once
	return uint32(os.Getpid())*perProcess + runs.Add(1)%perProcess
}

func (r *run) hostAddress(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 64 + byte(r.addresses>>8)%64, byte(r.addresses), byte(n + 1)})
}

func (r *run) at(n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(r.hostAddress(n), port)
}

// proxies puts proxies before a host and before the store for it, and returns
// where the host is to listen.
func (r *run) proxies(n int) (netip.AddrPort, []func(), error) {
	var stops []func()
	at := r.at(n, portListen)
	into, stop, err := newProxy(r.at(n, portInto), at, netip.Addr{}, helloFrom)
	if err != nil {
		return at, stops, err
	}
	stops = append(stops, stop)
	reading, stop, err := newProxy(r.at(n, portStore), r.store.Address, r.hostAddress(n), nil)
	if err != nil {
		return at, stops, err
	}
	r.into, r.reading = append(r.into, into), append(r.reading, reading)
	return at, append(stops, stop), nil
}

// hello is how a host begins a connection to another: it tells its address.
var hello = regexp.MustCompile(`"From":"([0-9.]+):`)

// helloFrom finds out which host calls.
func helloFrom(first []byte) netip.Addr {
	m := hello.FindSubmatch(first)
	if m == nil {
		return netip.Addr{}
	}
	a, _ := netip.ParseAddr(string(m[1]))
	return a
}

func (r *run) newProcess(folder string, n int, listen netip.AddrPort) (*process, error) {
	var seeds []netip.AddrPort
	for _, p := range r.into[:min(3, len(r.into))] {
		seeds = append(seeds, p.address)
	}
	p := &process{
		program: r.settings.Program, listen: listen, file: filepath.Join(folder, fmt.Sprint("node-", n, ".toml")),
		log: filepath.Join(folder, fmt.Sprint("node-", n, ".log")),
		node: stand.Node{
			Name: fmt.Sprint("host-", n), Zone: zone(n), Front: r.at(n, portFront), Ready: r.at(n, portReady), Control: r.into[n].address,
			Seeds: seeds, Store: r.reading[n].address, Grace: grace,
		},
	}
	if err := os.WriteFile(p.file, []byte(p.node.SettingsFile()), 0o600); err != nil {
		return nil, errors.Wrap(err, "write a settings file")
	}
	return p, p.start()
}

// load sends requests of all kinds to hosts at random until the context ends.
func (r *run) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 10))
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(requestPeriod):
		}
		route := r.deploy.Routes[random.IntN(len(r.deploy.Routes))]
		h := r.hosts[random.IntN(len(r.hosts))]
		q := &request{id: fmt.Sprintf("q%d", n), route: route, sent: time.Now()}
		r.mu.Lock()
		key := r.deploy.Keys[len(r.deploy.Keys)-1]
		if n%boundedPart == 0 {
			key = stand.LimitedKey
		}
		r.requests = append(r.requests, q)
		r.mu.Unlock()
		sending.Go(func() {
			reply := stand.Send(context.WithoutCancel(ctx), h.node.Front, "POST", route.Prefix+"x", q.id, key, "body", patience)
			r.mu.Lock()
			defer r.mu.Unlock()
			q.reply, q.answered = reply, time.Now()
		})
	}
}

// within waits until a condition holds and reports whether it did in time.
func (r *run) within(ctx context.Context, limit time.Duration, holds func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds(ctx) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return true
}
