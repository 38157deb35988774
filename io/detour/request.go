package detour

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/io/conns"
)

const (
	// settleTimeout is how long the rest of a request may take after the target's bytes have
	// ended.
	settleTimeout = 500 * time.Millisecond
	// settleTime is the time without further bytes after which a request is taken to have been
	// passed on: some round trips between availability zones.
	settleTime = 20 * time.Millisecond
	settlePoll = time.Millisecond
)

// requestWriter passes a request on to a target.
type requestWriter struct {
	target net.Conn

	mu        sync.Mutex
	writing   bool      // guarded by mu
	bytes     int64     // guarded by mu; that have been written
	changedAt time.Time // guarded by mu; end of the last write
	err       error     // guarded by mu; of the last write
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.writing = true
	w.mu.Unlock()
	n, err := w.target.Write(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.changedAt, w.err = false, time.Now(), err
	w.bytes += int64(n)
	return n, err
}

// settle returns the number of bytes that the target has got, once reading from it has ended
// without an error. The kernel reports the reset of a connection once: if a write has got it,
// reading seems to end in order.
func (w *requestWriter) settle() (int64, error) {
	for end := time.Now().Add(settleTimeout); ; time.Sleep(settlePoll) {
		bytes, settled, err := w.state()
		switch {
		case err != nil:
			return 0, errors.Wrap(err, "write to the target")
		case settled:
			return bytes, errors.Wrap(conns.AwaitAcknowledged(w.target, time.Until(end)), "write to the target")
		case time.Now().After(end):
			return 0, errors.New("the target's bytes have ended within the request")
		}
	}
}

func (w *requestWriter) state() (bytes int64, settled bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes, !w.writing && time.Since(w.changedAt) >= settleTime, w.err
}

// linger waits until the asking host has closed its connection, for at most settleTimeout. Until
// then, what it still sends is discarded.
func linger(ended <-chan struct{}) {
	timeout := time.NewTimer(settleTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	}
}
