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

// testTimeout ends a scenario that hangs.
const testTimeout = 60 * time.Second

// small is a system that suits most scenarios.
func small() Options {
	return Options{
		Zones: []string{"a", "b"}, Hosts: 2, Engines: 2, Plains: 2,
		Engine: fakes.Settings{
			Cold: 2, Warm: 8, WarmAfter: 4, Prefill: time.Microsecond, Decode: time.Millisecond,
			Tokens: 5, CacheSize: 512, RestartLag: 50 * time.Millisecond, CrashMark: "poison",
		},
		Plain:  fakes.Settings{Cold: 4, Warm: 16, WarmAfter: 4, Work: time.Millisecond},
		Policy: "affinity", LogTo: io.Discard, LogLevel: "error",
		Deadline: 10 * time.Second, Silence: 5 * time.Second,
	}
}

// start brings a system up for a test.
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

// reply is an answer as a caller sees it.
type reply struct {
	Status  int
	Header  http.Header
	Body    string
	Problem front.Problem
	Err     error
}

// ask sends one request to a host.
func (s *System) ask(ctx context.Context, host int, method, path, body string, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.Listed[host].Front.String()+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+Key)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{Err: err}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	r := reply{Status: answer.StatusCode, Header: answer.Header, Body: string(text), Err: err}
	_ = json.Unmarshal(text, &r.Problem)
	return r
}

func TestOrdinaryClientGetsWholeAnswersAndStreams(t *testing.T) {
	ctx, s := start(t, small())
	client := openai.NewClient(
		option.WithBaseURL("http://"+s.Listed[0].Front.String()+"/v1"),
		option.WithAPIKey(Key), option.WithMaxRetries(0),
	)
	params := openai.ChatCompletionNewParams{
		Model:    EngineModel,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("review this tape")},
	}
	whole, err := client.Chat.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, "w0 w1 w2 w3 w4 ")

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
	ctx, s := start(t, small())
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
		r := s.ask(ctx, 1, method, "/services/orders/stock/7?shade=blue", "tape")
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Status, http.StatusOK, r.Body)
		assert.Equal(t, r.Header.Get(front.HeaderOutcome), "Complete")
		assert.Assert(t, r.Header.Get(front.HeaderRequest) != "")
		assert.Assert(t, strings.Contains(r.Body, `"Path":"/stock/7"`), r.Body)
	}
}

func TestBadInputIsToldWhatIsWrong(t *testing.T) {
	ctx, s := start(t, small())
	cases := []struct {
		name   string
		path   string
		body   string
		header []string
		status int
		says   string
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
			r := s.ask(ctx, 0, http.MethodPost, c.path, c.body, c.header...)
			assert.NilError(t, r.Err)
			assert.Equal(t, r.Status, c.status, r.Body)
			assert.Equal(t, r.Problem.Ran, model.NotRun)
			assert.Assert(t, strings.Contains(r.Problem.Detail, c.says), r.Body)
		})
	}
}

func TestRequestWhoseDeadlinePassesIsRefusedAtOnce(t *testing.T) {
	o := small()
	o.Plains, o.Plain.Cold, o.Plain.Warm, o.Plain.Work = 1, 1, 1, 3*time.Second
	ctx, s := start(t, o)
	go s.ask(ctx, 0, http.MethodGet, "/services/orders/long", "")
	for s.Plains[0].Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	r := s.ask(ctx, 0, http.MethodGet, "/services/orders/short", "", front.HeaderDeadline, "100ms")
	assert.NilError(t, r.Err)
	assert.Equal(t, r.Status, http.StatusServiceUnavailable, r.Body)
	assert.Equal(t, r.Problem.Ran, model.NotRun)
	assert.Equal(t, r.Problem.Reason, model.ReasonExpired)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
	assert.Equal(t, s.Plains[0].Running(), 1, "the refusal came only when the target was free")
	assert.Equal(t, len(s.Plains[0].Account().Runs), 1)
}

func decodeJSON(text string, into any) error { return json.Unmarshal([]byte(text), into) }
