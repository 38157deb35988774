// Package canned is a stand-in for targets in trouble: it writes given bytes as its response, and
// ends the connection in a given way. Packages fakes and platform/stand have targets that work.
package canned

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

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size in bytes of the sockets' receive buffers. It is small, so that most of
// a long request stays with its sender while the target does not read it.
const receiveBuffer = 4 << 10

// End is how a connection ends.
type End string

// Ways of ending a connection.
const (
	Closed  End = "Closed"  // the kernel sends a reset if bytes of the request are unread
	Reset   End = "Reset"   // with a reset
	Drained End = "Drained" // in order, and the rest of the request is read after that
	Open    End = "Open"    // the next request on the connection is answered
	// Late is in order, with a reset after another pause.
	Late End = "Late"
)

// Response is what a target does with a request.
type Response struct {
	Text      string
	ReadBytes int64         // bytes of the request's body that are read before the response
	Pause     time.Duration // between the response and the end of the connection
	End       End
}

// Target is a target on a loopback address.
type Target struct {
	Address  netip.AddrPort
	respond  func(r *http.Request) Response
	listener net.Listener

	mu       sync.Mutex
	requests int // guarded by mu
}

// New starts a target and returns it with its cleanup function.
func New(ctx context.Context, at netip.Addr, respond func(r *http.Request) Response) (*Target, func(), error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}}
	l, err := config.Listen(ctx, "tcp", netip.AddrPortFrom(at, 0).String())
	if err != nil {
		return nil, nil, err
	}
	t := &Target{Address: l.Addr().(*net.TCPAddr).AddrPort(), respond: respond, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn.(*net.TCPConn))
		}
	}()
	return t, func() { l.Close() }, nil
}

// Requests returns the number of requests that have reached the target.
func (t *Target) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

func (t *Target) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.requests++
		t.mu.Unlock()
		response := t.respond(request)
		_, _ = io.CopyN(io.Discard, request.Body, response.ReadBytes)
		_, _ = io.WriteString(conn, response.Text)
		time.Sleep(response.Pause)
		switch response.End {
		case Reset:
			_ = conn.SetLinger(0)
			return
		case Drained:
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
			return
		case Late:
			_ = conn.CloseWrite()
			time.Sleep(response.Pause)
			_ = conn.SetLinger(0)
			return
		case Open:
			_, _ = io.Copy(io.Discard, request.Body)
		default:
			return
		}
	}
}
