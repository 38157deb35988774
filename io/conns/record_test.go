package conns

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a recorded head that lacks bytes, or has some of what follows it, and against
// heads that stay in memory with idle connections.
func TestRecordingHoldsWhatWasTakenFromTheReader(t *testing.T) {
	target := netip.MustParseAddrPort("10.0.0.1:80")
	long := strings.Repeat("x", 3*readBufferSize)
	for _, c := range []struct {
		name         string
		before, head string // parts of what the target sends
	}{
		{"at the beginning", "", "head\n"},
		{"after other bytes in the buffer", "first\n", "head\n"},
		{"longer than the buffer", "first\n", long + "\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(func(context.Context, netip.AddrPort) (net.Conn, error) {
				local, remote := net.Pipe()
				go func() {
					defer remote.Close()
					_, _ = io.WriteString(remote, c.before+c.head+"and the body")
				}()
				return local, nil
			}, time.Now)
			defer p.Close()
			conn, err := p.Dial(t.Context(), target)
			assert.NilError(t, err)
			_, err = io.CopyN(io.Discard, conn.Reader, int64(len(c.before)))
			assert.NilError(t, err)
			conn.StartRecording()
			_, err = conn.Reader.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, string(conn.StopRecording()), c.head)
			p.Put(target, conn, time.Second)
			assert.Equal(t, cap(conn.limited.recorded), 0)
		})
	}
}
