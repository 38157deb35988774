package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutTarget answers with a text, and closes the connection in an orderly way.
type cutTarget string

func (c cutTarget) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() {
		defer remote.Close()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
			_, _ = io.WriteString(remote, string(c))
		}
	}()
	return local, nil
}

// Guards against answers that are framed as whole although their target stopped within the
// head, or within the length of a part.
func TestAnswerThatStopsInItsHeadIsNoAnswer(t *testing.T) {
	const id, stamp = "X-Id: q\r\n", "X-Stamp: s\r\n"
	for _, c := range []struct {
		name, head, body string
		whole            int // bytes of the body that make it whole
	}{
		{"length last", "HTTP/1.1 200 OK\r\n" + id + stamp + "Content-Length: 12\r\n\r\n", "twelve bytes", 12},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + id + stamp + "\r\n", "twelve bytes", 12},
		{"stamp last", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 12\r\n" + stamp + "\r\n", "twelve bytes", 12},
		{"chunks", "HTTP/1.1 200 OK\r\n" + id + stamp + "Transfer-Encoding: chunked\r\n\r\n", "c\r\ntwelve bytes\r\n0\r\n\r\n", 22},
		{"a chunk's long length", "HTTP/1.1 200 OK\r\n" + id + stamp + "Transfer-Encoding: chunked\r\n\r\n", "0000c\r\ntwelve bytes\r\n0\r\n\r\n", 26},
		{"no length", "HTTP/1.1 200 OK\r\n" + id + stamp + "\r\n", "twelve bytes", 0},
		{"empty", "HTTP/1.1 200 OK\r\n" + id + stamp + "Content-Length: 0\r\n\r\n", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := c.head + c.body
			for n := range len(text) + 1 {
				whole := n >= len(c.head)+c.whole
				s, cleanup := New(t.Context(), names, cutTarget(text[:n]).dial, time.Now)
				response, sendErr := s.Send(t.Context(), &Call{Target: netip.MustParseAddrPort("10.0.0.1:1"), Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, ID: "q"})
				if sendErr != nil {
					assert.Assert(t, !whole, "%d bytes: %v", n, sendErr)
					cleanup()
					continue
				}
				body, err := response.ReadBody()
				assert.Equal(t, err == nil, whole, "%d bytes of %d: body %q after %q", n, len(text), body, text[:n])
				response.Close()
				cleanup()
			}
		})
	}
}
