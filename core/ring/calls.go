package ring

import (
	"context"
	"time"
)

// Task is a function that an event loop runs. now is the loop's time, which is read once
// for a whole batch of tasks.
type Task func(now time.Time)

// taskBatch is the maximum number of tasks that follow the first one of a batch.
const taskBatch = 64

// EventLoop runs tasks one at a time on the goroutine that owns some state, so that the
// state needs no lock.
type EventLoop struct {
	tasks *Queue[Task]
	done  chan struct{}
}

// NewEventLoop returns an event loop whose queue holds at most size waiting tasks.
func NewEventLoop(size int) *EventLoop {
	return &EventLoop{tasks: New[Task](size), done: make(chan struct{})}
}

// LoopConfig configures Run.
type LoopConfig struct {
	Now    func() time.Time
	Period time.Duration // of Tick
	Before Task          // runs before each batch of tasks and before each Tick
	Tick   Task          // runs once per Period
	After  Task          // runs after each batch of tasks and after each Tick
}

// Run runs tasks on the calling goroutine until the context ends.
func (l *EventLoop) Run(ctx context.Context, c LoopConfig) {
	defer close(l.done)
	ticker := time.NewTicker(c.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-l.tasks.Items():
			now := c.Now()
			c.Before(now)
			task(now)
			l.runBatch(now)
		case <-ticker.C:
			now := c.Now()
			c.Before(now)
			c.Tick(now)
		}
		c.After(c.Now())
	}
}

// runBatch runs the tasks that are already waiting, at most taskBatch of them.
func (l *EventLoop) runBatch(now time.Time) {
	for range taskBatch {
		select {
		case task := <-l.tasks.Items():
			task(now)
		default:
			return
		}
	}
}

// Post queues a task, waiting for room until the context ends.
func (l *EventLoop) Post(ctx context.Context, task Task) error { return l.tasks.Put(ctx, task) }

// Offer queues a task without blocking and reports whether there was room.
func (l *EventLoop) Offer(task Task) bool { return l.tasks.Offer(task) }

// Len returns the number of waiting tasks.
func (l *EventLoop) Len() int { return l.tasks.Len() }

// Refused returns the number of tasks that Offer rejected because the queue was full.
func (l *EventLoop) Refused() uint64 { return l.tasks.Refused() }

// Do queues a task and waits until it has run. The context limits only the wait for
// room in the queue: a queued task will still run, and its results must not be read
// before it has.
func (l *EventLoop) Do(ctx context.Context, task Task) error {
	finished := make(chan struct{})
	err := l.Post(ctx, func(now time.Time) {
		task(now)
		close(finished)
	})
	if err != nil {
		return err
	}
	select {
	case <-finished:
		return nil
	case <-l.done:
		return context.Canceled
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *EventLoop) Done() <-chan struct{} { return l.done }
