package hingelink

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// openLink starts a link of an open membership whose host can be called as "seed".
func openLink(t *testing.T, self hingeids.HostID, seed *QUIC, prepare ...func(*QUIC)) *QUIC {
	t.Helper()
	q, err := NewInsecure(hingeids.Instance{
		Host:        self,
		Incarnation: 1,
	}, "127.0.0.1:0", func(hingeids.HostID) (string, error) {
		if seed == nil {
			// The seed calls nobody.
			return "127.0.0.1:1", nil
		}
		return seed.Addr().String(), nil
	}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	q.unusedTimeout = 200 * time.Millisecond
	q.HandleCall("test.echo", func(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
		return body, nil
	})
	for _, f := range prepare {
		f(q)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := q.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return q
}

// Guards against connections to hosts that aren't called any more: a thousand hosts that once called a
// seed would cost it their memory and keep-alives for ever.
func TestUnusedConnectionIsClosed(t *testing.T) {
	seed := openLink(t, "seed", nil)
	host := openLink(t, "host", seed)
	for range 2 {
		b, err := host.Call(t.Context(), "seed", "test.echo", []byte("7"))
		if diff := cmp.Diff("7", string(b)); diff != "" || err != nil {
			t.Fatalf("%v, %s", err, diff)
		}
		deadline := time.Now().Add(10 * time.Second)
		for host.findPeer("seed") != nil {
			if time.Now().After(deadline) {
				t.Fatal("the peer is still there 10s after its last call")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// clockStep returns a clock whose time of day is ahead by step, while its monotonic readings aren't.
func clockStep(step *atomic.Int64) func() time.Time {
	// The layout of time.Time: with a monotonic reading, its first word has the seconds from bit 30 on.
	return func() time.Time {
		t := time.Now()
		*(*uint64)(unsafe.Pointer(&t)) += uint64(step.Load()) << 30
		return t
	}
}

// Guards against calls that are cut off, since the connection counts as unused when the wall clock is set forward, and
// against connections that are kept for as long as it was set back.
func TestUnusedConnectionsAfterClockStep(t *testing.T) {
	for _, hours := range []int64{1, -1} {
		held := make(chan struct{})
		seed := openLink(t, "seed", nil, func(q *QUIC) {
			q.HandleCall("test.hold", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
				<-held
				return nil, nil
			})
		})
		var step atomic.Int64
		host := openLink(t, "host", seed, func(q *QUIC) {
			q.clock = clockStep(&step)
			q.created = q.clock()
			q.unusedTimeout = time.Second
		})
		outcome := make(chan error, 1)
		go func() {
			_, err := host.Call(t.Context(), "seed", "test.hold", nil)
			outcome <- err
		}()
		time.Sleep(300 * time.Millisecond)
		step.Store(hours * 3600)
		time.Sleep(400 * time.Millisecond)
		close(held)
		if err := <-outcome; err != nil {
			t.Errorf("%d hours: the call failed: %v", hours, err)
		}
		for deadline := time.Now().Add(5 * time.Second); host.findPeer("seed") != nil; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d hours: the peer is still there 5s after its last call", hours)
			}
		}
	}
}

// Guards against keep-alives that are too frequent for a host with a thousand connections, or so rare
// that a connection whose packets are dropped goes unnoticed.
func TestKeepAliveIsBounded(t *testing.T) {
	for interval, want := range map[time.Duration]time.Duration{
		0:                      DefaultKeepAlive,
		time.Millisecond:       DefaultKeepAlive,
		985 * time.Millisecond: 985 * time.Millisecond,
		time.Minute:            MaxKeepAlive,
	} {
		q := &QUIC{
			config: Config{
				KeepAlive: func() time.Duration {
					return interval
				},
			},
		}
		c := q.dialConfig()
		if c.KeepAlivePeriod != want || c.MaxIdleTimeout != idleFactor*want {
			t.Errorf("%v: keep-alives every %v, idle timeout %v", interval, c.KeepAlivePeriod, c.MaxIdleTimeout)
		}
		if accepted := acceptConfig(); accepted.MaxIdleTimeout < c.MaxIdleTimeout || accepted.KeepAlivePeriod != 0 {
			t.Errorf("accepted connections have %v and %v", accepted.KeepAlivePeriod, accepted.MaxIdleTimeout)
		}
	}
}
