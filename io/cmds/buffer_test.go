package cmds

import (
	"bytes"
	"sync"
)

// safeBuffer is a buffer that a command may write while a test reads it.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns what has been written so far.
func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
