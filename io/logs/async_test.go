package logs

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder // guarded by mu
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A burst of log lines must not block while the underlying writer blocks. Lines
// that do not fit into the queue are dropped and counted, and the count is logged
// once the writer continues.
func TestBurstDoesNotWaitForBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{release: make(chan struct{})}
		writer, cleanup := NewAsyncWriter(to)
		l, err := New(writer, "info")
		assert.NilError(t, err)
		l.Event("info", "first")
		synctest.Wait()
		for range 3 * lineQueueSize {
			l.Event("info", "burst", "Key", "value")
		}
		dropped := writer.Dropped()
		assert.Assert(t, dropped >= lineQueueSize, "%d lines dropped", dropped)
		close(to.release)
		cleanup()
		to.mu.Lock()
		defer to.mu.Unlock()
		text := to.text.String()
		assert.Assert(t, strings.Contains(text, "first"))
		lines := strings.Count(text, "Event=burst")
		assert.Equal(t, uint64(lines)+dropped, uint64(3*lineQueueSize))
		assert.Assert(t, strings.Contains(text, "log lines left out"), "%s", text[max(0, len(text)-200):])
	})
}
