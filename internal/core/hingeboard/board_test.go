package hingeboard

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against waiters on Changed that miss a Store.
func TestStoreClosesChangedChannel(t *testing.T) {
	var c Cell[int]
	changed := c.Changed()
	seven := 7
	c.Store(&seven)
	select {
	case <-changed:
	default:
		t.Fatal("the channel from Changed is still open after Store")
	}
	if diff := cmp.Diff(&seven, c.Load()); diff != "" {
		t.Fatal(diff)
	}
}

type stepCounter struct {
	steps chan time.Time
}

func (s *stepCounter) Step(now time.Time) time.Time {
	select {
	case s.steps <- now:
	default:
	}
	return time.Time{}
}

// Guards against a shutdown that hangs because Post blocks on a loop that has ended.
func TestPostAfterLoopEndReturns(t *testing.T) {
	s := &stepCounter{
		steps: make(chan time.Time, 1),
	}
	l := NewLoop(time.Now, s)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_ = l.Run(ctx)
	}()
	<-s.steps
	cancel()
	<-l.Done()
	if l.Post(func(time.Time) {}) {
		t.Fatal("Post to an ended loop returned true")
	}
}
