// Package mesh transports messages between hosts over jsonrpc2. Each host keeps one
// outgoing connection to each host that it sends to. Messages on a connection are
// delivered in order or not at all, and the sender is notified when some may have
// been lost. It knows no message types: those of the serve command are in package
// peers, those of the edge command in package coord.
package mesh

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"

	"yuccadoor/core/intake"
	"yuccadoor/core/ring"
)

// Timeouts and limits of connections.
const (
	// dialTimeout is some tens of round trips. The second of dialAttempts follows
	// immediately and reaches a host that was just starting during the first.
	dialTimeout  = 200 * time.Millisecond
	dialAttempts = 2
	writeTimeout = time.Second
	callTimeout  = 2 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed: about as long as hosts take to consider each other dead.
	unackedTimeout = 900 * time.Millisecond
	helloTimeout   = 2 * time.Second
	// retryDelay is the pause after a failed accept, dial or write.
	retryDelay = 200 * time.Millisecond
	// idleTimeout closes connections without traffic; a live host sends heartbeats.
	idleTimeout       = 30 * time.Second
	outgoingQueueSize = 1024
	methodHello       = "Hello"
	// maxHelloBytes limits what a connection may send before its Hello.
	maxHelloBytes = 4 << 10
	// freeMessageBytes of the message that a connection is reading are not counted in the
	// limit of all messages. The usual messages are smaller.
	freeMessageBytes = 16 << 10
)

// discardLogger drops the library's log output: lost connections are
// reported to the handler.
var discardLogger = log.New(io.Discard, "", 0)

// Hello is the first message on a connection and identifies the sender.
type Hello struct {
	From netip.AddrPort
}

// Handler handles messages from other hosts. Each connection calls Receive from a
// single goroutine, in the order in which the messages were sent.
type Handler interface {
	Receive(from netip.AddrPort, method string, params json.RawMessage)
	// MessagesLost is called when messages to a host may not have been delivered.
	MessagesLost(host netip.AddrPort)
}

// Counters counts the traffic between hosts.
type Counters interface {
	Sent(method string, bytes int)
	Received(bytes int)
}

// Dial opens a connection to another host.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Settings are the parameters of New.
type Settings struct {
	Self     netip.AddrPort
	Listener net.Listener
	Counters Counters
	Dial     Dial          // nil for plain TCP from Self's address
	Limits   intake.Limits // of connections and messages of other hosts
	// Authorize returns an error to reject a host that connects from a remote
	// address; nil accepts all hosts. HandleCall returns the result of an incoming
	// call; nil rejects all calls. Each connection calls both from a single goroutine.
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
	strange  *intake.Conns[net.Conn]     // guarded by mu; incoming connections, which wait for their Hello
	reading  int64                       // guarded by mu; bytes of unfinished messages
	sessions map[netip.AddrPort]*session // guarded by mu; the newest session of each host
}

// message is an outgoing notification or call.
type message struct {
	method string
	params any
	call   *call // nil for a notification
}

// call is a pending call.
type call struct {
	ctx   context.Context
	reply any        // the response is decoded into it
	done  chan error // buffered, so that delivering the result never blocks
}

// link is the outgoing queue and connection to one host.
type link struct {
	host  netip.AddrPort
	queue *ring.Queue[message]
}

// New starts accepting connections and returns the mesh with its cleanup function.
func New(ctx context.Context, s Settings, h Handler) (*Mesh, func()) {
	if s.Dial == nil {
		s.Dial = dialFrom(s.Self)
	}
	if s.Limits.HostConns == 0 {
		s.Limits = intake.LimitsFor(0, 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &Mesh{
		settings: s, handler: h, ctx: ctx,
		links: map[netip.AddrPort]*link{}, incoming: map[*jsonrpc2.Conn]struct{}{}, sessions: map[netip.AddrPort]*session{},
		strange: intake.NewConns[net.Conn](s.Limits.HostConns, math.MaxInt64),
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
			time.Sleep(retryDelay)
			continue
		}
		m.serve(conn)
	}
}

// serve starts handling an incoming connection.
func (m *Mesh) serve(conn net.Conn) {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil || !m.open(conn) {
		conn.Close()
		return
	}
	s := &session{mesh: m, conn: conn, remote: remote.Addr().Unmap(), helloTimer: time.AfterFunc(helloTimeout, func() { conn.Close() })}
	bounded := &boundedConn{meteredConn: meteredConn{Conn: conn, counters: m.settings.Counters, readTimeout: idleTimeout}, session: s}
	c := jsonrpc2.NewConn(m.ctx, jsonrpc2.NewPlainObjectStream(bounded), s, jsonrpc2.SetLogger(discardLogger))
	m.mu.Lock()
	m.incoming[c] = struct{}{}
	m.mu.Unlock()
	go func() {
		<-c.DisconnectNotify()
		s.helloTimer.Stop()
		m.mu.Lock()
		delete(m.incoming, c)
		m.strange.Close(conn)
		m.reading -= s.counted
		s.counted, s.ended = 0, true
		if m.sessions[s.from] == s {
			delete(m.sessions, s.from)
		}
		m.mu.Unlock()
	}()
}

// open counts an incoming connection. For one too many, it closes the one that has waited
// longest for its Hello; it returns false if there is none.
func (m *Mesh) open(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.strange.Full() {
		oldest, ok := m.strange.Oldest()
		if !ok {
			return false
		}
		m.strange.Close(oldest)
		oldest.Close()
	}
	m.strange.Open(conn)
	return true
}

// UnfinishedBytes returns the bytes of messages that are being read, beyond
// freeMessageBytes each.
func (m *Mesh) UnfinishedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

// boundedConn is an incoming connection whose unfinished message is bounded.
type boundedConn struct {
	meteredConn
	session *session
}

// errMessageTooLarge is the error of reading a message for which there is no room.
var errMessageTooLarge = errors.New("the message of another host is too large")

// Read implements io.Reader.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.meteredConn.Read(p)
	if !c.session.countBytes(int64(n)) {
		return 0, errMessageTooLarge
	}
	return n, err
}

// countBytes counts bytes of the message that is being read. It returns false if there are
// too many.
func (s *session) countBytes(n int64) bool {
	s.unfinished += n
	limits := s.mesh.settings.Limits
	switch {
	case !s.from.IsValid():
		return s.unfinished <= maxHelloBytes
	case s.unfinished <= freeMessageBytes:
		return true
	case s.unfinished > limits.MessageBytes:
		return false
	}
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	if s.ended {
		return false
	}
	s.mesh.reading += n
	s.counted += n
	return s.mesh.reading <= limits.Messages
}

// endMessage ends counting the bytes of a message that has been read.
func (s *session) endMessage() {
	counted := s.unfinished > freeMessageBytes
	s.unfinished = 0
	if !counted {
		return
	}
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.mesh.reading -= s.counted
	s.counted = 0
}

// session is one incoming connection. Its fields are used only by the goroutine of
// the connection.
type session struct {
	mesh       *Mesh
	conn       net.Conn
	unfinished int64 // bytes read of the message that is being read
	counted    int64 // guarded by mesh.mu; those in mesh.reading
	ended      bool  // guarded by mesh.mu; the connection has ended
	remote     netip.Addr
	from       netip.AddrPort // invalid before Hello; written under mesh.mu, which others hold to read it
	helloTimer *time.Timer    // closes the connection unless Hello arrives in time
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	s.endMessage()
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	switch {
	case !s.from.IsValid():
		if r.Method != methodHello || s.handleHello(params) != nil {
			c.Close()
		}
	case !s.mesh.isNewest(s):
		c.Close() // buffered messages may be from an earlier process of that host
	case r.Notif:
		s.mesh.handler.Receive(s.from, r.Method, params)
	default:
		s.handleCall(ctx, c, r, params)
	}
}

// handleCall replies to a call. It closes the connection if the call fails or the
// reply cannot be sent.
func (s *session) handleCall(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, params json.RawMessage) {
	err := errors.Errorf("call %s: this host does not accept calls", r.Method)
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

// handleHello authorizes the sender and makes this the newest session of that host.
// Messages on the host's earlier sessions are no longer accepted.
func (s *session) handleHello(params json.RawMessage) error {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return errors.Wrap(err, "decode hello")
	}
	if !h.From.IsValid() {
		return errors.New("hello without a valid sender address")
	}
	if s.mesh.settings.Authorize != nil {
		if err := s.mesh.settings.Authorize(h.From, s.remote); err != nil {
			return err
		}
	}
	s.helloTimer.Stop()
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.from = h.From
	s.mesh.strange.Complete(s.conn)
	s.mesh.sessions[s.from] = s
	return nil
}

// isNewest reports whether s is the newest session of its host.
func (m *Mesh) isNewest(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[s.from] == s
}

// meteredConn counts the bytes of a connection and sets read and write deadlines.
type meteredConn struct {
	net.Conn
	counters    Counters
	readTimeout time.Duration // 0 for none
}

// Write implements io.Writer.
func (c *meteredConn) Write(p []byte) (int, error) {
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
func (c *meteredConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if c.counters != nil {
		c.counters.Received(n)
	}
	return n, err
}

// Send queues a message for a host. It never blocks: if the queue is full, the
// message is dropped and the handler's MessagesLost is called.
func (m *Mesh) Send(to netip.AddrPort, method string, params any) {
	if !m.link(to).queue.Offer(message{method: method, params: params}) {
		m.handler.MessagesLost(to)
	}
}

// Call calls a method of a host and decodes the result into reply. If the call times
// out, its connection is closed.
func (m *Mesh) Call(ctx context.Context, to netip.AddrPort, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &call{ctx: ctx, reply: reply, done: make(chan error, 1)}
	if !m.link(to).queue.Offer(message{method: method, params: params, call: c}) {
		return errors.Errorf("call %s at %s: outgoing queue is full", method, to)
	}
	select {
	case err := <-c.done:
		return errors.Wrapf(err, "call %s at %s", method, to)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "call %s at %s", method, to)
	}
}

// send sends one message. The response to a call is awaited in another goroutine.
func (m *Mesh) send(conn *jsonrpc2.Conn, msg message) error {
	if msg.call == nil {
		return conn.Notify(m.ctx, msg.method, msg.params)
	}
	waiter, err := conn.DispatchCall(m.ctx, msg.method, msg.params)
	if err != nil {
		return err
	}
	go func() {
		err := waiter.Wait(msg.call.ctx, msg.call.reply)
		if msg.call.ctx.Err() != nil {
			conn.Close()
		}
		msg.call.done <- err
	}()
	return nil
}

// link returns the link to a host and starts it if there is none.
func (m *Mesh) link(host netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[host]
	if l == nil {
		l = &link{host: host, queue: ring.New[message](outgoingQueueSize)}
		m.links[host] = l
		go m.runLink(l)
	}
	return l
}

// runLink sends a link's messages in order, connecting as needed. After a failure it
// drops the queued messages and calls the handler's MessagesLost. It ends when no message
// was sent for a while.
func (m *Mesh) runLink(l *link) {
	var conn *jsonrpc2.Conn
	var disconnected <-chan struct{}
	disconnect := func() {
		if conn != nil {
			conn.Close()
			conn, disconnected = nil, nil
		}
	}
	defer disconnect()
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	used := true
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-disconnected:
			disconnect()
			m.handler.MessagesLost(l.host)
		case <-idle.C:
			if !used && m.removeLink(l) {
				return
			}
			used = false
		case msg := <-l.queue.Items():
			used = true
			if conn == nil {
				c, err := m.connect(l.host)
				if err != nil {
					m.handleFailure(l)
					continue
				}
				conn, disconnected = c, c.DisconnectNotify()
			}
			if err := m.send(conn, msg); err != nil {
				disconnect()
				m.handleFailure(l)
			}
		}
	}
}

// removeLink removes a link unless messages are queued on it.
func (m *Mesh) removeLink(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.queue.Len() > 0 {
		return false
	}
	delete(m.links, l.host)
	return true
}

// handleFailure drops the queued messages of a link whose connection failed, calls the
// handler's MessagesLost and waits before the next attempt.
func (m *Mesh) handleFailure(l *link) {
	if m.ctx.Err() != nil {
		return
	}
	for l.queue.Len() > 0 {
		<-l.queue.Items()
	}
	m.handler.MessagesLost(l.host)
	select {
	case <-m.ctx.Done():
	case <-time.After(retryDelay):
	}
}

func (m *Mesh) connect(host netip.AddrPort) (*jsonrpc2.Conn, error) {
	raw, err := m.dial(host)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", host)
	}
	stream := jsonrpc2.NewPlainObjectStream(&meteredConn{Conn: raw, counters: m.settings.Counters})
	conn := jsonrpc2.NewConn(m.ctx, stream, rejectIncoming{}, jsonrpc2.SetLogger(discardLogger))
	if err := conn.Notify(m.ctx, methodHello, Hello{From: m.settings.Self}); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "send hello to host %s", host)
	}
	return conn, nil
}

func (m *Mesh) dial(host netip.AddrPort) (conn net.Conn, err error) {
	for range dialAttempts {
		ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
		conn, err = m.settings.Dial(ctx, host)
		cancel()
		if err == nil {
			break
		}
	}
	return conn, err
}

// Probe checks that a host accepts a new connection, and calls the handler's MessagesLost if
// not. An open connection to a host that was cut off is found out only unackedTimeout after
// the next message.
func (m *Mesh) Probe(host netip.AddrPort) {
	go func() {
		// Both at once: a lost packet is sent again only after a second.
		reached := make(chan bool, dialAttempts)
		for range dialAttempts {
			go func() {
				ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
				defer cancel()
				conn, err := m.settings.Dial(ctx, host)
				if err == nil {
					conn.Close()
				}
				reached <- err == nil
			}()
		}
		for range dialAttempts {
			if <-reached || m.ctx.Err() != nil {
				return
			}
		}
		m.handler.MessagesLost(host)
	}()
}

func dialFrom(self netip.AddrPort) Dial {
	d := net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(self.Addr(), 0)),
		Control:   setUserTimeout,
	}
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	}
}

// setUserTimeout makes the kernel close a connection whose data stays unacknowledged,
// as happens in a network partition or when a middlebox has dropped its state.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// rejectIncoming closes an outgoing connection on which the remote host sends
// requests.
type rejectIncoming struct{}

// Handle implements jsonrpc2.Handler.
func (rejectIncoming) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { c.Close() }
