package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"yuccadoor/core/ring"
)

// Bounds of a buffered log.
const (
	lineRing    = 4096
	flushPeriod = 100 * time.Millisecond
	flushBytes  = 32 << 10
)

// AsyncWriter is a writer of whole lines that never blocks its callers: a
// goroutine writes them on, and lines beyond its bound are left out, counted
// and told.
type AsyncWriter struct {
	lines   *ring.Queue[string]
	leftOut atomic.Uint64
}

// NewAsyncWriter starts writing to w. The clean-up function writes what waits.
func NewAsyncWriter(w io.Writer) (*AsyncWriter, func()) {
	b := &AsyncWriter{lines: ring.New[string](lineRing)}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { b.run(w, stop) })
	return b, func() {
		close(stop)
		running.Wait()
	}
}

// Write implements io.Writer.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	if !b.lines.Offer(string(p)) {
		b.leftOut.Add(1)
	}
	return len(p), nil
}

// Dropped counts the lines that found no room.
func (b *AsyncWriter) Dropped() uint64 { return b.leftOut.Load() }

func (b *AsyncWriter) run(w io.Writer, stop <-chan struct{}) {
	var told uint64
	buffer := make([]byte, 0, flushBytes)
	write := func() {
		if n := b.leftOut.Load(); n > told {
			buffer = fmt.Appendf(buffer, "Level=warn Event=%q Lines=%d\n", "log lines left out", n-told)
			told = n
		}
		_, _ = w.Write(buffer)
		buffer = buffer[:0]
	}
	for {
		select {
		case line := <-b.lines.Items():
			buffer = append(buffer, line...)
			// More lines are likely to follow; they go out in one write.
			b.rest(&buffer, stop)
			write()
		case <-stop:
			for b.lines.Len() > 0 {
				b.collect(&buffer)
				write()
			}
			return
		}
	}
}

func (b *AsyncWriter) rest(buffer *[]byte, stop <-chan struct{}) {
	select {
	case <-time.After(flushPeriod):
	case <-stop:
	}
	b.collect(buffer)
}

// collect takes the lines that wait, up to a bound.
func (b *AsyncWriter) collect(buffer *[]byte) {
	for len(*buffer) < flushBytes {
		select {
		case line := <-b.lines.Items():
			*buffer = append(*buffer, line...)
		default:
			return
		}
	}
}
