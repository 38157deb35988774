package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"yuccadoor/core/ring"
)

// Parameters of an AsyncWriter.
const (
	lineQueueSize = 4096                   // lines
	maxQueueBytes = 4 << 20                // of the queued lines together; usual lines have under 1 KB
	flushPeriod   = 100 * time.Millisecond // how long a write waits for more lines
	flushBytes    = 32 << 10               // a write collects lines up to about this size
)

// AsyncWriter is an io.Writer of whole lines that never blocks its callers. A
// goroutine forwards the lines to the underlying writer. Lines that do not fit
// into the queue are dropped and counted, and the count is logged.
type AsyncWriter struct {
	lines   *ring.Queue[string]
	queued  atomic.Int64 // bytes
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that forwards lines to w. The cleanup function
// writes the lines that are still queued.
func NewAsyncWriter(w io.Writer) (*AsyncWriter, func()) {
	a := &AsyncWriter{lines: ring.New[string](lineQueueSize)}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { a.run(w, stop) })
	return a, func() {
		close(stop)
		running.Wait()
	}
}

// Write implements io.Writer.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	if a.queued.Add(int64(len(p))) > maxQueueBytes || !a.lines.Offer(string(p)) {
		a.queued.Add(-int64(len(p)))
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// run forwards the queued lines to w until stop is closed.
func (a *AsyncWriter) run(w io.Writer, stop <-chan struct{}) {
	var logged uint64 // dropped lines that have been logged
	buffer := make([]byte, 0, flushBytes)
	write := func() {
		if n := a.dropped.Load(); n > logged {
			buffer = fmt.Appendf(buffer, "Level=warn Event=%q Lines=%d\n", "log lines left out", n-logged)
			logged = n
		}
		_, _ = w.Write(buffer)
		buffer = buffer[:0]
	}
	for {
		select {
		case line := <-a.lines.Items():
			a.queued.Add(-int64(len(line)))
			buffer = append(buffer, line...)
			// More lines are likely to follow; combine them into one write.
			a.collectAfterDelay(&buffer, stop)
			write()
		case <-stop:
			for a.lines.Len() > 0 {
				a.collect(&buffer)
				write()
			}
			return
		}
	}
}

// collectAfterDelay waits for flushPeriod, or until stop is closed, and collects
// the lines queued by then.
func (a *AsyncWriter) collectAfterDelay(buffer *[]byte, stop <-chan struct{}) {
	select {
	case <-time.After(flushPeriod):
	case <-stop:
	}
	a.collect(buffer)
}

// collect appends queued lines to buffer until the queue is empty or the buffer
// has reached flushBytes.
func (a *AsyncWriter) collect(buffer *[]byte) {
	for len(*buffer) < flushBytes {
		select {
		case line := <-a.lines.Items():
			a.queued.Add(-int64(len(line)))
			*buffer = append(*buffer, line...)
		default:
			return
		}
	}
}
