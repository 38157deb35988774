package conns

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// tolerableSilence is how long a sound target may be silent: "a second or so".
const tolerableSilence = 1500 * time.Millisecond

// Retransmissions of Linux, as the shortest round trips have it.
const firstRetransmission = 200 * time.Millisecond

// survives reports whether a connection outlasts a silence, as Linux decides: data that is
// sent when the silence begins, and probes of a connection on which nothing is sent.
func survives(silence, userTimeout, idle, interval time.Duration) (data, probes bool) {
	at := firstRetransmission
	for wait := firstRetransmission; at < silence; at += wait {
		wait *= 2
	}
	data = at < userTimeout
	// TCP_USER_TIMEOUT ends the connection when a probe falls due, however many are allowed.
	at = idle
	for ; at < silence; at += interval {
		if at > idle && at >= userTimeout {
			return data, false
		}
	}
	return data, at == idle || at < userTimeout
}

// Regression test: TCP_USER_TIMEOUT ended connections to targets that were silent for little
// more than a second.
func TestConnectionOutlastsASilenceOfASecond(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialed, err := DialTCP(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	assert.NilError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	assert.NilError(t, DetectSilence(accepted))
	for _, c := range []struct {
		name string
		conn net.Conn
	}{{"dialed", dialed}, {"accepted", accepted}} {
		t.Run(c.name, func(t *testing.T) {
			userTimeout := option(t, c.conn, unix.TCP_USER_TIMEOUT, time.Millisecond)
			idle := option(t, c.conn, unix.TCP_KEEPIDLE, time.Second)
			interval := option(t, c.conn, unix.TCP_KEEPINTVL, time.Second)
			for silence := 100 * time.Millisecond; silence <= tolerableSilence; silence += 100 * time.Millisecond {
				data, probes := survives(silence, userTimeout, idle, interval)
				assert.Assert(t, data, "data sent at the beginning of a silence of %s", silence)
				assert.Assert(t, probes, "probes in a silence of %s", silence)
			}
		})
	}
}

func option(t *testing.T, c net.Conn, name int, unit time.Duration) time.Duration {
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	value := 0
	assert.NilError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
	assert.NilError(t, err)
	return time.Duration(value) * unit
}
