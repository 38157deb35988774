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

// Bounds of the histograms: microseconds up to ten minutes, three digits.
const (
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxProblemBytes = 64 << 10
	connsPerHost    = 4096
)

// Destination is where a load is sent and as whom.
type Destination struct {
	Fronts []netip.AddrPort // taken in turn, as a balancer would
	Key    string           // the workspace's
}

// Objective is what an answer must meet to count as good.
type Objective struct {
	FirstByte time.Duration // to the first byte; 0 for any
	Total     time.Duration // to the end; 0 for any
}

// Tier is the outcome for one tier.
type Tier struct {
	Sent             int
	Complete         int
	Good             int // complete within the objective
	NotRun           int
	May              int // MayHaveRun
	Broken           int // the connection to the host broke, or a truncated answer
	Reasons          map[model.Reason]int
	FirstByteLatency *hdr.Histogram `json:"-"` // microseconds
	TotalLatency     *hdr.Histogram `json:"-"` // microseconds
}

// Result is the outcome of a load, by tier.
type Result struct {
	Tiers   map[string]*Tier
	Elapsed time.Duration
}

// Runner sends a plan.
type Runner struct {
	plan      Plan
	target    Destination
	objective Objective
	client    *http.Client
	mu        sync.Mutex
	result    Result // guarded by mu
	next      int    // guarded by mu
}

// NewRunner returns a runner and its clean-up function.
func NewRunner(p Plan, t Destination, o Objective) (*Runner, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: connsPerHost, MaxIdleConns: connsPerHost}
	r := &Runner{
		plan: p, target: t, objective: o,
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
		FirstByteLatency: hdr.New(1, histogramMost, histogramDigits),
		TotalLatency:     hdr.New(1, histogramMost, histogramDigits),
	}
}

// Run sends every arrival at its time and waits for the answers. progress is
// called after each answer, and may be nil.
func (r *Runner) Run(ctx context.Context, progress func(done, all int)) (*Result, error) {
	arrivals := r.plan.Arrivals()
	if len(r.target.Fronts) == 0 {
		return nil, errors.New("no host to send to")
	}
	began := time.Now()
	done := 0
	var sending sync.WaitGroup
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			sending.Wait()
			return nil, ctx.Err()
		case <-time.After(time.Until(began.Add(a.At))):
		}
		sending.Go(func() {
			s := r.send(ctx, a)
			r.count(a.Tier, s)
			if progress != nil {
				r.mu.Lock()
				done++
				progress(done, len(arrivals))
				r.mu.Unlock()
			}
		})
	}
	sending.Wait()
	r.result.Elapsed = time.Since(began)
	return &r.result, nil
}

// sample is how one request ended.
type sample struct {
	complete bool
	first    time.Duration
	whole    time.Duration
	ran      model.Execution
	reason   model.Reason
}

// body is a request in the published form.
type body struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *Runner) host() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.target.Fronts[r.next%len(r.target.Fronts)]
}

func (r *Runner) send(ctx context.Context, a Arrival) sample {
	text, err := json.Marshal(body{
		Model: r.plan.Model, Stream: r.plan.Stream, MaxTokens: a.Tokens,
		Messages: []message{{Role: "user", Content: r.plan.prompt(a)}},
	})
	if err != nil {
		return sample{}
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", r.host())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return sample{}
	}
	request.Header.Set("Authorization", "Bearer "+r.target.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(front.HeaderTier, a.Tier)
	began := time.Now()
	reply, err := r.client.Do(request)
	if err != nil {
		return sample{}
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return refused(reply.Body)
	}
	return r.read(reply, began)
}

func refused(from io.Reader) sample {
	var p front.Problem
	if err := json.NewDecoder(io.LimitReader(from, maxProblemBytes)).Decode(&p); err != nil {
		return sample{}
	}
	return sample{ran: p.Ran, reason: p.Reason}
}

func (r *Runner) read(reply *http.Response, began time.Time) sample {
	var s sample
	var tail []byte
	buffer := make([]byte, 4096)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 && s.first == 0 {
			s.first = time.Since(began)
		}
		tail = append(tail, buffer[:n]...)
		tail = tail[max(0, len(tail)-len(terminator)-4):]
		if err == io.EOF {
			break
		}
		if err != nil {
			return sample{}
		}
	}
	s.whole = time.Since(began)
	s.complete = !r.plan.Stream || bytes.Contains(tail, []byte(terminator))
	return s
}

// terminator ends a complete stream.
const terminator = "data: [DONE]"

func (r *Runner) count(tier string, s sample) {
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
		_ = t.FirstByteLatency.RecordValue(s.first.Microseconds())
		_ = t.TotalLatency.RecordValue(s.whole.Microseconds())
		if within(s.first, r.objective.FirstByte) && within(s.whole, r.objective.Total) {
			t.Good++
		}
	case s.ran == model.NotRun:
		t.NotRun++
		t.Reasons[s.reason]++
	case s.ran == model.MayHaveRun:
		t.May++
		t.Reasons[s.reason]++
	default:
		t.Broken++
	}
}

func within(d, most time.Duration) bool { return most == 0 || d <= most }
