// Package conns pools connections to targets: it dials them, limits how long an idle
// one may be reused, and checks before reuse that it is still open. Connections
// between hosts belong to package mesh.
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

// Timeouts and limits of connections to targets.
const (
	// dialTimeout is some tens of round trips. It can be short, since no request has
	// been sent yet and another target can be tried without risk.
	dialTimeout       = 200 * time.Millisecond
	maxIdlePerTarget  = 16 // idle connections kept for one target
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// UnackedTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). It
	// leaves time for the fourth retransmission, 3 s after the bytes were sent, which is the
	// first after a silence of one and a half to three seconds. It also decides when
	// unanswered probes end a connection.
	UnackedTimeout = 3100 * time.Millisecond
	readBufferSize = 4096
	// MaxHeaderBytes limits the size of a target's response header.
	MaxHeaderBytes = 64 << 10
)

// PooledConn is a connection to a target, used by one request at a time.
type PooledConn struct {
	Conn   net.Conn
	Reader *bufio.Reader
	Reused bool // the connection has carried another request before

	limited     *limitedReader
	idleSince   time.Time
	idleTimeout time.Duration
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, target netip.AddrPort) (net.Conn, error)

// Pool keeps idle connections by target. It is safe for concurrent use.
type Pool struct {
	dial DialFunc
	now  func() time.Time

	mu   sync.Mutex
	idle map[netip.AddrPort][]*PooledConn // guarded by mu; most recently used last
}

// New returns an empty pool. A nil dial means TCP.
func New(dial DialFunc, now func() time.Time) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{dial: dial, now: now, idle: map[netip.AddrPort][]*PooledConn{}}
}

// DialTCP opens a connection over TCP that ends when the other side is silent for too long.
func DialTCP(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUnackedTimeout(c) },
	}
	return d.DialContext(ctx, "tcp", target.String())
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

func setUnackedTimeout(c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// DetectSilence has an accepted TCP connection end as one of DialTCP does.
func DetectSilence(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUnackedTimeout(raw)
}

// Get returns a usable connection that has been idle for less than maxIdle, or dials
// a new one.
func (p *Pool) Get(ctx context.Context, target netip.AddrPort, maxIdle time.Duration) (*PooledConn, error) {
	for {
		c := p.takeIdle(target)
		if c == nil {
			return p.Dial(ctx, target)
		}
		idle := p.now().Sub(c.idleSince)
		if idle < c.idleTimeout && idle < maxIdle && reusable(c) {
			c.Reused = true
			return c, nil
		}
		c.Conn.Close()
	}
}

// Dial opens a new connection, which is not in the pool until Put.
func (p *Pool) Dial(ctx context.Context, target netip.AddrPort) (*PooledConn, error) {
	conn, err := p.dial(ctx, target)
	if err != nil {
		return nil, err
	}
	r := &limitedReader{conn: conn, remaining: math.MaxInt64}
	return &PooledConn{Conn: conn, Reader: bufio.NewReaderSize(r, readBufferSize), limited: r}, nil
}

// SetReadLimit limits the bytes that Reader reads from the connection from now on.
// Bytes that are already buffered do not count. Reading beyond the limit fails with
// ErrReadLimit.
func (c *PooledConn) SetReadLimit(bytes int64) { c.limited.remaining = bytes }

// ClearReadLimit removes the limit.
func (c *PooledConn) ClearReadLimit() { c.limited.remaining = math.MaxInt64 }

// StartRecording keeps the bytes that are taken from Reader from now on.
func (c *PooledConn) StartRecording() {
	buffered, _ := c.Reader.Peek(c.Reader.Buffered())
	c.limited.recording, c.limited.recorded = true, append(c.limited.recorded[:0], buffered...)
}

// StopRecording returns the bytes that were taken from Reader since StartRecording. They are
// valid until the next call of that.
func (c *PooledConn) StopRecording() []byte {
	c.limited.recording = false
	return c.limited.recorded[:len(c.limited.recorded)-c.Reader.Buffered()]
}

// ErrReadLimit is returned by reads beyond the limit of a connection.
var ErrReadLimit = errors.New("the target sent more bytes than the read limit")

// limitedReader reads at most remaining bytes from a connection.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	recording bool
	recorded  []byte
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrReadLimit
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.recording {
		r.recorded = append(r.recorded, p[:n]...)
	}
	return n, err
}

// takeIdle removes the most recently used idle connection of a target from the pool;
// nil if there is none.
func (p *Pool) takeIdle(target netip.AddrPort) *PooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	p.idle[target] = conns[:last]
	return c
}

// singleUse is implemented by connections that carry one request only.
type singleUse interface{ SingleUse() }

// Put returns an idle connection to the pool, where it may be idle for idleTimeout.
func (p *Pool) Put(target netip.AddrPort, c *PooledConn, idleTimeout time.Duration) {
	c.idleSince, c.idleTimeout = p.now(), idleTimeout
	if _, once := c.Conn.(singleUse); once || idleTimeout <= 0 {
		c.Conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[target]) >= maxIdlePerTarget {
		c.Conn.Close()
		return
	}
	c.limited.recorded = nil // many connections may be idle
	p.idle[target] = append(p.idle[target], c)
}

// CloseExpired closes the connections whose idle timeout is over.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				c.Conn.Close()
			}
		}
		clear(conns[len(kept):])
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			c.Conn.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*PooledConn{}
}

// reusable reports whether an idle connection is open and has nothing to read. A
// connection with bytes to read holds a late or unmatched response and must not be
// reused.
func reusable(c *PooledConn) bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
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
