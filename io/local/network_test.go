package local

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"yuccadoor/io/entry"
)

// network simulates partitions between the hosts' zones: on a silenced
// connection writes are discarded and reads block, as in a real partition.
type network struct {
	mu    sync.Mutex
	zones map[netip.AddrPort]string // guarded by mu; by address
	cut   map[[2]string]bool        // guarded by mu; by pair of zones
	conns []*interruptibleConn      // guarded by mu
}

// interruptibleConn is a connection that can be silenced permanently.
type interruptibleConn struct {
	net.Conn
	from        string         // zone of the dialling host
	to          netip.AddrPort // address dialled
	silenceOnce sync.Once
	silent      chan struct{}
}

// configure returns the options with all hosts dialling through the network.
func (n *network) configure(o Options) Options {
	n.zones, n.cut = map[netip.AddrPort]string{}, map[[2]string]bool{}
	zones := o.Zones
	o.ConfigureHost = func(i int, e *entry.Options) {
		zone := zones[i%len(zones)]
		dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return n.dial(ctx, zone, to) }
		e.DialPeer, e.DialTarget = dial, dial
	}
	return o
}

// addSystem records the zones of the addresses of a system.
func (n *network) addSystem(s *System) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range s.ListedHosts {
		n.zones[h.Peer] = h.Zone
	}
	for _, t := range s.Targets {
		n.zones[t.Address] = t.Zone
	}
}

func (n *network) dial(ctx context.Context, from string, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	cut := n.cut[[2]string{from, n.zones[to]}]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	c := &interruptibleConn{Conn: conn, from: from, to: to, silent: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// Cut partitions two zones from each other.
func (n *network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = true, true
	for _, c := range n.conns {
		if n.cut[[2]string{c.from, n.zones[c.to]}] {
			c.silence()
		}
	}
}

// Heal ends the partition of two zones. Silenced connections stay silent.
func (n *network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]string{a, b})
	delete(n.cut, [2]string{b, a})
}

// SilenceAll silences every open connection permanently; new ones work.
func (n *network) SilenceAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silence()
	}
}

func (c *interruptibleConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *interruptibleConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *interruptibleConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. Bytes that arrive after the connection was silenced
// are discarded until the read deadline passes or the connection is closed.
func (c *interruptibleConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}
