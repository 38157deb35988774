package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkMode is how a proxy treats the bytes that it relays.
type linkMode string

// Link modes.
const (
	linkHealthy linkMode = "Sound"
	// linkDrop discards the bytes of open connections while both ends believe that
	// they were delivered, as on a broken link with buffers.
	linkDrop  linkMode = "Silent"
	linkSlow  linkMode = "Slow"  // each read is delayed by slowLinkDelay
	linkReset linkMode = "Reset" // open and new connections are reset
)

// slowLinkDelay is short enough for hosts to tolerate: they consider each other
// dead after a second.
const slowLinkDelay = 150 * time.Millisecond

// proxy relays TCP connections on loopback to one upstream address and injects
// network faults, for one caller or for all.
type proxy struct {
	address   netip.AddrPort // listen address
	upstream  netip.AddrPort
	localAddr netip.Addr // local address of connections to the upstream

	mu            sync.Mutex
	modes         map[netip.Addr]linkMode   // guarded by mu; by caller, the zero address for all callers
	callers       map[net.Conn]netip.Addr   // guarded by mu; caller of each accepted connection
	upstreamConns map[net.Conn]net.Conn     // guarded by mu; upstream connection of each accepted connection
	identify      func(b []byte) netip.Addr // determines the caller from the first bytes; nil to treat all callers alike
}

// newProxy starts a proxy and returns it with its cleanup function.
func newProxy(at, upstream netip.AddrPort, localAddr netip.Addr, identify func([]byte) netip.Addr) (*proxy, func(), error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "start a proxy")
	}
	p := &proxy{
		address: l.Addr().(*net.TCPAddr).AddrPort(), upstream: upstream, localAddr: localAddr, identify: identify,
		modes: map[netip.Addr]linkMode{}, callers: map[net.Conn]netip.Addr{}, upstreamConns: map[net.Conn]net.Conn{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
	return p, func() {
		l.Close()
		p.resetConns(netip.Addr{})
	}, nil
}

// setMode sets the link mode of one caller, or with the zero address of all.
func (p *proxy) setMode(caller netip.Addr, m linkMode) {
	p.mu.Lock()
	p.modes[caller] = m
	p.mu.Unlock()
	if m == linkReset {
		p.resetConns(caller)
	}
}

// resetConns resets the connections of one caller, or with the zero address of all.
func (p *proxy) resetConns(caller netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.callers {
		if !caller.IsValid() || from == caller {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			p.upstreamConns[c].Close()
		}
	}
}

func (p *proxy) mode(caller netip.Addr) linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.modes[netip.Addr{}]; m != "" && m != linkHealthy {
		return m
	}
	return p.modes[caller]
}

// relay relays one connection until either end closes it.
func (p *proxy) relay(c net.Conn) {
	defer c.Close()
	d := net.Dialer{Timeout: time.Second}
	if p.localAddr.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: p.localAddr.AsSlice()}
	}
	if p.mode(netip.Addr{}) == linkReset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	up, err := d.Dial("tcp", p.upstream.String())
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	p.callers[c], p.upstreamConns[c] = netip.Addr{}, up
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.callers, c)
		delete(p.upstreamConns, c)
	}()
	go func() {
		defer c.Close()
		p.copyBytes(c, up, c)
	}()
	p.copyBytes(up, c, c)
}

// copyBytes copies one direction of a connection; accepted is the accepted
// connection, whichever the direction.
func (p *proxy) copyBytes(to, from, accepted net.Conn) {
	b := make([]byte, 32<<10)
	for first := true; ; first = false {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if first && from == accepted && p.identify != nil {
			p.mu.Lock()
			p.callers[accepted] = p.identify(b[:n])
			p.mu.Unlock()
		}
		p.mu.Lock()
		caller := p.callers[accepted]
		p.mu.Unlock()
		switch p.mode(caller) {
		case linkDrop:
			continue
		case linkReset:
			return
		case linkSlow:
			time.Sleep(slowLinkDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
