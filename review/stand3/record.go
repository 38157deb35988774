package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File // guarded by mu
	start time.Time
}

// newRecord creates the file and returns it with its cleanup function.
func newRecord(path string) (*record, func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	return &record{file: f, start: time.Now()}, func() { f.Close() }, nil
}

// line writes one line, with the time since the start, and shows it.
func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}
