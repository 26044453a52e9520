package buffer

import "sync/atomic"

// Ring is a bounded first-in, first-out queue between two duties.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
}

// New returns an empty ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item and reports whether the ring had room for it. It counts the items that it refuses.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel from which the receiving duty reads the items.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items were refused because the ring was full.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }
