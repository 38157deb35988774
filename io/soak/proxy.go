package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// way is how a proxy treats the bytes that it carries.
type way string

// The ways. Of silent connections the bytes are dropped while both ends believe
// that the other has them, as behind a broken link with buffers.
const (
	sound  way = "Sound"
	silent way = "Silent"
	slow   way = "Slow"  // each read waits for slowLink
	broken way = "Reset" // connections are reset, new ones too
)

// slowLink is within what hosts bear: they count each other as dead after a second.
const slowLink = 150 * time.Millisecond

// proxy carries connections to one address over loopback and harms them on
// demand, per caller.
type proxy struct {
	address netip.AddrPort // where it listens
	target  netip.AddrPort
	from    netip.Addr // local address of its connections to the target

	mu    sync.Mutex
	ways  map[netip.Addr]way        // guarded by mu; by caller, the zero address for all
	conns map[net.Conn]netip.Addr   // guarded by mu; accepted ones, with their caller
	out   map[net.Conn]net.Conn     // guarded by mu; the connection to the target of each
	name  func(b []byte) netip.Addr // who calls, by the first bytes; nil for nobody in particular
}

// newProxy starts a proxy and returns it with its clean-up function.
func newProxy(at, target netip.AddrPort, from netip.Addr, name func([]byte) netip.Addr) (*proxy, func(), error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "start a proxy")
	}
	p := &proxy{
		address: l.Addr().(*net.TCPAddr).AddrPort(), target: target, from: from, name: name,
		ways: map[netip.Addr]way{}, conns: map[net.Conn]netip.Addr{}, out: map[net.Conn]net.Conn{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, func() {
		l.Close()
		p.breakAll(netip.Addr{})
	}, nil
}

// set changes the way of one caller, or of all.
func (p *proxy) set(caller netip.Addr, w way) {
	p.mu.Lock()
	p.ways[caller] = w
	p.mu.Unlock()
	if w == broken {
		p.breakAll(caller)
	}
}

// breakAll resets the connections of one caller, or of all.
func (p *proxy) breakAll(caller netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.conns {
		if !caller.IsValid() || from == caller {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			p.out[c].Close()
		}
	}
}

func (p *proxy) way(caller netip.Addr) way {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.ways[netip.Addr{}]; w != "" && w != sound {
		return w
	}
	return p.ways[caller]
}

// carry relays one connection until either end closes it.
func (p *proxy) carry(c net.Conn) {
	defer c.Close()
	d := net.Dialer{Timeout: time.Second}
	if p.from.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: p.from.AsSlice()}
	}
	if p.way(netip.Addr{}) == broken {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	t, err := d.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer t.Close()
	p.mu.Lock()
	p.conns[c], p.out[c] = netip.Addr{}, t
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		delete(p.out, c)
	}()
	go func() {
		defer c.Close()
		p.pour(c, t, c)
	}()
	p.pour(t, c, c)
}

// pour copies one direction; key is the accepted connection of both.
func (p *proxy) pour(to, from, key net.Conn) {
	b := make([]byte, 32<<10)
	for first := true; ; first = false {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if first && from == key && p.name != nil {
			p.mu.Lock()
			p.conns[key] = p.name(b[:n])
			p.mu.Unlock()
		}
		p.mu.Lock()
		caller := p.conns[key]
		p.mu.Unlock()
		switch p.way(caller) {
		case silent:
			continue
		case broken:
			return
		case slow:
			time.Sleep(slowLink)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
