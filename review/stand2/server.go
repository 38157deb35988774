package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// headerRequestID is the header with the id of a request.
const headerRequestID = "X-Yuccadoor-Request-Id"

// serverSpec describes one process of a server.
type serverSpec struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Service string        `json:"service"`
	Zone    string        `json:"zone"`
	Version string        `json:"version"`
	Slots   int           `json:"slots"`
	Queue   int           `json:"queue"`
	Piece   time.Duration `json:"piece"`   // between two pieces of an answer
	Framed  bool          `json:"framed"`  // answers have a length or chunks; else they end with their channel
	Started int64         `json:"started"` // Unix milliseconds
	Raw     bool          `json:"raw"`     // see serveRaw
	Stray   float64       `json:"stray"`   // share of the answers that stray bytes precede
}

// serverRecord is a line that a server writes when it begins to run a request, and when it has
// sent the whole answer.
type serverRecord struct {
	At      time.Time `json:"at"`
	Server  string    `json:"server"`
	Version string    `json:"version"`
	Event   string    `json:"event"` // run or sent
	ID      string    `json:"id"`
	After   int       `json:"after,omitempty"` // event after which the stream goes on
}

// server is the process of a server.
type server struct {
	spec    serverSpec
	slots   chan struct{}
	waiting atomic.Int64
	running sync.WaitGroup // requests, also on channels that the http package has handed over
	records *json.Encoder

	mu   sync.Mutex // also guards records
	held map[string]int
}

// runServer serves until the process is killed or, after a SIGTERM, has completed what it runs. The records go to the standard output.
func runServer(text string) error {
	s := &server{records: json.NewEncoder(os.Stdout), held: map[string]int{}}
	if err := json.Unmarshal([]byte(text), &s.spec); err != nil {
		return err
	}
	s.slots = make(chan struct{}, s.spec.Slots)
	l, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		return err
	}
	if s.spec.Raw {
		return s.serveRaw(l)
	}
	h := &http.Server{Handler: s}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	left := make(chan struct{})
	go func() {
		defer close(left)
		<-leave
		// Takes no new channels any more, and completes what it runs.
		_ = h.Shutdown(context.Background())
		s.running.Wait()
	}()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-left
	return nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	switch r.URL.Path {
	case "/healthz":
		h.Set("X-Yuccadoor-Instance-Id", s.spec.ID)
		return
	case "/yuccadoor/kv-list":
		writeBody(w, map[string]any{"epoch": 1, "next": 1, "held": s.heldParts(), "born": s.spec.Started})
		return
	}
	id := r.Header.Get(headerRequestID)
	h.Set(headerRequestID, id)
	if want := r.Header.Get("X-Yuccadoor-Expect-Instance"); want != "" && want != s.spec.ID {
		h.Set("X-Yuccadoor-Instance-Id", s.spec.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Yuccadoor-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.enter(r) {
		h.Set("X-Yuccadoor-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer s.running.Done()
	defer func() { <-s.slots }()
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.keepParts(r.Header.Get("X-Yuccadoor-Prefix-Hash"))
	s.record("run", id, after)
	pieces := answerPieces(r.URL.Path, id, s.spec.Version)[after:]
	if s.spec.Framed {
		s.sendFramed(w, r, pieces)
	} else {
		s.sendUnframed(w, r, pieces)
	}
}

// enter waits for a slot. It returns false if too many wait, or the caller has left.
func (s *server) enter(r *http.Request) bool {
	if s.waiting.Add(1) > int64(s.spec.Slots+s.spec.Queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) record(event, id string, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.records.Encode(serverRecord{time.Now(), s.spec.ID, s.spec.Version, event, id, after})
}

// keepParts keeps the parts of a prompt, as ID:TOKENS.
func (s *server) keepParts(prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for entry := range strings.SplitSeq(prompt, ",") {
		if id, tokens, ok := strings.Cut(entry, ":"); ok {
			s.held[id], _ = strconv.Atoi(tokens)
		}
	}
}

func (s *server) heldParts() [][]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := [][]any{}
	for id, tokens := range s.held {
		parts = append(parts, []any{"", id, tokens, "m"})
	}
	return parts
}

func (s *server) answerHeader(h http.Header, r *http.Request) {
	h.Set("Content-Type", "text/plain")
	if isStream(r.URL.Path) {
		h.Set("Content-Type", "text/event-stream")
		h.Set("X-Yuccadoor-Weight-Versions", "1")
	}
	h.Set("X-Yuccadoor-Server-Stamp", "stamp-"+s.spec.ID)
	h.Set("X-Yuccadoor-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), s.spec.Slots))
}

// sendFramed sends an answer in chunks.
func (s *server) sendFramed(w http.ResponseWriter, r *http.Request, pieces []string) {
	s.answerHeader(w.Header(), r)
	control := http.NewResponseController(w)
	for _, piece := range pieces {
		select {
		case <-time.After(s.spec.Piece):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, piece); err != nil || control.Flush() != nil {
			return
		}
	}
	s.record("sent", r.Header.Get(headerRequestID), 0)
}

// sendUnframed sends an answer with neither a length nor chunks, which ends with its channel.
func (s *server) sendUnframed(w http.ResponseWriter, r *http.Request, pieces []string) {
	h := w.Header()
	s.answerHeader(h, r)
	h.Set("Connection", "close")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	left := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(left)
	}()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&head)
	head.WriteString("\r\n")
	_, _ = conn.Write(head.Bytes())
	for _, piece := range pieces {
		select {
		case <-time.After(s.spec.Piece):
		case <-left:
			return
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
	s.record("sent", r.Header.Get(headerRequestID), 0)
}

func writeBody(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func isStream(path string) bool { return strings.HasPrefix(path, "/stream") }

// answerPieces returns the whole answer to a request. The number of its pieces is the last
// element of the path. Each event of a stream names the version that wrote it.
func answerPieces(path, id, version string) []string {
	n, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	var pieces []string
	for i := 1; i <= n; i++ {
		if isStream(path) {
			pieces = append(pieces, fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, version, i, n))
		} else {
			pieces = append(pieces, fmt.Sprintf("answer to %s, line %d of %d\n", id, i, n))
		}
	}
	return pieces
}
