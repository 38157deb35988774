package reach

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/limit"
	"yuccadoor/io/canned"
)

// bufferSink is a sink that keeps the response.
type bufferSink struct {
	status int
	body   strings.Builder
}

func (b *bufferSink) Begin(status int, _ http.Header, _ bool) error {
	b.status = status
	return nil
}

func (b *bufferSink) Write(p []byte) error {
	b.body.Write(p)
	return nil
}

// rawTarget is a TCP server whose script writes the bytes of each response.
type rawTarget struct {
	address  netip.AddrPort
	mu       sync.Mutex
	requests []string // guarded by mu
}

// startRawTarget starts a raw target. script writes the response to the n-th request
// and reports whether the connection stays open.
func startRawTarget(t *testing.T, script func(n int, path string, conn net.Conn) bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	r := &rawTarget{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, script)
		}
	}()
	return r
}

func (r *rawTarget) serve(conn net.Conn, script func(n int, path string, conn net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == loadPath {
			return // the sender checks whether the process has ended
		}
		r.mu.Lock()
		r.requests = append(r.requests, request.URL.Path)
		n := len(r.requests)
		r.mu.Unlock()
		if !script(n, request.URL.Path, conn) {
			return
		}
	}
}

func (r *rawTarget) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

func writeResponse(conn net.Conn, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newSender(t *testing.T) *Sender {
	t.Helper()
	s, cleanup := New(nil, time.Now)
	t.Cleanup(cleanup)
	return s
}

func (r *rawTarget) call(path string) *Call {
	return &Call{
		Target: r.address, Method: http.MethodPost, Path: path, Header: http.Header{}, Body: []byte("x"),
		Expires: time.Now().Add(time.Minute), IdleTimeout: 2 * time.Second,
	}
}

// A target that sends more than one response to a request leaves bytes on the
// connection. The next call must not read them as its response.
func TestLateResponseNeverReachesAnotherCall(t *testing.T) {
	target := startRawTarget(t, func(n int, path string, conn net.Conn) bool {
		writeResponse(conn, path)
		if n == 1 {
			writeResponse(conn, "late")
		}
		return true
	})
	s := newSender(t)
	for i := range 5 {
		var b bufferSink
		path := fmt.Sprintf("/%d", i)
		report := s.Send(context.Background(), target.call(path), &b)
		assert.NilError(t, report.Err)
		assert.Equal(t, b.body.String(), path)
		if i == 0 {
			time.Sleep(50 * time.Millisecond) // let the late response arrive
		}
	}
}

func TestTruncatedResponsesAreNeverComplete(t *testing.T) {
	cases := []struct {
		name     string
		response string
		engine   bool
	}{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", false},
		{"chunked body without its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		{"incomplete status line", "HTTP/1.1 200", false},
		{"empty response", "", false},
		{"blank before the colon of a length", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabcmore", false},
		{"blank before the colon of a coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		{"coding of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 3\r\n\r\nabc", false},
		{"status 000 before a response", "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false},
		{
			"stream without terminator",
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: x\n\n", true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startRawTarget(t, func(_ int, _ string, conn net.Conn) bool {
				fmt.Fprint(conn, c.response)
				return false
			})
			call := target.call("/")
			call.ModelEngine = c.engine
			report := newSender(t).Send(context.Background(), call, &bufferSink{})
			assert.Assert(t, !report.Complete)
			assert.Assert(t, report.Sent)
			assert.Equal(t, report.Result.Kind, limit.Broken)
			assert.Equal(t, target.count(), 1, "the request was sent again")
		})
	}
}

// The kernel reports a reset once; here, the write that may get it ends before the response is read.
func TestResetWhileARequestIsWrittenIsNeverComplete(t *testing.T) {
	const calls = 10 // of each row
	for _, c := range []struct {
		name         string
		requestBytes int
		response     canned.Response
	}{
		{"at once", 8 << 20, canned.Response{End: canned.Reset}},
		{"after 1 ms", 8 << 20, canned.Response{Pause: time.Millisecond, End: canned.Reset}},
		{"some read", 8 << 20, canned.Response{ReadBytes: 200 << 10, Pause: time.Millisecond, End: canned.Reset}},
		{"ended in order, reset later, request in buffers", 512 << 10, canned.Response{Pause: 5 * time.Millisecond, End: canned.Late}},
		{"request in buffers", 512 << 10, canned.Response{Pause: 5 * time.Millisecond, End: canned.Reset}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.response.Text = "HTTP/1.1 200 OK\r\n\r\npart"
			target, stop, err := canned.New(t.Context(), netip.MustParseAddr("127.0.0.1"), func(*http.Request) canned.Response { return c.response })
			assert.NilError(t, err)
			defer stop()
			s := newSender(t)
			complete := 0
			for range calls {
				report := s.Send(t.Context(), &Call{
					Target: target, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, c.requestBytes),
					Expires: time.Now().Add(time.Minute), IdleTimeout: time.Second,
				}, &bufferSink{})
				if report.Complete {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d", calls)
		})
	}
}

func TestNotSentIsReportedOnlyWhenNothingWasWritten(t *testing.T) {
	target := startRawTarget(t, func(_ int, path string, conn net.Conn) bool {
		writeResponse(conn, path)
		return true
	})
	unusedPort := netip.MustParseAddrPort("127.0.0.1:1")
	expired := target.call("/")
	expired.Expires = time.Now().Add(-time.Millisecond)
	unreachable := target.call("/")
	unreachable.Target = unusedPort
	cases := []struct {
		name string
		call *Call
		kind limit.Kind
	}{
		{"permit expired", expired, limit.Unused},
		{"nothing listens", unreachable, limit.NoConnect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := newSender(t).Send(context.Background(), c.call, &bufferSink{})
			assert.Assert(t, !report.Sent)
			assert.Equal(t, report.Result.Kind, c.kind)
		})
	}
	assert.Equal(t, target.count(), 0)
}

// An idle connection that the target has closed must be detected before it is reused;
// otherwise the request would be lost on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	target := startRawTarget(t, func(_ int, path string, conn net.Conn) bool {
		writeResponse(conn, path)
		return false
	})
	s := newSender(t)
	for i := range 5 {
		report := s.Send(context.Background(), target.call("/"), &bufferSink{})
		assert.NilError(t, report.Err)
		assert.Equal(t, target.count(), i+1)
		time.Sleep(10 * time.Millisecond) // let the close arrive
	}
}

func TestCancelledContextEndsTheCall(t *testing.T) {
	closed := make(chan struct{})
	target := startRawTarget(t, func(_ int, _ string, conn net.Conn) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
		one := make([]byte, 1)
		_, _ = conn.Read(one) // ends when the sender closes
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	call := target.call("/")
	call.IdleTimeout = time.Minute
	report := newSender(t).Send(ctx, call, &bufferSink{})
	assert.Equal(t, report.Result.Kind, limit.Cancelled)
	<-closed
}

// Regression guard: the system closes the connections of a process that ends in order, and a
// part of a response without a length was reported as complete.
func TestUnframedResponseOfAnEndedProcessIsBroken(t *testing.T) {
	for _, c := range []struct {
		name  string
		ended bool
	}{{"the process goes on", false}, {"the process ends", true}} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				if c.ended {
					l.Close()
				}
				conn.Close()
			}()
			sender, cleanup := New(nil, time.Now)
			defer cleanup()
			call := &Call{
				Target: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodGet, Path: "/x", Header: http.Header{},
				Expires: time.Now().Add(time.Minute), IdleTimeout: time.Second,
			}
			report := sender.Send(t.Context(), call, &bufferSink{})
			assert.Equal(t, report.Complete, !c.ended, "%v", report.Err)
		})
	}
}
