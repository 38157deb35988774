package detour

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/io/canned"
)

// Regression guard: the kernel reports a reset once, and the copy towards the target got it. To the
// other copy, the target's bytes seemed to end in order.
func TestResetWhileARequestIsPassedOnIsNoEndOfTheAnswer(t *testing.T) {
	const (
		calls = 10 // of each row
		some  = 200 << 10
	)
	long := make([]byte, 8<<20) // more than the sockets hold
	short := long[:512<<10]     // more than a target's socket holds
	for _, c := range []struct {
		name     string
		request  []byte
		response canned.Response
		before   bool // the asking host is of a version before the framing
	}{
		{"reset at once", long, canned.Response{End: canned.Reset}, false},
		{"reset after 1 ms", long, canned.Response{Pause: time.Millisecond, End: canned.Reset}, false},
		{"reset after 5 ms", long, canned.Response{Pause: 5 * time.Millisecond, End: canned.Reset}, false},
		{"some read, reset at once", long, canned.Response{ReadBytes: some, End: canned.Reset}, false},
		{"some read, reset after 1 ms", long, canned.Response{ReadBytes: some, Pause: time.Millisecond, End: canned.Reset}, false},
		{"some read, reset after 5 ms", long, canned.Response{ReadBytes: some, Pause: 5 * time.Millisecond, End: canned.Reset}, false},
		{"all read, reset", long, canned.Response{ReadBytes: 8 << 20, End: canned.Reset}, false},
		{"closed, request unread", long, canned.Response{Pause: time.Millisecond, End: canned.Closed}, false},
		{"ended, reset later", long, canned.Response{Pause: time.Millisecond, End: canned.Late}, false},
		{"ended, reset later, short", short, canned.Response{Pause: 5 * time.Millisecond, End: canned.Late}, false},
		{"reset after 5 ms, short", short, canned.Response{Pause: 5 * time.Millisecond, End: canned.Reset}, false},
		{"ended, request read later", long, canned.Response{Pause: time.Millisecond, End: canned.Drained}, false},
		{"reset at once, older asking host", long, canned.Response{End: canned.Reset}, true},
		{"reset after 1 ms, older asking host", long, canned.Response{Pause: time.Millisecond, End: canned.Reset}, true},
		{"some read, reset after 1 ms, older asking host", long, canned.Response{ReadBytes: some, Pause: time.Millisecond, End: canned.Reset}, true},
		{"ended, request read later, older asking host", long, canned.Response{Pause: time.Millisecond, End: canned.Drained}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.response.Text = "half"
			target, stop, err := canned.New(t.Context(), netip.MustParseAddr("127.0.0.1"), func(*http.Request) canned.Response { return c.response })
			assert.NilError(t, err)
			defer stop()
			p := startPeer(t, CarrierSettings{})
			ended := 0
			for range calls {
				if endsInOrder(t, connect(t, p.address, target, c.before), c.request) {
					ended++
				}
			}
			want := 0
			if c.response.End == canned.Drained {
				want = calls
			}
			assert.Equal(t, ended, want, "answers ended in order, of %d", calls)
		})
	}
}

// connect asks a host for a connection to a target.
func connect(t *testing.T, host, target netip.AddrPort, before bool) net.Conn {
	if before {
		return askAsBefore(t, host, target)
	}
	conn, err := startDialer(refuse, &peer{address: host}).Dial(t.Context(), target)
	assert.NilError(t, err)
	return conn
}

// endsInOrder writes a request while it reads the answer. It reports whether that ends in order,
// with the request passed on as far as the host can tell.
func endsInOrder(t *testing.T, conn net.Conn, request []byte) bool {
	defer conn.Close()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(request))
	go func() {
		_, _ = conn.Write([]byte(head))
		_, _ = conn.Write(request)
	}()
	answer, err := io.ReadAll(conn)
	carried, ok := conn.(*Conn)
	if err != nil || ok && carried.Passed() < int64(len(head)+len(request)) {
		return false
	}
	assert.Equal(t, string(answer), "half")
	return true
}

// A carrying host of an older version does not state how much of the request it has passed on.
func TestRequestPassedOnByAnOlderCarryingHostIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nYuccadoor-Framing: Chunks\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, "4\r\nhalf\r\n0\r\n")
	}()
	conn, err := startDialer(refuse, &peer{address: netip.MustParseAddrPort(l.Addr().String())}).Dial(t.Context(), netip.MustParseAddrPort("127.0.0.1:9"))
	assert.NilError(t, err)
	defer conn.Close()
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "half")
	assert.Equal(t, conn.(*Conn).Passed(), int64(-1))
}
