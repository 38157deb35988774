package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"yuccadoor/platform/stand"
)

// Sizes of the deployment, and waits.
const (
	hostCount    = 3
	readyTimeout = 15 * time.Second
	grace        = 4 * time.Second
	adminPort    = "9464" // of the deploy file
)

// system is a small deployment: the platform's store and entry hosts as processes.
type system struct {
	store   *stand.Store
	nodes   []stand.Node
	record  *record
	network [2]byte // of the hosts' loopback addresses
	pids    []int   // of the hosts
	carry   uint16  // port for the hosts' own use
}

// zoneOf is the availability zone of a host or server.
func zoneOf(n int) string { return []string{"a", "b", "c"}[n%hostCount] }

// newSystem starts the store and the hosts. The cleanup function must be called even if it fails.
func newSystem(program string, r *record) (*system, func(), error) {
	s := &system{record: r}
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return s, cleanup, err
	}
	cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	store, stop, err := stand.NewStore(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		return s, cleanup, err
	}
	cleanups = append(cleanups, stop)
	s.store = store
	pid := os.Getpid()
	s.network = [2]byte{byte(128 + pid>>8%64), byte(pid)}
	ports, err := freePorts(s.address(0), 4)
	if err != nil {
		return s, cleanup, err
	}
	for n := range hostCount {
		s.nodes = append(s.nodes, s.node(n, ports))
	}
	s.carry = ports[3]
	for n := range s.nodes {
		for _, seed := range s.nodes {
			s.nodes[n].Seeds = append(s.nodes[n].Seeds, seed.Control)
		}
		pid, stop, err := startHost(program, dir, s.nodes[n].Name, s.settings(n))
		if err != nil {
			return s, cleanup, err
		}
		s.pids = append(s.pids, pid)
		cleanups = append(cleanups, stop)
	}
	return s, cleanup, nil
}

// address is the loopback address of a host.
func (s *system) address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network[0], s.network[1], byte(n + 1)})
}

// node returns the settings of a host, whose ports are the same on all hosts.
func (s *system) node(n int, ports []uint16) stand.Node {
	at := s.address(n)
	return stand.Node{
		Name: fmt.Sprintf("edge-%s-1", zoneOf(n)), Zone: zoneOf(n), Front: netip.AddrPortFrom(at, ports[0]),
		Ready: netip.AddrPortFrom(at, ports[1]), Control: netip.AddrPortFrom(at, ports[2]), Store: s.store.Address, Grace: grace,
	}
}

// freePorts returns free ports of an address.
func freePorts(at netip.Addr, count int) ([]uint16, error) {
	var ports []uint16
	for range count {
		l, err := net.Listen("tcp", netip.AddrPortFrom(at, 0).String())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	return ports, nil
}

// settings is the text of a host's settings file: that of the stand-in, with the ports for the
// hosts' own use.
func (s *system) settings(n int) string {
	return fmt.Sprintf("internal_ports = [%d,%d]\n%s", s.carry, s.carry, s.nodes[n].SettingsFile())
}

// startHost starts a host with the command of the deploy file and returns its process id and the
// function that ends it.
func startHost(program, dir, name, settings string) (int, func(), error) {
	path, logPath := filepath.Join(dir, name+".toml"), filepath.Join(dir, name+".log")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return 0, nil, err
	}
	log, err := os.Create(logPath)
	if err != nil {
		return 0, nil, err
	}
	command := exec.Command(program, "edge", "--admin-port", adminPort)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "YUCCADOOR_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		log.Close()
		return 0, nil, err
	}
	return command.Process.Pid, func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		log.Close()
	}, nil
}

// publish publishes the configuration and waits until all hosts are ready.
func (s *system) publish(ctx context.Context, d *stand.Deployment) error {
	d.Publish(s.store)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range s.nodes {
		for !stand.IsReady(ctx, s.nodes[i].Ready) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready", s.nodes[i].Name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	// The hosts have heard of each other, and of all servers, by then.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(2 * time.Second):
	}
	return nil
}

// recordMemory notes the most memory that each host took. The platform ends a host that takes more
// than its settings state; this one does not, so that the case shows how far it goes.
func (s *system) recordMemory() {
	for n, pid := range s.pids {
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		for line := range strings.SplitSeq(string(status), "\n") {
			if most, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				s.record.line("host %s took at most %s; memory_mb is 284", s.nodes[n].Name, strings.TrimSpace(most))
			}
		}
	}
}
