// Package logs writes one line of key=value pairs for each event.
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

// Log writes events of a level or above.
type Log struct {
	logger *log.Logger
}

// New returns a log that writes to w. level is debug, info, warn or error.
func New(w io.Writer, level string) (*Log, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "parse log level %q", level)
	}
	return &Log{logger: &log.Logger{Handler: &lines{w: w}, Level: l}}, nil
}

// Event logs one event. fields alternate names and values.
func (l *Log) Event(level, message string, fields ...any) {
	ordered := pairs{}
	for i := 0; i+1 < len(fields); i += 2 {
		ordered = append(ordered, pair{fmt.Sprint(fields[i]), fields[i+1]})
	}
	e := l.logger.WithField(fieldsKey, ordered)
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

// fieldsKey carries the ordered pairs through the logging library, whose own
// fields have no order.
const fieldsKey = "fields"

type pair struct {
	name  string
	value any
}

type pairs []pair

// lines is a handler that keeps the order of the pairs.
type lines struct {
	mu sync.Mutex
	w  io.Writer // guarded by mu
}

// HandleLog implements log.Handler.
func (h *lines) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Time=%s Level=%s Event=%s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level, quoted(e.Message))
	ordered, _ := e.Fields[fieldsKey].(pairs)
	for _, p := range ordered {
		fmt.Fprintf(&b, " %s=%s", p.name, quoted(fmt.Sprint(p.value)))
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// quoted quotes a value that a reader of the line could not delimit.
func quoted(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\r\n\"=") {
		return fmt.Sprintf("%q", s)
	}
	return s
}
