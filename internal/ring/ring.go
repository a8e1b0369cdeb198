// Package ring provides bounded queues between the background services of a process.
// Their depth and the number of dropped items are published in expvar.
package ring

import (
	"context"
	"expvar"
	"fmt"
	"sync/atomic"
)

var metrics = expvar.NewMap("ring")

// Ring is a bounded queue between two background services.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// New returns a ring of the given capacity and publishes its metrics under name. With
// an empty name it publishes nothing; tests that create several rings use this.
func New[T any](name string, capacity int) *Ring[T] {
	r := &Ring[T]{items: make(chan T, capacity)}
	if name != "" {
		metrics.Set(name, expvar.Func(r.stats))
	}
	return r
}

func (r *Ring[T]) stats() any {
	return map[string]int64{
		"depth":    int64(len(r.items)),
		"capacity": int64(cap(r.items)),
		"dropped":  r.dropped.Load(),
	}
}

// Offer adds an item without waiting. It reports false, and counts a drop, if
// the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item. If the ring is full, it waits for room until ctx is done.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("ring: %w", ctx.Err())
	}
}

// Take removes the oldest item. If the ring is empty, it waits for an item until ctx
// is done.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("ring: %w", ctx.Err())
	}
}

// TryTake removes the oldest item if there is one.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items that Offer could not add.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }

// Chan returns the channel of items, for use in a select statement.
func (r *Ring[T]) Chan() <-chan T { return r.items }
