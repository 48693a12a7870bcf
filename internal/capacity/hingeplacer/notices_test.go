package hingeplacer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
)

// twoPerSecond is the notice of a replica that accepts two requests a second.
var twoPerSecond = hingenotice.Notice{
	RateLimit: 2,
}

// stateTo records a statement of app-1 in an answer to a host.
func (cl *cluster) stateTo(owner int, n hingenotice.Notice) {
	cl.owners[owner].RecordNotice(hingenotice.Subject{
		Service: "app",
		Server:  "app-1",
	}, n, time.Now())
}

// callsTo places n requests of a host, 10 ms apart, and returns how many went to app-1.
func (cl *cluster) callsTo(t *testing.T, owner, n int) int {
	t.Helper()
	sent := 0
	for i := range n {
		c := callRequest(0)
		c.ID = hingequeue.CallID(fmt.Sprint(owner, "/", i, "/", time.Now().UnixNano()))
		a := cl.owners[owner].PlaceCall(context.Background(), c)
		if a.Server == "" {
			t.Fatalf("request %d: %+v", i, a)
		}
		time.Sleep(10 * time.Millisecond)
		done := completionOf(c, a)
		if a.Server == "app-1" {
			sent++
			if cl.limited {
				done.Notice = twoPerSecond
			}
		}
		cl.owners[owner].CompleteCall("app", a, done)
	}
	return sent
}

// nextLeader replaces the placer by one that knows nothing.
func (cl *cluster) nextLeader() {
	cl.network.Remove("control-1")
	cl.leads["control-2"].Store(true)
	for _, k := range cl.views {
		k.placers.Store(&[]hingeids.HostID{"control-2"})
	}
	time.Sleep(time.Second)
}

// Guards against a new placer that breaks the limit that a server has named to hosts before: it learns of it from
// them before it places anything there.
func TestNextLeaderKeepsTheRateLimits(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.limited = true
		cl.stateTo(0, hingenotice.Notice{
			RateLimit: 0.1,
		})
		time.Sleep(100 * time.Millisecond)
		cl.nextLeader()
		if n := cl.callsTo(t, 1, 100); n != 0 {
			t.Errorf("%d requests in a second at a limit of one in ten seconds", n)
		}
	})
}

// Guards against a host that reaches no placer and exceeds its part of a limit that it was told itself.
func TestHostWithoutPlacerKeepsTheRateLimits(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.limited = true
		cl.stateTo(0, twoPerSecond)
		time.Sleep(100 * time.Millisecond)
		cl.network.Remove("control-1")
		cl.network.Remove("control-2")
		if n := cl.callsTo(t, 0, 400); n == 0 || n > 4 {
			t.Errorf("%d requests in 4 s at half of a limit of 2, of which all hosts without a placer use half", n)
		}
	})
}

// Guards against a host that places locally right after a server has named a limit to it, while its report waits for a
// placer that doesn't respond.
func TestLocalPlacerKnowsALimitAtOnce(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.network.Remove("control-1")
		cl.network.Remove("control-2")
		cl.stateTo(0, hingenotice.Notice{
			RateLimit: 0.1,
		})
		synctest.Wait()
		o := cl.owners[0]
		known := make(chan bool, 1)
		o.local.post(t.Context(), func(time.Time) {
			_, found := o.local.queues["app"]
			known <- found
		})
		if !<-known {
			t.Error("the local placer hasn't received the limit")
		}
	})
}

// Guards against a host that sends to a server which has told it that it leaves, since a placer that doesn't know it, or
// the host itself without a placer, chooses it.
func TestLeavingServerIsNotChosen(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.stateTo(0, hingenotice.Notice{
			Leaving: true,
		})
		if !cl.owners[0].Withholds("app-1") {
			t.Error("the host doesn't know it")
		}
		time.Sleep(100 * time.Millisecond)
		if n := cl.callsTo(t, 1, 50); n != 0 {
			t.Errorf("%d requests placed there for another host", n)
		}
		cl.nextLeader()
		if n := cl.callsTo(t, 1, 50); n != 0 {
			t.Errorf("%d requests placed there by the next leader", n)
		}
		cl.network.Remove("control-2")
		if n := cl.callsTo(t, 0, 50); n != 0 {
			t.Errorf("%d requests placed there without a placer", n)
		}
	})
}

// Guards against requests of a host to a server that wants none of it for a while, whichever placer chooses, and against
// other hosts that lose the server meanwhile.
func TestBackoffConcernsOneHost(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.stateTo(0, hingenotice.Notice{
			Backoff: 8 * time.Second,
		})
		for _, change := range []func(){
			func() {},
			cl.nextLeader,
			func() {
				cl.network.Remove("control-2")
			},
		} {
			change()
			if n := cl.callsTo(t, 0, 50); n != 0 {
				t.Errorf("%d requests of the host in its pause", n)
			}
			if n := cl.callsTo(t, 1, 50); n == 0 {
				t.Error("no request of another host")
			}
		}
		time.Sleep(8 * time.Second)
		if n := cl.callsTo(t, 0, 50); n == 0 {
			t.Error("no request of the host after its pause")
		}
	})
}

// Guards against limits that are reported again and again: a report carries what has changed since the last one that
// the placer has received, and everything to a new placer.
func TestStatementsAreReportedOnce(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		o := cl.owners[0]
		for i := range 5 {
			o.RecordNotice(hingenotice.Subject{
				Service: "app",
				Server:  hingeids.ServerID(fmt.Sprint("app-", i)),
			}, twoPerSecond, time.Now())
		}
		time.Sleep(2 * reportInterval)
		if list, _ := o.unreportedStatements("control-1"); len(list) != 0 {
			t.Errorf("%d statements are reported again", len(list))
		}
		if list, _ := o.unreportedStatements("control-2"); len(list) != 5 {
			t.Errorf("%d statements for a new placer, want 5", len(list))
		}
	})
}
