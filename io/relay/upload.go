package relay

import (
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/io/conns"
)

// uploadTimeout is how long a target that has ended an unframed response may take to read the
// rest of the request. It is less than the gap at which clients abandon a stream.
const uploadTimeout = time.Second

// upload is a request body that is written while the response is read.
type upload struct {
	conn         net.Conn
	requestBytes int           // with the header
	done         chan struct{} // closed when the write has returned
	err          error         // of the write; valid once done is closed
}

func startUpload(conn net.Conn, body []byte, requestBytes int) *upload {
	u := &upload{conn: conn, requestBytes: requestBytes, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = conn.Write(body)
	}()
	return u
}

// written reports whether the whole body has been written. A nil upload has been.
func (u *upload) written() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// carriedConn is a connection through another host, which carries one request.
type carriedConn interface {
	Through() netip.AddrPort
	// Passed returns how many bytes of the request the target has got, once its bytes have
	// ended; -1 if the host does not state it.
	Passed() int64
}

// await waits until the target has got the whole request, for at most uploadTimeout.
func (u *upload) await() error {
	end := time.Now().Add(uploadTimeout)
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	select {
	case <-u.done:
	case <-timeout.C:
		return errors.New("the target does not read the request")
	}
	if u.err != nil {
		return u.err
	}
	carried, ok := u.conn.(carriedConn)
	if !ok {
		return conns.AwaitAcknowledged(u.conn, time.Until(end))
	}
	if passed := carried.Passed(); passed < int64(u.requestBytes) {
		return errors.Errorf("the target has got %d of %d bytes of the request, as host %s states", passed, u.requestBytes, carried.Through())
	}
	return nil
}

// uploadChecker reads the body of an unframed response, which ends with its connection. The kernel
// reports the reset of a connection once: if the writer gets it, the reader sees an orderly end.
// So the end of the body counts only if the target has got the whole request.
type uploadChecker struct {
	body   io.Reader
	upload *upload
}

// Read implements io.Reader.
func (c *uploadChecker) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if uploadErr := c.upload.await(); uploadErr != nil {
		return n, errors.Wrap(uploadErr, "the response ended within the request")
	}
	return n, io.EOF
}
