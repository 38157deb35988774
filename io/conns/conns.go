// Package conns keeps connections to targets: how they are dialled, how long an
// idle one is trusted, and whether it still can be.
package conns

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Times and bounds of connections to targets.
const (
	// dialTimeout is some tens of round trips; another target can be tried at no
	// risk.
	dialTimeout  = 200 * time.Millisecond
	idlePer      = 16 // idle connections kept for one target
	keepIdle     = time.Second
	keepInterval = time.Second
	keepCount    = 2
	// unackedLife is how long sent bytes may stay unacknowledged: three losses in a
	// row of a packet that is sent again after 200, 400 and 800 ms.
	unackedLife = 1500 * time.Millisecond
	readBuffer  = 4096
	// MaxHeaderBytes bounds the bytes of the head of a target's answer.
	MaxHeaderBytes = 64 << 10
)

// PooledConn is one connection to a target, used by one request at a time.
type PooledConn struct {
	Conn   net.Conn
	Reader *bufio.Reader
	Reused bool // it has carried another request before

	bound  *bound
	idleAt time.Time     // when it became idle
	life   time.Duration // how long it may be idle
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Pool keeps idle connections by target. Its methods may be called by any
// goroutine.
type Pool struct {
	dial DialFunc
	now  func() time.Time

	mu   sync.Mutex
	idle map[netip.AddrPort][]*PooledConn // guarded by mu; latest used last
}

// New returns an empty pool. dial may be nil for TCP.
func New(dial DialFunc, now func() time.Time) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, now: now, idle: map[netip.AddrPort][]*PooledConn{}}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLife.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext(ctx, "tcp", to.String())
}

// Get returns a usable connection that was idle for less than most, or a fresh
// one.
func (p *Pool) Get(ctx context.Context, to netip.AddrPort, most time.Duration) (*PooledConn, error) {
	for {
		l := p.take(to)
		if l == nil {
			return p.Dial(ctx, to)
		}
		idle := p.now().Sub(l.idleAt)
		if idle < l.life && idle < most && quiet(l) {
			l.Reused = true
			return l, nil
		}
		l.Conn.Close()
	}
}

// Dial opens a connection.
func (p *Pool) Dial(ctx context.Context, to netip.AddrPort) (*PooledConn, error) {
	conn, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	b := &bound{conn: conn, left: math.MaxInt64}
	return &PooledConn{Conn: conn, Reader: bufio.NewReaderSize(b, readBuffer), bound: b}, nil
}

// SetReadLimit bounds the bytes that Reader takes from the connection from now on, those
// that it has taken already left out. Reading beyond that fails with ErrTooLong.
func (l *PooledConn) SetReadLimit(bytes int64) { l.bound.left = bytes }

// ClearReadLimit lifts the bound.
func (l *PooledConn) ClearReadLimit() { l.bound.left = math.MaxInt64 }

// ErrReadLimit is the end of reading at a bound.
var ErrReadLimit = errors.New("the target sends without end")

// bound reads from a connection up to a number of bytes.
type bound struct {
	conn net.Conn
	left int64
}

// Read implements io.Reader.
func (b *bound) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrReadLimit
	}
	n, err := b.conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

func (p *Pool) take(to netip.AddrPort) *PooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	ls := p.idle[to]
	if len(ls) == 0 {
		return nil
	}
	last := len(ls) - 1
	l := ls[last]
	ls[last] = nil
	p.idle[to] = ls[:last]
	return l
}

// Put keeps an idle connection for its life.
func (p *Pool) Put(to netip.AddrPort, l *PooledConn, life time.Duration) {
	l.idleAt, l.life = p.now(), life
	if life <= 0 {
		l.Conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[to]) >= idlePer {
		l.Conn.Close()
		return
	}
	p.idle[to] = append(p.idle[to], l)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, ls := range p.idle {
		kept := ls[:0]
		for _, l := range ls {
			if now.Sub(l.idleAt) < l.life {
				kept = append(kept, l)
			} else {
				l.Conn.Close()
			}
		}
		clear(ls[len(kept):])
		p.idle[to] = kept
		if len(kept) == 0 {
			delete(p.idle, to)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ls := range p.idle {
		for _, l := range ls {
			l.Conn.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*PooledConn{}
}

// quiet reports whether an idle connection is open and has nothing to read. One
// with bytes to read holds a late or unmatched answer and must not be used.
func quiet(l *PooledConn) bool {
	if l.Reader.Buffered() > 0 {
		return false
	}
	sc, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
