package relay

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// uploadTimeout is how long a target that has ended an unframed response may take to read the
// rest of the request. It is less than the gap at which clients abandon a stream.
const uploadTimeout = time.Second

// upload is a request body that is written while the response is read.
type upload struct {
	done chan struct{} // closed when the write has returned
	err  error         // of the write; valid once done is closed
}

func startUpload(conn net.Conn, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
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

// wait waits until the whole body has been written, for at most uploadTimeout.
func (u *upload) wait() error {
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	select {
	case <-u.done:
		return errors.Wrap(u.err, "the response ended while the request was written")
	case <-timeout.C:
		return errors.New("the response ended, and the target does not read the request")
	}
}

// uploadChecker reads the body of an unframed response. The kernel reports the reset of a
// connection once: if the writer gets it, the reader sees an orderly end. So the end of the body
// counts only if the request has been written.
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
	if uploadErr := c.upload.wait(); uploadErr != nil {
		return n, uploadErr
	}
	return n, io.EOF
}
