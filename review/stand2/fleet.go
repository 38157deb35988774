package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yuccadoor/platform/stand"
)

// Figures of the small deployment that the cases play.
const (
	heartbeat   = 1200 * time.Millisecond
	entryLife   = 3 * heartbeat // after which the entry of a silent server is removed
	contactTime = 3 * time.Second
	clientKey   = "key-desk"
	hostName    = "desk.example"
	readyWait   = 15 * time.Second
)

// fleet is a deployment: entry hosts and servers as processes, and the platform around them.
type fleet struct {
	dir     string
	program string
	self    string // path of this program, which is also the server
	store   *stand.Store
	began   time.Time

	mu      sync.Mutex
	hosts   []*host          // guarded by mu
	servers []*serverProcess // guarded by mu
	runs    []serverRecord   // guarded by mu
	lines   []string         // guarded by mu; the record of the case
	ended   bool             // guarded by mu; nothing is started any more
	// starting counts the processes that are being started.
	starting sync.WaitGroup
	next     int // guarded by mu; number of the next server
}

// host is an entry host.
type host struct {
	name, zone, settings string
	at                   netip.Addr
	front, ready, peer   netip.AddrPort
	cmd                  *exec.Cmd
	exited               chan struct{}
	misses               int  // guarded by fleet.mu; questions in a row without a 200
	inRotation           bool // guarded by fleet.mu
}

// serverProcess is a process of a server.
type serverProcess struct {
	spec   serverSpec
	cmd    *exec.Cmd
	exited chan struct{}
}

// newFleet starts the platform's store and returns the cleanup function, which ends all that was
// started.
func newFleet() (*fleet, func(), error) {
	dir, err := os.MkdirTemp("", "yuccadoor-review")
	if err != nil {
		return nil, nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	program, err := filepath.Abs("target/yuccadoor")
	if err != nil {
		return nil, nil, err
	}
	store, stop, err := stand.NewStore(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		return nil, nil, err
	}
	f := &fleet{dir: dir, program: program, self: self, store: store, began: time.Now()}
	return f, func() {
		f.end()
		stop()
		os.RemoveAll(dir)
	}, nil
}

// end ends all processes.
func (f *fleet) end() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.starting.Wait()
	f.mu.Lock()
	hosts, servers := slices.Clone(f.hosts), slices.Clone(f.servers)
	f.mu.Unlock()
	for _, h := range hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	for _, s := range servers {
		_ = s.cmd.Process.Kill()
		<-s.exited
	}
}

// begin counts a process that is to be started, unless all are to end.
func (f *fleet) begin() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return errors.New("the case has ended")
	}
	f.starting.Add(1)
	return nil
}

// note adds a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, fmt.Sprintf("%8.3f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// writeRecord writes the record to a file.
func (f *fleet) writeRecord(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(f.lines, "\n")+"\n"), 0o644)
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	attempts              int
	resumable             bool
	timeout               time.Duration
}

// configure publishes the configuration.
func (f *fleet) configure(routes []route, slots int) {
	var all []any
	services := map[string]bool{}
	for _, r := range routes {
		services[r.service] = true
		all = append(all, map[string]any{
			"name": strings.Trim(r.prefix, "/"), "host": hostName, "path_prefix": r.prefix, "route_kind": r.kind, "service": r.service,
			"timeout_ms": r.timeout.Milliseconds(), "goal_ms": 800, "gap_goal_ms": 500, "priority": 0, "max_attempts": r.attempts, "resumable": r.resumable,
		})
	}
	var entries []any
	for name := range services {
		entry := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 370}
		if strings.HasSuffix(name, "-llm") {
			entry["engine"] = map[string]any{"slots": slots, "stride": 5}
		}
		entries = append(entries, entry)
	}
	f.store.Put("op/config", map[string]any{
		"version": 3, "routes": all, "services": entries,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "desk", "api_keys": []string{clientKey}}},
	})
}

// startHosts starts a host in each of the zones and waits until all are ready.
func (f *fleet) startHosts(zones ...string) error {
	net24 := [2]byte{byte(64 + rand.IntN(64)), byte(1 + rand.IntN(250))}
	ports, err := freePorts(netip.AddrFrom4([4]byte{127, net24[0], net24[1], 1}), 4)
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		at := netip.AddrFrom4([4]byte{127, net24[0], net24[1], byte(i + 1)})
		h := &host{
			name: fmt.Sprint("edge-", zone, "-", i+1), zone: zone, at: at, inRotation: true,
			front: netip.AddrPortFrom(at, ports[0]), ready: netip.AddrPortFrom(at, ports[1]), peer: netip.AddrPortFrom(at, ports[2]),
		}
		h.settings = filepath.Join(f.dir, h.name+".toml")
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(h.peer.String()))
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := os.WriteFile(h.settings, []byte(f.settings(h, zones, seeds, ports[3])), 0o600); err != nil {
			return err
		}
		if err := f.startHost(h); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyWait)
	for _, h := range f.hosts {
		for !stand.IsReady(context.Background(), h.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	go f.checkReady()
	return nil
}

// freePorts returns ports that are free at an address.
func freePorts(at netip.Addr, n int) ([]uint16, error) {
	var ports []uint16
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(at, 0).String())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	return ports, nil
}

// settings returns the settings file of a host.
func (f *fleet) settings(h *host, zones, seeds []string, internal uint16) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"edge\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control\"]\nip = %q\nzone = %q\nregion = \"r\"\n", h.name, h.at, h.zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = true\nheartbeat_ms = 1200\n[zones]\n", internal, internal, strings.Join(seeds, ","))
	for _, z := range slices.Compact(slices.Clone(zones)) {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfront_addr = %q\nready = %q\ncontrol_plane = %q\n", h.front, h.ready, h.peer)
	b.WriteString("[limits]\ncpu_fraction = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n")
	b.WriteString("[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n")
	b.WriteString("config_apply_ms = 2000\nrollback_slack_ms = 250\npartition_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\n")
	b.WriteString("quota_window_s = 8\nquota_overshoot = 0.25\nquota_slack = 190000\ncold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"read\"\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n", f.store.Address)
	return b.String()
}

// startHost starts a host with the command of the deploy file.
func (f *fleet) startHost(h *host) error {
	if err := f.begin(); err != nil {
		return err
	}
	defer f.starting.Done()
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(f.program, "edge", "--admin-port", "9464")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCADOOR_NODE_FILE=" + h.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	h.cmd, h.exited = c, exited
	return nil
}

// checkReady asks each host once a second whether it is ready, as the platform does.
func (f *fleet) checkReady() {
	for range time.Tick(time.Second) {
		f.mu.Lock()
		hosts, ended := slices.Clone(f.hosts), f.ended
		f.mu.Unlock()
		if ended {
			return
		}
		for _, h := range hosts {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				ok := stand.IsReady(ctx, h.ready)
				f.mu.Lock()
				defer f.mu.Unlock()
				if h.misses++; ok {
					h.misses = 0
				}
				h.inRotation = h.misses < 2
			}()
		}
	}
}

// entry returns the host to which the platform forwards a client's new channel: by a hash of the
// client among the hosts in rotation of its zone, else of all zones. Retries reach other hosts.
func (f *fleet) entry(client, zone string, try int) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(client))
	var own, all []*host
	for _, h := range f.hosts {
		if h.zone == zone && h.inRotation {
			own = append(own, h)
		}
		if h.inRotation {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		all = f.hosts
	}
	if len(own) <= try {
		own = all
	}
	return own[(int(hash.Sum32()%1000)+try)%len(own)]
}

// leader returns the host that leads, as the others' status says.
func (f *fleet) leader() (*host, error) {
	for _, h := range f.hosts {
		response, err := http.Get("http://" + netip.AddrPortFrom(h.at, 9464).String() + "/status")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		var status struct{ Leader string }
		if json.Unmarshal(text, &status) != nil {
			continue
		}
		for _, l := range f.hosts {
			if l.peer.String() == status.Leader {
				return l, nil
			}
		}
	}
	return nil, fmt.Errorf("no host tells the leader")
}

// restart kills a host and starts it again after a while.
func (f *fleet) restart(h *host) {
	f.note("host %s is killed", h.name)
	_ = h.cmd.Process.Kill()
	<-h.exited
	time.AfterFunc(downtime, func() {
		f.note("host %s starts", h.name)
		_ = f.startHost(h)
	})
}

// startServer starts a server and has it registered.
func (f *fleet) startServer(spec serverSpec) (*serverProcess, error) {
	if err := f.begin(); err != nil {
		return nil, err
	}
	defer f.starting.Done()
	if spec.Address == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		spec.Address = l.Addr().String()
		l.Close()
	}
	f.mu.Lock()
	f.next++
	spec.ID, spec.Started = fmt.Sprintf("i-%04d", f.next), time.Now().UnixMilli()
	f.mu.Unlock()
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	c := exec.Command(f.self, "server", string(text))
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		return nil, err
	}
	s := &serverProcess{spec: spec, cmd: c, exited: make(chan struct{})}
	go f.readRecords(s, out)
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	for range 100 {
		if conn, err := net.Dial("tcp", spec.Address); err == nil {
			conn.Close()
			f.register(s, "ready")
			return s, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("server %s does not listen", spec.ID)
}

// register writes the entry of a server.
func (f *fleet) register(s *serverProcess, state string) {
	f.store.Put("servers/"+s.spec.ID, map[string]any{
		"service": s.spec.Service, "address": s.spec.Address, "zone": s.spec.Zone, "version": s.spec.Version,
		"slots": s.spec.Slots, "state": state, "cold_left_ms": 0, "born": s.spec.Started, "seq": 1,
	})
}

// readRecords reads the records of a server until it has ended.
func (f *fleet) readRecords(s *serverProcess, out io.Reader) {
	defer close(s.exited)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var r serverRecord
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			f.mu.Lock()
			f.runs = append(f.runs, r)
			f.lines = append(f.lines, fmt.Sprintf("%8.3f server %s %s: %s %s after %d", r.At.Sub(f.began).Seconds(), r.Server, r.Version, r.Event, r.ID, r.After))
			f.mu.Unlock()
		}
	}
	_ = s.cmd.Wait()
}

// crash kills a server. Its entry is removed after three heartbeats.
func (f *fleet) crash(s *serverProcess) {
	f.note("server %s crashes", s.spec.ID)
	_ = s.cmd.Process.Kill()
	time.AfterFunc(entryLife, func() { f.store.Delete("servers/" + s.spec.ID) })
}

// drainTime is how long a server goes on after the store has accepted that it drains: drain_ms and a
// little longer.
const drainTime = 2500 * time.Millisecond

// replace starts a new server and has the former one drain and leave.
func (f *fleet) replace(s *serverProcess) (*serverProcess, error) {
	spec := s.spec
	spec.Address = ""
	next, err := f.startServer(spec)
	if err != nil {
		return nil, err
	}
	f.note("server %s drains, %s has started", s.spec.ID, next.spec.ID)
	f.register(s, "draining")
	time.AfterFunc(drainTime, func() {
		f.note("server %s takes no new channels", s.spec.ID)
		_ = s.cmd.Process.Signal(syscall.SIGTERM)
		<-s.exited
		f.store.Delete("servers/" + s.spec.ID)
		f.note("server %s has left", s.spec.ID)
	})
	return next, nil
}

// attempt is a client's attempt.
type attempt struct {
	id     string
	host   *host
	status int
	stamp  string
	body   string
	retry  time.Duration // Retry-After
	err    error
}

// newChannel returns a transport for one channel, and the function that closes it.
func newChannel() (*http.Transport, func()) {
	t := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return t, t.CloseIdleConnections
}

// send makes one attempt on a new channel.
func (f *fleet) send(h *host, method, path, id, body string, wait time.Duration, header http.Header) attempt {
	channel, end := newChannel()
	defer end()
	return f.sendOn(channel, h, method, path, id, body, wait, header)
}

// sendOn makes one attempt on a channel.
func (f *fleet) sendOn(channel *http.Transport, h *host, method, path, id, body string, wait time.Duration, header http.Header) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	a := attempt{id: id, host: h}
	f.note("client sends %s %s %s to %s", id, method, path, h.name)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front.String()+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = hostName
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set(headerRequestID, id)
	request.Header.Set("X-Yuccadoor-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+clientKey)
	response, err := channel.RoundTrip(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Yuccadoor-Server-Stamp"), string(text)
		if s, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			a.retry = time.Duration(s * float64(time.Second))
		}
	}
	a.err = err
	f.note("client has %s: status %d, stamp %q, %d bytes, error %v", id, a.status, a.stamp, len(a.body), a.err)
	return a
}
