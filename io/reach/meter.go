package reach

import (
	"bytes"
	"strconv"
	"time"

	"yuccadoor/core/limit"
)

// meter measures a response while it is copied.
type meter struct {
	started time.Time // when sending started
	stream  bool
	bytes   int64
	events  int
	first   time.Duration // from sending to the first byte
	last    time.Duration // from sending to the last byte so far
	tail    []byte        // last bytes seen
}

var eventEnd = []byte("\n\n")

// add counts the next bytes of the body.
func (m *meter) add(p []byte) {
	m.last = time.Since(m.started)
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

// terminated reports whether the stream's terminator is among the last bytes.
func (m *meter) terminated() bool {
	return bytes.Contains(m.tail, []byte(streamEnd))
}

func (m *meter) offset() string { return strconv.FormatInt(m.bytes, 10) }

// result returns the pace of a completed response: the mean time between events if it
// was a stream of several events, or the duration of the whole call if it was no
// stream.
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
