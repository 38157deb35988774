// Package detour reaches targets through other hosts while the direct path is broken. The
// host that has the request asks another one for a connection to the target (HTTP CONNECT)
// and then speaks with the target itself: what it knows of the bytes that it has written, of
// the answer and of the target's notices is the same as on a direct connection. The other
// host passes bytes on and decides nothing, except whether it may send to the target.
package detour

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/paths"
	"yuccadoor/io/conns"
	"yuccadoor/io/reply"
)

const (
	// maxHosts is the number of hosts that are asked for one connection: enough to pass
	// over the hosts of a zone that are cut off as well.
	maxHosts = 4
	// askTimeout is how long a host may take to connect to the target. It includes that
	// host's own attempt.
	askTimeout = 300 * time.Millisecond
	// directShare is the share of a request's time to connect that the direct attempt may take.
	directShare = 0.5
	// minDirectTime is some tens of round trips, in which also a busy host connects.
	minDirectTime = 100 * time.Millisecond
)

// ErrPath is wrapped by errors of connecting that say nothing of the target: no other host
// could tell whether it accepts connections.
var ErrPath = errors.New("the path to the target is broken")

// errTargetDown is the error of a host that has not reached the target either.
var errTargetDown = errors.New("another host does not reach the target")

// Logger writes structured log events.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Settings are the parameters of NewDialer.
type Settings struct {
	Direct conns.DialFunc // to targets
	// Peers returns the addresses at which other hosts take requests for connections, the
	// preferred ones first.
	Peers func(ctx context.Context) []netip.AddrPort
	Now   func() time.Time
	Log   Logger
}

// Dialer connects to targets, directly or through other hosts.
type Dialer struct {
	settings Settings
	mu       sync.Mutex
	paths    *paths.Paths // guarded by mu
	isolated bool         // guarded by mu; as last logged
}

// NewDialer returns a dialer.
func NewDialer(s Settings) *Dialer { return &Dialer{settings: s, paths: paths.New()} }

// Dial connects to a target. The error wraps ErrPath if it says nothing of the target.
func (d *Dialer) Dial(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	var direct error
	if d.tryDirect(target) {
		conn, err := d.dialDirect(ctx, target)
		if err == nil {
			d.update(func(now time.Time, p *paths.Paths) { p.RecordDirect(now, target) })
			return conn, nil
		}
		direct = err
		d.update(func(_ time.Time, p *paths.Paths) { p.RecordFailure(target) })
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "connect directly")
	}
	return d.dialThroughPeers(ctx, target, direct)
}

// dialDirect connects directly, in at most directShare of the time left, so that another host can
// be asked if the attempt hangs.
func (d *Dialer) dialDirect(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(time.Duration(directShare*float64(time.Until(deadline))), minDirectTime))
		defer cancel()
	}
	return d.settings.Direct(ctx, target)
}

// dialThroughPeers asks other hosts for a connection. direct is the error of the direct
// attempt; nil if there was none.
func (d *Dialer) dialThroughPeers(ctx context.Context, target netip.AddrPort, direct error) (net.Conn, error) {
	peers := d.settings.Peers(ctx)
	if len(peers) == 0 && direct != nil {
		return nil, direct // nobody else can tell
	}
	d.mu.Lock()
	peers = d.paths.Order(d.settings.Now(), peers, maxHosts)
	isolated := d.paths.MayBeIsolated()
	d.mu.Unlock()
	down := 0
	for _, peer := range peers {
		conn, err := d.ask(ctx, peer, target)
		if err == nil {
			d.update(func(now time.Time, p *paths.Paths) { p.RecordBroken(now, target) })
			return conn, nil
		}
		if errors.Is(err, errTargetDown) {
			if down++; !isolated {
				break // two hosts do not reach it, and this one reaches others
			}
		}
		d.update(func(now time.Time, p *paths.Paths) { p.Avoid(now, peer) })
		if ctx.Err() != nil {
			break
		}
	}
	if down > 0 {
		if direct == nil {
			direct = syscall.ECONNREFUSED
		}
		return nil, errors.Wrapf(direct, "%d other hosts do not reach the target either", down)
	}
	return nil, errors.Wrapf(ErrPath, "asked %d hosts, direct: %v", len(peers), direct)
}

func (d *Dialer) tryDirect(target netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.TryDirect(d.settings.Now(), target)
}

// update changes what is known, and logs when this host is cut off from all targets or is so
// no more.
func (d *Dialer) update(change func(now time.Time, p *paths.Paths)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.settings.Now(), d.paths)
	if isolated := d.paths.Isolated(); isolated != d.isolated {
		d.isolated = isolated
		d.settings.Log.Event("warn", "direct paths to targets", "Broken", isolated)
	}
}

// Isolated reports whether this host is cut off from all targets.
func (d *Dialer) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Isolated()
}

// Conn is a connection to a target through another host.
type Conn struct {
	net.Conn
	Host  netip.AddrPort // through which it goes
	bytes carriedBytes
}

// Read implements net.Conn. io.EOF means that the target has ended the connection, not only
// the host through which it goes.
func (c *Conn) Read(p []byte) (int, error) { return c.bytes.Read(p) }

// Through returns the host through which the connection goes.
func (c *Conn) Through() netip.AddrPort { return c.Host }

// Passed returns how many of the written bytes the target has got, once reading has returned
// io.EOF; -1 if the host does not state it.
func (c *Conn) Passed() int64 { return c.bytes.Passed() }

// SingleUse marks the connection as good for one request only: the other host checks only
// once whether it may send to the target.
func (*Conn) SingleUse() {}

// ask asks a host for a connection to a target.
func (d *Dialer) ask(ctx context.Context, host, target netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := conns.DialTCP(ctx, host)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", host)
	}
	bytes, err := requestConnection(ctx, conn, target)
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "ask host %s for target %s", host, target)
	}
	return &Conn{Conn: conn, Host: host, bytes: bytes}, nil
}

// requestConnection asks the host at the other end of conn for a connection to a target. It
// returns the target's bytes.
func requestConnection(ctx context.Context, conn net.Conn, target netip.AddrPort) (carriedBytes, error) {
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodConnect, "http://"+target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Host = target.String()
	request.Header.Set(headerFraming, framingChunks)
	if err := request.Write(conn); err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	reader := bufio.NewReader(io.LimitReader(conn, conns.MaxHeaderBytes))
	response, err := reply.Read(reader, request)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read response")
	case response.StatusCode == http.StatusBadGateway:
		return nil, errTargetDown
	case response.StatusCode != http.StatusOK:
		return nil, errors.Errorf("status %d", response.StatusCode)
	case reader.Buffered() > 0:
		return nil, errors.New("the target sent bytes before it had a request")
	case !stop():
		return nil, ctx.Err()
	}
	return readCarried(conn, response.Header), nil
}
