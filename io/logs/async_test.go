package logs

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// stuck is a reader that has stopped until it is let go.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	text strings.Builder // guarded by mu
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A burst of lines does not wait for a reader that has stopped; what was left out
// is counted and told once it reads again.
func TestBurstBeforeAStoppedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{free: make(chan struct{})}
		b, cleanup := NewAsyncWriter(to)
		l, err := New(b, "info")
		assert.NilError(t, err)
		l.Event("info", "first")
		synctest.Wait()
		for range 3 * lineRing {
			l.Event("info", "burst", "Key", "value")
		}
		left := b.Dropped()
		assert.Assert(t, left >= lineRing, "%d left out", left)
		close(to.free)
		cleanup()
		to.mu.Lock()
		defer to.mu.Unlock()
		text := to.text.String()
		assert.Assert(t, strings.Contains(text, "first"))
		lines := strings.Count(text, "Event=burst")
		assert.Equal(t, uint64(lines)+left, uint64(3*lineRing))
		assert.Assert(t, strings.Contains(text, "log lines left out"), "%s", text[max(0, len(text)-200):])
	})
}
