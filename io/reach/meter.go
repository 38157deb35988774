package reach

import (
	"bytes"
	"strconv"
	"time"

	"yuccadoor/core/limit"
)

// meter measures an answer as it passes.
type meter struct {
	begun  time.Time
	stream bool
	bytes  int64
	events int
	first  time.Duration // from sending to the first byte
	last   time.Duration
	tail   []byte // last bytes seen
}

var eventEnd = []byte("\n\n")

func (m *meter) count(p []byte) {
	m.last = time.Since(m.begun)
	if m.bytes == 0 {
		m.first = m.last
	}
	m.bytes += int64(len(p))
	if m.stream {
		m.events += bytes.Count(p, eventEnd)
	}
	m.tail = append(m.tail, p...)
	if over := len(m.tail) - tailBytes; over > 0 {
		m.tail = append(m.tail[:0], m.tail[over:]...)
	}
}

func (m *meter) terminated() bool {
	return bytes.Contains(m.tail, []byte(streamEnd))
}

func (m *meter) offset() string { return strconv.FormatInt(m.bytes, 10) }

// result is the pace of a completed answer: of its tokens where they came one
// by one, or else of the whole call.
func (m *meter) result() limit.Result {
	r := limit.Result{Kind: limit.Completed}
	switch {
	case m.stream && m.events > 1:
		r.Units = m.events - 1
		r.Pace = (m.last - m.first) / time.Duration(r.Units)
	case !m.stream:
		r.Pace = m.last
	}
	return r
}
