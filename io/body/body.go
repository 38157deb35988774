// Package body reads clients' request bodies into memory within the budget of all bodies
// together, which core/intake divides. It drops bodies that make no progress when the budget
// is used up, and discards what still arrives of a request that was refused.
package body

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"yuccadoor/core/intake"
	"yuccadoor/io/accept"
)

// Bounds of reading one body.
const (
	// A body must have a rate of minRate after rateGrace. Over a link of 10 Mbit/s shared by
	// a thousand bodies each has more.
	minRate   = 1 << 10 // bytes a second
	rateGrace = 10 * time.Second
	// readBytes is the most that is read at once, after which progress is recorded.
	readBytes = 64 << 10
	// What still arrives of a refused request is discarded up to these bounds, so that the
	// client can read its response. A body of the usual limit arrives in 0.4 s over a link
	// of 100 Mbit/s.
	discardBytes = 4 << 20
	discardTime  = time.Second
)

// RetryAfter is the Retry-After of requests whose bodies were not held: bodies without
// progress are dropped in less, and requests with complete ones end in about that time.
const RetryAfter = time.Second

// Errors of Read, besides those of the connection.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrTooSlow  = errors.New("the body arrives too slowly")
	ErrTimeOver = errors.New("the time of the request is over before its body has arrived")
)

// DroppedError is the error of a body that is not held for want of memory.
type DroppedError struct{ Cause intake.Cause }

// Error implements error.
func (e *DroppedError) Error() string { return "no memory for the body: " + string(e.Cause) }

// Settings are the parameters of New.
type Settings struct {
	Limits intake.Limits
	// Copies is how many further copies of a body are made while its request is sent.
	Copies int64
	Set    *metrics.Set // may be nil
	Now    func() time.Time
}

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	settings Settings
	mu       sync.Mutex
	account  *intake.Bodies         // guarded by mu
	reading  map[intake.ID]*reading // guarded by mu; bodies that can be dropped
}

// reading is a body that is being read.
type reading struct {
	control *http.ResponseController
	dropped intake.Cause // guarded by Reader.mu; empty if it is not dropped
}

// New returns a reader.
func New(s Settings) *Reader {
	r := &Reader{settings: s, account: intake.NewBodies(s.Limits), reading: map[intake.ID]*reading{}}
	if s.Set != nil {
		s.Set.NewGauge(`yuccadoor_held_bytes{kind="Body"}`, func() float64 { return float64(r.Held()) })
	}
	return r
}

// Held returns the bytes that are reserved for bodies.
func (r *Reader) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account.Held()
}

// Limits are the limits of one body.
type Limits struct {
	Workspace string
	Bytes     int64
	Deadline  time.Time // of the request; zero for none
}

// Body is a body that is held until Close.
type Body struct {
	Bytes  []byte
	reader *Reader
	id     intake.ID
}

// Close ends holding the body.
func (b *Body) Close() {
	if b.reader == nil {
		return
	}
	b.Bytes = nil
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	b.reader.account.Close(b.id)
}

// Read reads the body of a request. A request that is refused for an error of Read has not
// been run; Discard is to be called after its response.
func (r *Reader) Read(w http.ResponseWriter, req *http.Request, l Limits) (*Body, error) {
	if req.ContentLength == 0 {
		return &Body{}, nil
	}
	if req.ContentLength > l.Bytes {
		return nil, ErrTooLarge
	}
	first := intake.GuaranteedBytes / (1 + r.settings.Copies)
	if req.ContentLength > 0 {
		first = req.ContentLength
	}
	a, err := r.open(w, l, first)
	if err != nil {
		return nil, err
	}
	var bytes []byte
	if req.ContentLength > 0 {
		bytes, err = a.readStated(req.Body, req.ContentLength)
	} else {
		bytes, err = a.readChunked(req.Body, first)
	}
	if err = a.end(err); err != nil {
		return nil, err
	}
	accept.RequestComplete(req)
	return &Body{Bytes: bytes, reader: r, id: a.id}, nil
}

// arrival is the reading of one body.
type arrival struct {
	*reading
	reader  *Reader
	id      intake.ID
	limits  Limits
	started time.Time
	total   int64     // bytes read
	checked time.Time // when the read deadline was set
}

// open reserves the first bytes of a body.
func (r *Reader) open(w http.ResponseWriter, l Limits, bytes int64) (*arrival, error) {
	now := r.settings.Now()
	entry := &reading{control: http.NewResponseController(w)}
	r.mu.Lock()
	id, drops, ok := r.account.Open(now, l.Workspace, bytes*(1+r.settings.Copies))
	if ok {
		r.reading[id] = entry
	}
	victims := r.markDropped(drops)
	r.mu.Unlock()
	interrupt(victims)
	if !ok {
		r.count(intake.Full)
		return nil, &DroppedError{intake.Full}
	}
	a := &arrival{reading: entry, reader: r, id: id, limits: l, started: now}
	a.setDeadline(now)
	return a, nil
}

// markDropped marks bodies as dropped; mu must be held. The result is to be passed to
// interrupt.
func (r *Reader) markDropped(drops []intake.Drop) []*reading {
	var victims []*reading
	for _, d := range drops {
		if v := r.reading[d.ID]; v != nil {
			v.dropped = d.Cause
			victims = append(victims, v)
			delete(r.reading, d.ID)
			r.count(d.Cause)
		}
	}
	return victims
}

// interrupt ends reading bodies that have been dropped.
func interrupt(victims []*reading) {
	for _, v := range victims {
		_ = v.control.SetReadDeadline(time.Unix(1, 0))
	}
}

func (r *Reader) count(c intake.Cause) {
	if r.settings.Set != nil {
		r.settings.Set.GetOrCreateCounter(fmt.Sprintf(`yuccadoor_intake_refusals_total{cause=%q}`, c)).Inc()
	}
}

// setDeadline sets the time until which the body must make progress.
func (a *arrival) setDeadline(now time.Time) {
	a.checked = now
	if a.limits.Deadline.IsZero() {
		return // the server's own deadline holds
	}
	until := now.Add(rateGrace)
	if a.limits.Deadline.Before(until) {
		until = a.limits.Deadline
	}
	a.reader.mu.Lock()
	defer a.reader.mu.Unlock()
	if a.dropped == "" {
		_ = a.control.SetReadDeadline(until)
	}
}

// progress records that bytes have been read, and returns an error if they arrive too slowly.
func (a *arrival) progress(n int) error {
	a.total += int64(n)
	now := a.reader.settings.Now()
	a.reader.mu.Lock()
	a.reader.account.Progress(now, a.id, int64(n))
	a.reader.mu.Unlock()
	if age := now.Sub(a.started); age > rateGrace && float64(a.total) < minRate*age.Seconds() {
		return ErrTooSlow
	}
	if now.Sub(a.checked) > rateGrace/2 {
		a.setDeadline(now)
	}
	return nil
}

// readStated reads a body whose length is stated.
func (a *arrival) readStated(source io.Reader, length int64) ([]byte, error) {
	bytes := make([]byte, length)
	for read := 0; read < len(bytes); {
		n, err := source.Read(bytes[read:min(read+readBytes, len(bytes))])
		read += n
		if read == len(bytes) {
			return bytes, nil
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if err := a.progress(n); err != nil {
			return nil, err
		}
	}
	return bytes, nil
}

// readChunked reads a body without a stated length into segments, of which the first has been
// reserved, and joins them.
func (a *arrival) readChunked(source io.Reader, first int64) ([]byte, error) {
	segments := [][]byte{make([]byte, 0, first)}
	for {
		last := &segments[len(segments)-1]
		if len(*last) == cap(*last) {
			if err := a.grow(intake.StepBytes); err != nil {
				return nil, err
			}
			segments = append(segments, make([]byte, 0, intake.StepBytes))
			continue
		}
		n, err := source.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		if err == nil || err == io.EOF {
			if slow := a.progress(n); slow != nil && err == nil {
				err = slow
			}
		}
		if a.total > a.limits.Bytes {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return a.join(segments)
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the bytes of segments in one piece, which is reserved beside them while it is
// made.
func (a *arrival) join(segments [][]byte) ([]byte, error) {
	if len(segments) == 1 {
		return segments[0], nil
	}
	if err := a.grow(a.total); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, a.total)
	reserved := int64(0)
	for i, s := range segments {
		joined = append(joined, s...)
		reserved += int64(cap(s))
		segments[i] = nil
	}
	a.reader.mu.Lock()
	defer a.reader.mu.Unlock()
	a.reader.account.Shrink(a.id, reserved*(1+a.reader.settings.Copies))
	return joined, nil
}

// grow reserves further bytes.
func (a *arrival) grow(bytes int64) error {
	r := a.reader
	r.mu.Lock()
	drops, ok := r.account.Grow(r.settings.Now(), a.id, bytes*(1+r.settings.Copies))
	victims := r.markDropped(drops)
	dropped := a.dropped
	r.mu.Unlock()
	interrupt(victims)
	if ok || dropped != "" {
		return nil // a dropped body ends at its next read
	}
	r.count(intake.Full)
	return &DroppedError{intake.Full}
}

// end ends reading. It returns the error of Read.
func (a *arrival) end(err error) error {
	r := a.reader
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reading, a.id)
	if a.dropped != "" {
		return &DroppedError{a.dropped}
	}
	if err != nil {
		r.account.Close(a.id)
		return a.describe(err)
	}
	r.account.Complete(a.id)
	if !a.limits.Deadline.IsZero() {
		_ = a.control.SetReadDeadline(time.Time{})
	}
	return nil
}

// describe returns what an error of reading means for the request.
func (a *arrival) describe(err error) error {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return err
	}
	if d := a.limits.Deadline; !d.IsZero() && !a.reader.settings.Now().Before(d) {
		return ErrTimeOver
	}
	return ErrTooSlow
}

// BoundUnread bounds the time for which the server waits for a body that was not read, before
// or after it sends the response.
func BoundUnread(w http.ResponseWriter, req *http.Request) {
	if req.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// Discard sends the response of a request whose body has not been read, or not whole, and
// reads what still arrives within bounds. If that is not all, it ends the handler, so that the
// connection is closed at once. The response must state its length, and that the connection is
// closed.
func Discard(w http.ResponseWriter, req *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	if _, err := io.CopyN(io.Discard, req.Body, discardBytes); err != io.EOF {
		panic(http.ErrAbortHandler)
	}
}
