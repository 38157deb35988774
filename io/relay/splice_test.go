package relay

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Regression guards: a response with a field that names a status line was taken for a piece of
// one before another; a piece that ends within the field Trailer was not.
func TestHeadThatQuotesAStatusLineIsNotSpliced(t *testing.T) {
	const (
		ok, own         = "HTTP/1.1 200 OK\r\n", "X-Id: q\r\nX-Stamp: s\r\n"
		quote, length   = "X-Supplier: HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n"
		refused, notRun = "HTTP/1.1 503 Service Unavailable\r\n", "X-Not-Run: 1\r\n"
	)
	for _, c := range []struct {
		name, text string
		whole      bool
	}{
		{"quote after the id", ok + own + length + quote + "\r\ndone", true},
		{"quote after the id, no length", ok + own + quote + "\r\ndone", true},
		{"quote of another status after the id", ok + own + length + "X-Supplier: HTTP/1.1 404 Not Found\r\n\r\ndone", true},
		{"quote before the id", ok + length + quote + own + "\r\ndone", true},
		{"quote before the id and the length", ok + quote + own + length + "\r\ndone", true},
		{"protocol in a field", ok + "X-Protocol: HTTP/1.1\r\n" + own + length + "\r\ndone", true},
		{"refusal with a quote after the id", refused + notRun + own + quote + length + "\r\nfull", true},
		{"quote before the id, more than the length", ok + length + quote + own + "\r\ndone and more", false},
		{"quote before the id, less than the length", ok + "Content-Length: 5\r\n" + quote + own + "\r\ndone", false},
		{"quote before the id, no length", ok + quote + own + "\r\ndone", false},
		{"quote before the id, no body", ok + "Content-Length: 0\r\n" + quote + own + "\r\n", false},
		{"quote of another status before the id", ok + length + "X-Supplier: HTTP/1.1 404 Not Found\r\n" + own + "\r\ndone", false},
		{"quote of an informational response", ok + own + length + "X-Supplier: HTTP/1.1 100 Continue\r\n\r\ndone", false},
		{"refusal with a quote before the id", refused + notRun + quote + own + length + "\r\nfull", false},
		{"two ids", ok + own + quote + own + length + "\r\ndone", false},
		{"lines that end in LF", "HTTP/1.1 200 OK\nContent-Length: 4\n" + "X-Supplier: HTTP/1.1 404 Not Found\n" + "X-Id: q\nX-Stamp: s\n\ndone", false},
		{"piece that ends within the field Trailer", refused + notRun + "Trailer: x" + ok + own + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", false},
		{"piece that ends within a status line", "HTTP/1.1 503 Service Unav" + ok + own + length + "\r\ndone", false},
		{"piece that ends within a long head", refused + notRun + "X-Long: " + strings.Repeat("x", 9000) + ok + own + length + "\r\ndone", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, cleanup := New(t.Context(), names, cutTarget(c.text).dial, time.Now)
			defer cleanup()
			response, sendErr := s.Send(t.Context(), &Call{Target: netip.MustParseAddrPort("10.0.0.1:1"), Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, ID: "q"})
			if sendErr != nil {
				assert.Assert(t, !c.whole, "%v", sendErr)
				return
			}
			defer response.Close()
			body, err := response.ReadBody()
			assert.Equal(t, err == nil, c.whole, "%q, %v", body, err)
			if c.whole {
				assert.Equal(t, len(body), 4)
			}
		})
	}
}

// A body whose length may be that of another response is not told from a part while its target
// sends more.
func TestBodyThatIsFollowedIsAmbiguous(t *testing.T) {
	response := sendFirst(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Supplier: HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Stamp: s\r\n\r\ndone and more")
	defer response.Close()
	_, err := response.ReadBody()
	assert.Assert(t, errors.Is(err, ErrAmbiguous), "%v", err)
}
