// Package peers carries messages between entry hosts over jsonrpc2. Each host
// keeps one outgoing connection to each peer that it talks to; messages on a
// connection arrive in order or not at all. A connection is accepted only from
// the address of a listed host.
package peers

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
	"yuccadoor/core/ring"
)

// Methods between peers.
const (
	methodHello    = "Hello"
	methodHolder   = "Holder"
	methodManager  = "Manager"
	methodExchange = "Exchange"
	methodFetch    = "Fetch"
	methodFresh    = "Fresh"
	methodDisplace = "Displace"
)

// Times and bounds of the connections.
const (
	dialTimeout  = time.Second
	callTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	helloTimeout = 2 * time.Second
	redialPeriod = 250 * time.Millisecond
	outgoingRing = 4096
	maxIncoming  = 1024
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 3
)

// quiet drops the library's own log lines: the loss of a connection is an event
// of the handler.
var quiet = log.New(io.Discard, "", 0)

// Hello is the first message on a connection: who calls.
type Hello struct {
	From        netip.AddrPort
	Incarnation model.Incarnation
}

// Document is a published text as one host passes it to another.
type Document struct {
	ConfigRevision model.Revision
	ConfigText     string          `json:",omitempty"`
	List           *model.HostList `json:",omitempty"`
}

// Fetch asks for what is newer than the given revisions.
type Fetch struct {
	ConfigRevision model.Revision
	ListRevision   model.Revision
}

// Displace asks a peer to refuse a waiting request of a service that is less
// urgent than Tier.
type Displace struct {
	Service string
	Tier    model.Tier
}

// Handler takes in what peers send. Its methods are called from one goroutine
// a connection.
type Handler interface {
	// Known reports whether a peer is on the platform's list.
	Known(peer netip.AddrPort) bool
	FromHolder(peer netip.AddrPort, m permit.FromHolder)
	FromManager(peer netip.AddrPort, m permit.FromManager)
	// Exchange takes in a peer's state and gives this host's.
	Exchange(ctx context.Context, x member.Exchange) (member.Exchange, error)
	Fetch(ctx context.Context, f Fetch) (Document, error)
	// Fresh tells that a peer has a newer text.
	Fresh(peer netip.AddrPort, f Fetch)
	Displace(d Displace)
	// Lost tells that messages to a peer may not have arrived.
	Lost(peer netip.AddrPort)
}

// Dial opens a connection to a peer.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Counters count the traffic between peers; they only grow.
type Counters interface {
	Sent(method string, bytes int)
	Received(bytes int)
}

// Settings are what the peers' side needs.
type Settings struct {
	Self        netip.AddrPort
	Incarnation model.Incarnation
	Listener    net.Listener
	Dial        Dial // nil for plain TCP from Self's address
	Counters    Counters
}

// Mesh is the set of connections of one host.
type Mesh struct {
	settings Settings
	handler  Handler
	ctx      context.Context

	mu       sync.Mutex
	links    map[netip.AddrPort]*link    // guarded by mu
	incoming map[*jsonrpc2.Conn]string   // guarded by mu
	sessions map[netip.AddrPort]*session // guarded by mu; the newest by peer
}

// notice is one message to be sent.
type notice struct {
	method string
	params any
}

// link is the outgoing side towards one peer.
type link struct {
	peer netip.AddrPort
	out  *ring.Ring[notice]
	mu   sync.Mutex
	conn *jsonrpc2.Conn // guarded by mu; nil while not connected
}

// New starts accepting and returns the mesh with its clean-up function.
func New(ctx context.Context, s Settings, h Handler) (*Mesh, func()) {
	if s.Dial == nil {
		s.Dial = dialFrom(s.Self)
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &Mesh{
		settings: s, handler: h, ctx: ctx,
		links:    map[netip.AddrPort]*link{},
		incoming: map[*jsonrpc2.Conn]string{},
		sessions: map[netip.AddrPort]*session{},
	}
	var running sync.WaitGroup
	running.Go(func() { m.accept() })
	return m, func() {
		cancel()
		s.Listener.Close()
		m.closeAll()
		running.Wait()
	}
}

func dialFrom(self netip.AddrPort) Dial {
	d := net.Dialer{
		Timeout:   dialTimeout,
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(self.Addr(), 0)),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount,
		},
	}
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	}
}

func (m *Mesh) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.incoming {
		c.Close()
	}
	for _, l := range m.links {
		l.drop()
	}
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func (m *Mesh) accept() {
	for {
		conn, err := m.settings.Listener.Accept()
		if err != nil {
			return
		}
		m.serve(conn)
	}
}

// serve handles one incoming connection until it ends.
func (m *Mesh) serve(conn net.Conn) {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	m.mu.Lock()
	full := len(m.incoming) >= maxIncoming
	m.mu.Unlock()
	if err != nil || full {
		conn.Close()
		return
	}
	s := &session{mesh: m, remote: remote.Addr().Unmap()}
	s.expire = time.AfterFunc(helloTimeout, func() { conn.Close() })
	stream := jsonrpc2.NewPlainObjectStream(&counted{Conn: conn, counters: m.settings.Counters})
	c := jsonrpc2.NewConn(m.ctx, stream, s, jsonrpc2.SetLogger(quiet))
	m.mu.Lock()
	m.incoming[c] = remote.String()
	m.mu.Unlock()
	go func() {
		<-c.DisconnectNotify()
		s.expire.Stop()
		m.mu.Lock()
		delete(m.incoming, c)
		m.mu.Unlock()
	}()
}

// counted counts the bytes of a connection and bounds its writes in time.
type counted struct {
	net.Conn
	counters Counters
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
	n, err := c.Conn.Read(p)
	if c.counters != nil {
		c.counters.Received(n)
	}
	return n, err
}

func (m *Mesh) link(peer netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer]
	if l == nil {
		l = &link{peer: peer, out: ring.New[notice](outgoingRing)}
		m.links[peer] = l
		go m.write(l)
	}
	return l
}

// Holder sends a holder's message to a manager.
func (m *Mesh) Holder(to netip.AddrPort, msg permit.FromHolder) { m.send(to, methodHolder, msg) }

// Manager sends a manager's message to a holder.
func (m *Mesh) Manager(to netip.AddrPort, msg permit.FromManager) { m.send(to, methodManager, msg) }

// Fresh tells a peer that this host has newer texts.
func (m *Mesh) Fresh(to netip.AddrPort, f Fetch) { m.send(to, methodFresh, f) }

// Displace asks a peer to refuse a less urgent waiting request.
func (m *Mesh) Displace(to netip.AddrPort, d Displace) { m.send(to, methodDisplace, d) }

func (m *Mesh) send(to netip.AddrPort, method string, params any) {
	if !m.link(to).out.Offer(notice{method, params}) {
		m.handler.Lost(to)
	}
}

// write sends a link's messages in order. After a failure the messages in hand
// are lost, and the handler is told.
func (m *Mesh) write(l *link) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case n := <-l.out.Items():
			if err := m.notify(l, n); err != nil && m.ctx.Err() == nil {
				m.drain(l)
				m.handler.Lost(l.peer)
				m.pause()
			}
		}
	}
}

func (m *Mesh) notify(l *link, n notice) error {
	conn, err := m.connect(l)
	if err != nil {
		return err
	}
	if err := conn.Notify(m.ctx, n.method, n.params); err != nil {
		l.drop()
		return errors.Wrapf(err, "send %s to %s", n.method, l.peer)
	}
	return nil
}

func (m *Mesh) drain(l *link) {
	for l.out.Len() > 0 {
		<-l.out.Items()
	}
}

func (m *Mesh) pause() {
	select {
	case <-m.ctx.Done():
	case <-time.After(redialPeriod):
	}
}

// connect returns the link's connection, dialling when there is none.
func (m *Mesh) connect(l *link) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	raw, err := m.settings.Dial(ctx, l.peer)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", l.peer)
	}
	stream := jsonrpc2.NewPlainObjectStream(&counted{Conn: raw, counters: m.settings.Counters})
	conn := jsonrpc2.NewConn(m.ctx, stream, refuseAll{}, jsonrpc2.SetLogger(quiet))
	hello := Hello{From: m.settings.Self, Incarnation: m.settings.Incarnation}
	if err := conn.Notify(ctx, methodHello, hello); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "greet peer %s", l.peer)
	}
	l.conn = conn
	go m.watch(l, conn)
	return conn, nil
}

// watch tells the handler when a connection ends.
func (m *Mesh) watch(l *link, conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	if m.ctx.Err() == nil {
		m.handler.Lost(l.peer)
	}
}

// Exchange trades states with a peer.
func (m *Mesh) Exchange(ctx context.Context, to netip.AddrPort, x member.Exchange) (member.Exchange, error) {
	var reply member.Exchange
	err := m.call(ctx, to, methodExchange, x, &reply)
	return reply, err
}

// Fetch reads newer texts from a peer.
func (m *Mesh) Fetch(ctx context.Context, to netip.AddrPort, f Fetch) (Document, error) {
	var reply Document
	err := m.call(ctx, to, methodFetch, f, &reply)
	return reply, err
}

func (m *Mesh) call(ctx context.Context, to netip.AddrPort, method string, params, reply any) error {
	l := m.link(to)
	conn, err := m.connect(l)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := conn.Call(ctx, method, params, reply); err != nil {
		if ctx.Err() != nil {
			l.drop() // a silent connection is not trusted again
		}
		return errors.Wrapf(err, "call %s at %s", method, to)
	}
	return nil
}

// refuseAll answers requests on outgoing connections, where none are expected.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { c.Close() }
