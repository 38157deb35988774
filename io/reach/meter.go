package reach

import (
	"bytes"
	"strconv"
	"time"
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
	usage  int    // tokens of a whole answer
}

var (
	eventEnd   = []byte("\n\n")
	usageField = []byte(`"completion_tokens":`)
)

func (m *meter) count(p []byte) {
	m.last = time.Since(m.begun)
	if m.bytes == 0 {
		m.first = m.last
	}
	m.bytes += int64(len(p))
	if m.stream {
		m.events += bytes.Count(p, eventEnd)
	} else if i := bytes.LastIndex(p, usageField); i >= 0 {
		m.usage = leadingInt(p[i+len(usageField):])
	}
	m.tail = append(m.tail, p...)
	if over := len(m.tail) - tailBytes; over > 0 {
		m.tail = append(m.tail[:0], m.tail[over:]...)
	}
}

func leadingInt(p []byte) int {
	p = bytes.TrimLeft(p, " ")
	end := 0
	for end < len(p) && p[end] >= '0' && p[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(string(p[:end]))
	if err != nil {
		return 0
	}
	return n
}

func (m *meter) terminated() bool {
	return bytes.Contains(m.tail, []byte(streamEnd))
}

func (m *meter) offset() string { return strconv.FormatInt(m.bytes, 10) }

// pace is the time for one token where tokens can be counted, or for the whole
// call.
func (m *meter) pace() time.Duration {
	switch {
	case m.stream && m.events > 1:
		return (m.last - m.first) / time.Duration(m.events-1)
	case m.stream:
		return 0
	case m.usage > 0:
		return m.last / time.Duration(m.usage)
	}
	return m.last
}
