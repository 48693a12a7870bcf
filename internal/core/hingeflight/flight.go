// Package hingeflight shares the runs of a function among its callers.
package hingeflight

import (
	"context"
	"sync"
	"time"
)

// Shared shares the runs of a function, such as queries of another host, among callers. A caller never gets
// the result of a run that started before its call, as that may be too old. Callers that arrive while one
// runs share the next. The zero value is ready to use.
type Shared[T any] struct {
	// MaxDelay is how long a run waits for the one before it to end; zero means until it has ended.
	MaxDelay time.Duration

	mu      sync.Mutex
	running int
	next    *flight[T]
}

type flight[T any] struct {
	done  chan struct{}
	value T
}

// Do returns the result of a run that starts after the call, and false if the context ends first. All
// callers pass the same function, which must end by itself.
func (s *Shared[T]) Do(ctx context.Context, run func() T) (T, bool) {
	f := s.join(run)
	select {
	case <-f.done:
		return f.value, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

func (s *Shared[T]) join(run func() T) *flight[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return s.next
	}
	f := &flight[T]{
		done: make(chan struct{}),
	}
	if s.running == 0 {
		s.start(f, run)
		return f
	}
	s.next = f
	if s.MaxDelay > 0 {
		time.AfterFunc(s.MaxDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.next == f {
				s.start(f, run)
			}
		})
	}
	return f
}

// start starts a run. The caller holds the lock.
func (s *Shared[T]) start(f *flight[T], run func() T) {
	if s.next == f {
		s.next = nil
	}
	s.running++
	go func() {
		f.value = run()
		close(f.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		if s.running == 0 && s.next != nil {
			s.start(s.next, run)
		}
	}()
}
