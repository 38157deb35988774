// Package accept serves HTTP at an address and keeps accepting connections after an error.
// A server of package net/http ends at most errors of its listener, and the process would
// go on without it.
package accept

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

// retryDelay is the pause after a failed attempt to accept a connection.
const retryDelay = 20 * time.Millisecond

// Logger writes structured log events, one per line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Serve starts serving at an address and returns the cleanup function. A limit above 0 is
// the maximum number of open connections.
func Serve(server *http.Server, address netip.AddrPort, limit int, log Logger) (func(), error) {
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	var l net.Listener = &listener{tcp, log}
	if limit > 0 {
		l = netutil.LimitListener(l, limit)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Event("error", "listener ended", "Address", address, "Error", err)
		}
	}()
	return func() { server.Close() }, nil
}

// listener is a listener whose Accept fails only once it is closed. Other errors are
// logged, and Accept tries again.
type listener struct {
	net.Listener
	log Logger
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Event("warn", "connection not accepted", "Address", l.Addr(), "Error", err)
		time.Sleep(retryDelay)
	}
}
