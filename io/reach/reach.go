// Package reach sends one request to one target and carries the answer back.
// It knows exactly whether any byte of the request was written, checks a
// permit's expiry right before the write, and never sends a request twice.
package reach

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/limit"
	"yuccadoor/io/conns"
)

// Headers between the system and targets.
const (
	HeaderRequest     = "Yuccadoor-Request"  // request id
	HeaderTier        = "Yuccadoor-Tier"     // name of the tier
	HeaderFence       = "Yuccadoor-Fence"    // fencing number of the permit
	HeaderIncarnation = "Engine-Incarnation" // which run of the target answers
	HeaderStream      = "Engine-Stream"      // name under which a stream can be resumed
	eventStream       = "text/event-stream"  // media type of a stream
	streamEnd         = "data: [DONE]"       // terminator of a model engine's stream
	resumeAttempts    = 3                    // of one stream
	copyBuffer        = 16 << 10             // bytes read at once
	resumePath        = "/v1/streams/"       // where a stream is resumed
	idleLife          = 5 * time.Second      // an idle connection is not trusted longer
	tailBytes         = len(streamEnd) + len("\r\n\r\n")
)

// Call is one request to one target.
type Call struct {
	Target      netip.AddrPort
	Method      string
	Path        string // with query
	Header      http.Header
	Body        []byte
	Expires     time.Time     // nothing is written later
	IdleTimeout time.Duration // longest wait for progress
	ModelEngine bool          // a model engine: a stream ends with its terminator
}

// Sink takes the answer. An error ends the call as cancelled.
type Sink interface {
	Begin(status int, header http.Header, stream bool) error
	Write(p []byte) error
}

// Report is how a call ended.
type Report struct {
	Sent      bool // a byte of the request may have reached the target
	Result    limit.Result
	Complete  bool // the whole answer has been handed to the sink
	Status    int
	FirstByte time.Duration // from sending to the first byte of the body
	Crashed   bool          // the target's process ended while it ran the call
	Started   time.Time     // when sending began; zero if it did not
	Ended     time.Time     // when the answer ended or broke
	Err       error
}

// Sender sends calls to targets.
type Sender struct {
	pool *conns.Pool
	now  func() time.Time

	mu   sync.Mutex
	runs map[netip.AddrPort]string // guarded by mu; incarnation last seen by target
}

// New returns a sender and its clean-up function. dial may be nil for TCP.
func New(dial conns.DialFunc, now func() time.Time) (*Sender, func()) {
	s := &Sender{pool: conns.New(dial, now), now: now, runs: map[netip.AddrPort]string{}}
	return s, s.pool.Close
}

// attempt is the state of one call.
type attempt struct {
	ctx   context.Context
	call  *Call
	sink  Sink
	link  *conns.PooledConn                // used by the call's own goroutine
	inUse atomic.Pointer[conns.PooledConn] // the same, for cancelling
	begun time.Time
	meter meter
}

// Send carries out one call.
func (s *Sender) Send(ctx context.Context, c *Call, sink Sink) Report {
	raw, err := encode(c)
	if err != nil {
		return Report{Result: limit.Result{Kind: limit.Unused}, Err: err}
	}
	l, err := s.pool.Get(ctx, c.Target, idleLife)
	if err != nil {
		return notSent(ctx, errors.Wrapf(err, "connect to target %s", c.Target))
	}
	a := &attempt{ctx: ctx, call: c, sink: sink, begun: s.now()}
	a.use(l)
	if !a.begun.Before(c.Expires) {
		s.pool.Put(c.Target, l, idleLife)
		return Report{Result: limit.Result{Kind: limit.Unused}, Err: errors.New("the permit expired before sending")}
	}
	stop := context.AfterFunc(ctx, func() { a.inUse.Load().Conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	n, err := a.write(raw)
	if err != nil && n == 0 && ctx.Err() == nil {
		l.Conn.Close()
		return notSent(ctx, errors.Wrapf(err, "send to target %s", c.Target))
	}
	if err != nil {
		l.Conn.Close()
		return a.broken(ctx, errors.Wrapf(err, "send to target %s", c.Target))
	}
	report := s.receive(ctx, a)
	report.Started, report.Ended = a.begun, s.now()
	if report.Result.Kind == limit.Broken {
		report.Crashed = s.crashed(c.Target)
	}
	return report
}

func (a *attempt) use(l *conns.PooledConn) {
	a.link = l
	a.inUse.Store(l)
}

// await bounds the next read. The context is looked at after the deadline is
// set, so that a cancelling deadline is never overwritten unseen.
func (a *attempt) await() error {
	if err := a.link.Conn.SetReadDeadline(time.Now().Add(a.call.IdleTimeout)); err != nil {
		return err
	}
	return a.ctx.Err()
}

func (a *attempt) write(raw []byte) (int, error) {
	if err := a.link.Conn.SetWriteDeadline(time.Now().Add(a.call.IdleTimeout)); err != nil {
		return 0, err
	}
	return a.link.Conn.Write(raw)
}

func notSent(ctx context.Context, err error) Report {
	kind := limit.NoConnect
	if ctx.Err() != nil {
		kind = limit.Unused
	}
	return Report{Result: limit.Result{Kind: kind}, Err: err}
}

// encode writes the request as bytes, without headers that belong to one
// connection only.
func encode(c *Call) ([]byte, error) {
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, errors.Wrapf(err, "parse path %q", c.Path)
	}
	request := http.Request{
		Method: c.Method, URL: u, Host: c.Target.String(), Header: c.Header,
		Body: io.NopCloser(bytes.NewReader(c.Body)), ContentLength: int64(len(c.Body)),
	}
	if len(c.Body) == 0 {
		request.Body = http.NoBody
	}
	var raw bytes.Buffer
	if err := request.Write(&raw); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return raw.Bytes(), nil
}

// broken reports a call that ended early after sending.
func (a *attempt) broken(ctx context.Context, err error) Report {
	kind := limit.Broken
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		kind = limit.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = limit.Silent
	}
	return Report{Sent: true, Result: limit.Result{Kind: kind}, Err: err}
}

func (s *Sender) receive(ctx context.Context, a *attempt) Report {
	reply, err := a.readHead()
	if err != nil {
		a.link.Conn.Close()
		return a.broken(ctx, errors.Wrapf(err, "await answer of target %s", a.call.Target))
	}
	report := s.body(ctx, a, reply)
	report.Status = reply.StatusCode
	s.note(a.call.Target, reply.Header.Get(HeaderIncarnation))
	report.FirstByte = a.meter.first
	if report.Complete && !reply.Close && ctx.Err() == nil {
		a.link.Conn.SetDeadline(time.Time{})
		s.pool.Put(a.call.Target, a.link, idleLife)
	} else {
		a.link.Conn.Close()
	}
	return report
}

func (a *attempt) readHead() (*http.Response, error) {
	a.link.SetReadLimit(conns.MaxHeaderBytes)
	defer a.link.ClearReadLimit()
	for {
		if err := a.await(); err != nil {
			return nil, err
		}
		reply, err := http.ReadResponse(a.link.Reader, &http.Request{Method: a.call.Method})
		if err != nil || reply.StatusCode >= http.StatusOK || reply.StatusCode == http.StatusSwitchingProtocols {
			return reply, err
		}
	}
}

// body copies the answer to the sink, resuming a broken stream on the same
// target where it can be resumed.
func (s *Sender) body(ctx context.Context, a *attempt, reply *http.Response) Report {
	stream := strings.HasPrefix(reply.Header.Get("Content-Type"), eventStream)
	name := reply.Header.Get(HeaderStream)
	if err := a.sink.Begin(reply.StatusCode, reply.Header, stream); err != nil {
		return Report{Sent: true, Result: limit.Result{Kind: limit.Cancelled}, Err: err}
	}
	a.meter = meter{begun: a.begun, stream: stream}
	source := reply.Body
	for tries := 0; ; tries++ {
		failed, sinkErr := a.copy(source)
		switch {
		case sinkErr != nil:
			return Report{Sent: true, Result: limit.Result{Kind: limit.Cancelled}, Err: sinkErr}
		case failed == nil:
			return a.ended(reply.StatusCode, stream)
		case name == "" || tries == resumeAttempts || ctx.Err() != nil:
			return a.broken(ctx, errors.Wrapf(failed, "read answer of target %s", a.call.Target))
		}
		resumed, err := s.resume(ctx, a, name)
		if err != nil {
			return a.broken(ctx, errors.Wrapf(failed, "read answer of target %s, not resumed (%v)", a.call.Target, err))
		}
		source = resumed.Body
	}
}

// copy moves bytes until the answer ends (nil, nil), the target fails or the
// sink does.
func (a *attempt) copy(source io.Reader) (failed, sinkErr error) {
	buffer := make([]byte, copyBuffer)
	for {
		if err := a.await(); err != nil {
			return err, nil
		}
		n, err := source.Read(buffer)
		if n > 0 {
			a.meter.count(buffer[:n])
			if err := a.sink.Write(buffer[:n]); err != nil {
				return nil, err
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// ended judges an answer whose transfer ended as announced.
func (a *attempt) ended(status int, stream bool) Report {
	if stream && a.call.ModelEngine && !a.meter.terminated() {
		return Report{
			Sent: true, Result: limit.Result{Kind: limit.Broken},
			Err: errors.New("the stream ended without its terminator"),
		}
	}
	result := a.meter.result()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		result = limit.Result{Kind: limit.Overloaded}
	}
	return Report{Sent: true, Complete: true, Result: result}
}

// resume asks the same target for the rest of a stream, on a fresh connection.
func (s *Sender) resume(ctx context.Context, a *attempt, name string) (*http.Response, error) {
	a.link.Conn.Close()
	l, err := s.pool.Dial(ctx, a.call.Target)
	if err != nil {
		return nil, err
	}
	a.use(l)
	raw, err := encode(&Call{
		Target: a.call.Target, Method: http.MethodGet, Header: http.Header{},
		Path: resumePath + url.PathEscape(name) + "?offset=" + a.meter.offset(),
	})
	if err != nil {
		return nil, err
	}
	if _, err := a.write(raw); err != nil {
		return nil, err
	}
	reply, err := a.readHead()
	if err != nil {
		return nil, err
	}
	if reply.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", reply.StatusCode)
	}
	return reply, nil
}
