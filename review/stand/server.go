package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// server is a stand-in for a server of the platform. It speaks HTTP/1.1 on its own, so that
// a case decides about every byte.
type server struct {
	id, service, zone, address string
	slots                      int
	born                       time.Time
	record                     *record
	// answer runs a request and writes the answer. It returns false if the channel is to be
	// closed. n counts the requests of the channel from 1 on.
	answer func(s *server, w net.Conn, r *http.Request, body []byte, n int) bool

	listener net.Listener
	mu       sync.Mutex
	paused   chan struct{} // closed when new channels are taken again; nil while they are
	channels map[net.Conn]bool
	runs     map[string]int
}

// listen starts taking channels. A backlog of -1 is the system's usual one.
func (s *server) listen(address string, backlog int) error {
	s.born, s.runs, s.channels = time.Now(), map[string]int{}, map[net.Conn]bool{}
	var err error
	if backlog < 0 {
		s.listener, err = net.Listen("tcp", address)
	} else {
		s.listener, err = listenBacklog(address, backlog)
	}
	if err != nil {
		return err
	}
	s.address = s.listener.Addr().String()
	go s.accept()
	return nil
}

// listenBacklog listens with a queue of new channels of a given length.
func listenBacklog(address string, backlog int) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	to := &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}
	if err := syscall.Bind(fd, to); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

func (s *server) accept() {
	for {
		s.mu.Lock()
		paused := s.paused
		s.mu.Unlock()
		if paused != nil {
			<-paused
		}
		c, err := s.listener.Accept()
		if err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				continue
			}
			return
		}
		go s.serve(c)
	}
}

// pause takes no new channels until resume is called; they wait in the queue.
func (s *server) pause() (resume func()) {
	paused := make(chan struct{})
	s.mu.Lock()
	s.paused = paused
	s.mu.Unlock()
	deadline := s.listener.(interface{ SetDeadline(time.Time) error })
	_ = deadline.SetDeadline(time.Now())
	return func() {
		_ = deadline.SetDeadline(time.Time{})
		s.mu.Lock()
		s.paused = nil
		s.mu.Unlock()
		close(paused)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.channels[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.channels, c)
	}()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Yuccadoor-Request-Id")
		if want := r.Header.Get("X-Yuccadoor-Expect-Instance"); want != "" && want != s.id {
			s.record.add("%s  rejects %s: it is not %s", s.id, id, want)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Yuccadoor-Request-Id: %s\r\nX-Yuccadoor-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		if !s.answer(s, c, r, body, n) {
			return
		}
	}
}

// resetChannels resets all open channels, as a machine does that has started again.
func (s *server) resetChannels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.channels {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// run counts a run of a request.
func (s *server) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.record.add("%s  runs %s", s.id, id)
}

func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) stamp(id string) string { return "3e1b.07." + s.id + "." + id }

// entry is the server's entry in the store.
func (s *server) entry(seq int) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": s.born.UnixMilli(),
	}
}

// publish writes the entries of servers to the store now and at each heartbeat.
func publish(st *store, servers ...*server) {
	put := func(seq int) {
		for _, s := range servers {
			st.put("servers/"+s.id, s.entry(seq))
		}
	}
	put(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			put(seq)
		}
	}()
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service   string
	timeoutMs, goalMs       int
	attempts                int
	resumable               bool
	gapGoalMs, routePriorty int
}

const (
	hostName = "ficu95.example"
	tenant   = "hule930"
	apiKey   = "i9n73hh2b9wu3fexd9dn"
)

// putConfig writes the operator's first configuration.
func putConfig(st *store, services []any, routes ...route) {
	putVersion(st, 7, []string{apiKey}, services, routes...)
}

// putVersion writes a version of the operator's configuration.
func putVersion(st *store, version int, keys []string, services []any, routes ...route) {
	var all []any
	for n, r := range routes {
		all = append(all, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "host": hostName, "path_prefix": r.prefix, "route_kind": r.kind, "timeout_ms": r.timeoutMs,
			"goal_ms": r.goalMs, "priority": r.routePriorty, "service": r.service, "max_attempts": r.attempts, "public": false, "sticky": false,
			"resumable": r.resumable, "gap_goal_ms": r.gapGoalMs,
		})
	}
	st.put("op/config", map[string]any{
		"version": version, "routes": all, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 99575, "burst": 99575}},
	})
}

func plainService(name string) any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

// reply is what a client got.
type reply struct {
	status int
	stamp  string
	body   string
	err    error // of reading the answer
}

// send sends a request on a new channel, as a client does.
func send(front, method, path, id, body string, wait time.Duration) reply {
	return sendWith(apiKey, front, method, path, id, body, wait)
}

// sendWith sends a request with an API key of the caller's.
func sendWith(key, front, method, path, id, body string, wait time.Duration) reply {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Yuccadoor-Request-Id: %s\r\nX-Yuccadoor-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, hostName, id, wait.Milliseconds(), key, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, stamp: r.Header.Get("X-Yuccadoor-Server-Stamp"), body: string(text), err: err}
}
