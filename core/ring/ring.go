// Package ring provides the bounded queues that join one goroutine's duty to
// the next.
package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in-first-out queue for any number of producers and
// one consumer. It never grows: a full ring refuses or blocks its producer.
type Queue[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// Offer adds an item without blocking and reports whether there was room.
func (r *Queue[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until the context ends.
func (r *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items is the consumer's end.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Len is the number of items waiting.
func (r *Queue[T]) Len() int { return len(r.items) }

// Refused counts the items that Offer turned away.
func (r *Queue[T]) Refused() uint64 { return r.refused.Load() }
