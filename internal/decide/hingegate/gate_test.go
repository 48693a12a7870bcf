package hingegate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeadmit"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newGate(ctx context.Context) *Gate {
	g := New(time.Now, hingeadmit.Defaults(), hingeplace.Defaults())
	for _, kind := range []hingeannounce.Kind{hingeannounce.Prefill, hingeannounce.Decode} {
		g.HandleAnnouncement(hingeannounce.Announcement{
			Server:      hingeids.ServerID(kind),
			Incarnation: 1,
			Kind:        kind,
			Slots:       4,
		}, 0)
	}
	go func() {
		_ = g.Run(ctx)
	}()
	return g
}

func newRequest(n int) Request {
	now := time.Now()
	return Request{
		Placement: hingeplace.Request{
			ID: hingeids.RequestID{
				Sequence: uint64(n),
			},
			Class:    "interactive",
			Priority: 10,
			Prompt:   200,
			TokenGap: 40 * time.Millisecond,
		},
		Caller:     hingeids.CallerID(fmt.Sprint(n)),
		Arrived:    now,
		FirstToken: 500 * time.Millisecond,
		Deadline:   now.Add(5 * time.Second),
	}
}

// serveRequest calls the gate in the order of the request path.
func serveRequest(ctx context.Context, g *Gate, r Request) error {
	d, err := g.Admit(ctx, r)
	if err != nil {
		return err
	}
	defer g.Finish(r.Placement.ID, 30)
	if d.Action == hingeplace.Start {
		time.Sleep(40 * time.Millisecond)
		if _, err := g.BindDecode(ctx, r.Placement.ID, 0); err != nil {
			return err
		}
	}
	time.Sleep(700 * time.Millisecond)
	return nil
}

// Under overload every Admit must return, with a placement or with a refusal
// that has a retry time and comes before the target has passed.
func TestEveryRequestIsPlacedOrRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGate(ctx)
		var all sync.WaitGroup
		var mu sync.Mutex
		answered, refused := 0, 0
		for i := range 200 {
			all.Go(func() {
				began := time.Now()
				err := serveRequest(ctx, g, newRequest(i))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
					return
				}
				refused++
				var v *hingeverdict.Error
				if !errors.As(err, &v) || v.Verdict != hingeverdict.NotRun || v.RetryAfter == 0 {
					t.Errorf("refused with %v", err)
				}
				if waited := time.Since(began); waited > 500*time.Millisecond {
					t.Errorf("refused after %v", waited)
				}
			})
		}
		all.Wait()
		if answered < 4 || answered+refused != 200 || g.Waiting() != 0 {
			t.Errorf("%d answered, %d refused, %d still waiting", answered, refused, g.Waiting())
		}
		cancel()
		<-g.Done()
	})
}

// A caller that disconnects in the queue, during prefill, while it waits for a
// slot or during decode must not leak its slot.
func TestCancelledRequestsReleaseSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGate(ctx)
		var all sync.WaitGroup
		for i := range 60 {
			all.Go(func() {
				requestCtx, cancelRequest := context.WithTimeout(ctx, time.Duration(i)*20*time.Millisecond)
				defer cancelRequest()
				_ = serveRequest(requestCtx, g, newRequest(i))
			})
		}
		all.Wait()
		if n := g.Waiting() + len(g.waiters); n > 0 {
			t.Errorf("%d requests are still in the gate", n)
		}
		for i := range 4 {
			all.Go(func() {
				if err := serveRequest(ctx, g, newRequest(100+i)); err != nil {
					t.Errorf("after all others have left: %v", err)
				}
			})
		}
		all.Wait()
		cancel()
		<-g.Done()
	})
}

// A slow engine must be recorded once when it becomes slow and once when it
// recovers, not with each measurement.
func TestSlowEngineIsRecordedOnce(t *testing.T) {
	g := New(time.Now, hingeadmit.Defaults(), hingeplace.Defaults())
	g.Recorder = hingeevents.NewRecorder(hingeids.Instance{})
	g.HandleAnnouncement(hingeannounce.Announcement{
		Server:      "d",
		Incarnation: 1,
		Kind:        hingeannounce.Decode,
		Slots:       20,
	}, 0)
	for _, gap := range []time.Duration{12, 40, 12, 12} {
		for range 10 {
			g.HandleTokenGap("d", gap*time.Millisecond)
		}
	}
	var got []hingeevents.Number
	for _, e := range g.Recorder.Events() {
		got = append(got, e.Number)
	}
	if diff := cmp.Diff([]hingeevents.Number{hingeevents.EngineSlow, hingeevents.EngineTakenBack}, got); diff != "" {
		t.Fatal(diff)
	}
}

// After the decode engine's allocator refused a slot, the request must get
// another slot as soon as one is free, and not be sent to the full engine at
// once.
func TestRefusedSlotIsRetriedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGate(ctx)
		r := newRequest(1)
		if _, err := g.Admit(ctx, r); err != nil {
			t.Fatal(err)
		}
		s, err := g.BindDecode(ctx, r.Placement.ID, 0)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		again, err := g.RetryBind(ctx, r.Placement.ID, s)
		if err != nil || again != s {
			t.Fatalf("bound to %q: %v", again, err)
		}
		if waited := time.Since(began); waited == 0 {
			t.Error("bound at once to the engine that had just refused the slot")
		}
		cancel()
		<-g.Done()
	})
}
