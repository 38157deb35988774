package reach

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times and bounds of connections to targets.
const (
	dialTimeout  = 500 * time.Millisecond
	idleLife     = 5 * time.Second // an idle connection is not trusted longer
	idlePer      = 64              // idle connections kept for one target
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 3
	unackedLife  = 3 * time.Second // sent bytes stay unacknowledged at most this long
	readBuffer   = 4096
)

// link is one connection to a target, used by one request at a time.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	idleAt time.Time
}

// Dial opens a connection to a target.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// pool keeps idle connections by target.
type pool struct {
	dial Dial
	mu   sync.Mutex
	idle map[netip.AddrPort][]*link // guarded by mu; latest used last
}

func newPool(dial Dial) *pool {
	if dial == nil {
		dial = dialTCP
	}
	return &pool{dial: dial, idle: map[netip.AddrPort][]*link{}}
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

// get returns a usable idle connection, or a fresh one.
func (p *pool) get(ctx context.Context, to netip.AddrPort, now time.Time) (*link, error) {
	for {
		l := p.take(to)
		if l == nil {
			return p.fresh(ctx, to)
		}
		if now.Sub(l.idleAt) < idleLife && quiet(l) {
			return l, nil
		}
		l.conn.Close()
	}
}

func (p *pool) fresh(ctx context.Context, to netip.AddrPort) (*link, error) {
	conn, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return &link{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func (p *pool) take(to netip.AddrPort) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	ls := p.idle[to]
	if len(ls) == 0 {
		return nil
	}
	last := len(ls) - 1
	l := ls[last]
	p.idle[to] = ls[:last]
	return l
}

func (p *pool) put(to netip.AddrPort, l *link, now time.Time) {
	l.idleAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[to]) >= idlePer {
		l.conn.Close()
		return
	}
	p.idle[to] = append(p.idle[to], l)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ls := range p.idle {
		for _, l := range ls {
			l.conn.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*link{}
}

// quiet reports whether an idle connection is open and has nothing to read. One
// with bytes to read holds a late or unmatched answer and must not be used.
func quiet(l *link) bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	sc, ok := l.conn.(syscall.Conn)
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
