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

// endlessTarget sends start and then repeats part until the sender closes the
// connection, or has read more than twice maxBytes, at which the test has failed.
type endlessTarget struct {
	start, part string
	maxBytes    int // that the sender may read

	mu   sync.Mutex
	sent int // guarded by mu; bytes that the sender has read
}

func (e *endlessTarget) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() {
		defer remote.Close()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err != nil {
			return
		}
		for text := e.start; ; text = e.part {
			n, err := io.WriteString(remote, text)
			e.mu.Lock()
			e.sent += n
			e.mu.Unlock()
			if err != nil || e.bytes() > 2*e.maxBytes {
				return
			}
		}
	}()
	return local, nil
}

func (e *endlessTarget) bytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent
}

// Responses that never end must fail at a limit in each of their parts. Without the limits
// a host read on until it ran out of memory and was killed, and an endless response to
// another request made the call panic.
func TestEndlessResponsesFail(t *testing.T) {
	const ok, own = "HTTP/1.1 200 OK\r\n", "X-Id: q\r\nX-Stamp: s\r\n"
	for _, c := range []struct {
		name        string
		start, part string
		maxBytes    int // that the sender may read
	}{
		{"status line", "HTTP/1.1 200 ", "very ", 128 << 10},
		{"header line", ok + "X-Long: ", "very ", 128 << 10},
		{"header lines", ok, "X-More: 1\r\n", 128 << 10},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 128 << 10},
		{"not HTTP", "", "garbage ", 128 << 10},
		{"body of a response to another request", ok + "X-Id: other\r\n\r\n", "garbage ", 2 << 20},
		{"chunked body of a response to another request", ok + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", 4 << 20},
		{"body", ok + own + "\r\n", strings.Repeat("garbage ", 512), 17 << 20},
		{"chunked body", ok + own + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("garbage ", 512) + "\r\n", 17 << 20},
		{"chunk extension", ok + own + "Transfer-Encoding: chunked\r\n\r\n8;", "more;", 128 << 10},
		{"event", ok + own + "Content-Type: text/event-stream\r\n\r\n", "garbage ", 2 << 20},
		{"lines of an event", ok + own + "Content-Type: text/event-stream\r\n\r\n", "data: garbage\n", 2 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &endlessTarget{start: c.start, part: c.part, maxBytes: c.maxBytes}
			s, cleanup := New(t.Context(), names, e.dial, time.Now)
			defer cleanup()
			assert.Assert(t, readResponse(t.Context(), s) != nil)
			assert.Assert(t, e.bytes() <= c.maxBytes, "%d bytes read", e.bytes())
		})
	}
}

// readResponse makes one call and reads its response to the end.
func readResponse(ctx context.Context, s *Sender) error {
	response, err := s.Send(ctx, &Call{Method: http.MethodGet, URI: "/", Host: "h", ID: "q", Header: http.Header{}})
	if err != nil {
		return err
	}
	defer response.Close()
	if !response.Stream {
		_, err := response.ReadBody()
		return err
	}
	var e Event
	for {
		var err error
		if e, err = response.NextEvent(e.Raw); err != nil {
			return err
		}
	}
}

// The bodies of all responses together have a limit, since each body's own limit did not
// keep many endless bodies from using up a host's memory.
func TestConcurrentEndlessBodiesFail(t *testing.T) {
	const calls, maxBytes = 12, 36 << 20
	e := &endlessTarget{start: "HTTP/1.1 200 OK\r\nX-Id: q\r\n\r\n", part: strings.Repeat("garbage ", 512), maxBytes: maxBytes}
	s, cleanup := New(t.Context(), names, e.dial, time.Now)
	defer cleanup()
	var reading sync.WaitGroup
	var responses [calls]*Response
	for i := range calls {
		response, err := s.Send(t.Context(), &Call{Method: http.MethodGet, URI: "/", Host: "h", ID: "q", Header: http.Header{}})
		assert.Assert(t, err == nil)
		responses[i] = response
		reading.Go(func() {
			_, err := response.ReadBody()
			assert.Check(t, err != nil)
		})
	}
	reading.Wait()
	assert.Assert(t, e.bytes() <= maxBytes, "%d bytes read", e.bytes())
	for _, response := range responses {
		response.Close()
	}
	assert.Equal(t, s.buffered.Load(), int64(0))
}

// Regression guard: a body of status lines kept its thread for minutes, whatever the time limit of
// its request, since the time to look through it grew with the square of its bytes.
func TestBodyOfStatusLinesIsReadInTime(t *testing.T) {
	const bytes, patience = 4 << 20, 10 * time.Second
	for _, c := range []struct{ name, words string }{
		{"in one line", "HTTP/1.1 200 "},
		{"in lines", "HTTP/1.1 200 OK\r\n"},
		{"heads", "HTTP/1.1 200 OK\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := sendFirst(t, "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\n\r\n"+strings.Repeat(c.words, bytes/len(c.words))+"\r\n\r\n")
			defer response.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = response.ReadBody()
			}()
			select {
			case <-ended:
			case <-time.After(patience):
				t.Fatalf("%d bytes are not read within %s", bytes, patience)
			}
		})
	}
}
