// Package ring provides bounded queues between goroutines, and an event loop that runs
// tasks from such a queue on one goroutine.
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded FIFO queue for any number of producers and one consumer. It never
// grows: when it is full, Offer returns false and Put blocks.
type Queue[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a queue that holds at most size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// Offer adds an item without blocking and reports whether there was room.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.refused.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until the context ends.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which the consumer receives items.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Refused returns the number of items that Offer rejected because the queue was full.
func (q *Queue[T]) Refused() uint64 { return q.refused.Load() }
