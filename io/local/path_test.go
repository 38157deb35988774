package local

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/io/fakes"
	"yuccadoor/io/front"
)

// testTimeout bounds a test or benchmark that hangs.
const testTimeout = 60 * time.Second

// smallOptions returns the options used by most tests: two zones, hosts, engines
// and plain services.
func smallOptions() Options {
	return Options{
		Zones: []string{"a", "b"}, Hosts: 2, Engines: 2, Plains: 2,
		Engine: fakes.Settings{
			ColdSlots: 2, WarmSlots: 8, WarmAfter: 4, Prefill: time.Microsecond, Decode: time.Millisecond,
			DefaultTokens: 5, CacheBlocks: 512, RestartDelay: 50 * time.Millisecond, CrashMarker: "poison",
		},
		Plain:  fakes.Settings{ColdSlots: 4, WarmSlots: 16, WarmAfter: 4, ProcessingTime: time.Millisecond},
		Policy: "affinity", LogTo: io.Discard, LogLevel: "error",
		Deadline: 10 * time.Second, Silence: 5 * time.Second,
	}
}

// start starts a system, waits until it is ready and stops it when the test ends.
func start(t *testing.T, o Options) (context.Context, *System) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, cleanup, err := New(ctx, o)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	assert.NilError(t, s.WaitReady(ctx))
	return ctx, s
}

// reply is a response as the client sees it.
type reply struct {
	Status  int
	Header  http.Header
	Body    string
	Problem front.Problem
	Err     error
}

// send sends one request to a host. The header holds alternating names and values.
func (s *System) send(ctx context.Context, host int, method, path, body string, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.ListedHosts[host].Front.String()+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r := reply{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
	_ = json.Unmarshal(text, &r.Problem)
	return r
}

func TestOpenAIClientGetsCompletionsAndStreams(t *testing.T) {
	ctx, s := start(t, smallOptions())
	client := openai.NewClient(
		option.WithBaseURL("http://"+s.ListedHosts[0].Front.String()+"/v1"),
		option.WithAPIKey(WorkspaceKey), option.WithMaxRetries(0),
	)
	params := openai.ChatCompletionNewParams{
		Model:    EngineModel,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("review this tape")},
	}
	completion, err := client.Chat.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, "w0 w1 w2 w3 w4 ")

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text.String(), "w0 w1 w2 w3 w4 ")

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, EngineModel)
}

func TestPlainServiceAnswersAnyMethod(t *testing.T) {
	ctx, s := start(t, smallOptions())
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
		r := s.send(ctx, 1, method, "/services/orders/stock/7?shade=blue", "tape")
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
		assert.Equal(t, r.Header.Get(front.HeaderOutcome), "Complete")
		assert.Assert(t, r.Header.Get(front.HeaderRequest) != "")
		assert.Assert(t, strings.Contains(r.Body, `"Path":"/stock/7"`), r.Body)
	}
}

func TestInvalidRequestsAreRejectedWithDetail(t *testing.T) {
	ctx, s := start(t, smallOptions())
	cases := []struct {
		name   string
		path   string
		body   string
		header []string
		status int
		detail string
	}{
		{"unknown key", "/v1/chat/completions", "{}", []string{"Authorization", "Bearer wrong"}, 401, "no workspace"},
		{"not JSON", "/v1/chat/completions", "{", nil, 400, "not JSON"},
		{"unknown model", "/v1/chat/completions", `{"model":"x"}`, nil, 404, "not served"},
		{"unknown service", "/services/none/x", "", nil, 404, "not known"},
		{"unknown tier", "/services/orders/x", "", []string{front.HeaderTier, "Best"}, 400, "tier"},
		{"bad deadline", "/services/orders/x", "", []string{front.HeaderDeadline, "soon"}, 400, "Deadline"},
		{"bad idempotency key", "/services/orders/x", "", []string{front.HeaderIdempotencyKey, "mine"}, 400, "version 7"},
		{"unknown path", "/other", "", nil, 404, "no such path"},
		{"large body", "/services/orders/x", strings.Repeat("x", front.MaxBodyBytes+1), nil, 413, "too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := s.send(ctx, 0, http.MethodPost, c.path, c.body, c.header...)
			assert.NilError(t, r.Err)
			assert.Equal(t, r.Status, c.status, r.Body)
			assert.Equal(t, r.Problem.Ran, model.NotRun)
			assert.Assert(t, strings.Contains(r.Problem.Detail, c.detail), r.Body)
		})
	}
}

func TestRequestIsRefusedWhenItsDeadlinePasses(t *testing.T) {
	o := smallOptions()
	o.Plains, o.Plain.ColdSlots, o.Plain.WarmSlots, o.Plain.ProcessingTime = 1, 1, 1, 3*time.Second
	ctx, s := start(t, o)
	go s.send(ctx, 0, http.MethodGet, "/services/orders/long", "")
	for s.Plains[0].Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	r := s.send(ctx, 0, http.MethodGet, "/services/orders/short", "", front.HeaderDeadline, "100ms")
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Status, http.StatusServiceUnavailable, r.Body)
	assert.Equal(t, r.Problem.Ran, model.NotRun)
	assert.Equal(t, r.Problem.Reason, model.ReasonExpired)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
	assert.Equal(t, s.Plains[0].Running(), 1, "the request was refused only after the target was free")
	assert.Equal(t, len(s.Plains[0].Stats().Runs), 1)
}

func decodeJSON(text string, into any) error { return json.Unmarshal([]byte(text), into) }
