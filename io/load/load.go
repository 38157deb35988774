package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"yuccadoor/core/model"
	"yuccadoor/io/front"
)

// Limits of the load generator. Histograms record microseconds with three
// significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxProblemBytes = 64 << 10
	maxIdleConns    = 4096 // of each host and of all hosts together
)

// Destination holds the hosts that a load is sent to and the API key it is sent with.
type Destination struct {
	FrontAddresses []netip.AddrPort // client-facing addresses of the hosts, used round-robin
	APIKey         string           // of the workspace that sends the load
}

// Objective holds the latency limits within which a complete response counts as good.
type Objective struct {
	FirstByte time.Duration // limit for the time to the first byte; 0 for none
	Total     time.Duration // limit for the time to the end of the response; 0 for none
}

// Tier holds the request counts and latencies of one tier.
type Tier struct {
	Sent             int
	Complete         int
	Good             int // complete and within the objective
	NotRun           int
	May              int // refused with MayHaveRun
	Broken           int // no usable response: connection error, truncated stream or an unreadable refusal
	Reasons          map[model.Reason]int
	FirstByteLatency *hdr.Histogram `json:"-"` // microseconds
	TotalLatency     *hdr.Histogram `json:"-"` // microseconds
}

// Result is the outcome of a load test, by tier.
type Result struct {
	Tiers   map[string]*Tier
	Elapsed time.Duration
}

// Runner sends the requests of a plan and collects their outcomes.
type Runner struct {
	plan        Plan
	destination Destination
	objective   Objective
	client      *http.Client
	mu          sync.Mutex
	result      Result // guarded by mu
	next        int    // guarded by mu; round-robin counter of the hosts
}

// NewRunner returns a runner and its cleanup function.
func NewRunner(p Plan, d Destination, o Objective) (*Runner, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns}
	r := &Runner{
		plan: p, destination: d, objective: o,
		client: &http.Client{Transport: transport},
		result: Result{Tiers: map[string]*Tier{}},
	}
	for _, m := range p.Mix {
		r.result.Tiers[m.Name] = newTier()
	}
	return r, transport.CloseIdleConnections
}

func newTier() *Tier {
	return &Tier{
		Reasons:          map[model.Reason]int{},
		FirstByteLatency: hdr.New(1, histogramMax, histogramDigits),
		TotalLatency:     hdr.New(1, histogramMax, histogramDigits),
	}
}

// Run sends each request at its planned time and waits for all responses. It calls
// progress, which may be nil, after each response.
func (r *Runner) Run(ctx context.Context, progress func(done, total int)) (*Result, error) {
	arrivals := r.plan.Arrivals()
	if len(r.destination.FrontAddresses) == 0 {
		return nil, errors.New("no host addresses to send the load to")
	}
	began := time.Now()
	done := 0
	var requests sync.WaitGroup
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			requests.Wait()
			return nil, ctx.Err()
		case <-time.After(time.Until(began.Add(a.At))):
		}
		requests.Go(func() {
			r.record(a.Tier, r.send(ctx, a))
			if progress != nil {
				r.mu.Lock()
				done++
				progress(done, len(arrivals))
				r.mu.Unlock()
			}
		})
	}
	requests.Wait()
	r.result.Elapsed = time.Since(began)
	return &r.result, nil
}

// sample is the outcome of one request.
type sample struct {
	complete  bool
	firstByte time.Duration   // latency of the first byte
	total     time.Duration   // latency of the whole response
	execution model.Execution // as stated by a refusal
	reason    model.Reason
}

// completionRequest is the body of an OpenAI-compatible chat completion request.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// nextHost returns the hosts' addresses round-robin.
func (r *Runner) nextHost() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.destination.FrontAddresses[r.next%len(r.destination.FrontAddresses)]
}

// send sends one request. Any failure but a readable refusal yields the zero sample,
// which is counted as broken.
func (r *Runner) send(ctx context.Context, a Arrival) sample {
	body, err := json.Marshal(completionRequest{
		Model: r.plan.Model, Stream: r.plan.Stream, MaxTokens: a.Tokens,
		Messages: []message{{Role: "user", Content: r.plan.prompt(a)}},
	})
	if err != nil {
		return sample{}
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", r.nextHost())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return sample{}
	}
	request.Header.Set("Authorization", "Bearer "+r.destination.APIKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(front.HeaderTier, a.Tier)
	began := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return sample{}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response.Body)
	}
	return r.readResponse(response, began)
}

// readRefusal decodes the problem document of a refused request.
func readRefusal(body io.Reader) sample {
	var p front.Problem
	if err := json.NewDecoder(io.LimitReader(body, maxProblemBytes)).Decode(&p); err != nil {
		return sample{}
	}
	return sample{execution: p.Ran, reason: p.Reason}
}

// readResponse reads a response to its end. A stream is complete only if it ends
// with the terminator.
func (r *Runner) readResponse(response *http.Response, began time.Time) sample {
	var s sample
	var tail []byte
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && s.firstByte == 0 {
			s.firstByte = time.Since(began)
		}
		tail = append(tail, buffer[:n]...)
		tail = tail[max(0, len(tail)-len(streamTerminator)-4):] // room for line ends
		if err == io.EOF {
			break
		}
		if err != nil {
			return sample{}
		}
	}
	s.total = time.Since(began)
	s.complete = !r.plan.Stream || bytes.Contains(tail, []byte(streamTerminator))
	return s
}

// streamTerminator is the last event of a complete stream.
const streamTerminator = "data: [DONE]"

// record adds a sample to the result of its tier.
func (r *Runner) record(tier string, s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.result.Tiers[tier]
	if t == nil {
		t = newTier()
		r.result.Tiers[tier] = t
	}
	t.Sent++
	switch {
	case s.complete:
		t.Complete++
		_ = t.FirstByteLatency.RecordValue(s.firstByte.Microseconds())
		_ = t.TotalLatency.RecordValue(s.total.Microseconds())
		if within(s.firstByte, r.objective.FirstByte) && within(s.total, r.objective.Total) {
			t.Good++
		}
	case s.execution == model.NotRun:
		t.NotRun++
		t.Reasons[s.reason]++
	case s.execution == model.MayHaveRun:
		t.May++
		t.Reasons[s.reason]++
	default:
		t.Broken++
	}
}

// within reports whether d meets the limit; a limit of 0 is none.
func within(d, limit time.Duration) bool { return limit == 0 || d <= limit }
