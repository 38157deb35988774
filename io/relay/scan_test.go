package relay

import (
	"bytes"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, scanChecks)) }

// scanChecks is the number of bodies per property test.
const scanChecks = 4000

// The response with the body that is scanned.
const (
	scanStatus = 200
	scanReason = "Fine"
)

var scanNames = HeaderNames{Request: "X-Id", Stamp: "X-Stamp"}

// scan returns a scanner of a body, which was fed in pieces of some size.
func scan(body []byte, piece int) *scanner {
	s := newScanner(scanNames, scanStatus, strconv.Itoa(scanStatus)+" "+scanReason)
	for len(body) > 0 {
		n := min(piece, len(body))
		_, _ = s.Write(body[:n])
		body = body[n:]
	}
	return s
}

// Forms of the heads that isAmbiguous looks for. A field may go on in further lines.
var (
	headStart  = regexp.MustCompile(`HTTP/1\.[01] ([1-9][0-9]{2})(?: ([\t -~\x80-\xff]*))?\r\n`)
	headFields = regexp.MustCompile(`^((?:[!#$%&'*+.^_|~\x60A-Za-z0-9-]+:[\t -~\x80-\xff]*\r\n(?:[ \t][\t -~\x80-\xff]*\r\n)*)*)`)
	cutLine    = regexp.MustCompile(`^(?:\r|[!#$%&'*+.^_|~\x60A-Za-z0-9-]+(?::[\t -~\x80-\xff]*\r?)?)?$`)
	cutFolded  = regexp.MustCompile(`^[ \t][\t -~\x80-\xff]*\r?$`)
	idField    = regexp.MustCompile(`(?im)^X-Id:(?:\r\n[ \t]|[ \t])*[^\s]`)
	stampField = regexp.MustCompile(`(?im)^X-Stamp:(?:\r\n[ \t]|[ \t])*[^\s]`)
	cutStart   = regexp.MustCompile(`HTTP/1\.[01] (?:[1-9][0-9]{0,2})?$`)
	cutReason  = regexp.MustCompile(`HTTP/1\.[01] ([1-9][0-9]{2}) ([\t -~\x80-\xff]*)(\r?)$|HTTP/1\.[01] [1-9][0-9]{2}\r$`)
)

// isAmbiguous is a plain form of what the scanner finds out.
func isAmbiguous(bytes []byte) bool {
	runes := make([]rune, len(bytes)) // since expressions match runes
	for i, b := range bytes {
		runes[i] = rune(b)
	}
	body := string(runes)
	phrases := func(code string) []string {
		status, _ := strconv.Atoi(code)
		known := []string{"", http.StatusText(status)}
		if status == scanStatus {
			known = append(known, scanReason)
		}
		return known
	}
	for at := range body {
		rest := body[at:]
		start := headStart.FindStringSubmatchIndex(rest)
		if start == nil || start[0] != 0 {
			if m := cutReason.FindStringSubmatchIndex(rest); m != nil && m[0] == 0 {
				if m[2] < 0 {
					return true
				}
				for _, phrase := range phrases(rest[m[2]:m[3]]) {
					if got := rest[m[4]:m[5]]; got == phrase || m[6] == m[7] && strings.HasPrefix(phrase, got) {
						return true
					}
				}
			}
			if m := cutStart.FindStringIndex(rest); m != nil && m[0] == 0 {
				return true
			}
			continue
		}
		code, reason := rest[start[2]:start[3]], ""
		if start[4] >= 0 {
			reason = rest[start[4]:start[5]]
		}
		fields := headFields.FindString(rest[start[1]:])
		end := rest[start[1]+len(fields):]
		common := false
		for _, phrase := range phrases(code) {
			common = common || phrase == reason
		}
		whole := strings.HasPrefix(end, "\r\n") && idField.MatchString(fields) && (code[0] != '2' || stampField.MatchString(fields))
		cut := cutLine.MatchString(end) || fields != "" && cutFolded.MatchString(end)
		if whole || common && cut {
			return true
		}
	}
	return false
}

// FuzzScanner compares the scanner with its plain form.
func FuzzScanner(f *testing.F) {
	for _, words := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: b\r\n\r\n", "HTTP/1.1 404 Not Found\r\nx-id: a\r\n\r\n", "HTTP/1.0 200 Fine\r\nX-Id:\r\n\ta\r\n",
		"HTTP/1.1 200 HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 200 OK\nX-Id: a\n\n", "HTTP/1.1 200\r\nX-Id: aHTTP/1.1 404\r\nX-Id: b\r\n\r", "HTTP/1.1 2", "HHTTP/1.1 404 Not F",
		"HTTP/1.1 200 O\r\n X-Id: a\r\nX-Id: b", "HTTP/1.1 404 \r\n: \r\nX-IdX: \x7f", "HTTP/1.1 200 OK\r\nX-Id: a\r\n b\r\nX-Stamp:\r\n\r\n", "HTTP/1.1 2000\r\n\r\n",
	} {
		f.Add([]byte(words), 1)
		f.Add([]byte("a body\n"+words), 7)
	}
	f.Fuzz(func(t *testing.T, body []byte, piece int) {
		got := scan(body, max(1, piece)).ambiguous()
		assert.Equal(t, got, isAmbiguous(body), "%q", body)
	})
}

// TestScannerFindsWhatItsPlainFormFinds compares both on bodies of pieces of heads.
func TestScannerFindsWhatItsPlainFormFinds(t *testing.T) {
	piece := rapid.SampledFrom([]string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 404 Not Found\r\n", "HTTP/1.1 ", "200", " Fine", "HTTP/1.0 500 Odd", "X-Id: a", "x-id:", "X-Stamp: b", "X-Odd: c",
		":", " ", "\r\n", "\r\n", "\r\n\r\n", "\r", "\n", "H", "text", "\x00", "\xff",
	})
	rapid.Check(t, func(t *rapid.T) {
		body := []byte(strings.Join(rapid.SliceOfN(piece, 0, 20).Draw(t, "body"), ""))
		got := scan(body, rapid.IntRange(1, 100).Draw(t, "piece")).ambiguous()
		assert.Equal(t, got, isAmbiguous(body), "%q", body)
	})
}

// Regression guard: the time to look for another response grew with the square of the body, which
// kept a thread for minutes.
func TestScannerLooksAtEachByteOnce(t *testing.T) {
	const piece = 32 << 10
	for _, c := range []struct{ name, words string }{
		{"plain text", "All is well. "},
		{"no status lines", "HHTTP/1.H "},
		{"status lines in one line", "HTTP/1.1 200 "},
		{"status lines", "HTTP/1.1 200 OK\r\n"},
		{"heads of one line", "HTTP/1.1 200 OK\r\n\r\n"},
		{"heads that are cut", "HTTP/1.1 200 OK\r\nX-Odd: x\r\nX-Other: "},
		{"fields that name status lines", "X-Odd: HTTP/1.1 200 OK\r\n"},
		{"heads without an id", "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, megabytes := range []int{1, 2, 4, 8} {
				body := bytes.Repeat([]byte(c.words), megabytes<<20/len(c.words))
				assert.Equal(t, scan(body, piece).steps, len(body))
			}
		})
	}
	body := bytes.Repeat([]byte("HTTP/1.1 200 "), 100)
	s := scan(body, 1)
	assert.Assert(t, testing.AllocsPerRun(10, func() { _, _ = s.Write(body) }) == 0)
}
