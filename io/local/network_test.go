package local

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"yuccadoor/io/entry"
)

// network lets a test cut the connections of hosts, silently as a partition
// does: what is written vanishes and nothing arrives any more.
type network struct {
	mu    sync.Mutex
	zones map[netip.AddrPort]string // guarded by mu; of every address
	cut   map[[2]string]bool        // guarded by mu; pairs of zones
	conns []*cutConn                // guarded by mu
}

// cutConn is a connection that can go silent for good.
type cutConn struct {
	net.Conn
	from   string         // zone
	to     netip.AddrPort // address dialled
	once   sync.Once
	silent chan struct{}
}

// with returns options whose hosts dial through the network.
func (n *network) with(o Options) Options {
	n.zones, n.cut = map[netip.AddrPort]string{}, map[[2]string]bool{}
	zones := o.Zones
	o.ConfigureHost = func(i int, e *entry.Options) {
		zone := zones[i%len(zones)]
		dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return n.dial(ctx, zone, to) }
		e.DialPeer, e.DialTarget = dial, dial
	}
	return o
}

// learn notes the zones of a system's addresses.
func (n *network) learn(s *System) {
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
	c := &cutConn{Conn: conn, from: from, to: to, silent: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// Cut separates two zones.
func (n *network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = true, true
	for _, c := range n.conns {
		if n.cut[[2]string{c.from, n.zones[c.to]}] {
			c.hush()
		}
	}
}

// Heal joins two zones again. Connections that went silent stay so.
func (n *network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]string{a, b})
	delete(n.cut, [2]string{b, a})
}

// Hush makes every open connection silent for good, while new ones work.
func (n *network) Hush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.hush()
	}
}

func (c *cutConn) hush() { c.once.Do(func() { close(c.silent) }) }

func (c *cutConn) hushed() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.hushed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. Bytes that arrive after the connection went silent
// are thrown away until the deadline passes or the connection is closed.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.hushed() {
			return n, err
		}
	}
}
