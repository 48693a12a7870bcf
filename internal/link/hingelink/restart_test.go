package hingelink

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// restarting is a host whose process is ended and started again, and its peer.
type restarting struct {
	t     *testing.T
	peer  *QUIC
	ctx   context.Context
	calls atomic.Int64
	sent  atomic.Int64
}

func newRestarting(t *testing.T) *restarting {
	t.Helper()
	r := &restarting{
		t:    t,
		peer: newTestLink(t, "roscoff-1", 1),
	}
	r.peer.HandleCall("test.count", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		r.calls.Add(1)
		return nil, nil
	})
	r.peer.HandleDatagram("test.beat", func(hingeids.HostID, []byte) {
		r.sent.Add(1)
	})
	// The test dials from the host only.
	r.peer.addTestPeer("cancale-1", &net.UDPAddr{
		IP:   net.IPv4(127, 0, 0, 1),
		Port: 1,
	})
	r.ctx = run(t, r.peer)
	return r
}

// start starts a process of the host. end ends it: by a signal, or at once, so that its peer isn't told.
func (r *restarting) start(number hingeids.Incarnation) (q *QUIC, end func(atOnce bool)) {
	r.t.Helper()
	f := newForwarder(r.t, r.peer.Addr())
	q = newTestLink(r.t, "cancale-1", number)
	q.addTestPeer("roscoff-1", f.socket.LocalAddr().(*net.UDPAddr))
	ctx, stop := context.WithCancel(r.ctx)
	go func() {
		_ = q.Run(ctx)
	}()
	r.t.Cleanup(func() {
		stop()
		<-q.Done()
	})
	return q, func(atOnce bool) {
		if atOnce {
			f.dropFlows()
		}
		stop()
		<-q.Done()
	}
}

// heardAfter returns the times until a call and a datagram of a process are accepted.
func (r *restarting) heardAfter(q *QUIC, limit time.Duration) (call, datagram time.Duration) {
	r.t.Helper()
	start := time.Now()
	before := r.sent.Load()
	for call == 0 || datagram == 0 {
		if time.Since(start) > limit {
			r.t.Fatalf("after %v: call accepted after %v, datagram after %v (0 is never)", limit, call, datagram)
		}
		q.Send("roscoff-1", "test.beat", nil)
		if datagram == 0 && r.sent.Load() > before {
			datagram = time.Since(start)
		}
		if _, err := q.Call(r.ctx, "roscoff-1", "test.count", nil); call == 0 && err == nil {
			call = time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return call, datagram
}

func (r *restarting) mustCall(q *QUIC) {
	r.t.Helper()
	if _, err := q.Call(r.ctx, "roscoff-1", "test.count", nil); err != nil {
		r.t.Fatal(err)
	}
}

func (r *restarting) mustReject(q *QUIC) {
	r.t.Helper()
	calls, sent := r.calls.Load(), r.sent.Load()
	q.Send("roscoff-1", "test.beat", nil)
	_, err := q.Call(r.ctx, "roscoff-1", "test.count", nil)
	wantOutcome(r.t, err, linkNotRun)
	time.Sleep(50 * time.Millisecond)
	if r.calls.Load() != calls || r.sent.Load() != sent {
		r.t.Fatal("a message of an instance that was replaced ran a handler")
	}
}

// Guards against a process that its peer never listens to, since the clock that numbers it was set back before its
// start.
func TestProcessThatStartsAfterItsClockWentBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		atOnce bool
		bound  time.Duration
	}{
		{name: "the one before ended by a signal", bound: time.Second},
		{name: "the one before was killed", atOnce: true, bound: idleFactor*DefaultKeepAlive + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRestarting(t)
			clock := hingeids.Incarnation(time.Hour)
			for range 2 {
				clock -= hingeids.Incarnation(time.Minute)
				q, end := r.start(clock)
				call, datagram := r.heardAfter(q, 12*time.Second)
				t.Logf("call accepted after %v, datagram after %v", call, datagram)
				if call > c.bound || datagram > c.bound {
					t.Errorf("want at most %v", c.bound)
				}
				end(c.atOnce)
			}
		})
	}
}

// Guards against messages of a process that was suspended and resumes, also if its clock was ahead, so that it has a
// higher number than its successor, and if that hasn't sent a message for longer than the idle timeout.
func TestResumedProcessIsRejectedWhileItsSuccessorLives(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name             string
		resumed, present hingeids.Incarnation
		unknown          bool
	}{
		{name: "lower number", resumed: 1, present: 2},
		{name: "higher number", resumed: 2, present: 1},
		{name: "lower number, unknown to its peer", resumed: 1, present: 2, unknown: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRestarting(t)
			resumed, _ := r.start(c.resumed)
			if !c.unknown {
				r.mustCall(resumed)
			}
			if c.resumed > c.present {
				// It is suspended until its connection is closed.
				conn, _, _ := resumed.findPeer("roscoff-1").state()
				_ = conn.CloseWithError(closedByProcessEnd, "")
			}
			present, _ := r.start(c.present)
			r.heardAfter(present, maxWait)
			// The successor only sends keep-alives meanwhile.
			for start := time.Now(); time.Since(start) < maxIdleTimeout+time.Second; {
				r.mustReject(resumed)
			}
			r.mustCall(present)
		})
	}
}

// Guards against the loss of a host whose process was out of reach for a while, during which an earlier one resumed.
func TestSuccessorIsAcceptedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	var s instances
	var early, late, again connection
	accept := func(c *connection, i hingeids.Incarnation, want bool) {
		t.Helper()
		if got := s.accept(now, c, i).accepted; got != want {
			t.Fatalf("instance %d accepted: %v, want %v", i, got, want)
		}
	}
	accept(&early, 9, true)
	s.connectionClosed(now, &early, nil)
	accept(&late, 3, false)
	now = now.Add(maxIdleTimeout + 1)
	accept(&late, 3, true)
	accept(&early, 9, false)
	s.connectionClosed(now, &late, nil)
	accept(&early, 9, false)
	now = now.Add(maxIdleTimeout + 1)
	accept(&early, 9, true)
	accept(&again, 3, true)
	accept(&early, 9, false)
	for i := range hingeids.Incarnation(3 * maxKnownInstances) {
		accept(&connection{}, 10+i, true)
	}
	if len(s.known) != maxKnownInstances {
		t.Fatalf("%d instances are remembered, want %d", len(s.known), maxKnownInstances)
	}
}
