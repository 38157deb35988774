package conns

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// ackPoll is the interval at which AwaitAcknowledged looks at a connection: a fraction of a
	// round trip between availability zones.
	ackPoll = time.Millisecond
	// tcpClose is the state of a connection that was reset, or that both sides have ended.
	tcpClose = unix.BPF_TCP_CLOSE
)

// AwaitAcknowledged waits until the system of the other side has acknowledged all that was written
// to a TCP connection whose other side has ended its bytes. The error tells that the connection was
// reset since, or that the timeout is over. Other connections count as acknowledged.
func AwaitAcknowledged(conn net.Conn, timeout time.Duration) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for end := time.Now().Add(timeout); ; time.Sleep(ackPoll) {
		info, err := tcpInfo(raw)
		switch {
		case err != nil:
			return errors.Wrap(err, "read the state of the connection")
		case info.State == tcpClose:
			return errors.Wrap(syscall.ECONNRESET, "after the end of the other side's bytes")
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case time.Now().After(end):
			return errors.New("the other side does not read what was written")
		}
	}
}

func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		info, sockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, sockoptErr
}
