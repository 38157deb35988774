// Package relay sends one request to one target and carries its answer back.
// It knows whether a byte of the request can have reached the target, matches
// answers to requests by id, and trusts a kept connection only as far as the
// target announced.
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
)

// Bounds on answers.
const (
	maxWhole = 16 << 20 // bytes of an answer that is held until it is whole
	// maxHeld bounds the bytes of all answers that are held at once, to a part of the
	// memory of the smallest host, and alwaysHeld is what one may have beyond that.
	maxHeld      = 32 << 20
	alwaysHeld   = 64 << 10
	maxEvent     = 1 << 20 // bytes of one event
	maxForeign   = 8       // answers to other requests that are skipped
	foreignBytes = 1 << 20 // of such an answer
	// splitBody is the size from which a body is written beside the reading of
	// the answer, since a target may answer before it has read a long body.
	splitBody   = 8 << 10
	eventStream = "text/event-stream"
)

// How long an idle connection is trusted.
const (
	// idleLife holds when its target announces no whole second.
	idleLife = 300 * time.Millisecond
	// idleMargin is how much before the announced end it is not used any more:
	// the request must arrive before the target closes.
	idleMargin = 700 * time.Millisecond
	// onceLife is how long a connection may have been idle to carry a request
	// that must not run twice: a target may drop idle connections unannounced.
	onceLife = time.Second
	// idleMost bounds what targets announce.
	idleMost = time.Minute
)

// HeaderNames are the header names by which targets tell of their answers.
type HeaderNames struct {
	Request string // echo of the request's id
	Stamp   string // proof that the answer is the target's
	NotRun  string // states that the request was not run
}

// Call is one request to one target.
type Call struct {
	Target     netip.AddrPort
	Method     string
	URI        string // path and query as the caller sent them
	Host       string
	Header     http.Header
	Body       []byte
	ID         string // that the answer must echo
	AtMostOnce bool   // must not reach a target twice
	// Allowed is asked just before the first byte is written, when connecting may
	// have taken long; nil for always. If it is not, nothing is sent.
	Allowed func() bool
}

// ErrNotAllowed is the failure of a call that was not allowed any more.
var ErrNotAllowed = errors.New("the target is not to be sent anything now")

// SendError is the end of a call without an answer.
type SendError struct {
	Sent bool // a byte of the request may have reached the target
	Err  error
}

// Error makes a failure usable as an error.
func (f *SendError) Error() string { return f.Err.Error() }

// Sender sends calls to targets.
type Sender struct {
	pool  *conns.Pool
	names HeaderNames
	held  atomic.Int64 // bytes of answers that are held
}

// sweepPeriod is the time between two looks for idle connections.
const sweepPeriod = time.Second

// New returns a sender and its clean-up function. dial may be nil for TCP.
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

// CheckConnect reports whether a target takes connections. The one that shows it is
// kept for the next call.
func (s *Sender) CheckConnect(ctx context.Context, target netip.AddrPort) error {
	l, err := s.pool.Dial(ctx, target)
	if err != nil {
		return errors.Wrapf(err, "connect to target %s", target)
	}
	s.pool.Put(target, l, idleLife)
	return nil
}

// CloseIdle closes all idle connections, as after a pause of the process.
func (s *Sender) CloseIdle() { s.pool.Close() }

// Response is a target's answer whose head has been read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Stream bool // a series of events
	NotRun bool // the target states that it did not run the request
	Reused bool // the connection had carried another request before

	sender  *Sender
	call    *Call
	link    *conns.PooledConn
	reply   *http.Response
	written chan error // of a body written aside; nil otherwise
	stop    func() bool
	events  *bufio.Reader
	held    int64 // bytes of the body
	whole   bool
}

// Send sends a call and reads the head of its answer.
func (s *Sender) Send(ctx context.Context, c *Call) (*Response, *SendError) {
	most := idleMost
	if c.AtMostOnce {
		most = onceLife
	}
	l, err := s.pool.Get(ctx, c.Target, most)
	if err != nil {
		return nil, &SendError{Err: errors.Wrapf(err, "connect to target %s", c.Target)}
	}
	if c.Allowed != nil && !c.Allowed() {
		l.Conn.Close()
		return nil, &SendError{Err: errors.Wrapf(ErrNotAllowed, "send to target %s", c.Target)}
	}
	a := &Response{sender: s, call: c, link: l, Reused: l.Reused}
	a.stop = context.AfterFunc(ctx, func() { l.Conn.SetDeadline(time.Unix(1, 0)) })
	sent, err := a.write()
	if err != nil {
		a.abandon()
		return nil, &SendError{Sent: sent, Err: errors.Wrapf(err, "send to target %s", c.Target)}
	}
	if err := a.head(); err != nil {
		a.abandon()
		return nil, &SendError{Sent: true, Err: errors.Wrapf(err, "await answer of target %s", c.Target)}
	}
	return a, nil
}

func (a *Response) abandon() {
	a.stop()
	a.link.Conn.Close()
}

// write sends the request; a long body is sent by a goroutine of its own.
func (a *Response) write() (sent bool, err error) {
	head := encode(a.call)
	if len(a.call.Body) < splitBody {
		n, err := a.link.Conn.Write(append(head, a.call.Body...))
		return n > 0, err
	}
	if n, err := a.link.Conn.Write(head); err != nil {
		return n > 0, err
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.link.Conn.Write(a.call.Body)
		a.written <- err
	}()
	return true, nil
}

// encode writes the head of the request. Names and values were checked by the
// server that read them from the caller.
func encode(c *Call) []byte {
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

// head reads the head of the answer to this request, and skips answers to
// others that arrive late at their connection.
func (a *Response) head() error {
	defer a.link.ClearReadLimit()
	for range maxForeign {
		a.link.SetReadLimit(conns.MaxHeaderBytes)
		reply, err := http.ReadResponse(a.link.Reader, &http.Request{Method: a.call.Method})
		if err != nil {
			return err
		}
		a.link.ClearReadLimit()
		if reply.StatusCode < http.StatusOK {
			continue
		}
		if reply.Header.Get(a.sender.names.Request) != a.call.ID {
			if reply.Close {
				return errors.New("the answer is for another request")
			}
			switch _, err := io.CopyN(io.Discard, reply.Body, foreignBytes); err {
			case io.EOF:
				continue
			case nil:
				return errors.Errorf("an answer for another request has over %d bytes", foreignBytes)
			default:
				return errors.Wrap(err, "skip the answer for another request")
			}
		}
		a.reply = reply
		a.Status, a.Header = reply.StatusCode, reply.Header
		a.Stream = strings.HasPrefix(reply.Header.Get("Content-Type"), eventStream)
		a.NotRun = reply.Header.Get(a.sender.names.NotRun) != "" || reply.StatusCode == http.StatusMisdirectedRequest
		return nil
	}
	return errors.New("only answers for other requests")
}

// Verified reports whether the answer bears the target's proof and arrived
// without an encoding that the target does not use.
func (a *Response) Verified() bool {
	return a.Header.Get(a.sender.names.Stamp) != "" && a.Header.Get("Content-Encoding") == ""
}

// ReadBody reads the body to its announced end.
func (a *Response) ReadBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(holder{a}, maxWhole+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read answer of target %s", a.call.Target)
	}
	if len(body) > maxWhole {
		return nil, errors.Errorf("read answer of target %s: over %d bytes", a.call.Target, maxWhole)
	}
	a.whole = true
	return body, nil
}

// holder reads the body of an answer that is held until it is whole.
type holder struct{ answer *Response }

// Read implements io.Reader.
func (h holder) Read(p []byte) (int, error) {
	a := h.answer
	n, err := a.reply.Body.Read(p)
	a.held += int64(n)
	if a.sender.held.Add(int64(n)) > maxHeld && a.held > alwaysHeld {
		return n, errors.Errorf("over %d bytes of answers are held", maxHeld)
	}
	return n, err
}

// Event is one event of a stream.
type Event struct {
	ID  string // empty if it has none
	Raw []byte // with its closing blank line; valid until the next call
}

// NextEvent reads one whole event. io.EOF tells that the stream ended as announced,
// between two events.
func (a *Response) NextEvent(buffer []byte) (Event, error) {
	if a.events == nil {
		a.events = bufio.NewReader(a.reply.Body)
	}
	e := Event{Raw: buffer[:0]}
	for {
		line, err := a.events.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if err == bufio.ErrBufferFull && len(e.Raw) < maxEvent {
			continue
		}
		if err == io.EOF && len(e.Raw) == 0 {
			a.whole = true
			return e, io.EOF
		}
		if err == io.EOF {
			return e, errors.New("the stream ended within an event")
		}
		if err != nil {
			return e, err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			return e, nil
		}
		if id, ok := strings.CutPrefix(text, "id:"); ok {
			e.ID = strings.TrimSpace(id)
		}
		if len(e.Raw) > maxEvent {
			return e, errors.Errorf("an event has over %d bytes", maxEvent)
		}
	}
}

// Close ends the call. The connection is kept only if the answer was read to
// its end, the request was written whole, and nothing else has arrived.
func (a *Response) Close() {
	a.sender.held.Add(-a.held)
	if !a.stop() || !a.whole || a.reply.Close || !a.writtenWhole() || a.link.Reader.Buffered() > 0 {
		a.link.Conn.Close()
		return
	}
	a.sender.pool.Put(a.call.Target, a.link, announcedLife(a.Header))
}

func (a *Response) writtenWhole() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// announcedLife is how long the target keeps an idle connection, less a margin.
func announcedLife(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return idleLife
}

// IsTimeout reports whether an error is a passed deadline of the connection.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
