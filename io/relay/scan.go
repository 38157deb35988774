package relay

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrAmbiguous is the error of a body without a length that holds, in whole or at its end in
// part, what another response of the target would look like. It may be text that quotes a
// response, or a response that follows the body on the same connection.
var ErrAmbiguous = errors.New("the response may be followed by another one, or quote one")

// Forms of a status line up to its code; 'd' stands for a digit.
const (
	statusPattern = "HTTP/1.d ddd"
	// versionLength is the part of statusPattern after which text is taken for a status line.
	versionLength = len("HTTP/1.d ")
	// maxReason is the longest reason phrase that is compared with the known ones.
	maxReason = 64
)

// scanner tells whether a body without a length may hold the head of another response of its
// target. Such a head has a status line, a field with a request id and, if it is a success, one
// with a stamp; its lines end in CRLF. The scanner looks at each byte once and keeps no copy of
// the body.
//
// Heads may begin anywhere, also within one another. They share the lines that they have in
// common, so that it is enough to know which kinds of head are open; see openHead.
type scanner struct {
	status int    // of the response with the body
	reason string // of the same
	found  bool   // a whole head
	steps  int    // bytes that were looked at

	matched int // bytes of statusPattern
	code    int // status code as far as it was read
	// The current line may be the status line of several heads. begun holds the earlier ones, whose
	// reason phrases contain the next one's status line; latestCode and phrase are of the latest.
	inStatusLine bool
	begun        headKinds
	latestCode   int
	phrase       []byte // reason phrase, as far as it was read
	afterCR      bool

	open   [kindCount]openHead // heads whose status line was read
	isOpen bool                // any of them
	line   linePart            // of their fields
	id     nameMatcher
	stamp  nameMatcher
}

// openHead is the earliest head of its kind whose status line was read. It has all fields that
// later ones of the kind have.
type openHead struct{ exists, hasField, hasID, hasStamp bool }

// The kinds of heads.
const (
	kindSuccess  = 1 << iota // the status is a success
	kindUncommon             // the reason phrase is none that the target is known to use
	kindCount    = 4
)

type headKinds [kindCount]bool

// linePart is a position in a line of fields.
type linePart int

const (
	lineStart linePart = iota
	lineName
	lineValue
	lineCR
	blankLineCR
)

// nameMatcher compares the name of a field with a known one, byte by byte.
type nameMatcher struct {
	name    string
	matched int  // bytes; differs if the names differ
	current bool // the field that is being read has the name
}

// differs is the state of a nameMatcher whose names differ.
const differs = -1

func (m *nameMatcher) add(b byte) {
	if m.matched >= 0 && m.matched < len(m.name) && lower(m.name[m.matched]) == lower(b) {
		m.matched++
		return
	}
	m.matched = differs
}

func (m *nameMatcher) endName() { m.current = m.matched == len(m.name) }

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// newScanner returns a scanner of the body of a response with a status line.
func newScanner(names HeaderNames, status int, statusText string) *scanner {
	_, reason, _ := strings.Cut(statusText, " ")
	return &scanner{
		status: status, reason: reason, phrase: make([]byte, 0, maxReason),
		id: nameMatcher{name: names.Request}, stamp: nameMatcher{name: names.Stamp},
	}
}

// Write implements io.Writer; it takes the next piece of the body.
func (s *scanner) Write(piece []byte) (int, error) {
	for rest := piece; len(rest) > 0 && !s.found; rest = rest[1:] {
		if s.matched == 0 && !s.isOpen && !s.inStatusLine {
			next := bytes.IndexByte(rest, statusPattern[0])
			if next < 0 {
				s.steps += len(rest)
				break
			}
			s.steps += next
			rest = rest[next:]
		}
		s.steps++
		s.add(rest[0])
	}
	return len(piece), nil
}

// ambiguous reports whether the body that was read so far, if it ends here, may hold another
// response, or the beginning of one that was cut.
func (s *scanner) ambiguous() bool {
	if s.found || s.matched >= versionLength {
		return true
	}
	for kind, head := range s.open {
		if head.exists && kind&kindUncommon == 0 {
			return true
		}
	}
	return s.inStatusLine && (s.afterCR && s.isCommonReason() || !s.afterCR && s.mayBecomeCommonReason())
}

func (s *scanner) add(b byte) {
	if s.isOpen {
		s.addToFields(b)
	}
	if s.inStatusLine {
		s.addToStatusLine(b)
	}
	s.addToStart(b)
}

// addToStart looks for the beginning of a status line.
func (s *scanner) addToStart(b byte) {
	switch {
	case s.matched == len(statusPattern):
		s.matched = 0
		if b == ' ' || b == '\r' {
			s.begin(b == '\r')
			return
		}
	case statusPattern[s.matched] == b && b != 'd':
		s.matched++
		return
	case statusPattern[s.matched] == 'd' && s.takesDigit(b):
		s.matched++
		return
	}
	s.matched = 0
	if b == statusPattern[0] { // which is nowhere else in the pattern
		s.matched = 1
	}
}

// takesDigit reports whether a byte goes on with the version or the status code.
func (s *scanner) takesDigit(b byte) bool {
	switch {
	case s.matched < versionLength:
		s.code = 0
		return b == '0' || b == '1'
	case b < '0' || b > '9', s.matched == versionLength && b == '0':
		return false
	}
	s.code = 10*s.code + int(b-'0')
	return true
}

// begin takes the beginning of a status line.
func (s *scanner) begin(afterCR bool) {
	if s.inStatusLine { // its reason phrase goes on with another status line
		s.begun[kindOf(s.latestCode)|kindUncommon] = true
	}
	s.inStatusLine, s.latestCode, s.phrase, s.afterCR = true, s.code, s.phrase[:0], afterCR
}

func kindOf(status int) int {
	if status/100 == 2 {
		return kindSuccess
	}
	return 0
}

// addToStatusLine goes on with the status lines that have begun.
func (s *scanner) addToStatusLine(b byte) {
	switch {
	case s.afterCR && b == '\n':
		s.openHeads()
		s.dropStatusLines()
	case s.afterCR:
		s.dropStatusLines()
	case b == '\r':
		s.afterCR = true
	case !isValueByte(b):
		s.dropStatusLines()
	case len(s.phrase) < maxReason:
		s.phrase = append(s.phrase, b)
	}
}

func (s *scanner) dropStatusLines() { s.inStatusLine, s.afterCR, s.begun = false, false, headKinds{} }

// openHeads takes the heads whose status line has ended. An open head of the same kind has more
// fields, and ends with the same line.
func (s *scanner) openHeads() {
	kind := kindOf(s.latestCode)
	if !s.isCommonReason() {
		kind |= kindUncommon
	}
	s.begun[kind] = true
	if !s.isOpen {
		s.line = lineStart
	}
	for kind, begun := range s.begun {
		if begun {
			s.open[kind].exists, s.isOpen = true, true
		}
	}
}

// commonReasons returns the reason phrases that a target is known to use for the status of the
// latest status line.
func (s *scanner) commonReasons() [3]string {
	reasons := [3]string{"", http.StatusText(s.latestCode)}
	if s.latestCode == s.status {
		reasons[2] = s.reason
	}
	return reasons
}

func (s *scanner) isCommonReason() bool {
	for _, reason := range s.commonReasons() {
		if string(s.phrase) == reason {
			return true
		}
	}
	return false
}

func (s *scanner) mayBecomeCommonReason() bool {
	for _, reason := range s.commonReasons() {
		if strings.HasPrefix(reason, string(s.phrase)) {
			return true
		}
	}
	return false
}

// addToFields goes on with the fields of the open heads.
func (s *scanner) addToFields(b byte) {
	switch s.line {
	case lineStart:
		s.addToLineStart(b)
	case lineName:
		switch {
		case b == ':':
			s.id.endName()
			s.stamp.endName()
			s.line = lineValue
		case isNameByte(b):
			s.id.add(b)
			s.stamp.add(b)
		default:
			s.dropHeads()
		}
	case lineValue:
		switch {
		case b == '\r':
			s.line = lineCR
		case !isValueByte(b):
			s.dropHeads()
		case b != ' ' && b != '\t':
			s.takeValue()
		}
	case lineCR:
		if b != '\n' {
			s.dropHeads()
			return
		}
		s.line = lineStart
		for kind := range s.open {
			s.open[kind].hasField = s.open[kind].exists
		}
	case blankLineCR:
		s.found = b == '\n' && s.hasWholeHead()
		s.dropHeads()
	}
}

func (s *scanner) addToLineStart(b byte) {
	switch {
	case b == '\r':
		s.line = blankLineCR
	case b == ' ' || b == '\t': // goes on with the value of the line before
		s.line = lineValue
		s.isOpen = false
		for kind := range s.open {
			s.open[kind].exists = s.open[kind].hasField
			s.isOpen = s.isOpen || s.open[kind].exists
		}
	case isNameByte(b):
		s.id.matched, s.stamp.matched = 0, 0
		s.id.add(b)
		s.stamp.add(b)
		s.line = lineName
	default:
		s.dropHeads()
	}
}

// takeValue takes a byte of the value of a field.
func (s *scanner) takeValue() {
	if !s.id.current && !s.stamp.current {
		return
	}
	for kind := range s.open {
		head := &s.open[kind]
		head.hasID = head.exists && (head.hasID || s.id.current)
		head.hasStamp = head.exists && (head.hasStamp || s.stamp.current)
	}
}

func (s *scanner) hasWholeHead() bool {
	for kind, head := range s.open {
		if head.hasID && (head.hasStamp || kind&kindSuccess == 0) {
			return true
		}
	}
	return false
}

func (s *scanner) dropHeads() { s.open, s.isOpen = [kindCount]openHead{}, false }

// isNameByte reports whether a byte may stand in the name of a field.
func isNameByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isValueByte reports whether a byte may stand in the value of a field, or in a reason phrase.
func isValueByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }
