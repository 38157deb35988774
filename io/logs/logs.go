// Package logs writes structured logs: each event is one line of key=value pairs.
package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

// Log writes events at or above its level.
type Log struct {
	logger *log.Logger
}

// New returns a Log that writes to w. level is debug, info, warn or error.
func New(w io.Writer, level string) (*Log, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "parse log level %q", level)
	}
	return &Log{logger: &log.Logger{Handler: &lineHandler{w: w}, Level: l}}, nil
}

// Event logs one event. fields alternates between names and values.
func (l *Log) Event(level, message string, fields ...any) {
	ordered := orderedFields{}
	for i := 0; i+1 < len(fields); i += 2 {
		ordered = append(ordered, field{fmt.Sprint(fields[i]), fields[i+1]})
	}
	e := l.logger.WithField(orderedFieldsKey, ordered)
	switch level {
	case "debug":
		e.Debug(message)
	case "warn":
		e.Warn(message)
	case "error":
		e.Error(message)
	default:
		e.Info(message)
	}
}

// orderedFieldsKey is the field under which the ordered fields of an event pass
// through the logging library, whose own fields are an unordered map.
const orderedFieldsKey = "fields"

type field struct {
	name  string
	value any
}

type orderedFields []field

// lineHandler is a log.Handler that preserves the order of the fields.
type lineHandler struct {
	mu sync.Mutex
	w  io.Writer // guarded by mu
}

// HandleLog implements log.Handler.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Time=%s Level=%s Event=%s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level, quoteIfNeeded(e.Message))
	ordered, _ := e.Fields[orderedFieldsKey].(orderedFields)
	for _, p := range ordered {
		fmt.Fprintf(&b, " %s=%s", p.name, quoteIfNeeded(cut(fmt.Sprint(p.value))))
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// maxValueBytes bounds a value: ids of requests come from clients. The longest others are
// lists of 64 prompt parts, 1.1 KB.
const maxValueBytes = 2 << 10

// cut returns the beginning of a value that is too long.
func cut(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return s[:maxValueBytes] + "..."
}

// quoteIfNeeded quotes a value that is empty or contains separators, so that a
// parser can find its end.
func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\r\n\"=") {
		return fmt.Sprintf("%q", s)
	}
	return s
}
