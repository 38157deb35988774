package accept

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"yuccadoor/io/logs"
)

// failingListener fails once, with the error of a connection that broke in the queue.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EPROTO}
	}
	return l.Listener.Accept()
}

// Regression test: one connection that could not be accepted ended the server for good,
// while the host went on to say that it was ready.
func TestServerAcceptsAfterAFailedConnection(t *testing.T) {
	log, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(&listener{&failingListener{Listener: tcp}, log}) }()
	resp, err := http.Get("http://" + tcp.Addr().String())
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	server.Close()
	assert.ErrorIs(t, <-ended, http.ErrServerClosed)
}
