package detour

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/io/conns"
)

// defaultMaxCarried applies where the settings state no number.
const defaultMaxCarried = 512

// CarrierSettings are the parameters of NewCarrier.
type CarrierSettings struct {
	Direct conns.DialFunc // to targets
	// MaySend reports whether this host may send requests to a target now.
	MaySend func(target netip.AddrPort) bool
	// Isolated reports whether this host is cut off from all targets itself.
	Isolated func() bool
	// MaxCarried is the number of connections that a host carries for others at once; 0 for
	// defaultMaxCarried.
	MaxCarried int
	Now        func() time.Time
	Log        Logger
}

// Carrier is the http.Handler that carries connections of other hosts to targets.
type Carrier struct {
	settings CarrierSettings
	mu       sync.Mutex
	active   int  // guarded by mu
	stopping bool // guarded by mu
	idle     *sync.Cond
}

// NewCarrier returns a carrier.
func NewCarrier(s CarrierSettings) *Carrier {
	s.MaxCarried = cmp.Or(s.MaxCarried, defaultMaxCarried)
	c := &Carrier{settings: s}
	c.idle = sync.NewCond(&c.mu)
	return c
}

// ServeHTTP implements http.Handler. The status tells the asking host about the target only
// if it is 502: this host has tried to connect and failed.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target, err := netip.ParseAddrPort(r.Host)
	switch {
	case r.Method != http.MethodConnect || err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case c.settings.Isolated() || !c.begin():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer c.end()
	if !c.settings.MaySend(target) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	server, err := c.settings.Direct(r.Context(), target)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer server.Close()
	if err := c.carry(w, r, server); err != nil {
		c.settings.Log.Event("info", "carried connection ended", "From", r.RemoteAddr, "Target", target, "Error", err)
	}
}

// begin counts a connection, unless there are too many or the host is stopping.
func (c *Carrier) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping || c.active >= c.settings.MaxCarried {
		return false
	}
	c.active++
	return true
}

func (c *Carrier) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.idle.Broadcast()
}

// Active returns the number of connections that are carried.
func (c *Carrier) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// Stop takes no new connections and waits until the others have ended.
func (c *Carrier) Stop(ctx context.Context) {
	stop := context.AfterFunc(ctx, c.idle.Broadcast)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for c.active > 0 && ctx.Err() == nil {
		c.idle.Wait()
	}
}

// carry passes bytes on in both directions until one side has ended. Only the orderly end of
// the target's bytes is passed on as such, so that a truncated answer does not look complete.
func (c *Carrier) carry(w http.ResponseWriter, r *http.Request, server net.Conn) error {
	client, buffered, err := takeOver(w)
	if err != nil {
		return errors.Wrap(err, "take over the connection of the asking host")
	}
	defer client.Close()
	answers, err := acceptConnection(client, r)
	if err != nil {
		return errors.Wrap(err, "answer the asking host")
	}
	started := c.settings.Now()
	request := &requestWriter{target: server}
	var up int64
	var upErr error
	requestEnded := make(chan struct{})
	go func() {
		defer close(requestEnded)
		up, upErr = io.Copy(request, io.MultiReader(io.LimitReader(buffered, int64(buffered.Buffered())), client))
		// The asking host has no more to send or has given the request up, or the target takes
		// no more.
		server.Close()
		_, _ = io.Copy(io.Discard, client) // until linger is over
	}()
	down, downErr := io.Copy(answers, server)
	if downErr == nil {
		downErr = endInOrder(client, answers, request)
	}
	server.Close()
	if !answers.Framed() {
		// The asking host must not get the reset while it writes; see requestWriter.settle.
		linger(requestEnded)
	}
	client.Close()
	<-requestEnded
	c.settings.Log.Event("info", "connection carried", "From", r.RemoteAddr, "Target", r.Host, "Up", up, "Down", down, "Took", c.settings.Now().Sub(started))
	if upErr != nil && !errors.Is(upErr, net.ErrClosed) {
		return errors.Wrap(upErr, "pass the request on")
	}
	if errors.Is(downErr, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(downErr, "pass the target's bytes on")
}

// takeOver returns the connection of the asking host and what has been read from it. It ends with
// a reset until setResetOnClose says otherwise, also when this process ends and the system closes it.
func takeOver(w http.ResponseWriter) (net.Conn, *bufio.Reader, error) {
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	if wrapped, ok := client.(interface{ NetConn() net.Conn }); ok {
		client = wrapped.NetConn()
	}
	if err := conns.DetectSilence(client); err != nil {
		client.Close()
		return nil, nil, err
	}
	if err := setResetOnClose(client, true); err != nil {
		client.Close()
		return nil, nil, err
	}
	return client, buffered.Reader, nil
}

// endInOrder tells the asking host that the target has ended its connection in order, unless the
// request shows otherwise.
func endInOrder(client net.Conn, answers answerWriter, request *requestWriter) error {
	passed, err := request.settle()
	if err != nil {
		return err
	}
	if err := answers.End(passed); err != nil {
		return err
	}
	return setResetOnClose(client, false)
}

// setResetOnClose sets whether the connection ends with a reset when it is closed, by this
// process or by the system after it.
func setResetOnClose(conn net.Conn, reset bool) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if reset {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}
