package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Regression guard: the system takes connections for a process that was killed until it has closed
// its listener, so that a part of a response without a length was confirmed as the whole.
func TestEndOfAKilledTargetIsNotConfirmed(t *testing.T) {
	// What becomes of the connections after the one with the response.
	type next int
	const (
		open next = iota
		ended
		refused
	)
	for _, c := range []struct {
		name  string
		nexts []next
		whole bool
	}{
		{"takes another", []next{open}, true},
		{"refuses others", []next{refused}, false},
		{"its listener is closed a moment later", []next{ended, refused}, false},
		{"has too many connections for a moment", []next{ended, open}, true},
		{"has too many connections", []next{ended, ended}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			nexts := c.nexts
			respond, first := respondOnce("HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\n\r\ndone"), true
			s, cleanup := New(t.Context(), names, func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
				if first {
					first = false
					return respond(ctx, target)
				}
				n := nexts[0]
				nexts = nexts[1:]
				if n == refused {
					return nil, syscall.ECONNREFUSED
				}
				local, remote := net.Pipe()
				t.Cleanup(func() { remote.Close() })
				if n == ended {
					time.AfterFunc(time.Millisecond, func() { remote.Close() })
				}
				return local, nil
			}, time.Now)
			defer cleanup()
			response, sendErr := s.Send(t.Context(), &Call{Target: netip.MustParseAddrPort("10.0.0.1:1"), Method: http.MethodGet, URI: "/", Host: "h", ID: "first", Header: http.Header{}})
			assert.Assert(t, sendErr == nil, "%v", sendErr)
			defer response.Close()
			_, err := response.ReadBody()
			assert.NilError(t, err)
			err = response.ConfirmEnd(t.Context())
			assert.Equal(t, err == nil, c.whole, "%v", err)
			assert.Equal(t, len(nexts), 0)
		})
	}
}
