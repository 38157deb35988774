// Package soak is a randomized fault-injection test. It runs entry hosts as
// separate processes on loopback with fakes of everything around them, injects
// faults from outside and checks the product's guarantees by what callers and
// back ends observe. A run is determined by its seed and bounded in time. It ends
// only processes that it started.
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

// Durations and rates of a run.
const (
	requestInterval = 15 * time.Millisecond // between two requests of the load
	clientTimeout   = 2500 * time.Millisecond
	readyTimeout    = 10 * time.Second
	// recoveryTimeout bounds how long after the last fault a host may take until it
	// serves a route again.
	recoveryTimeout = 12 * time.Second
	shutdownGrace   = 4 * time.Second
	zones           = 2 // availability zones
	// coldRate is how many requests per second a cold engine sustains, and
	// limitedRate how many the rate-limited workspace may send. Both are well below
	// the load.
	coldRate     = 1
	limitedRate  = 4
	limitedEvery = 5 // one request in this many belongs to the rate-limited workspace
)

// Settings configure a run.
type Settings struct {
	Program string // path of the program under test
	// Former is the path of another version of the program; empty for none. Hosts run it
	// first, and a host that starts again runs the version that it did not run before.
	Former  string
	Hosts   int // number of entry hosts
	Seed    uint64
	Length  time.Duration // how long faults are injected
	Out     io.Writer     // receives a line for each injected fault; nil for none
	KeepDir string        // directory in which hosts' settings files and logs are kept; empty to delete them
	// Only lists the kinds of fault to inject; empty for all.
	Only []string
	// Tamper selects a guarantee that the fakes violate, to verify that the checks
	// detect it.
	Tamper string
}

// programs returns the programs that the starts of a host run by turns.
func (s *Settings) programs() []string {
	if s.Former == "" {
		return []string{s.Program}
	}
	return []string{s.Former, s.Program}
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Refused  int
	Failed   int
	Faults   []string
	Findings []string // violated guarantees
}

// run is the state of a run in progress.
type run struct {
	settings Settings
	// addressRange separates the loopback addresses of this run's hosts from those
	// of concurrent runs.
	addressRange uint32
	random       *rand.Rand
	store        *stand.Store
	servers      []*stand.Server
	hosts        []*process
	peerProxies  []*proxy // by host; carry the connections from other hosts to it
	storeProxies []*proxy // by host; carry its connections to the store
	deploy       stand.Deployment
	start        time.Time

	mu          sync.Mutex
	requests    []*request    // guarded by mu
	report      Report        // guarded by mu
	faultsEnded time.Time     // guarded by mu; when the last fault ended
	departures  []departure   // guarded by mu
	crashes     []crashSeries // guarded by mu
	limits      []limitSpan   // guarded by mu
}

// request is one request of the load with the reply that its caller received.
type request struct {
	id       string
	route    stand.Route
	sent     time.Time
	reply    stand.Reply
	answered time.Time
	takenUp  string // id of the request by which its caller took the stream up; empty for none
}

// departure is the time during which a server had left and hosts were able to learn
// of it, so that they had to stop sending to it. The only other fault at that time
// may be that one host was killed and restarted.
type departure struct {
	server string
	span   stand.Span
}

// Run executes one soak run and returns its report.
func Run(ctx context.Context, s Settings) (Report, error) {
	r := &run{settings: s, addressRange: newAddressRange(), random: rand.New(rand.NewPCG(s.Seed, 9)), start: time.Now()}
	r.report.Seed = s.Seed
	dir := s.KeepDir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "yuccadoor-soak")
		if err != nil {
			return r.report, errors.Wrap(err, "create a directory for settings files")
		}
		defer os.RemoveAll(tempDir)
		dir = tempDir
	}
	cleanup, err := r.setUp(ctx, dir)
	defer cleanup()
	if err != nil {
		return r.report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loading sync.WaitGroup
	loading.Go(func() { r.sendLoad(ctx) })
	r.injectFaults(ctx)
	r.checkRecovery(ctx)
	cancel()
	loading.Wait()
	r.checkResults()
	return r.report, nil
}

// setUp starts the fakes and the hosts and waits until the hosts are ready. The
// cleanup function must be called even if setUp fails.
func (r *run) setUp(ctx context.Context, dir string) (func(), error) {
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	loopback := netip.MustParseAddr("127.0.0.1")
	store, stop, err := stand.NewStore(loopback)
	if err != nil {
		return cleanup, errors.Wrap(err, "start the store")
	}
	cleanups = append(cleanups, stop)
	r.store = store
	r.deploy = stand.Deployment{Version: 1, Routes: stand.DefaultRoutes(), Keys: []string{"key-1"}, ColdRate: coldRate, LimitedRate: limitedRate}
	if r.settings.Tamper == "Quota" {
		r.deploy.LimitedRate *= 10
	}
	r.deploy.Publish(store)
	for i := range 8 {
		_, stop, err := r.startServer(i)
		if err != nil {
			return cleanup, err
		}
		cleanups = append(cleanups, stop)
	}
	var listen []netip.AddrPort
	for n := range r.settings.Hosts {
		at, stop, err := r.startProxies(n)
		cleanups = append(cleanups, stop...)
		if err != nil {
			return cleanup, err
		}
		listen = append(listen, at)
	}
	for n := range r.settings.Hosts {
		p, err := r.startHost(dir, n, listen[n])
		if err != nil {
			return cleanup, err
		}
		r.hosts = append(r.hosts, p)
		cleanups = append(cleanups, p.kill)
	}
	for _, h := range r.hosts {
		if !r.waitFor(ctx, readyTimeout, h.ready) {
			return cleanup, errors.Errorf("host %s was not ready within %s; its last log line: %s", h.node.Name, readyTimeout, h.lastLogLine())
		}
	}
	return cleanup, nil
}

func (r *run) startServer(n int) (*stand.Server, func(), error) {
	s := &stand.Server{
		ID: fmt.Sprint("server-", n), Service: []string{"plain", "engine"}[n%2], Zone: zone(n / 2), Slots: 4,
		Version: []string{"v1", "v2"}[n/4%2], Events: 10, EventInterval: 4 * time.Millisecond, ProcessingTime: 5 * time.Millisecond, Tamper: r.settings.Tamper,
	}
	_, stop, err := stand.NewServer(r.hostAddress(serversIndex), s)
	if err != nil {
		return nil, nil, errors.Wrap(err, "start a server")
	}
	s.SetCrash(crashFault(r.settings.Tamper))
	s.Register(r.store)
	r.servers = append(r.servers, s)
	return s, stop, nil
}

func zone(n int) string { return []string{"a", "b"}[n%zones] }

// Ports of a host. They are below the ephemeral range, from which the system
// assigns the ports of outgoing connections.
const (
	portFront = 8001 + iota
	portReady
	portPeer       // for other hosts
	portPeerProxy  // the proxy in front of portPeer
	portStoreProxy // the proxy in front of the store
)

// serversIndex is the index of the address that all servers share, beyond those
// of the hosts. On an address of their own, nothing else can take the port of a
// server while it is down.
const serversIndex = 200

// runCount is the number of runs that this process has started.
var runCount atomic.Uint32

// newAddressRange returns the number of a range of loopback addresses that no
// concurrent run uses.
func newAddressRange() uint32 {
	const perProcess = 16 // concurrent runs in one process
	return uint32(os.Getpid())*perProcess + runCount.Add(1)%perProcess
}

func (r *run) hostAddress(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 64 + byte(r.addressRange>>8)%64, byte(r.addressRange), byte(n + 1)})
}

func (r *run) hostAddrPort(n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(r.hostAddress(n), port)
}

// startProxies starts the proxies of a host, one for connections from other hosts
// and one for its connections to the store. It returns the address at which the
// host has to listen for other hosts.
func (r *run) startProxies(n int) (netip.AddrPort, []func(), error) {
	var stops []func()
	at := r.hostAddrPort(n, portPeer)
	peerProxy, stop, err := newProxy(r.hostAddrPort(n, portPeerProxy), at, netip.Addr{}, helloFrom)
	if err != nil {
		return at, stops, err
	}
	stops = append(stops, stop)
	storeProxy, stop, err := newProxy(r.hostAddrPort(n, portStoreProxy), r.store.Address, r.hostAddress(n), nil)
	if err != nil {
		return at, stops, err
	}
	r.peerProxies, r.storeProxies = append(r.peerProxies, peerProxy), append(r.storeProxies, storeProxy)
	return at, append(stops, stop), nil
}

// helloPattern matches the sender's address in the hello message with which a host
// opens a connection to another.
var helloPattern = regexp.MustCompile(`"From":"([0-9.]+):`)

// helloFrom returns the address of the host that opened a connection, given its
// first bytes, or the zero address if they contain no hello message.
func helloFrom(first []byte) netip.Addr {
	m := helloPattern.FindSubmatch(first)
	if m == nil {
		return netip.Addr{}
	}
	a, _ := netip.ParseAddr(string(m[1]))
	return a
}

func (r *run) startHost(dir string, n int, listen netip.AddrPort) (*process, error) {
	var seeds []netip.AddrPort
	for _, p := range r.peerProxies[:min(3, len(r.peerProxies))] {
		seeds = append(seeds, p.address)
	}
	p := &process{
		programs: r.settings.programs(), listen: listen, settingsPath: filepath.Join(dir, fmt.Sprint("node-", n, ".toml")),
		logPath: filepath.Join(dir, fmt.Sprint("node-", n, ".log")),
		node: stand.Node{
			Name: fmt.Sprint("host-", n), Zone: zone(n), Front: r.hostAddrPort(n, portFront), Ready: r.hostAddrPort(n, portReady), Control: r.peerProxies[n].address,
			Seeds: seeds, Store: r.storeProxies[n].address, Grace: shutdownGrace,
		},
	}
	if err := os.WriteFile(p.settingsPath, []byte(p.node.SettingsFile()), 0o600); err != nil {
		return nil, errors.Wrap(err, "write a settings file")
	}
	return p, p.start()
}

// sendLoad sends requests for random routes to random hosts until the context is
// canceled, then waits for their replies.
func (r *run) sendLoad(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 10))
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(requestInterval):
		}
		route := r.deploy.Routes[random.IntN(len(r.deploy.Routes))]
		h := r.hosts[random.IntN(len(r.hosts))]
		q := &request{id: fmt.Sprintf("q%d", n), route: route, sent: time.Now()}
		r.mu.Lock()
		key := r.deploy.Keys[len(r.deploy.Keys)-1]
		if n%limitedEvery == 0 {
			key = stand.LimitedKey
		}
		r.requests = append(r.requests, q)
		r.mu.Unlock()
		pending.Go(func() {
			reply := stand.Send(context.WithoutCancel(ctx), h.node.Front, "POST", route.Prefix+"x", q.id, key, "body", clientTimeout, stand.Prompt(q.id, sharedParts...))
			r.mu.Lock()
			q.reply, q.answered = reply, time.Now()
			r.mu.Unlock()
			r.takeUp(context.WithoutCancel(ctx), q, key)
		})
	}
}

// waitFor polls until a condition holds and reports whether it did within the
// timeout.
func (r *run) waitFor(ctx context.Context, timeout time.Duration, holds func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
