package reply

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Regression guard: responses with such heads were passed on, or others were waited for.
func TestResponsesWithAMalformedHeadAreErrors(t *testing.T) {
	const ok, length, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n", "\r\ndone"
	for _, c := range []struct {
		name, text string
		valid      bool
	}{
		{"ordinary", ok + length + body, true},
		{"informational", "HTTP/1.1 102 Processing\r\n\r\n", true},
		{"unassigned status", "HTTP/1.1 799 None\r\n" + length + body, true},
		{"status 000", "HTTP/1.1 000 None\r\n" + length + body, false},
		{"status 000, no body", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", false},
		{"status 099", "HTTP/1.1 099 None\r\n" + length + body, false},
		{"status with a sign", "HTTP/1.1 +20 None\r\n" + length + body, false},
		{"status of four digits", "HTTP/1.1 2000 None\r\n" + length + body, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, err := Read(bufio.NewReader(strings.NewReader(c.text)), &http.Request{Method: http.MethodGet})
			assert.Equal(t, err == nil, c.valid, "%v", err)
			if c.valid && response.StatusCode >= http.StatusOK {
				got, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "done")
			}
		})
	}
}
