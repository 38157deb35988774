package relay

import (
	"bytes"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// statusLine matches the beginning of a response; its group is the status code.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] ([0-9]{3})`)

// quietTime is how long a target may take to send more of a response whose length may be that of
// another one, or to close its connection: some round trips between zones.
const quietTime = 100 * time.Millisecond

// isSpliced reports whether a response's first line may stand within its head, after a piece of
// another response that may end anywhere in a line: all that a target's head has follows there.
// A field that quotes a status line looks the same if the id comes after it; see isDecidedByEnd.
func isSpliced(head []byte, names HeaderNames) bool {
	rest := head[min(1, len(head)):]
	for _, m := range statusLine.FindAllSubmatch(rest, -1) {
		if m[1][0] == '1' {
			return true // an informational response has no id
		}
	}
	if bytes.Count(rest, []byte("\n")) != bytes.Count(rest, []byte("\r\n")) {
		return statusLine.Match(rest)
	}
	scan := newScanner(HeaderNames{Request: names.Request, Stamp: names.Request}, 0, "")
	_, _ = scan.Write(rest)
	return scan.found
}

// isDecidedByEnd reports whether the end of the body shows if the head quotes a status line or is
// spliced. Its status is right in either case, and so are its id and stamp, since there is one of
// each. Only the length may be that of a piece before: then the response has none of its own, and
// goes on to the end of its connection.
func (r *Response) isDecidedByEnd(head []byte, resp *http.Response) bool {
	for _, m := range statusLine.FindAllSubmatch(head, -1) {
		if string(m[1]) != strconv.Itoa(resp.StatusCode) {
			return false
		}
	}
	names := r.sender.names
	for _, name := range []string{names.Request, names.Stamp, "Content-Length"} {
		if len(resp.Header[http.CanonicalHeaderKey(name)]) != 1 {
			return false
		}
	}
	return resp.StatusCode/100 == 2 && resp.ContentLength > 0 && resp.Header.Get(names.NotRun) == "" && !isStream(resp)
}

// isFollowed reports whether anything but the end of the connection follows a body that was read to
// its length. The connection is not used again.
func (r *Response) isFollowed() bool {
	r.resp.Close = true
	if err := r.conn.Conn.SetReadDeadline(time.Now().Add(quietTime)); err != nil { // the connection has ended
		return r.conn.Reader.Buffered() > 0
	}
	_, err := r.conn.Reader.Peek(1)
	return err == nil
}
