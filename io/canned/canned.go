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

// New starts a target on a loopback address and returns its address and its cleanup function.
func New(ctx context.Context, at netip.Addr, respond func(r *http.Request) Response) (netip.AddrPort, func(), error) {
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
		return netip.AddrPort{}, nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func() { l.Close() }, nil
}

func serve(conn *net.TCPConn, respond func(r *http.Request) Response) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := respond(request)
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
