package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var names = HeaderNames{Request: "X-Id", Stamp: "X-Stamp", NotRun: "X-Not-Run"}

// endless is a target that sends a start and then a part again and again until
// its caller closes, or has read so much more than it may that the test has failed.
type endless struct {
	start, part string
	most        int // bytes that may be read

	mu   sync.Mutex
	sent int // guarded by mu; bytes that the caller has read
}

func (e *endless) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		for text := e.start; ; text = e.part {
			n, err := io.WriteString(far, text)
			e.mu.Lock()
			e.sent += n
			e.mu.Unlock()
			if err != nil || e.bytes() > 2*e.most {
				return
			}
		}
	}()
	return near, nil
}

func (e *endless) bytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent
}

// A target whose bytes never end took a host's memory until it was killed, and an
// endless answer to another request made the call end in a panic.
func TestBytesWithoutEnd(t *testing.T) {
	const ok, own = "HTTP/1.1 200 OK\r\n", "X-Id: q\r\nX-Stamp: s\r\n"
	for _, c := range []struct {
		name        string
		start, part string
		most        int // bytes that may be read
	}{
		{"status line", "HTTP/1.1 200 ", "very ", 128 << 10},
		{"header line", ok + "X-Long: ", "very ", 128 << 10},
		{"header lines", ok, "X-More: 1\r\n", 128 << 10},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", 128 << 10},
		{"no protocol at all", "", "rubbish ", 128 << 10},
		{"body of an answer to another request", ok + "X-Id: other\r\n\r\n", "rubbish ", 2 << 20},
		{"chunked body of an answer to another request", ok + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", 4 << 20},
		{"body", ok + own + "\r\n", strings.Repeat("rubbish ", 512), 17 << 20},
		{"chunked body", ok + own + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("rubbish ", 512) + "\r\n", 17 << 20},
		{"chunk's extension", ok + own + "Transfer-Encoding: chunked\r\n\r\n8;", "more;", 128 << 10},
		{"event", ok + own + "Content-Type: text/event-stream\r\n\r\n", "rubbish ", 2 << 20},
		{"lines of an event", ok + own + "Content-Type: text/event-stream\r\n\r\n", "data: rubbish\n", 2 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &endless{start: c.start, part: c.part, most: c.most}
			s, cleanup := New(t.Context(), names, e.dial, time.Now)
			defer cleanup()
			assert.Assert(t, read(t.Context(), s) != nil)
			assert.Assert(t, e.bytes() <= c.most, "%d bytes read", e.bytes())
		})
	}
}

// read makes one call and reads its answer to the end.
func read(ctx context.Context, s *Sender) error {
	a, failure := s.Send(ctx, &Call{Method: http.MethodGet, URI: "/", Host: "h", ID: "q", Header: http.Header{}})
	if failure != nil {
		return failure
	}
	defer a.Close()
	if !a.Stream {
		_, err := a.ReadBody()
		return err
	}
	var e Event
	for {
		var err error
		if e, err = a.NextEvent(e.Raw); err != nil {
			return err
		}
	}
}

// Many bodies without end at once took a host's memory, though each had its bound.
func TestBodiesWithoutEndAtOnce(t *testing.T) {
	const calls, most = 12, 36 << 20
	e := &endless{start: "HTTP/1.1 200 OK\r\nX-Id: q\r\n\r\n", part: strings.Repeat("rubbish ", 512), most: most}
	s, cleanup := New(t.Context(), names, e.dial, time.Now)
	defer cleanup()
	var reading sync.WaitGroup
	var answers [calls]*Response
	for i := range calls {
		a, failure := s.Send(t.Context(), &Call{Method: http.MethodGet, URI: "/", Host: "h", ID: "q", Header: http.Header{}})
		assert.Assert(t, failure == nil)
		answers[i] = a
		reading.Go(func() {
			_, err := a.ReadBody()
			assert.Check(t, err != nil)
		})
	}
	reading.Wait()
	assert.Assert(t, e.bytes() <= most, "%d bytes read", e.bytes())
	for _, a := range answers {
		a.Close()
	}
	assert.Equal(t, s.held.Load(), int64(0))
}
