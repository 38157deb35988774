package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is the interval at which idle connections are checked.
const idleCheckInterval = time.Second

// idleConns closes clients' connections that are idle for longer than the current
// configuration allows. http.Server.IdleTimeout cannot change while the server runs.
type idleConns struct {
	now func() time.Time

	mu    sync.Mutex
	since map[net.Conn]time.Time // guarded by mu; when each connection became idle
}

func newIdleConns(now func() time.Time) *idleConns {
	return &idleConns{now: now, since: map[net.Conn]time.Time{}}
}

// trackState is the server's ConnState hook.
func (i *idleConns) trackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = i.now()
	} else {
		delete(i.since, c)
	}
}

// start starts closing idle connections and returns the cleanup function. A limit of 0
// keeps all connections.
func (i *idleConns) start(limit func() time.Duration) func() {
	stop := make(chan struct{})
	go func() {
		t := time.NewTicker(idleCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				i.closeIdle(limit())
			}
		}
	}()
	return func() { close(stop) }
}

// closeIdle closes the connections that are idle for longer than limit.
func (i *idleConns) closeIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	now := i.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			c.Close()
			delete(i.since, c)
		}
	}
}
