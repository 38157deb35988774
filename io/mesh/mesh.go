// Package mesh carries messages between hosts over jsonrpc2. Each host keeps
// one outgoing connection to each host that it talks to; messages on it arrive
// in order or not at all, and the sender is told when some may not have.
package mesh

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"

	"yuccadoor/core/ring"
)

// Times and bounds of the connections.
const (
	// dialTimeout is some tens of round trips; a host that starts just then is
	// reached by the second of dialTries, which is not long after.
	dialTimeout  = 200 * time.Millisecond
	dialTries    = 2
	writeTimeout = time.Second
	callTimeout  = 2 * time.Second
	// unackedLife is how long sent bytes may stay unacknowledged before the
	// connection is given up: hosts count each other as dead after about as long.
	unackedLife  = 900 * time.Millisecond
	helloTimeout = 2 * time.Second
	redialPeriod = 200 * time.Millisecond
	// idleLife ends connections that carry nothing: a live host sends beats.
	idleLife     = 30 * time.Second
	outgoingRing = 1024
	maxIncoming  = 1024
	methodHello  = "Hello"
)

// quiet drops the library's own log lines: the loss of a connection is an event
// of the handler.
var quiet = log.New(io.Discard, "", 0)

// Hello is the first message on a connection: who calls.
type Hello struct {
	From netip.AddrPort
}

// Handler takes in what other hosts send. Receive is called from one goroutine
// a connection, in the order of sending.
type Handler interface {
	Receive(from netip.AddrPort, method string, params json.RawMessage)
	// Lost tells that messages to a host may not have arrived.
	Lost(host netip.AddrPort)
}

// Counters count the traffic between hosts.
type Counters interface {
	Sent(method string, bytes int)
	Received(bytes int)
}

// Dial opens a connection to another host.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Settings are what a mesh needs.
type Settings struct {
	Self     netip.AddrPort
	Listener net.Listener
	Counters Counters
	Dial     Dial // nil for plain TCP from Self's address
	// Authorize decides whether a host that calls from an address is let in; nil lets
	// in all. Answer answers calls; nil refuses them. Both are called from one
	// goroutine a connection.
	Authorize  func(from netip.AddrPort, remote netip.Addr) error
	HandleCall func(ctx context.Context, from netip.AddrPort, method string, params json.RawMessage) (any, error)
}

// Mesh is the set of connections of one host.
type Mesh struct {
	settings Settings
	handler  Handler
	ctx      context.Context

	mu       sync.Mutex
	links    map[netip.AddrPort]*link    // guarded by mu
	incoming map[*jsonrpc2.Conn]struct{} // guarded by mu
	sessions map[netip.AddrPort]*session // guarded by mu; the newest by host
}

// notice is one message to be sent.
type notice struct {
	method string
	params any
	call   *call // nil if no answer is awaited
}

// call is a wait for an answer.
type call struct {
	ctx   context.Context
	reply any        // decoded into
	done  chan error // of one; never blocks the sender
}

// link is the outgoing side towards one host.
type link struct {
	host netip.AddrPort
	out  *ring.Ring[notice]
}

// New starts accepting and returns the mesh with its clean-up function.
func New(ctx context.Context, s Settings, h Handler) (*Mesh, func()) {
	if s.Dial == nil {
		s.Dial = dialFrom(s.Self)
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &Mesh{
		settings: s, handler: h, ctx: ctx,
		links: map[netip.AddrPort]*link{}, incoming: map[*jsonrpc2.Conn]struct{}{}, sessions: map[netip.AddrPort]*session{},
	}
	var running sync.WaitGroup
	running.Go(func() { m.accept() })
	return m, func() {
		cancel()
		s.Listener.Close()
		m.closeIncoming()
		running.Wait()
	}
}

func (m *Mesh) closeIncoming() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.incoming {
		c.Close()
	}
}

func (m *Mesh) accept() {
	for {
		conn, err := m.settings.Listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			time.Sleep(redialPeriod)
			continue
		}
		m.serve(conn)
	}
}

// serve handles one incoming connection until it ends.
func (m *Mesh) serve(conn net.Conn) {
	m.mu.Lock()
	full := len(m.incoming) >= maxIncoming
	m.mu.Unlock()
	if full {
		conn.Close()
		return
	}
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		conn.Close()
		return
	}
	s := &session{mesh: m, remote: remote.Addr().Unmap(), expire: time.AfterFunc(helloTimeout, func() { conn.Close() })}
	c := jsonrpc2.NewConn(m.ctx, jsonrpc2.NewPlainObjectStream(&counted{Conn: conn, counters: m.settings.Counters, idle: idleLife}), s, jsonrpc2.SetLogger(quiet))
	m.mu.Lock()
	m.incoming[c] = struct{}{}
	m.mu.Unlock()
	go func() {
		<-c.DisconnectNotify()
		s.expire.Stop()
		m.mu.Lock()
		delete(m.incoming, c)
		if m.sessions[s.from] == s {
			delete(m.sessions, s.from)
		}
		m.mu.Unlock()
	}()
}

// session is one incoming connection; its fields are used by its own goroutine.
type session struct {
	mesh   *Mesh
	remote netip.Addr
	from   netip.AddrPort // invalid before Hello; also guarded by the mesh's mu when written
	expire *time.Timer
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	switch {
	case !s.from.IsValid():
		if r.Method != methodHello || s.hello(params) != nil {
			c.Close()
		}
	case !s.mesh.current(s):
		c.Close() // messages in its buffers may be of an earlier process
	case r.Notif:
		s.mesh.handler.Receive(s.from, r.Method, params)
	default:
		s.answer(ctx, c, r, params)
	}
}

// answer answers a call; a connection whose calls cannot be answered ends.
func (s *session) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, params json.RawMessage) {
	err := errors.Errorf("%s: no calls are answered here", r.Method)
	var result any
	if s.mesh.settings.HandleCall != nil {
		result, err = s.mesh.settings.HandleCall(ctx, s.from, r.Method, params)
	}
	if err != nil {
		_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
		c.Close()
		return
	}
	if err := c.Reply(ctx, r.ID, result); err != nil {
		c.Close()
	}
}

// hello lets a caller in. From then on only its newest connection counts.
func (s *session) hello(params json.RawMessage) error {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return errors.Wrap(err, "decode hello")
	}
	if !h.From.IsValid() {
		return errors.New("a hello without an address")
	}
	if s.mesh.settings.Authorize != nil {
		if err := s.mesh.settings.Authorize(h.From, s.remote); err != nil {
			return err
		}
	}
	s.expire.Stop()
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.from = h.From
	s.mesh.sessions[s.from] = s
	return nil
}

func (m *Mesh) current(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[s.from] == s
}

// counted counts the bytes of a connection and bounds its reads and writes.
type counted struct {
	net.Conn
	counters Counters
	idle     time.Duration // longest wait of a read; 0 for none
}

// Write implements io.Writer.
func (c *counted) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.counters != nil {
		c.counters.Sent("", n)
	}
	return n, err
}

// Read implements io.Reader.
func (c *counted) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if c.counters != nil {
		c.counters.Received(n)
	}
	return n, err
}

// Send hands a message to a host's link. It never waits: when too much waits
// already, the message is lost and the handler is told.
func (m *Mesh) Send(to netip.AddrPort, method string, params any) {
	if !m.link(to).out.Offer(notice{method: method, params: params}) {
		m.handler.Lost(to)
	}
}

// Call asks a host and decodes its answer. A connection that does not answer in
// time is not trusted again.
func (m *Mesh) Call(ctx context.Context, to netip.AddrPort, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &call{ctx: ctx, reply: reply, done: make(chan error, 1)}
	if !m.link(to).out.Offer(notice{method: method, params: params, call: c}) {
		return errors.Errorf("call %s at %s: too much waits to be sent there", method, to)
	}
	select {
	case err := <-c.done:
		return errors.Wrapf(err, "call %s at %s", method, to)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "call %s at %s", method, to)
	}
}

// send sends one message, and awaits the answer to a call aside.
func (m *Mesh) send(conn *jsonrpc2.Conn, n notice) error {
	if n.call == nil {
		return conn.Notify(m.ctx, n.method, n.params)
	}
	w, err := conn.DispatchCall(m.ctx, n.method, n.params)
	if err != nil {
		return err
	}
	go func() {
		err := w.Wait(n.call.ctx, n.call.reply)
		if n.call.ctx.Err() != nil {
			conn.Close()
		}
		n.call.done <- err
	}()
	return nil
}

func (m *Mesh) link(host netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[host]
	if l == nil {
		l = &link{host: host, out: ring.New[notice](outgoingRing)}
		m.links[host] = l
		go m.write(l)
	}
	return l
}

// write sends a link's messages in order. After a failure the messages in hand
// are lost, and the handler is told. A link that carries nothing for a while
// ends.
func (m *Mesh) write(l *link) {
	var conn *jsonrpc2.Conn
	var ended <-chan struct{}
	drop := func() {
		if conn != nil {
			conn.Close()
			conn, ended = nil, nil
		}
	}
	defer drop()
	idle := time.NewTicker(idleLife)
	defer idle.Stop()
	used := true
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ended:
			drop()
			m.handler.Lost(l.host)
		case <-idle.C:
			if !used && m.forget(l) {
				return
			}
			used = false
		case n := <-l.out.Items():
			used = true
			if conn == nil {
				c, err := m.connect(l.host)
				if err != nil {
					m.failed(l)
					continue
				}
				conn, ended = c, c.DisconnectNotify()
			}
			if err := m.send(conn, n); err != nil {
				drop()
				m.failed(l)
			}
		}
	}
}

// forget removes a link without waiting messages.
func (m *Mesh) forget(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.out.Len() > 0 {
		return false
	}
	delete(m.links, l.host)
	return true
}

func (m *Mesh) failed(l *link) {
	if m.ctx.Err() != nil {
		return
	}
	for l.out.Len() > 0 {
		<-l.out.Items()
	}
	m.handler.Lost(l.host)
	select {
	case <-m.ctx.Done():
	case <-time.After(redialPeriod):
	}
}

func (m *Mesh) connect(host netip.AddrPort) (*jsonrpc2.Conn, error) {
	raw, err := m.dial(host)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", host)
	}
	stream := jsonrpc2.NewPlainObjectStream(&counted{Conn: raw, counters: m.settings.Counters})
	conn := jsonrpc2.NewConn(m.ctx, stream, refuseAll{}, jsonrpc2.SetLogger(quiet))
	if err := conn.Notify(m.ctx, methodHello, Hello{From: m.settings.Self}); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "greet host %s", host)
	}
	return conn, nil
}

func (m *Mesh) dial(host netip.AddrPort) (conn net.Conn, err error) {
	for range dialTries {
		ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
		conn, err = m.settings.Dial(ctx, host)
		cancel()
		if err == nil {
			break
		}
	}
	return conn, err
}

func dialFrom(self netip.AddrPort) Dial {
	d := net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(self.Addr(), 0)),
		Control:   endUnacknowledged,
	}
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	}
}

// endUnacknowledged lets the kernel end a connection whose bytes stay
// unacknowledged, as behind a partition or a middlebox that has forgotten it.
func endUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLife.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// refuseAll ends an outgoing connection on which the other side asks.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { c.Close() }
