package main

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"yuccadoor/platform/stand"
)

// Headers of the published protocol.
const (
	headerRequest  = "X-Yuccadoor-Request-Id"
	headerStamp    = "X-Yuccadoor-Server-Stamp"
	headerInstance = "X-Yuccadoor-Instance-Id"
	headerExpect   = "X-Yuccadoor-Expect-Instance"
)

// answer writes the answer to a request that the server runs.
type answer func(w http.ResponseWriter, r *http.Request)

// server is a stand-in for a plain server.
type server struct {
	id, service, zone string
	address           netip.AddrPort
	answer            answer
	born              time.Time
	mu                sync.Mutex
	ran               map[string]int // guarded by mu; runs by request
}

// newServer starts a server and returns it with its cleanup function.
func newServer(id, service, zone string, a answer) (*server, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &server{id: id, service: service, zone: zone, answer: a, address: l.Addr().(*net.TCPAddr).AddrPort(), born: time.Now(), ran: map[string]int{}}
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	return s, func() { h.Close() }, nil
}

// register writes the server's entry to the store.
func (s *server) register(store *stand.Store) {
	store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": s.born.UnixMilli(),
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	w.Header().Set(headerInstance, s.id)
	if want := r.Header.Get(headerExpect); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.ran[r.Header.Get(headerRequest)]++
	s.mu.Unlock()
	w.Header().Set(headerStamp, "stamp-"+s.id)
	s.answer(w, r)
}

// runs returns how often a request ran here.
func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// writeFramed writes an answer with its length.
func writeFramed(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// writeUnframed writes an answer without a length, which ends with its connection. The server ends
// that in order once the caller has the whole answer.
func writeUnframed(w http.ResponseWriter, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := "HTTP/1.1 200 OK\r\n"
	for _, name := range []string{headerRequest, headerInstance, headerStamp} {
		head += name + ": " + w.Header().Get(name) + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"Content-Type: text/plain\r\nConnection: close\r\n\r\n"+body)
}
