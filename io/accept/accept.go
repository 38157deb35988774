// Package accept serves HTTP at an address and keeps accepting connections after an error.
// A server of package net/http ends at most errors of its listener, and the process would
// go on without it. It also bounds the open connections of a port, and what the heads of
// their requests take: connections without a complete request are closed for new ones.
package accept

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"yuccadoor/core/intake"
)

// retryDelay is the pause after a failed attempt to accept a connection.
const retryDelay = 20 * time.Millisecond

// logPeriod is the least time between two log lines about closed connections.
const logPeriod = time.Second

// Logger writes structured log events, one per line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Bounds limit what the connections of a port take. Zero means no limit.
type Bounds struct {
	Conns     int          // open connections
	HeadBytes int64        // of requests' heads, beyond intake.FreeHeadBytes each
	Port      string       // name of the port in metrics
	Set       *metrics.Set // may be nil
}

// MaxDescriptors returns how many descriptors the process may have open: what the system allows,
// or what the settings state if that is less; 0 if neither is known.
func MaxDescriptors(stated int) int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return stated
	}
	if stated > 0 {
		return min(stated, int(l.Cur))
	}
	return int(l.Cur)
}

// Serve starts serving at an address and returns the cleanup function.
func Serve(server *http.Server, address netip.AddrPort, b Bounds, log Logger) (func(), error) {
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	var l net.Listener = &listener{tcp, log}
	if b.Conns > 0 {
		g := newGuard(b, log)
		l = &guardedListener{l, g}
		track := server.ConnState
		server.ConnState = func(c net.Conn, s http.ConnState) {
			g.trackState(c, s)
			if track != nil {
				track(c, s)
			}
		}
		server.Handler = g.trackRequests(server.Handler)
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Event("error", "listener ended", "Address", address, "Error", err)
		}
	}()
	return func() { server.Close() }, nil
}

// listener is a listener whose Accept fails only once it is closed. Other errors are
// logged, and Accept tries again.
type listener struct {
	net.Listener
	log Logger
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Event("warn", "connection not accepted", "Address", l.Addr(), "Error", err)
		time.Sleep(retryDelay)
	}
}

// Causes of closed connections.
const (
	causeConns = "TooManyConnections"
	causeHeads = "HeadsFull"
)

// guard bounds the connections of a port.
type guard struct {
	bounds Bounds
	log    Logger

	mu      sync.Mutex
	account *intake.Conns[*Conn] // guarded by mu
	ending  int                  // guarded by mu; connections closed for others that the server still handles
	closed  int                  // guarded by mu; connections closed since the last log line
	logged  time.Time            // guarded by mu; when it was written
}

func newGuard(b Bounds, log Logger) *guard {
	if b.HeadBytes <= 0 {
		b.HeadBytes = 1 << 62
	}
	g := &guard{bounds: b, log: log, account: intake.NewConns[*Conn](b.Conns, b.HeadBytes)}
	if b.Set != nil {
		b.Set.NewGauge(fmt.Sprintf(`yuccadoor_open_connections{port=%q}`, b.Port), func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(g.account.Number())
		})
		b.Set.NewGauge(fmt.Sprintf(`yuccadoor_held_bytes{kind="Head",port=%q}`, b.Port), func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(g.account.Heads())
		})
	}
	return g
}

// guardedListener counts the connections that it accepts.
type guardedListener struct {
	net.Listener
	guard *guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &Conn{TCPConn: tcp, guard: l.guard}
		if l.guard.open(c) {
			return c, nil
		}
		tcp.Close()
	}
}

// endingDivisor bounds the connections that were closed for others and that the server still
// handles, which takes it up to 0.5 s, to a fraction of the open ones.
const endingDivisor = 4

// open adds a connection and makes room for it. It returns false if there is none.
func (g *guard) open(c *Conn) bool {
	g.mu.Lock()
	var victim *Conn
	full := g.account.Full()
	if full && g.ending <= g.bounds.Conns/endingDivisor {
		if k, ok := g.account.Oldest(); ok {
			victim = k
			g.evict(k)
			full = false
		}
	}
	if !full {
		c.inHead.Store(true)
		c.incomplete.Store(true)
		g.account.Open(c)
	}
	g.mu.Unlock()
	if victim != nil {
		g.close(victim, causeConns)
	} else if full {
		g.count(causeConns)
	}
	return !full
}

// evict removes a connection that is to be closed for others; mu must be held.
func (g *guard) evict(c *Conn) {
	g.account.Close(c)
	c.evicted = true
	g.ending++
}

// trackRequests returns a handler that records that a request's body is awaited. The server
// answers requests with invalid heads without it, and closes their connections.
func (g *guard) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && r.ContentLength != 0 {
			c.incomplete.Store(true)
			g.mu.Lock()
			g.account.Begin(c)
			g.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// trackState is the server's ConnState hook.
func (g *guard) trackState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s {
	case http.StateActive:
		c.inHead.Store(false)
		c.incomplete.Store(false)
		g.account.Complete(c)
	case http.StateIdle:
		c.headBytes = 0
		c.inHead.Store(true)
		c.incomplete.Store(true)
		g.account.End(c)
	case http.StateClosed, http.StateHijacked:
		c.inHead.Store(false)
		c.incomplete.Store(false)
		g.account.Close(c)
		if c.evicted {
			c.evicted = false
			g.ending--
		}
	}
}

// progress records that bytes of an incomplete request have arrived, and counts those of its
// head.
func (g *guard) progress(c *Conn, headBytes int) {
	var victim *Conn
	var ok bool
	g.mu.Lock()
	g.account.Progress(c)
	if headBytes > 0 {
		if victim, ok = g.account.GrowHead(c, int64(headBytes)); ok {
			g.evict(victim)
		}
	}
	g.mu.Unlock()
	if ok {
		g.close(victim, causeHeads)
	}
}

// close closes a connection for others.
func (g *guard) close(c *Conn, cause string) {
	c.Close()
	g.count(cause)
}

// count counts a closed connection, and logs at most once per logPeriod.
func (g *guard) count(cause string) {
	if g.bounds.Set != nil {
		g.bounds.Set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_intake_closed_total{port=%q,cause=%q}`, g.bounds.Port, cause)).Inc()
	}
	now := time.Now()
	g.mu.Lock()
	g.closed++
	number, due := g.closed, now.Sub(g.logged) >= logPeriod
	if due {
		g.closed, g.logged = 0, now
	}
	g.mu.Unlock()
	if due {
		g.log.Event("warn", "connections closed", "Port", g.bounds.Port, "Number", number, "Cause", cause)
	}
}

// Conn is a connection whose unfinished heads are counted.
type Conn struct {
	*net.TCPConn
	guard      *guard
	incomplete atomic.Bool // a request is read, or waited for
	inHead     atomic.Bool // the same of its head
	headBytes  int         // read of that; used by the reading goroutine, and between two requests
	evicted    bool        // guarded by guard.mu; closed for others, and not yet done with by the server
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// RequestComplete records that a request has been read whole: its connection is not closed
// for others any more.
func RequestComplete(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	c.incomplete.Store(false)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.account.Complete(c)
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.TCPConn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.incomplete.Load() {
		grown := 0
		if c.inHead.Load() {
			before := max(c.headBytes, intake.FreeHeadBytes)
			c.headBytes += n
			grown = max(c.headBytes-before, 0)
		}
		c.guard.progress(c, grown)
	}
	return n, err
}
