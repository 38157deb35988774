package ring

import (
	"context"
	"time"
)

// Task is one thing for a deciding goroutine to do.
type Task func(now time.Time)

// callBatch is how many calls are done before the loop's After.
const callBatch = 64

// EventLoop hands calls to the one goroutine that owns a decision state.
type EventLoop struct {
	ring *Queue[Task]
	done chan struct{}
}

// NewEventLoop returns a queue of at most size waiting calls.
func NewEventLoop(size int) *EventLoop {
	return &EventLoop{ring: New[Task](size), done: make(chan struct{})}
}

// LoopConfig is what the owning goroutine does besides the calls.
type LoopConfig struct {
	Now    func() time.Time
	Period time.Duration
	Before Task // before anything else, each time
	Tick   Task // each Period
	After  Task // after calls and ticks
}

// Run does calls until the context ends.
func (c *EventLoop) Run(ctx context.Context, l LoopConfig) {
	defer close(c.done)
	ticker := time.NewTicker(l.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-c.ring.Items():
			now := l.Now()
			l.Before(now)
			call(now)
			c.drain(now)
		case <-ticker.C:
			now := l.Now()
			l.Before(now)
			l.Tick(now)
		}
		l.After(l.Now())
	}
}

// drain does the calls that are waiting already, up to a bound.
func (c *EventLoop) drain(now time.Time) {
	for range callBatch {
		select {
		case call := <-c.ring.Items():
			call(now)
		default:
			return
		}
	}
}

// Post hands over a call, waiting for room.
func (c *EventLoop) Post(ctx context.Context, call Task) error { return c.ring.Put(ctx, call) }

// Offer hands over a call without waiting and reports whether there was room.
func (c *EventLoop) Offer(call Task) bool { return c.ring.Offer(call) }

// Refused counts the calls that Offer turned away.
func (c *EventLoop) Refused() uint64 { return c.ring.Refused() }

// Do hands over a call and waits until it has been done. The context only bounds
// the handing over: a call that is in the queue will be done, and its results
// must not be read before.
func (c *EventLoop) Do(ctx context.Context, call Task) error {
	finished := make(chan struct{})
	err := c.Post(ctx, func(now time.Time) {
		call(now)
		close(finished)
	})
	if err != nil {
		return err
	}
	select {
	case <-finished:
		return nil
	case <-c.done:
		return context.Canceled
	}
}

// Done is closed when the owning goroutine has ended.
func (c *EventLoop) Done() <-chan struct{} { return c.done }
