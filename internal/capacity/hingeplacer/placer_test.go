package hingeplacer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

// engines are one that prefills and two that decode, each with room for two streams of the tests.
type engines struct{}

func (engines) Engines() map[hingeids.Service][]hingefleet.Engine {
	list := []hingefleet.Engine{
		{
			Server: "prefill",
			Role:   hingefleet.Prefill,
			Slots:  8,
			Memory: 24000,
		},
	}
	for _, id := range []hingeids.ServerID{"decode-1", "decode-2"} {
		list = append(list, hingefleet.Engine{
			Server: id,
			Role:   hingefleet.Decode,
			Slots:  8,
			Memory: 24000,
		})
	}
	return map[hingeids.Service][]hingefleet.Engine{
		"model": list,
	}
}

// Replicas are two of a plain service, each with two slots.
func (engines) Replicas() map[hingeids.Service][]hingebalance.Replica {
	return map[hingeids.Service][]hingebalance.Replica{
		"app": {
			{
				Server: "app-1",
				Slots:  2,
			},
			{
				Server: "app-2",
				Slots:  2,
			},
		},
	}
}

// Address gives each server an address that names it.
func (engines) Address(id hingeids.ServerID) (string, bool) {
	return string(id) + ":80", true
}

// Quota bounds the customer named busy, by 1,000 tokens a second and a burst of 8,000.
func (engines) Quota(c hingeids.CallerID) hingecustomers.Quota {
	if c != "busy" {
		return hingecustomers.Quota{}
	}
	return hingecustomers.Quota{
		Unit:  hingecustomers.Tokens,
		Rate:  1000,
		Burst: 8000,
	}
}

// Poison knows of no request that is refused.
func (engines) Poison(hingeids.Fingerprint) hingepoison.Listed {
	return hingepoison.Listed{}
}

func (engines) Entries() int { return 2 }

func (engines) Leads() bool { return true }

// fleets is what an entry host of the test knows.
type fleets struct {
	engines
	placers atomic.Pointer[[]hingeids.HostID]
	entries int
}

func (f *fleets) Placers() []hingeids.HostID { return *f.placers.Load() }

func (f *fleets) Entries() int { return f.entries }

// bench is two control hosts and two entry hosts, under a fake clock.
type bench struct {
	network *hingefake.Network
	leads   map[hingeids.HostID]*atomic.Bool
	owners  []*Owner
	known   []*fleets
}

func inBubble(t *testing.T, f func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		b := &bench{
			network: hingefake.NewNetwork(),
			leads:   make(map[hingeids.HostID]*atomic.Bool),
		}
		var done []<-chan struct{}
		for _, h := range []hingeids.HostID{"control-1", "control-2"} {
			leads := &atomic.Bool{}
			leads.Store(h == "control-1")
			b.leads[h] = leads
			p := New(engines{}, nil, leads.Load, time.Now, hingequota.DefaultTerms)
			p.Handle(b.network.Link(h), nil)
			done = append(done, p.Done())
			go func() {
				_ = p.Run(ctx)
			}()
		}
		for i := range 2 {
			h := hingeids.HostID(fmt.Sprint("entry-", i+1))
			known := &fleets{
				entries: 2,
			}
			known.placers.Store(&[]hingeids.HostID{"control-1", "control-2"})
			o := NewOwner(h, b.network.Link(h), known, time.Now, nil, hingequota.DefaultTerms)
			b.owners = append(b.owners, o)
			b.known = append(b.known, known)
			done = append(done, o.Done())
			go func() {
				_ = o.Run(ctx)
			}()
		}
		time.Sleep(time.Second)
		defer func() {
			stop()
			for _, d := range done {
				<-d
			}
		}()
		f(t, b)
	})
}

func want(id string) Want {
	return Want{
		Service:  "model",
		ID:       hingefleet.StreamID(id),
		Prompt:   5000,
		Expected: 3000,
		Target:   900 * time.Millisecond,
		Patience: 3 * time.Second,
		Left:     14 * time.Second,
	}
}

// place asks for a stream and reports it as begun.
func (b *bench) place(t *testing.T, owner int, id string) (Placement, *Stream) {
	t.Helper()
	w := want(id)
	a := b.owners[owner].Place(context.Background(), w)
	if a.Refused || a.NotHere {
		return a, nil
	}
	s := b.owners[owner].Begin(w, a)
	time.AfterFunc(100*time.Millisecond, func() {
		s.Note(a.Prefill, hingefleet.Succeeded)
	})
	return a, s
}

// Two entry hosts place at the same time. Each sees only its own streams; the placer sees
// both, so that the second stream goes to the other engine and the fifth waits.
func TestHostsDoNotPlaceOnTopOfEachOther(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		counts := make(map[hingeids.ServerID]int)
		var streams []*Stream
		for i := range 4 {
			a, s := b.place(t, i%2, fmt.Sprint(i))
			counts[a.Decode]++
			streams = append(streams, s)
			time.Sleep(100 * time.Millisecond)
		}
		even := map[hingeids.ServerID]int{
			"decode-1": 2,
			"decode-2": 2,
		}
		if diff := cmp.Diff(even, counts); diff != "" {
			t.Fatal(diff)
		}
		// What came in the last second would say that more comes than ends.
		time.Sleep(1100 * time.Millisecond)
		began := time.Now()
		time.AfterFunc(400*time.Millisecond, streams[0].End)
		a, _ := b.place(t, 1, "fifth")
		if waited := time.Since(began); a.Refused || waited < 400*time.Millisecond || waited > 600*time.Millisecond {
			t.Fatalf("%+v after %v", a, waited)
		}
	})
}

// The host that places is killed. Hosts that wait for it go on with the next leader, and
// that one knows the streams in flight from their owners.
func TestNextLeaderKnowsTheStreams(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		for i := range 4 {
			b.place(t, i%2, fmt.Sprint(i))
		}
		time.Sleep(100 * time.Millisecond)
		b.network.Remove("control-1")
		b.leads["control-2"].Store(true)
		for _, k := range b.known {
			k.placers.Store(&[]hingeids.HostID{"control-2"})
		}
		time.Sleep(time.Second)
		w := want("fifth")
		w.Patience = 700 * time.Millisecond
		if a := b.owners[0].Place(context.Background(), w); !a.Refused {
			t.Fatalf("placed on engines that are full: %+v", a)
		}
	})
}

// No control host can be reached. Each entry host places alone, on its share of the memory
// only: together they must not overfill an engine.
func TestHostAlonePlacesOnItsShare(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.network.Remove("control-1")
		b.network.Remove("control-2")
		placed := 0
		for i := range 6 {
			w := want(fmt.Sprint(i))
			w.Patience = 600 * time.Millisecond
			a := b.owners[0].Place(context.Background(), w)
			if a.Refused {
				continue
			}
			if !a.Alone {
				t.Fatalf("not alone: %+v", a)
			}
			placed++
			b.owners[0].Begin(w, a)
		}
		if placed != 2 {
			t.Fatalf("%d streams on half of two engines", placed)
		}
	})
}

// A caller leaves while its stream waits. Its place in the queue must not be granted to
// nobody.
func TestWaitEndsWithItsCaller(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		var streams []*Stream
		for i := range 4 {
			_, s := b.place(t, 0, fmt.Sprint(i))
			streams = append(streams, s)
		}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, leave)
		if a := b.owners[1].Place(ctx, want("left")); !a.Refused {
			t.Fatalf("%+v", a)
		}
		time.Sleep(300 * time.Millisecond)
		streams[0].End()
		time.Sleep(100 * time.Millisecond)
		if a, _ := b.place(t, 1, "next"); a.Refused || a.Waited > 100*time.Millisecond {
			t.Fatalf("the place that was left isn't free: %+v", a)
		}
	})
}

// The host that places is suspended: it takes questions and answers none. Streams that come
// meanwhile would each wait half a second for it, of the nine tenths in which their callers
// want a first event.
func TestSuspendedPlacerIsLeftSoon(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.network.Freeze("control-1")
		var took []time.Duration
		for i := range 2 {
			began := time.Now()
			if a, _ := b.place(t, 0, fmt.Sprint(i)); a.Refused {
				t.Fatalf("refused: %+v", a)
			}
			took = append(took, time.Since(began))
			time.Sleep(50 * time.Millisecond)
		}
		if took[0] > 250*time.Millisecond || took[1] > 0 {
			t.Fatalf("placed after %v", took)
		}
	})
}

// The placer holds a question for a quarter of a second because nothing has room. That is no silence, and
// asking elsewhere would place on engines that are full.
func TestPlacerThatHoldsAQuestionIsNotLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		for i := range 4 {
			b.place(t, i%2, fmt.Sprint(i))
		}
		time.Sleep(1100 * time.Millisecond)
		ctx, stop := context.WithTimeout(context.Background(), 800*time.Millisecond)
		defer stop()
		if a := b.owners[0].Place(ctx, want("fifth")); a.Alone || !a.Refused {
			t.Fatalf("placed although nothing has room: %+v", a)
		}
	})
}

// slowPrefill is two engines that prefill, alike as far as announcements say, and one that decodes.
type slowPrefill struct {
	engines
}

func (slowPrefill) Engines() map[hingeids.Service][]hingefleet.Engine {
	list := engines{}.Engines()["model"]
	second := list[0]
	second.Server = "a-slow-prefill"
	decode := list[1]
	decode.Memory = 1_000_000
	return map[hingeids.Service][]hingefleet.Engine{
		"model": {list[0], second, decode},
	}
}

// The end of a prefill and the first event that follows it within milliseconds come in one report. If the event
// hid the end, nobody would learn that the engine is slow, and it would go on getting half
// of all prompts.
func TestEndOfPrefillCountsBesideItsFirstEvent(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := New(slowPrefill{}, nil, func() bool {
		return true
	}, nil, hingequota.DefaultTerms)
	p.step(now)
	now = now.Add(warmUp)
	counts := make(map[hingeids.ServerID]int)
	var r report
	for i := range 20 {
		w := want(fmt.Sprint(i))
		answer := make(chan Placement, 1)
		p.offer(now, "entry-1", w, func(a Placement) {
			answer <- a
		})
		p.step(now)
		a := <-answer
		took := 90 * time.Millisecond
		if a.Prefill == "a-slow-prefill" {
			took = 900 * time.Millisecond
		}
		counts[a.Prefill]++
		now = now.Add(took)
		r.Sequence++
		r.Streams = map[hingeids.Service][]hingefleet.Progress{
			"model": {
				{
					ID:        w.ID,
					Decode:    a.Decode,
					Generated: 70,
				},
			},
		}
		r.Notes = []note{
			{
				Service: "model",
				Note: hingefleet.OutcomeReport{
					Server: a.Prefill,
					Stream: w.ID,
				},
			},
		}
		p.take(now, "entry-1", r)
	}
	if counts["a-slow-prefill"] > 3 {
		t.Fatalf("the slow engine got %d of 20 prompts", counts["a-slow-prefill"])
	}
}
