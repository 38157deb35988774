package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// respondOnce is a dial function of connections on which a target sends some bytes to the
// first request and closes the connection in order.
func respondOnce(text string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			defer remote.Close()
			if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
				_, _ = io.WriteString(remote, text)
			}
		}()
		return local, nil
	}
}

// Regression guards: a second response after an unframed one was passed on as more of its body;
// a body that quotes a response was passed on up to there, as the whole.
func TestUnframedBodyIsWholeOrAmbiguous(t *testing.T) {
	const (
		ok, id, stamp, end = "HTTP/1.1 200 OK\r\n", "X-Id: other\r\n", "X-Stamp: s\r\n", "\r\n"
		head               = ok + "X-Id: first\r\n" + stamp + end
		other              = "HTTP/1.1 500 Error\r\n" + id + end
	)
	for _, c := range []struct {
		name, body string
		ambiguous  bool
	}{
		{"ordinary", "done", false},
		{"a copy", "done" + head + "done", true},
		{"two copies", "done" + head + "done" + head + "done", true},
		{"another response", "done" + other, true},
		{"another response of HTTP/1.0", "done" + "HTTP/1.0 404 Not Found\r\n" + id + end, true},
		{"names in lower case", "done" + "HTTP/1.1 200 OK\r\nx-id: other\r\nx-stamp: s\r\n\r\n", true},
		{"no reason phrase", "done" + "HTTP/1.1 204\r\n" + id + stamp + end, true},
		{"unusual reason phrase", "done" + "HTTP/1.1 200 Quite fine\r\n" + id + stamp + end, true},
		{"folded field", "done" + ok + "X-Id:\r\n other\r\n" + stamp + end, true},
		{"after a cut one", "done" + ok + "X-Odd" + ok + id + stamp + end, true},
		{"after one that is cut in a value", "done" + ok + "X-Odd: x" + ok + id + stamp + end, true},
		{"after one that is cut in its status line", "done" + "HTTP/1.1 500 Int" + ok + id + stamp + end, true},
		{"cut in its code", "done" + ok[:10], true},
		{"cut in its reason phrase", "done" + ok[:14], true},
		{"cut after its status line", "done" + ok, true},
		{"cut in a name", "done" + ok + id[:3], true},
		{"cut in a value", "done" + ok + id[:8], true},
		{"cut before its last line", "done" + ok + id + stamp, true},
		{"cut within its last line", "done" + ok + id + stamp + "\r", true},

		{"success without a stamp", "answered:\n\n" + ok + id + "Content-Length: 2\r\n\r\n12\ndone\n", false},
		{"no id", ok + "Server: x\r\n\r\ndone", false},
		{"empty id", ok + "X-Id: \r\n" + stamp + end + "done", false},
		{"id in a name that begins alike", ok + "X-Id-Of: other\r\n" + stamp + end + "done", false},
		{"lines that end in LF", "HTTP/1.1 200 OK\nX-Id: other\nX-Stamp: s\n\ndone", false},
		{"status line that ends in LF", "HTTP/1.1 200 OK\n" + id + stamp + end, false},
		{"blank line that ends in LF", ok + id + stamp + "\ndone", false},
		{"in a sentence", "The supplier answered HTTP/1.1 200 within 5 ms.\nAll is well.\n", false},
		{"in a sentence at the end", "The supplier answered HTTP/1.1 200 within 5 ms", false},
		{"in a sentence with CRLF", "It answered HTTP/1.1 200 at once.\r\nTotal: 12\r\n", false},
		{"no status code", "as in HTTP/1.1 all lines end in CRLF", false},
		{"code of four digits", "HTTP/1.1 2000 OK\r\n" + id + stamp + end, false},
		{"line without a colon", ok + id + stamp + "and so on\r\n\r\n", false},
		{"blank before the colon", ok + "X-Id : other\r\n" + stamp + end, false},
		{"folded line without a field", ok + " " + id + stamp + end, false},
		{"control byte in a value", ok + id + "X-Odd: \x01\r\n" + stamp + end, false},
		{"quote within the text of its last line", ok + id + stamp + "Trail: done\nEnd", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := sendFirst(t, head+c.body)
			defer response.Close()
			body, err := response.ReadBody()
			assert.Equal(t, errors.Is(err, ErrAmbiguous), c.ambiguous, "%v", err)
			if c.ambiguous {
				assert.Equal(t, len(body), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(body), c.body)
		})
	}
}

// Regression guard: a second response after an unframed stream was passed on as an event.
func TestSecondResponseIsNoEventOfAnUnframedStream(t *testing.T) {
	const head, event = "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: one\n\n"
	for _, c := range []struct {
		name, text string
		end        error // nil for any error but io.EOF
	}{
		{"none", head + event, io.EOF},
		{"a copy", head + event + head + event, io.EOF},
		{"a part of a header", head + event + head[:20], io.EOF},
		{"within an event", head + event + "id: 2\n" + head + event, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			response := sendFirst(t, c.text)
			defer response.Close()
			e, err := response.NextEvent(nil)
			assert.NilError(t, err)
			assert.Equal(t, string(e.Raw), event)
			_, err = response.NextEvent(nil)
			if c.end != nil {
				assert.ErrorIs(t, err, c.end)
				return
			}
			assert.Assert(t, err != nil && err != io.EOF, "%v", err)
		})
	}
}

// A long line is read in several pieces, of which each may begin with any text.
func TestLongEventOfAnUnframedStreamIsWhole(t *testing.T) {
	event := "data: and then: " + strings.Repeat("HTTP/1.1 200 OK ", 4<<10) + "\n\n"
	response := sendFirst(t, "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"+event)
	defer response.Close()
	e, err := response.NextEvent(nil)
	assert.NilError(t, err)
	assert.Equal(t, string(e.Raw), event)
}

// Regression guards: the end of a long line that is read on its own was taken for the blank line
// that ends an event, so that a part of an event was passed on and joined with the next one; text
// within a long line was taken for the event's id.
func TestEventWithLongLinesIsReadWhole(t *testing.T) {
	for _, length := range []int{4000, 4094, 4095, 4096, 4097, 5000, 8192, 3 * 4096} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			line := "data: " + strings.Repeat("x", length-len("data: "))
			if length > 4200 {
				line = line[:4096] + "id: 9" + line[4096+len("id: 9"):]
			}
			event := "id: 1\n" + strings.Repeat(line+"\n", 3) + "\n"
			cut := "id: 2\n" + line + "\n"
			response := sendFirst(t, "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"+event+cut)
			defer response.Close()
			e, err := response.NextEvent(nil)
			assert.NilError(t, err)
			assert.Equal(t, e.ID, "1")
			assert.Equal(t, string(e.Raw), event)
			_, err = response.NextEvent(nil)
			assert.Assert(t, err != nil && err != io.EOF, "%v", err)
		})
	}
}

// sendFirst sends a request to a target that responds with some bytes.
func sendFirst(t *testing.T, text string) *Response {
	sender, cleanup := New(t.Context(), HeaderNames{Request: "X-Id", Stamp: "X-Stamp", NotRun: "X-Not-Run"}, respondOnce(text), time.Now)
	t.Cleanup(cleanup)
	response, err := sender.Send(t.Context(), &Call{Target: netip.MustParseAddrPort("10.0.0.1:80"), Method: http.MethodGet, URI: "/", ID: "first", Header: http.Header{"X-Id": {"first"}}})
	assert.Assert(t, err == nil, "%v", err)
	return response
}
