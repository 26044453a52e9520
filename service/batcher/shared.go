package batcher

import (
	"context"
	"sync"

	"celerygap.example/lib/grouper"
)

// sharedRead makes one read at a time for all callers. A caller gets the result of a read that began after its call.
type sharedRead[T any] struct {
	work *grouper.Group
	read func() (T, error)

	mu      sync.Mutex
	running bool
	// next is the read that begins after the current one; it is nil if nobody waits for it.
	next *pendingRead[T]
}

// pendingRead is the result of a read, which is valid once done is closed.
type pendingRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

func newSharedRead[T any](work *grouper.Group, read func() (T, error)) *sharedRead[T] {
	return &sharedRead[T]{work: work, read: read}
}

func (s *sharedRead[T]) get(ctx context.Context) (T, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &pendingRead[T]{done: make(chan struct{})}
	}
	pending := s.next
	if !s.running {
		s.running = true
		s.work.Go(s.run)
	}
	s.mu.Unlock()
	select {
	case <-pending.done:
		return pending.value, pending.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run makes reads until nobody waits for one.
func (s *sharedRead[T]) run() {
	for {
		s.mu.Lock()
		current := s.next
		s.next = nil
		s.running = current != nil
		s.mu.Unlock()
		if current == nil {
			return
		}
		current.value, current.err = s.read()
		close(current.done)
	}
}
