package hingeplacer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

func quayQuery(id int) Call {
	return Call{
		Service: "app",
		ID:      hingequeue.CallID(fmt.Sprint(id)),
		InTime:  150 * time.Millisecond,
		Left:    time.Second,
	}
}

func endOf(c Call, a CallPlacement) hingequeue.Completion {
	return hingequeue.Completion{
		ID:      c.ID,
		Server:  a.Server,
		Outcome: hingebalance.Answered,
		Elapsed: 20 * time.Millisecond,
	}
}

// Two entry hosts each send quay queries to the same two replicas of two slots. If each counted its own only, a replica would
// have a queue of them, and callers would hear from it after half of their time that it is full. The seventh query waits for an
// end that the other host tells.
func TestHostsKnowOfEachOthersRequests(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		ctx := context.Background()
		var calls []Call
		var placed []CallPlacement
		for i := range 6 {
			c := quayQuery(i)
			a := b.owners[i%2].PlaceCall(ctx, c)
			if a.Server == "" || a.Alone {
				t.Fatalf("query %d: %+v", i, a)
			}
			calls = append(calls, c)
			placed = append(placed, a)
		}
		seventh := make(chan CallPlacement, 1)
		go func() {
			seventh <- b.owners[0].PlaceCall(ctx, quayQuery(6))
		}()
		time.Sleep(20 * time.Millisecond)
		select {
		case a := <-seventh:
			t.Fatalf("sent to a full replica: %+v", a)
		default:
		}
		b.owners[1].EndCall("app", placed[1], endOf(calls[1], placed[1]))
		time.Sleep(time.Millisecond)
		select {
		case a := <-seventh:
			if a.Server != placed[1].Server {
				t.Fatalf("the free slot is at %s, the query went to %+v", placed[1].Server, a)
			}
		default:
			t.Fatal("the other host's end gave nobody its slot")
		}
	})
}

// The placer is suspended: it takes questions and answers none. A caller at the quay waits a tenth of a second; its
// host chooses by itself in time, and asks others at once for those that follow.
func TestQueriesGoOnWhileThePlacerIsSuspended(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.network.Freeze("control-1")
		began := time.Now()
		a := b.owners[0].PlaceCall(context.Background(), quayQuery(1))
		if took := time.Since(began); !a.Alone || a.Server == "" || took > 120*time.Millisecond {
			t.Fatalf("%+v after %v", a, took)
		}
		began = time.Now()
		a = b.owners[0].PlaceCall(context.Background(), quayQuery(2))
		if took := time.Since(began); !a.Alone || took > 5*time.Millisecond {
			t.Fatalf("the next one: %+v after %v", a, took)
		}
		b.network.Thaw("control-1")
	})
}

// The leader changes while queries wait at the old one. They are handed back at once and asked again elsewhere, and don't wait out their time.
func TestWaitingQueriesAreHandedBackByALeaderThatStepsDown(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		ctx := context.Background()
		for i := range 6 {
			b.owners[0].PlaceCall(ctx, quayQuery(i))
		}
		answer := make(chan CallPlacement, 1)
		go func() {
			answer <- b.owners[0].PlaceCall(ctx, quayQuery(6))
		}()
		time.Sleep(10 * time.Millisecond)
		b.leads["control-1"].Store(false)
		b.leads["control-2"].Store(true)
		time.Sleep(stepEvery + time.Millisecond)
		select {
		case a := <-answer:
			if a.Server == "" || a.Alone {
				t.Fatalf("%+v", a)
			}
		default:
			t.Fatal("still waits")
		}
	})
}

// A caller leaves while its query waits for a replica. Nobody is sent anywhere for it, and the next in the queue has its turn.
func TestCallerWhoLeavesFreesItsTurn(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		var last CallPlacement
		for i := range 6 {
			last = b.owners[0].PlaceCall(context.Background(), quayQuery(i))
		}
		leaving, leave := context.WithCancel(context.Background())
		go b.owners[0].PlaceCall(leaving, quayQuery(6))
		time.Sleep(5 * time.Millisecond)
		answer := make(chan CallPlacement, 1)
		go func() {
			answer <- b.owners[1].PlaceCall(context.Background(), quayQuery(7))
		}()
		time.Sleep(5 * time.Millisecond)
		leave()
		time.Sleep(time.Millisecond)
		b.owners[0].EndCall("app", last, endOf(quayQuery(5), last))
		time.Sleep(time.Millisecond)
		select {
		case a := <-answer:
			if a.Server == "" {
				t.Fatalf("%+v", a)
			}
		default:
			t.Fatal("the slot went to a caller who had left")
		}
	})
}

// counted counts the looks at engines.
type counted struct {
	engines
	looks atomic.Int64
}

func (c *counted) Engines() map[hingeids.Service][]hingefleet.Engine {
	c.looks.Add(1)
	return c.engines.Engines()
}

// A burst of plain requests comes while streams wait for engines. Each look at the streams goes over all engines; if every plain request
// had one done, the leader's processor would be used up, hosts would take it for silent, and streams be refused beside free engines. If
// plain requests kept the next look away, streams would wait for nothing.
func TestPlainRequestsDoNotSetThePaceOfStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		servers := &counted{}
		p := New(servers, nil, func() bool {
			return true
		}, time.Now, hingequota.DefaultTerms)
		go func() {
			_ = p.Run(ctx)
		}()
		defer func() {
			stop()
			<-p.Done()
		}()
		time.Sleep(time.Second)
		waiting, leave := context.WithCancel(ctx)
		defer leave()
		for i := range 12 {
			go p.Place(waiting, "entry-1", want(fmt.Sprint(i)))
		}
		time.Sleep(50 * time.Millisecond)
		before := servers.looks.Load()
		for i := range 200 {
			c := quayQuery(i)
			a := p.PlaceCall(ctx, c)
			p.EndCall(callEnd{
				Service: c.Service,
				End:     endOf(c, a),
			})
			time.Sleep(time.Millisecond)
		}
		looks := servers.looks.Load() - before
		if most := int64(200*time.Millisecond/stepEvery) + 2; looks > most || looks < most/2 {
			t.Errorf("%d looks at streams in 200 ms, want up to %d", looks, most)
		}
	})
}
