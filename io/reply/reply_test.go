package reply

import (
	"bufio"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"yuccadoor/io/canned"
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
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n", false},
		{"unassigned status", "HTTP/1.1 799 None\r\n" + length + body, true},
		{"status 000", "HTTP/1.1 000 None\r\n" + length + body, false},
		{"status 000, no body", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", false},
		{"status 099", "HTTP/1.1 099 None\r\n" + length + body, false},
		{"status with a sign", "HTTP/1.1 +20 None\r\n" + length + body, false},
		{"status of four digits", "HTTP/1.1 2000 None\r\n" + length + body, false},
		{"blank before the colon", ok + "Transfer-Encoding : chunked\r\n" + body, false},
		{"blank in a name", ok + length + "Odd Name: x\r\n" + body, false},
		{"blank in a name of an informational response", "HTTP/1.1 102 Processing\r\nOdd Name: x\r\n\r\n", false},
		{"line that begins with a blank", ok + " " + length + body, false},
		{"tab in a name", ok + length + "Odd\tName: x\r\n" + body, false},
		{"control byte in a name", ok + length + "Odd\x01Name: x\r\n" + body, false},
		{"zero byte in a name", ok + length + "Odd\x00Name: x\r\n" + body, false},
		{"delete byte in a name", ok + length + "Odd\x7fName: x\r\n" + body, false},
		{"byte of another charset in a name", ok + length + "Odd\xe9Name: x\r\n" + body, false},
		{"empty name", ok + length + ": x\r\n" + body, false},
		{"line without a colon", ok + length + "Odd\r\n" + body, false},
		{"control byte in a value", ok + length + "Odd: \x01x\r\n" + body, false},
		{"folded line", ok + length + "Odd: x\r\n y\r\n" + body, true},
		{"blanks around a value", ok + length + "Odd: \t x \t\r\n" + body, true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + length + body, true},
		{"HTTP/1.0, no length", "HTTP/1.0 200 OK\r\nOdd: x\r\n y\r\n" + body, true},
		{"HTTP/1.0, coding", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", false},
		{"HTTP/1.0, blank in a name", "HTTP/1.0 200 OK\r\nOdd Name: x\r\n" + body, false},
		{"HTTP/1.0, status 000", "HTTP/1.0 000 None\r\n" + length + body, false},
		{"HTTP/1.0, two lengths", "HTTP/1.0 200 OK\r\n" + length + "Content-Length: 3\r\n" + body, false},
		{"HTTP/0.9, coding", "HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", false},
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

// Regression guard: clients of the standard library took fields with a blank in their names as
// missing.
func TestTransportRejectsMalformedHeads(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		valid        bool
	}{
		{"ordinary", "", true},
		{"blank in a name", "Odd Name: x\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, stop, err := canned.New(t.Context(), netip.MustParseAddr("127.0.0.1"), func(*http.Request) canned.Response {
				return canned.Response{Text: "HTTP/1.1 200 OK\r\n" + c.fields + "Content-Length: 4\r\n\r\ndone"}
			})
			assert.NilError(t, err)
			defer stop()
			client := http.Client{Transport: Transport{&http.Transport{DisableKeepAlives: true}}}
			response, err := client.Get("http://" + target.String())
			assert.Equal(t, err == nil, c.valid, "%v", err)
			if c.valid {
				response.Body.Close()
			}
		})
	}
}
