package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"yuccadoor/io/reach"
)

// Engine is a stand-in for a model engine. It admits requests as they come,
// caches prompt prefixes in limited memory, and can resume a stream.
type Engine struct {
	*target
	streamsMu sync.Mutex
	streams   map[string]*stream // guarded by streamsMu
	cacheMu   sync.Mutex
	cache     map[uint64]int // guarded by cacheMu; last use of a prefix block
	uses      int            // guarded by cacheMu
}

// Bounds of the engine stand-in.
const (
	engineBlock = 256             // bytes of a prompt in a prefix block
	tokenBytes  = 4               // bytes of a prompt token
	resumeGrace = 2 * time.Second // an abandoned stream is cancelled then
)

// stream is an answer under way; a caller may leave and come back.
type stream struct {
	mu      sync.Mutex
	data    []byte        // guarded by mu
	ended   bool          // guarded by mu
	readers int           // guarded by mu
	leftAt  time.Time     // guarded by mu; when the last reader left
	grown   chan struct{} // guarded by mu; closed when data grows or ends
}

// NewEngine starts a model engine and returns it with its clean-up function.
func NewEngine(at netip.AddrPort, s Settings) (*Engine, func(), error) {
	e := &Engine{target: newTarget(at, s), streams: map[string]*stream{}, cache: map[uint64]int{}}
	r := mux.NewRouter()
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serve).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serve).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{name}", e.resume).Methods(http.MethodGet)
	e.handler = r
	return e, e.Close, e.Start()
}

// completionRequest is what the stand-in reads of a request.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := e.accept(w, r)
	if !ok {
		<-r.Context().Done()
		return
	}
	var asked completionRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := asked.MaxTokens
	if tokens == 0 {
		tokens = e.settings.DefaultTokens
	}
	run, incarnation := e.begin(r, body)
	cached := e.look(body)
	prompt := len(body) / tokenBytes
	e.mu.Lock()
	e.account.Runs[run].PromptTokens, e.account.Runs[run].CachedTokens = prompt, cached
	e.mu.Unlock()
	prefill := time.Duration(float64(e.settings.Prefill) * float64(prompt-cached) * e.pace())
	if asked.Stream {
		e.stream(w, r, run, incarnation, tokens, asked.Model, prefill)
		return
	}
	whole := sleep(r, prefill)
	for range tokens {
		whole = whole && sleep(r, time.Duration(float64(e.settings.Decode)*e.pace()))
	}
	e.end(run, incarnation, whole) // before the caller can know
	if !whole {
		return
	}
	reply(w, wholeAnswer(r, asked.Model, prompt, tokens))
}

func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// look counts the prompt tokens found in the cache and puts the prompt in.
func (e *Engine) look(body []byte) int {
	e.cacheMu.Lock()
	defer e.cacheMu.Unlock()
	digest := xxhash.New()
	found, missing := 0, false
	for len(body) >= engineBlock {
		_, _ = digest.Write(body[:engineBlock])
		block := digest.Sum64()
		_, hit := e.cache[block]
		missing = missing || !hit
		if !missing {
			found += engineBlock / tokenBytes
		}
		e.uses++
		e.cache[block] = e.uses
		body = body[engineBlock:]
	}
	e.evict()
	return found
}

// evict drops the blocks used longest ago. e.cacheMu is held.
func (e *Engine) evict() {
	for len(e.cache) > e.settings.CacheSize {
		oldest, at := uint64(0), e.uses+1
		for b, used := range e.cache {
			if used < at {
				oldest, at = b, used
			}
		}
		delete(e.cache, oldest)
	}
}

// stream lets a goroutine of its own generate the answer, so that a caller who
// lost the connection can come back for the rest.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run int, incarnation uint64, tokens int, modelName string, prefill time.Duration) {
	name := strconv.FormatUint(incarnation, 36) + "-" + strconv.Itoa(run)
	s := &stream{grown: make(chan struct{})}
	e.streamsMu.Lock()
	e.streams[name] = s
	e.streamsMu.Unlock()
	go func() {
		whole := e.generate(s, modelName, tokens, prefill)
		e.end(run, incarnation, whole) // before the caller can know
		if whole {
			s.grow([]byte("data: [DONE]\n\n"), true)
		}
		time.Sleep(resumeGrace)
		e.streamsMu.Lock()
		delete(e.streams, name)
		e.streamsMu.Unlock()
	}()
	w.Header().Set(reach.HeaderStream, name)
	s.copyTo(w, r, 0)
}

func (e *Engine) generate(s *stream, modelName string, tokens int, prefill time.Duration) bool {
	time.Sleep(prefill)
	for i := range tokens {
		time.Sleep(time.Duration(float64(e.settings.Decode) * e.pace()))
		if s.abandoned() {
			return false
		}
		chunk := fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`, modelName, i)
		s.grow([]byte("data: "+chunk+"\n\n"), false)
	}
	return true
}

func (s *stream) grow(p []byte, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = append(s.data, p...)
	s.ended = end
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && !s.leftAt.IsZero() && time.Since(s.leftAt) > resumeGrace
}

// copyTo sends the stream from an offset on until it ends.
func (s *stream) copyTo(w http.ResponseWriter, r *http.Request, offset int) {
	s.mu.Lock()
	s.readers++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.readers--
		s.leftAt = time.Now()
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for {
		s.mu.Lock()
		data, ended, grown := s.data[min(offset, len(s.data)):], s.ended, s.grown
		s.mu.Unlock()
		if len(data) > 0 {
			if _, err := w.Write(data); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			offset += len(data)
			continue
		}
		if ended {
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.streamsMu.Lock()
	s := e.streams[mux.Vars(r)["name"]]
	e.streamsMu.Unlock()
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if s == nil || err != nil || offset < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.copyTo(w, r, offset)
}

// completion is a whole answer in the published form.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	Text         string            `json:"text"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func wholeAnswer(r *http.Request, modelName string, prompt, tokens int) completion {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "w%d ", i)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return completion{
		ID: "c-" + r.Header.Get(reach.HeaderRequest), Object: "chat.completion", Created: 1, Model: modelName,
		Choices: []completionChoice{{
			Message: completionMessage{Role: "assistant", Content: text.String()}, Text: text.String(), FinishReason: "stop",
		}},
		Usage: completionUsage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens},
	}
}
