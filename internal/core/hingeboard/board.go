// Package hingeboard implements the blackboard: state that controllers write and
// traffic goroutines read.
//
//  1. One goroutine, the loop, runs all controllers of a process in turn. Only it
//     changes control state, so control state needs no locks.
//  2. A controller publishes what traffic needs in a Cell, as an immutable value.
//     Traffic goroutines load it without blocking.
//  3. Other goroutines post functions to the loop. The loop passes the current
//     time to functions and controllers, which read no clock themselves.
package hingeboard

import (
	"context"
	"sync/atomic"
	"time"
)

// Cell holds one published value. The zero Cell is ready to use and holds nil.
// All methods are safe for concurrent use.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	changed atomic.Pointer[chan struct{}]
}

// Load returns the value of the latest Store, or nil before the first. The value
// is shared, so the caller must not modify it.
func (c *Cell[T]) Load() *T {
	return c.value.Load()
}

// Store publishes a value and closes the channel that Changed returned. The value
// must not be modified afterwards.
func (c *Cell[T]) Store(v *T) {
	c.value.Store(v)
	if ch := c.changed.Swap(nil); ch != nil {
		close(*ch)
	}
}

// Changed returns a channel that is closed by the next Store. Call it before
// Load: a Store between a Load and a later call to Changed is missed.
func (c *Cell[T]) Changed() <-chan struct{} {
	for {
		if ch := c.changed.Load(); ch != nil {
			return *ch
		}
		fresh := make(chan struct{})
		if c.changed.CompareAndSwap(nil, &fresh) {
			return fresh
		}
	}
}

// Controller owns a part of the control state. The loop calls it.
type Controller interface {
	// Step does the work that is scheduled up to now and returns the time of the
	// next scheduled work, or the zero time if there is none. The loop may call
	// it earlier.
	Step(now time.Time) (next time.Time)
}

// Loop runs controllers and posted functions on one goroutine.
type Loop struct {
	posts       chan func(now time.Time)
	controllers []Controller
	clock       func() time.Time
	done        chan struct{}
}

// postQueueSize is the capacity of the queue of posted functions. Post blocks
// while the queue is full, so that a slow loop slows the links down instead of
// using more memory.
const postQueueSize = 1024

// maxSleep is the longest time between two steps of the controllers.
const maxSleep = time.Second

// NewLoop returns a loop that steps the controllers in the given order. The clock
// is read once for each posted function and once for each round of steps.
func NewLoop(clock func() time.Time, controllers ...Controller) *Loop {
	return &Loop{
		posts:       make(chan func(now time.Time), postQueueSize),
		controllers: controllers,
		clock:       clock,
		done:        make(chan struct{}),
	}
}

// Post queues a function to run on the loop's goroutine and blocks while the queue
// is full. It reports false if the loop has ended; a queued function isn't run if
// the loop ends first.
func (l *Loop) Post(f func(now time.Time)) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.posts <- f:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}

// Run runs the loop until the context is done, and then returns nil. It may be
// called once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.posts:
			f(l.clock())
			l.drainPosts()
		case <-timer.C:
		}
		now := l.clock()
		timer.Reset(l.stepAll(now).Sub(now))
	}
}

// drainPosts runs the functions that are already queued, so that a burst of posts
// needs one round of steps.
func (l *Loop) drainPosts() {
	for range postQueueSize {
		select {
		case f := <-l.posts:
			f(l.clock())
		default:
			return
		}
	}
}

// stepAll steps all controllers and returns the time of the next round.
func (l *Loop) stepAll(now time.Time) time.Time {
	wake := now.Add(maxSleep)
	for _, c := range l.controllers {
		next := c.Step(now)
		if !next.IsZero() && next.Before(wake) {
			wake = next
		}
	}
	return wake
}
