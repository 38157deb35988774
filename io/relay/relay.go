// Package relay sends a request to a target and returns its response. It reports
// whether a byte of the request can have reached the target, matches responses to
// requests by id, and reuses an idle connection only within the idle timeout that the
// target announced. Package reach is the counterpart for the serve command, which
// sends under permits.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/io/conns"
	"yuccadoor/io/reply"
)

// Limits on responses.
const (
	maxBodyBytes = 16 << 20 // of a response that is buffered whole
	// maxBufferedBytes limits the buffered bytes of all responses together, to a
	// fraction of the memory of the smallest host. A response may buffer
	// guaranteedBytes even beyond that limit.
	maxBufferedBytes    = 32 << 20
	guaranteedBytes     = 64 << 10
	maxEventBytes       = 1 << 20 // of one event
	maxForeignResponses = 8       // responses to other requests that are skipped
	maxForeignBytes     = 1 << 20 // of the body of such a response
	// asyncBodySize is the size from which a request body is written concurrently
	// with reading the response, since a target may respond before it has read a long
	// body.
	asyncBodySize = 8 << 10
	eventStream   = "text/event-stream"
)

// How long an idle connection may be reused.
const (
	// defaultIdleTimeout applies if the target announces no timeout in whole seconds.
	defaultIdleTimeout = 300 * time.Millisecond
	// idleMargin is subtracted from the announced timeout: the request must arrive
	// before the target closes the connection.
	idleMargin = 700 * time.Millisecond
	// atMostOnceMaxIdle is the longest idle time of a connection that carries a request
	// that must not run twice: a target may drop idle connections without
	// announcing it.
	atMostOnceMaxIdle = time.Second
	// maxIdleTimeout caps the timeouts that targets announce.
	maxIdleTimeout = time.Minute
)

// protocolPrefix begins the status line of a response.
const protocolPrefix = "HTTP/1."

// HeaderNames are the names of the headers that targets add to their responses.
type HeaderNames struct {
	Request string // echo of the request's id
	Stamp   string // proof that the target itself produced the response
	NotRun  string // states that the request was not run
}

// Call is one request to one target.
type Call struct {
	Target     netip.AddrPort
	Method     string
	URI        string // path and query as the client sent them
	Host       string
	Header     http.Header
	Body       []byte
	ID         string // the id that the response must echo
	AtMostOnce bool   // the request must not reach a target twice
	// ConnectWithin limits the time to connect; 0 for none.
	ConnectWithin time.Duration
	// Allowed is called just before the first byte is written, since connecting may
	// have taken long. If it returns false, nothing is sent. Nil means always allowed.
	Allowed func() bool
}

// ErrNotAllowed is the error of a call whose Allowed returned false.
var ErrNotAllowed = errors.New("sending to the target is no longer allowed")

// SendError is the error of a call that got no response.
type SendError struct {
	Sent bool // a byte of the request may have reached the target
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Sender sends calls to targets.
type Sender struct {
	pool     *conns.Pool
	names    HeaderNames
	buffered atomic.Int64 // bytes of response bodies in memory
}

// sweepPeriod is the interval at which expired idle connections are closed.
const sweepPeriod = time.Second

// New returns a sender and its cleanup function. A nil dial means TCP.
func New(ctx context.Context, names HeaderNames, dial conns.DialFunc, now func() time.Time) (*Sender, func()) {
	s := &Sender{pool: conns.New(dial, now), names: names}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(sweepPeriod)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.pool.CloseExpired()
			}
		}
	}()
	return s, func() {
		cancel()
		s.pool.Close()
	}
}

// CheckConnect returns an error unless the target accepts a new connection. The
// connection is kept for the next call.
func (s *Sender) CheckConnect(ctx context.Context, target netip.AddrPort) error {
	conn, err := s.pool.Dial(ctx, target)
	if err != nil {
		return errors.Wrapf(err, "connect to target %s", target)
	}
	s.pool.Put(target, conn, defaultIdleTimeout)
	return nil
}

// CloseIdle closes all idle connections, for example after the process was paused.
func (s *Sender) CloseIdle() { s.pool.Close() }

// Response is a target's response whose header has been read. The caller must call
// Close.
type Response struct {
	Status int
	Header http.Header
	Stream bool // the body is an event stream
	NotRun bool // the target states that it did not run the request
	Reused bool // the connection had carried another request before
	// Through is the host through which the target was reached; invalid if directly.
	Through netip.AddrPort
	// Unframed is set if the body has neither a length nor chunks: its end cannot be
	// told from an orderly close by a target that stops within it.
	Unframed bool

	sender     *Sender
	call       *Call
	conn       *conns.PooledConn
	resp       *http.Response
	body       io.Reader // of resp; see uploadChecker
	upload     *upload   // nil if the request was written before the response was read
	stopCancel func() bool
	events     *bufio.Reader
	buffered   int64 // bytes of the body in memory
	complete   bool  // the body has been read to its end
	awaitsEnd  bool  // see isDecidedByEnd
}

// Send sends a call and reads the header of the response.
func (s *Sender) Send(ctx context.Context, c *Call) (*Response, *SendError) {
	maxIdle := maxIdleTimeout
	if c.AtMostOnce {
		maxIdle = atMostOnceMaxIdle
	}
	conn, err := s.connect(ctx, c, maxIdle)
	if err != nil {
		return nil, &SendError{Err: errors.Wrapf(err, "connect to target %s", c.Target)}
	}
	if c.Allowed != nil && !c.Allowed() {
		conn.Conn.Close()
		return nil, &SendError{Err: errors.Wrapf(ErrNotAllowed, "send to target %s", c.Target)}
	}
	r := &Response{sender: s, call: c, conn: conn, Reused: conn.Reused}
	if carried, ok := conn.Conn.(carriedConn); ok {
		r.Through = carried.Through()
	}
	r.stopCancel = context.AfterFunc(ctx, func() { conn.Conn.SetDeadline(time.Unix(1, 0)) })
	sent, err := r.writeRequest()
	if err != nil {
		r.abort()
		return nil, &SendError{Sent: sent, Err: errors.Wrapf(err, "send to target %s", c.Target)}
	}
	if err := r.readHeader(); err != nil {
		r.abort()
		return nil, &SendError{Sent: true, Err: errors.Wrapf(err, "read response header from target %s", c.Target)}
	}
	return r, nil
}

// connect returns a connection to the target of a call.
func (s *Sender) connect(ctx context.Context, c *Call, maxIdle time.Duration) (*conns.PooledConn, error) {
	if c.ConnectWithin > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.ConnectWithin)
		defer cancel()
	}
	return s.pool.Get(ctx, c.Target, maxIdle)
}

func (r *Response) abort() {
	r.stopCancel()
	r.conn.Conn.Close()
}

// writeRequest sends the request; a long body is sent by a separate goroutine.
func (r *Response) writeRequest() (sent bool, err error) {
	header := encodeHeader(r.call)
	if len(r.call.Body) < asyncBodySize {
		n, err := r.conn.Conn.Write(append(header, r.call.Body...))
		return n > 0, err
	}
	if n, err := r.conn.Conn.Write(header); err != nil {
		return n > 0, err
	}
	r.upload = startUpload(r.conn.Conn, r.call.Body, len(header)+len(r.call.Body))
	return true, nil
}

// encodeHeader returns the request line and header. It does not validate names and
// values, since the server that read them from the client has done so.
func encodeHeader(c *Call) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(c.Method + " " + c.URI + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	for name, values := range c.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the response to this request. It skips late responses
// to earlier requests on the same connection.
func (r *Response) readHeader() error {
	defer r.conn.ClearReadLimit()
	for range maxForeignResponses {
		r.conn.SetReadLimit(conns.MaxHeaderBytes)
		r.conn.StartRecording()
		resp, err := reply.Read(r.conn.Reader, &http.Request{Method: r.call.Method})
		head := r.conn.StopRecording()
		if err != nil {
			return err
		}
		r.conn.ClearReadLimit()
		if isSpliced(head, r.sender.names) {
			if !r.isDecidedByEnd(head, resp) {
				return errors.New("the response begins with a piece of another one")
			}
			r.awaitsEnd = true
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(r.sender.names.Request) != r.call.ID {
			if resp.Close {
				return errors.New("the response is for another request")
			}
			switch _, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes); err {
			case io.EOF:
				continue
			case nil:
				return errors.Errorf("a response for another request has over %d bytes", maxForeignBytes)
			default:
				return errors.Wrap(err, "skip the response for another request")
			}
		}
		r.resp, r.body = resp, resp.Body
		r.Status, r.Header = resp.StatusCode, resp.Header
		r.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		if r.Unframed && r.upload != nil {
			r.body = &uploadChecker{body: resp.Body, upload: r.upload}
		}
		r.Stream = isStream(resp)
		r.NotRun = resp.Header.Get(r.sender.names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
		return nil
	}
	return errors.Errorf("%d responses in a row are informational or for other requests", maxForeignResponses)
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
}

// Verified reports whether the response has the target's stamp and no content encoding.
// Targets do not encode content, so an encoded response comes from something else.
func (r *Response) Verified() bool {
	return r.Header.Get(r.sender.names.Stamp) != "" && r.Header.Get("Content-Encoding") == ""
}

// ReadBody reads the body to its announced end. The error of one that may not be the target's
// whole body, although it ended in order, is ErrAmbiguous.
func (r *Response) ReadBody() ([]byte, error) {
	body, err := r.readBody()
	return body, errors.Wrapf(err, "read response from target %s", r.call.Target)
}

func (r *Response) readBody() ([]byte, error) {
	source := io.Reader(bufferedBody{r})
	var scan *scanner
	if r.Unframed {
		scan = newScanner(r.sender.names, r.Status, r.resp.Status)
		source = &scannedBody{source, scan}
	}
	body, err := io.ReadAll(io.LimitReader(source, maxBodyBytes+1))
	switch {
	case err == errFound:
		return nil, r.skipRest(int64(len(body)))
	case err != nil:
		return nil, err
	case len(body) > maxBodyBytes:
		return nil, errors.Errorf("over %d bytes", maxBodyBytes)
	}
	r.complete = true
	if scan != nil && scan.ambiguous() || r.awaitsEnd && r.isFollowed() {
		return nil, ErrAmbiguous
	}
	return body, nil
}

// errFound ends the reading of a body in which its scanner has found another response.
var errFound = errors.New("found another response")

// scannedBody passes a body on to its scanner, up to the first response found there.
type scannedBody struct {
	body io.Reader
	scan *scanner
}

// Read implements io.Reader.
func (b *scannedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	_, _ = b.scan.Write(p[:n])
	if b.scan.found && (err == nil || err == io.EOF) {
		return n, errFound
	}
	return n, err
}

// skipRest reads an ambiguous body, of which some bytes were read, to its end, which tells whether
// the connection broke.
func (r *Response) skipRest(read int64) error {
	r.sender.buffered.Add(-r.buffered)
	r.buffered = 0
	switch _, err := io.CopyN(io.Discard, r.body, maxBodyBytes+1-read); err {
	case io.EOF:
		r.complete = true
		return ErrAmbiguous
	case nil:
		return errors.Errorf("over %d bytes", maxBodyBytes)
	default:
		return err
	}
}

// bufferedBody reads a body that is buffered whole, and counts its bytes towards
// maxBufferedBytes.
type bufferedBody struct{ response *Response }

// Read implements io.Reader.
func (b bufferedBody) Read(p []byte) (int, error) {
	r := b.response
	n, err := r.body.Read(p)
	r.buffered += int64(n)
	if r.sender.buffered.Add(int64(n)) > maxBufferedBytes && r.buffered > guaranteedBytes {
		return n, errors.Errorf("over %d bytes of responses are buffered", maxBufferedBytes)
	}
	return n, err
}

// Event is one event of a stream.
type Event struct {
	ID  string // empty if it has none
	Raw []byte // including the terminating blank line; valid until the next call
}

// NextEvent reads one whole event into buffer. io.EOF means that the stream ended as
// announced, between two events; see ConfirmEnd if it is unframed.
func (r *Response) NextEvent(buffer []byte) (Event, error) {
	if r.events == nil {
		r.events = bufio.NewReader(r.body)
	}
	e := Event{Raw: buffer[:0]}
	lineStart := 0 // in e.Raw; a long line is read in several pieces
	for {
		piece, err := r.events.ReadSlice('\n')
		if r.Unframed && lineStart == len(e.Raw) && bytes.HasPrefix(piece, []byte(protocolPrefix)) {
			return r.endAtSecondResponse(e)
		}
		e.Raw = append(e.Raw, piece...)
		switch {
		case err == bufio.ErrBufferFull && len(e.Raw) < maxEventBytes:
			continue
		case err == io.EOF && len(e.Raw) == 0:
			r.complete = true
			return e, io.EOF
		case err == io.EOF:
			return e, errors.New("the stream ended within an event")
		case err != nil:
			return e, err
		}
		line := strings.TrimRight(string(e.Raw[lineStart:]), "\r\n")
		lineStart = len(e.Raw)
		if line == "" {
			return e, nil
		}
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			e.ID = strings.TrimSpace(id)
		}
		if len(e.Raw) > maxEventBytes {
			return e, errors.Errorf("an event of the stream has over %d bytes", maxEventBytes)
		}
	}
}

// ConfirmEnd returns an error if a response that has been read to its end may be only a part.
// The end of an unframed response is that of its connection, which the system closes in
// order when the target's process ends; a process that has ended takes no other connection.
// The connection that shows otherwise is kept for the next call.
func (r *Response) ConfirmEnd(ctx context.Context) error {
	if !r.Unframed {
		return nil
	}
	return errors.Wrap(r.sender.checkProcess(ctx, r.call.Target), "the response ended with its connection, and the target takes no other")
}

// endingTime is how long the system may take to close all connections of a process that has ended,
// and the listener among them, which takes connections until then.
const endingTime = 25 * time.Millisecond

// checkProcess returns an error if the target's process has ended. A connection that ends at once
// may be one too many for the target, or ends with its listener; then another one is refused.
func (s *Sender) checkProcess(ctx context.Context, target netip.AddrPort) error {
	conn, err := s.pool.Dial(ctx, target)
	if err != nil {
		return err
	}
	if err := conn.Conn.SetReadDeadline(time.Now().Add(endingTime)); err != nil {
		conn.Conn.Close()
		return err
	}
	if _, err := conn.Reader.Peek(1); !IsTimeout(err) {
		conn.Conn.Close()
		return s.CheckConnect(ctx, target)
	}
	if err := conn.Conn.SetReadDeadline(time.Time{}); err != nil {
		conn.Conn.Close()
		return err
	}
	s.pool.Put(target, conn, defaultIdleTimeout)
	return nil
}

// endAtSecondResponse ends a stream at which another response begins. e is what has been read
// of the next event.
func (r *Response) endAtSecondResponse(e Event) (Event, error) {
	if len(e.Raw) > 0 {
		return e, errors.New("another response begins within an event")
	}
	r.complete = true
	return e, io.EOF
}

// Close ends the call. The connection is kept only if the response was read to its end,
// the whole request was written, and nothing else has arrived. It is not kept after a
// refusal: a second copy of that could not be told from the answer to a repeat of the
// same request.
func (r *Response) Close() {
	r.sender.buffered.Add(-r.buffered)
	if !r.stopCancel() || !r.complete || r.NotRun || r.resp.Close || !r.upload.written() || r.conn.Reader.Buffered() > 0 {
		r.conn.Conn.Close()
		return
	}
	r.sender.pool.Put(r.call.Target, r.conn, announcedIdleTimeout(r.Header))
}

// announcedIdleTimeout returns how long the target keeps an idle connection open, from
// its Keep-Alive header, minus idleMargin.
func announcedIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return defaultIdleTimeout
}

// IsTimeout reports whether an error is a timeout of a network operation.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
