package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a sound stand-in for the platform's metadata store, read only for the system.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

const storePage = 500

// newStore returns an empty store.
func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{})}
}

// storeDoor is the address at which one host reaches the store. While it is cut, the host's
// calls are neither done nor answered, as on a path that drops what is sent.
type storeDoor struct {
	address string
	mu      sync.Mutex
	cut     chan struct{} // closed when the cut ends; nil while there is none
	watched time.Time     // of the last call of kv-watch
}

// open serves the store at a door.
func (s *store) open(d *storeDoor) error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /yuccadoor/kv-key", s.get)
	mux.HandleFunc("GET /yuccadoor/kv-range", s.list)
	mux.HandleFunc("GET /yuccadoor/kv-watch", s.watch)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		cut := d.cut
		if r.URL.Path == "/yuccadoor/kv-watch" {
			d.watched = time.Now()
		}
		d.mu.Unlock()
		if cut != nil {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(&doorWriter{ResponseWriter: w, door: d, gone: r.Context().Done()}, r)
	})
	go func() { _ = http.Serve(l, handler) }()
	return nil
}

// doorWriter sends nothing while its door is cut: the answer is lost on the way.
type doorWriter struct {
	http.ResponseWriter
	door *storeDoor
	gone <-chan struct{}
}

func (w *doorWriter) WriteHeader(status int) {
	w.door.mu.Lock()
	cut := w.door.cut
	w.door.mu.Unlock()
	if cut != nil {
		<-w.gone
	}
	w.ResponseWriter.WriteHeader(status)
}

// set begins or ends a cut of the door.
func (d *storeDoor) set(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case cut && d.cut == nil:
		d.cut = make(chan struct{})
	case !cut && d.cut != nil:
		close(d.cut)
		d.cut = nil
	}
}

// isWatched reports whether the host behind the door has watched the store lately.
func (d *storeDoor) isWatched() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.watched) < 2*time.Second
}

// put writes a value as JSON under a key.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: text, Revision: s.revision, Created: created}
	s.items[key] = i
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "current_rev": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > storePage
	if more {
		items = items[:storePage]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
