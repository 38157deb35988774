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

// Engine is a fake model engine. It starts every request on arrival, caches prompt
// prefixes up to a size limit, and can resume a stream.
type Engine struct {
	*target
	streamsMu sync.Mutex
	streams   map[string]*stream // guarded by streamsMu; by stream name
	cacheMu   sync.Mutex
	cache     map[uint64]int // guarded by cacheMu; useCount at the last use, by hash of the prompt up to a block's end
	useCount  int            // guarded by cacheMu; lookups of blocks so far
}

// Constants of the fake engine.
const (
	blockBytes  = 256             // bytes of prompt per cached block
	tokenBytes  = 4               // bytes of prompt per token
	resumeGrace = 2 * time.Second // a stream without a reader is cancelled, and an ended one deleted, after this time
)

// stream is a streamed response. A client may disconnect and resume it.
type stream struct {
	mu      sync.Mutex
	data    []byte        // guarded by mu
	ended   bool          // guarded by mu
	readers int           // guarded by mu
	leftAt  time.Time     // guarded by mu; when a reader last disconnected
	updated chan struct{} // guarded by mu; closed and replaced when data is appended or the stream ends
}

// NewEngine starts a fake model engine and returns it with its cleanup function.
func NewEngine(address netip.AddrPort, s Settings) (*Engine, func(), error) {
	e := &Engine{target: newTarget(address, s), streams: map[string]*stream{}, cache: map[uint64]int{}}
	r := mux.NewRouter()
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serve).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serve).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{name}", e.resume).Methods(http.MethodGet)
	e.handler = r
	return e, e.Close, e.Start()
}

// completionRequest holds the fields of a request that the fake engine uses.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// serve answers a completion request with one response or a stream.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := e.readBody(w, r)
	if !ok {
		<-r.Context().Done()
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = e.settings.DefaultTokens
	}
	run, incarnation := e.begin(r, body)
	cachedTokens := e.lookupPrefix(body)
	promptTokens := len(body) / tokenBytes
	e.mu.Lock()
	e.stats.Runs[run].PromptTokens, e.stats.Runs[run].CachedTokens = promptTokens, cachedTokens
	e.mu.Unlock()
	prefill := time.Duration(float64(e.settings.Prefill) * float64(promptTokens-cachedTokens) * e.slowdownFactor())
	if request.Stream {
		e.serveStream(w, r, run, incarnation, tokens, request.Model, prefill)
		return
	}
	completed := sleep(r, prefill)
	for range tokens {
		completed = completed && sleep(r, time.Duration(float64(e.settings.Decode)*e.slowdownFactor()))
	}
	e.end(run, incarnation, completed) // recorded before the client sees the response
	if !completed {
		return
	}
	writeJSON(w, newCompletion(r, request.Model, promptTokens, tokens))
}

// sleep waits for d and reports whether the request was still active then.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// lookupPrefix returns the number of prompt tokens found in the cache and adds the
// blocks of the prompt to it.
func (e *Engine) lookupPrefix(body []byte) int {
	e.cacheMu.Lock()
	defer e.cacheMu.Unlock()
	digest := xxhash.New()
	cachedTokens, missed := 0, false
	for len(body) >= blockBytes {
		_, _ = digest.Write(body[:blockBytes])
		block := digest.Sum64()
		_, hit := e.cache[block]
		missed = missed || !hit
		if !missed {
			cachedTokens += blockBytes / tokenBytes
		}
		e.useCount++
		e.cache[block] = e.useCount
		body = body[blockBytes:]
	}
	e.evict()
	return cachedTokens
}

// evict removes the least recently used blocks beyond the cache size. The caller
// must hold e.cacheMu.
func (e *Engine) evict() {
	for len(e.cache) > e.settings.CacheBlocks {
		oldest, oldestUse := uint64(0), e.useCount+1
		for block, lastUse := range e.cache {
			if lastUse < oldestUse {
				oldest, oldestUse = block, lastUse
			}
		}
		delete(e.cache, oldest)
	}
}

// serveStream generates the response in a separate goroutine, so that a client that
// lost its connection can resume the stream.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, run int, incarnation uint64, tokens int, modelName string, prefill time.Duration) {
	name := strconv.FormatUint(incarnation, 36) + "-" + strconv.Itoa(run)
	s := &stream{updated: make(chan struct{})}
	e.streamsMu.Lock()
	e.streams[name] = s
	e.streamsMu.Unlock()
	go func() {
		completed := e.generate(s, modelName, tokens, prefill)
		e.end(run, incarnation, completed) // recorded before the client sees the end
		if completed {
			s.append([]byte("data: [DONE]\n\n"), true)
		}
		time.Sleep(resumeGrace)
		e.streamsMu.Lock()
		delete(e.streams, name)
		e.streamsMu.Unlock()
	}()
	w.Header().Set(reach.HeaderStream, name)
	s.copyTo(w, r, 0)
}

// generate appends the events of a response to the stream. It reports false if the
// stream was abandoned.
func (e *Engine) generate(s *stream, modelName string, tokens int, prefill time.Duration) bool {
	time.Sleep(prefill)
	for i := range tokens {
		time.Sleep(time.Duration(float64(e.settings.Decode) * e.slowdownFactor()))
		if s.abandoned() {
			return false
		}
		chunk := fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`, modelName, i)
		s.append([]byte("data: "+chunk+"\n\n"), false)
	}
	return true
}

// append adds data to the stream and wakes its readers; end marks its end.
func (s *stream) append(p []byte, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = append(s.data, p...)
	s.ended = end
	close(s.updated)
	s.updated = make(chan struct{})
}

// abandoned reports whether the stream has had no reader for resumeGrace.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && !s.leftAt.IsZero() && time.Since(s.leftAt) > resumeGrace
}

// copyTo writes the stream, starting at a byte offset, until the stream ends or the
// client disconnects.
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
		data, ended, updated := s.data[min(offset, len(s.data)):], s.ended, s.updated
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
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// resume serves an existing stream from the byte offset in the query.
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

// completion is an OpenAI-compatible response of the chat and text completion
// endpoints.
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

// newCompletion returns a response with the given number of generated tokens.
func newCompletion(r *http.Request, modelName string, promptTokens, tokens int) completion {
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
		Usage: completionUsage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens},
	}
}
