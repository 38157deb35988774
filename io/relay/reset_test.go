package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/io/canned"
	"yuccadoor/io/conns"
)

// Regression guard: the kernel reports a reset once, and the goroutine that wrote the request got
// it. To the reader, the part of the response that had arrived seemed to end in order.
func TestResetWhileARequestIsWrittenBreaksAnUnframedResponse(t *testing.T) {
	const (
		calls   = 20 // of each row
		some    = 200 << 10
		ok      = "HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Stamp: s\r\n"
		part    = ok + "\r\npart"
		events  = ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n"
		failed  = "HTTP/1.1 500 Internal Server Error\r\nX-Id: q\r\nX-Stamp: s\r\n\r\npart"
		length  = ok + "Connection: close\r\nContent-Length: 4\r\n\r\npart"
		chunked = ok + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	)
	long := make([]byte, 8<<20) // more than the sockets hold
	short := long[:512<<10]     // more than a target's socket holds
	for _, c := range []struct {
		name     string
		request  []byte
		response canned.Response
		whole    bool
	}{
		{"reset at once", long, canned.Response{Text: part, End: canned.Reset}, false},
		{"reset after 1 ms", long, canned.Response{Text: part, Pause: time.Millisecond, End: canned.Reset}, false},
		{"reset after 5 ms", long, canned.Response{Text: part, Pause: 5 * time.Millisecond, End: canned.Reset}, false},
		{"some read, reset at once", long, canned.Response{Text: part, ReadBytes: some, End: canned.Reset}, false},
		{"some read, reset after 1 ms", long, canned.Response{Text: part, ReadBytes: some, Pause: time.Millisecond, End: canned.Reset}, false},
		{"some read, reset after 5 ms", long, canned.Response{Text: part, ReadBytes: some, Pause: 5 * time.Millisecond, End: canned.Reset}, false},
		{"all read, reset at once", long, canned.Response{Text: part, ReadBytes: 8 << 20, End: canned.Reset}, false},
		{"closed, request unread", long, canned.Response{Text: part, Pause: time.Millisecond, End: canned.Closed}, false},
		{"ended, reset later", long, canned.Response{Text: part, Pause: time.Millisecond, End: canned.Late}, false},
		{"ended, reset later, request written", short, canned.Response{Text: part, Pause: 5 * time.Millisecond, End: canned.Late}, false},
		{"failure, reset", long, canned.Response{Text: failed, Pause: time.Millisecond, End: canned.Reset}, false},
		{"stream, reset", long, canned.Response{Text: events, Pause: time.Millisecond, End: canned.Reset}, false},
		{"stream, some read, reset", long, canned.Response{Text: events, ReadBytes: some, Pause: time.Millisecond, End: canned.Reset}, false},
		{"request written, reset after 5 ms", short, canned.Response{Text: part, Pause: 5 * time.Millisecond, End: canned.Reset}, false},
		{"length, reset", long, canned.Response{Text: length, Pause: time.Millisecond, End: canned.Reset}, true},
		{"length, request read later", long, canned.Response{Text: length, Pause: time.Millisecond, End: canned.Drained}, true},
		{"chunks, reset", long, canned.Response{Text: chunked, Pause: time.Millisecond, End: canned.Reset}, true},
		{"chunks, request read later", long, canned.Response{Text: chunked, Pause: time.Millisecond, End: canned.Drained}, true},
		{"ended, request read later", long, canned.Response{Text: part, Pause: time.Millisecond, End: canned.Drained}, true},
		{"stream ended, request read later", long, canned.Response{Text: events, Pause: time.Millisecond, End: canned.Drained}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			target, stop, err := canned.New(t.Context(), netip.MustParseAddr("127.0.0.1"), func(*http.Request) canned.Response { return c.response })
			assert.NilError(t, err)
			defer stop()
			s, cleanup := New(t.Context(), names, nil, time.Now)
			defer cleanup()
			wrong := 0
			for range calls {
				if err = callOnce(t.Context(), s, target, c.request); (err == nil) != c.whole {
					wrong++
				}
			}
			assert.Equal(t, wrong, 0, "of %d calls; the last one: %v", calls, err)
		})
	}
}

// callOnce makes one call and reads its response to the confirmed end.
func callOnce(ctx context.Context, s *Sender, target netip.AddrPort, body []byte) error {
	response, sendErr := s.Send(ctx, &Call{Target: target, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, ID: "q", Body: body})
	if sendErr != nil {
		return sendErr
	}
	defer response.Close()
	if !response.Stream {
		if _, err := response.ReadBody(); err != nil {
			return err
		}
		return response.ConfirmEnd(ctx)
	}
	var e Event
	for {
		var err error
		if e, err = response.NextEvent(e.Raw); err == io.EOF {
			return response.ConfirmEnd(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// hostConn is a connection through a host that states how much of a request it has passed on.
type hostConn struct {
	net.Conn
	passed int64
}

func (hostConn) Through() netip.AddrPort { return netip.MustParseAddrPort("10.0.0.1:1") }
func (c hostConn) Passed() int64         { return c.passed }

// A short request has been passed on whole before the target responds.
func TestLongRequestThroughAnotherHostMustHaveBeenPassedOn(t *testing.T) {
	for _, c := range []struct {
		name         string
		head         string
		requestBytes int
		passed       int64
		whole        bool
	}{
		{"all", "", asyncBodySize, 1 << 20, true},
		{"a part", "", asyncBodySize, asyncBodySize, false},
		{"unknown", "", asyncBodySize, -1, false},
		{"unknown, response with a length", "Content-Length: 4\r\n", asyncBodySize, -1, true},
		{"unknown, short request", "", asyncBodySize - 1, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, stop, err := canned.New(t.Context(), netip.MustParseAddr("127.0.0.1"), func(*http.Request) canned.Response {
				return canned.Response{Text: "HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Stamp: s\r\n" + c.head + "\r\ndone", ReadBytes: int64(c.requestBytes)}
			})
			assert.NilError(t, err)
			defer stop()
			s, cleanup := New(t.Context(), names, func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				conn, err := conns.DialTCP(ctx, to)
				return hostConn{conn, c.passed}, err
			}, time.Now)
			defer cleanup()
			err = callOnce(t.Context(), s, target, make([]byte, c.requestBytes))
			assert.Equal(t, err == nil, c.whole, "%v", err)
		})
	}
}
