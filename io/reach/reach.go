// Package reach sends a request to a target and copies the response to a sink. It
// reports exactly whether any byte of the request was written, checks that the permit
// has not expired right before the write, and never sends a request twice. Package
// relay is the counterpart for the edge command, where the caller of the package
// reads the response itself; both use package conns.
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
	"yuccadoor/io/reply"
)

// Protocol between the system and targets.
const (
	HeaderRequest     = "Yuccadoor-Request"  // request id
	HeaderTier        = "Yuccadoor-Tier"     // name of the tier
	HeaderFence       = "Yuccadoor-Fence"    // fencing token of the permit
	HeaderIncarnation = "Engine-Incarnation" // incarnation of the target that responds
	HeaderStream      = "Engine-Stream"      // name by which a stream can be resumed
	eventStream       = "text/event-stream"  // media type of a stream
	streamEnd         = "data: [DONE]"       // terminator of a model engine's stream
	resumeAttempts    = 3                    // for one stream
	copyBufferSize    = 16 << 10             // bytes read at once
	headReserve       = 2 << 10              // room for a request's head, and for the end of copying
	resumePath        = "/v1/streams/"       // where a stream is resumed
	maxIdle           = 5 * time.Second      // longest idle time of a connection that is reused
	ackTimeout        = time.Second          // for the rest of a request, after an unframed response
	tailBytes         = len(streamEnd) + len("\r\n\r\n")
)

// Call is one request to one target.
type Call struct {
	Target      netip.AddrPort
	Method      string
	Path        string // with query
	Header      http.Header
	Body        []byte
	Expires     time.Time     // nothing is sent later
	IdleTimeout time.Duration // longest time without progress of a read or write
	ModelEngine bool          // the target is a model engine: a stream ends with its terminator
}

// Sink receives the response. If it returns an error, the call ends as cancelled.
type Sink interface {
	Begin(status int, header http.Header, stream bool) error
	Write(p []byte) error
}

// Report describes how a call ended.
type Report struct {
	Sent      bool // a byte of the request may have reached the target
	Result    limit.Result
	Complete  bool // the whole response has been written to the sink
	Status    int
	FirstByte time.Duration // from sending to the first byte of the body
	Crashed   bool          // the target's process ended while it ran the call
	Started   time.Time     // when sending started; zero if it did not
	Ended     time.Time     // when the response ended or broke off
	Err       error
}

// Sender sends calls to targets.
type Sender struct {
	pool *conns.Pool
	now  func() time.Time

	mu           sync.Mutex
	incarnations map[netip.AddrPort]string // guarded by mu; last incarnation seen, by target
}

// New returns a sender and its cleanup function. A nil dial means TCP.
func New(dial conns.DialFunc, now func() time.Time) (*Sender, func()) {
	s := &Sender{pool: conns.New(dial, now), now: now, incarnations: map[netip.AddrPort]string{}}
	return s, s.pool.Close
}

// attempt is the state of one call.
type attempt struct {
	ctx     context.Context
	call    *Call
	sink    Sink
	conn    *conns.PooledConn                // used by the call's own goroutine
	current atomic.Pointer[conns.PooledConn] // the same, for the goroutine that cancels the call
	started time.Time
	meter   meter
}

// Send sends a call and copies the response to sink.
func (s *Sender) Send(ctx context.Context, c *Call, sink Sink) Report {
	raw, err := encodeRequest(c)
	if err != nil {
		return Report{Result: limit.Result{Kind: limit.Unused}, Err: err}
	}
	conn, err := s.pool.Get(ctx, c.Target, maxIdle)
	if err != nil {
		return notSentReport(ctx, errors.Wrapf(err, "connect to target %s", c.Target))
	}
	a := &attempt{ctx: ctx, call: c, sink: sink, started: s.now()}
	a.setConn(conn)
	if !a.started.Before(c.Expires) {
		s.pool.Put(c.Target, conn, maxIdle)
		return Report{Result: limit.Result{Kind: limit.Unused}, Err: errors.New("the permit expired before sending")}
	}
	stop := context.AfterFunc(ctx, func() { a.current.Load().Conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	n, err := a.writeRequest(raw)
	if err != nil && n == 0 && ctx.Err() == nil {
		conn.Conn.Close()
		return notSentReport(ctx, errors.Wrapf(err, "send to target %s", c.Target))
	}
	if err != nil {
		conn.Conn.Close()
		return a.brokenReport(ctx, errors.Wrapf(err, "send to target %s", c.Target))
	}
	report := s.receive(ctx, a)
	report.Started, report.Ended = a.started, s.now()
	if report.Result.Kind == limit.Broken {
		report.Crashed = s.processEnded(c.Target)
	}
	return report
}

func (a *attempt) setConn(c *conns.PooledConn) {
	a.conn = c
	a.current.Store(c)
}

// extendReadDeadline sets the deadline of the next read. It checks the context after
// setting the deadline: a cancellation also sets a deadline, which may have just been
// overwritten.
func (a *attempt) extendReadDeadline() error {
	if err := a.conn.Conn.SetReadDeadline(time.Now().Add(a.call.IdleTimeout)); err != nil {
		return err
	}
	return a.ctx.Err()
}

func (a *attempt) writeRequest(raw []byte) (int, error) {
	if err := a.conn.Conn.SetWriteDeadline(time.Now().Add(a.call.IdleTimeout)); err != nil {
		return 0, err
	}
	return a.conn.Conn.Write(raw)
}

// notSentReport reports a call of which nothing was sent.
func notSentReport(ctx context.Context, err error) Report {
	kind := limit.NoConnect
	if ctx.Err() != nil {
		kind = limit.Unused
	}
	return Report{Result: limit.Result{Kind: kind}, Err: err}
}

// encodeRequest returns the request as bytes, without connection-specific headers.
func encodeRequest(c *Call) ([]byte, error) {
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
	raw.Grow(len(c.Body) + headReserve) // one copy of a large body, and no more while it grows
	if err := request.Write(&raw); err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return raw.Bytes(), nil
}

// brokenReport reports a call that broke off after sending.
func (a *attempt) brokenReport(ctx context.Context, err error) Report {
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
	resp, err := a.readHeader()
	if err != nil {
		a.conn.Conn.Close()
		return a.brokenReport(ctx, errors.Wrapf(err, "read response header from target %s", a.call.Target))
	}
	report := s.copyBody(ctx, a, resp)
	report.Status = resp.StatusCode
	s.recordIncarnation(a.call.Target, resp.Header.Get(HeaderIncarnation))
	report.FirstByte = a.meter.first
	if report.Complete && !resp.Close && ctx.Err() == nil {
		a.conn.Conn.SetDeadline(time.Time{})
		s.pool.Put(a.call.Target, a.conn, maxIdle)
	} else {
		a.conn.Conn.Close()
	}
	return report
}

// readHeader reads the response header and skips informational responses.
func (a *attempt) readHeader() (*http.Response, error) {
	a.conn.SetReadLimit(conns.MaxHeaderBytes)
	defer a.conn.ClearReadLimit()
	for {
		if err := a.extendReadDeadline(); err != nil {
			return nil, err
		}
		resp, err := reply.Read(a.conn.Reader, &http.Request{Method: a.call.Method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// copyBody copies the response to the sink. A broken stream is resumed on the same
// target if the target supports it.
func (s *Sender) copyBody(ctx context.Context, a *attempt, resp *http.Response) Report {
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
	name := resp.Header.Get(HeaderStream)
	if err := a.sink.Begin(resp.StatusCode, resp.Header, stream); err != nil {
		return Report{Sent: true, Result: limit.Result{Kind: limit.Cancelled}, Err: err}
	}
	a.meter = meter{started: a.started, stream: stream}
	source := resp.Body
	for tries := 0; ; tries++ {
		readErr, sinkErr := a.copyFrom(source)
		switch {
		case sinkErr != nil:
			return Report{Sent: true, Result: limit.Result{Kind: limit.Cancelled}, Err: sinkErr}
		case readErr == nil:
			if err := s.confirmEnd(a, resp); err != nil {
				return a.brokenReport(ctx, errors.Wrapf(err, "read response from target %s", a.call.Target))
			}
			return a.endedReport(resp.StatusCode, stream)
		case name == "" || tries == resumeAttempts || ctx.Err() != nil:
			return a.brokenReport(ctx, errors.Wrapf(readErr, "read response from target %s", a.call.Target))
		}
		resumed, err := s.resume(ctx, a, name)
		if err != nil {
			return a.brokenReport(ctx, errors.Wrapf(readErr, "read response from target %s, not resumed (%v)", a.call.Target, err))
		}
		source = resumed.Body
	}
}

// confirmEnd returns an error if a response that has been read to its end may be only a part. The
// system closes the connections of a process that ends in order, too.
func (s *Sender) confirmEnd(a *attempt, resp *http.Response) error {
	if !isUnframed(resp) {
		return nil
	}
	if err := conns.AwaitAcknowledged(a.conn.Conn, ackTimeout); err != nil {
		return errors.Wrap(err, "the response ended within the request")
	}
	if s.processEnded(a.call.Target) {
		return errors.New("the response ended with the target's process")
	}
	return nil
}

// isUnframed reports whether a response has neither a length nor chunks: it ends with its
// connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// copyFrom copies bytes to the sink until the response ends (nil, nil), reading fails
// or the sink fails.
func (a *attempt) copyFrom(source io.Reader) (readErr, sinkErr error) {
	buffer := make([]byte, copyBufferSize)
	for {
		if err := a.extendReadDeadline(); err != nil {
			return err, nil
		}
		n, err := source.Read(buffer)
		if n > 0 {
			a.meter.add(buffer[:n])
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

// endedReport reports a response whose transfer ended as announced.
func (a *attempt) endedReport(status int, stream bool) Report {
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

// resume requests the rest of a stream from the same target on a new connection.
func (s *Sender) resume(ctx context.Context, a *attempt, name string) (*http.Response, error) {
	a.conn.Conn.Close()
	conn, err := s.pool.Dial(ctx, a.call.Target)
	if err != nil {
		return nil, err
	}
	a.setConn(conn)
	raw, err := encodeRequest(&Call{
		Target: a.call.Target, Method: http.MethodGet, Header: http.Header{},
		Path: resumePath + url.PathEscape(name) + "?offset=" + a.meter.offset(),
	})
	if err != nil {
		return nil, err
	}
	if _, err := a.writeRequest(raw); err != nil {
		return nil, err
	}
	resp, err := a.readHeader()
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}
