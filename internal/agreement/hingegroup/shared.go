package hingegroup

import (
	"context"
	"sync"
	"time"
)

// maxSharedDelay is how long a run waits for the one before it to end.
const maxSharedDelay = 25 * time.Millisecond

// shared shares the runs of a function among callers. A caller never gets the result of a run that
// started before its call, as that may be too old. Callers that arrive while one runs share the next.
type shared[T any] struct {
	mu      sync.Mutex
	running int
	next    *sharedRun[T]
}

type sharedRun[T any] struct {
	done  chan struct{}
	value T
}

// do returns the result of a run that starts after the call, and false if the context ends first. All
// callers pass the same function, which must end by itself.
func (s *shared[T]) do(ctx context.Context, run func() T) (T, bool) {
	r := s.join(run)
	select {
	case <-r.done:
		return r.value, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

func (s *shared[T]) join(run func() T) *sharedRun[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return s.next
	}
	r := &sharedRun[T]{
		done: make(chan struct{}),
	}
	if s.running == 0 {
		s.start(r, run)
		return r
	}
	s.next = r
	time.AfterFunc(maxSharedDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.next == r {
			s.start(r, run)
		}
	})
	return r
}

// start starts a run. The caller holds the lock.
func (s *shared[T]) start(r *sharedRun[T], run func() T) {
	if s.next == r {
		s.next = nil
	}
	s.running++
	go func() {
		r.value = run()
		close(r.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		if s.running == 0 && s.next != nil {
			s.start(s.next, run)
		}
	}()
}
