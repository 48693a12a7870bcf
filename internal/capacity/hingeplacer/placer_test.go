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
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

// fixedServers provides one prefill engine and two decode engines. A decode engine holds two streams of the tests.
type fixedServers struct{}

func (fixedServers) EngineFeed(s hingeids.Service) EngineFeed {
	return ListFeed(func() []hingefleet.Engine {
		return fixedEngines(s)
	})
}

func (fixedServers) ServerCount(s hingeids.Service) int {
	return len(fixedEngines(s)) + len(fixedServers{}.Replicas(s))
}

func fixedEngines(s hingeids.Service) []hingefleet.Engine {
	if s != "model" {
		return nil
	}
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
	return list
}

// Replicas returns two replicas of a plain service with two slots each.
func (fixedServers) Replicas(s hingeids.Service) []hingebalance.Replica {
	if s != "app" {
		return nil
	}
	return []hingebalance.Replica{
		{
			Server: "app-1",
			Slots:  2,
		},
		{
			Server: "app-2",
			Slots:  2,
		},
	}
}

func (fixedServers) Address(id hingeids.ServerID) (string, bool) {
	return string(id) + ":80", true
}

// Quota limits only the customer "busy", to 1,000 tokens per second and a burst of 8,000.
func (fixedServers) Quota(c hingeids.CallerID) hingecustomers.Quota {
	if c != "busy" {
		return hingecustomers.Quota{}
	}
	return hingecustomers.Quota{
		Unit:  hingecustomers.Tokens,
		Rate:  1000,
		Burst: 8000,
	}
}

func (fixedServers) PoisonEntry(hingeids.Fingerprint) hingepoison.Listed {
	return hingepoison.Listed{}
}

func (fixedServers) EntryHosts() int { return 2 }

func (fixedServers) IsElectedLeader() bool { return true }

// clusterView is an entry host's view with a settable list of placers.
type clusterView struct {
	fixedServers
	placers    atomic.Pointer[[]hingeids.HostID]
	entryHosts int
}

func (v *clusterView) Placers() []hingeids.HostID { return *v.placers.Load() }

func (v *clusterView) EntryHosts() int { return v.entryHosts }

// cluster simulates two control hosts and two entry hosts with a fake clock.
type cluster struct {
	network *hingefake.Network
	leads   map[hingeids.HostID]*atomic.Bool
	owners  []*Owner
	views   []*clusterView
	// limited makes app-1 name its rate limit in its answers.
	limited bool
}

func withCluster(t *testing.T, f func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		cl := &cluster{
			network: hingefake.NewNetwork(),
			leads:   make(map[hingeids.HostID]*atomic.Bool),
		}
		var done []<-chan struct{}
		for _, h := range []hingeids.HostID{"control-1", "control-2"} {
			leads := &atomic.Bool{}
			leads.Store(h == "control-1")
			cl.leads[h] = leads
			p := New(fixedServers{}, nil, leads.Load, time.Now, hingequota.DefaultParams)
			p.RegisterHandlers(cl.network.Link(h), nil)
			done = append(done, p.Done())
			go func() {
				_ = p.Run(ctx)
			}()
		}
		for i := range 2 {
			h := hingeids.HostID(fmt.Sprint("entry-", i+1))
			known := &clusterView{
				entryHosts: 2,
			}
			known.placers.Store(&[]hingeids.HostID{"control-1", "control-2"})
			o := NewOwner(h, cl.network.Link(h), known, time.Now, nil, hingequota.DefaultParams)
			cl.owners = append(cl.owners, o)
			cl.views = append(cl.views, known)
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
		f(t, cl)
	})
}

func streamRequest(id string) StreamRequest {
	return StreamRequest{
		Service:        "model",
		ID:             hingefleet.StreamID(id),
		PromptTokens:   5000,
		ExpectedTokens: 3000,
		Target:         900 * time.Millisecond,
		MaxWait:        3 * time.Second,
		TimeToDeadline: 14 * time.Second,
	}
}

// place requests a placement and reports the stream as started.
func (cl *cluster) place(t *testing.T, owner int, id string) (Placement, *Stream) {
	t.Helper()
	r := streamRequest(id)
	a := cl.owners[owner].Place(context.Background(), r)
	if a.Refused || a.NotPlacer {
		return a, nil
	}
	s := cl.owners[owner].StartStream(r, a)
	time.AfterFunc(100*time.Millisecond, func() {
		s.RecordOutcome(a.Prefill, hingefleet.Succeeded, hingenotice.Notice{})
	})
	return a, s
}

// Guards against entry hosts that overload an engine because each counts only its own streams: a stream must wait
// if the streams of both hosts fill all engines.
func TestHostsDoNotOverloadOneEngine(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		counts := make(map[hingeids.ServerID]int)
		var streams []*Stream
		for i := range 4 {
			a, s := cl.place(t, i%2, fmt.Sprint(i))
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
		// The arrivals of the last second would count as an excess over the completions.
		time.Sleep(1100 * time.Millisecond)
		start := time.Now()
		time.AfterFunc(400*time.Millisecond, streams[0].Finish)
		a, _ := cl.place(t, 1, "fifth")
		if waited := time.Since(start); a.Refused || waited < 400*time.Millisecond || waited > 600*time.Millisecond {
			t.Fatalf("fifth stream: %+v after %v", a, waited)
		}
	})
}

// Guards against a new leader that places on full engines because it doesn't know the streams in flight.
func TestNextLeaderKnowsTheStreams(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		for i := range 4 {
			cl.place(t, i%2, fmt.Sprint(i))
		}
		time.Sleep(100 * time.Millisecond)
		cl.network.Remove("control-1")
		cl.leads["control-2"].Store(true)
		for _, k := range cl.views {
			k.placers.Store(&[]hingeids.HostID{"control-2"})
		}
		time.Sleep(time.Second)
		r := streamRequest("fifth")
		r.MaxWait = 700 * time.Millisecond
		if a := cl.owners[0].Place(context.Background(), r); !a.Refused {
			t.Fatalf("placed on full engines: %+v", a)
		}
	})
}

// Guards against entry hosts that overfill engines together when no placer can be reached: each must use only its
// share of the memory.
func TestLocalPlacementUsesOnlyItsShare(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.network.Remove("control-1")
		cl.network.Remove("control-2")
		placed := 0
		for i := range 6 {
			r := streamRequest(fmt.Sprint(i))
			r.MaxWait = 600 * time.Millisecond
			a := cl.owners[0].Place(context.Background(), r)
			if a.Refused {
				continue
			}
			if !a.Local {
				t.Fatalf("not placed locally: %+v", a)
			}
			placed++
			cl.owners[0].StartStream(r, a)
		}
		if placed != 2 {
			t.Fatalf("placed %d streams on half of two engines, want 2", placed)
		}
	})
}

// Guards against an assignment to a queued stream whose caller has disconnected.
func TestCancelledStreamLeavesItsQueue(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		var streams []*Stream
		for i := range 4 {
			_, s := cl.place(t, 0, fmt.Sprint(i))
			streams = append(streams, s)
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		if a := cl.owners[1].Place(ctx, streamRequest("left")); !a.Refused {
			t.Fatalf("placed for a disconnected caller: %+v", a)
		}
		time.Sleep(300 * time.Millisecond)
		streams[0].Finish()
		time.Sleep(100 * time.Millisecond)
		if a, _ := cl.place(t, 1, "next"); a.Refused || a.Waited > 100*time.Millisecond {
			t.Fatalf("capacity of the finished stream isn't free: %+v", a)
		}
	})
}

// Guards against streams that each wait for the full timeout while the placer is suspended and accepts requests
// without answering them.
func TestSuspendedPlacerIsAbandonedSoon(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.network.Suspend("control-1")
		var waits []time.Duration
		for i := range 2 {
			start := time.Now()
			if a, _ := cl.place(t, 0, fmt.Sprint(i)); a.Refused {
				t.Fatalf("refused: %+v", a)
			}
			waits = append(waits, time.Since(start))
			time.Sleep(50 * time.Millisecond)
		}
		if waits[0] > 250*time.Millisecond || waits[1] > 0 {
			t.Fatalf("placement times %v, want at most 250ms and 0s", waits)
		}
	})
}

// Guards against an owner that mistakes a held request for a silent placer and places locally on full engines.
func TestPlacerThatHoldsARequestIsNotAbandoned(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		for i := range 4 {
			cl.place(t, i%2, fmt.Sprint(i))
		}
		time.Sleep(1100 * time.Millisecond)
		ctx, stop := context.WithTimeout(context.Background(), 800*time.Millisecond)
		defer stop()
		if a := cl.owners[0].Place(ctx, streamRequest("fifth")); a.Local || !a.Refused {
			t.Fatalf("placed without free capacity: %+v", a)
		}
	})
}

// slowPrefill provides two prefill engines with equal announcements, one of which is slow, and one decode engine.
type slowPrefill struct {
	fixedServers
}

func (slowPrefill) EngineFeed(s hingeids.Service) EngineFeed {
	list := fixedEngines(s)
	second := list[0]
	second.Server = "a-slow-prefill"
	decode := list[1]
	decode.Memory = 1_000_000
	return ListFeed(func() []hingefleet.Engine {
		return []hingefleet.Engine{list[0], second, decode}
	})
}

// Guards against a first event that hides its prefill's outcome in the same report: a slow prefill engine would
// continue to get half of all prompts.
func TestPrefillOutcomeCountsWithItsFirstEvent(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := New(slowPrefill{}, nil, func() bool {
		return true
	}, nil, hingequota.DefaultParams)
	p.step(now)
	now = now.Add(warmUp)
	counts := make(map[hingeids.ServerID]int)
	var r report
	for i := range 20 {
		request := streamRequest(fmt.Sprint(i))
		answer := make(chan Placement, 1)
		p.enqueueStream(now, "entry-1", request, func(a Placement) {
			answer <- a
		})
		p.step(now)
		a := <-answer
		elapsed := 90 * time.Millisecond
		if a.Prefill == "a-slow-prefill" {
			elapsed = 900 * time.Millisecond
		}
		counts[a.Prefill]++
		now = now.Add(elapsed)
		r.Sequence++
		r.Streams = map[hingeids.Service][]hingefleet.Progress{
			"model": {
				{
					ID:        request.ID,
					Decode:    a.Decode,
					Generated: 70,
				},
			},
		}
		r.Outcomes = []serviceOutcome{
			{
				Service: "model",
				OutcomeReport: hingefleet.OutcomeReport{
					Server: a.Prefill,
					Stream: request.ID,
				},
			},
		}
		p.handleReport(now, "entry-1", r)
	}
	if counts["a-slow-prefill"] > 3 {
		t.Fatalf("the slow engine got %d of 20 prompts, want at most 3", counts["a-slow-prefill"])
	}
}

// Guards against an entry host whose reports a placer ignores, since the clock of the host was set back before its
// process started: its streams would count as free memory of their engines.
func TestReportsOfProcessThatStartsAfterItsClockWentBack(t *testing.T) {
	p := New(fixedServers{}, nil, func() bool {
		return true
	}, time.Now, hingequota.DefaultParams)
	newProcess := func() *Owner {
		v := &clusterView{}
		v.placers.Store(&[]hingeids.HostID{"control-1"})
		return NewOwner("entry-1", hingefake.NewNetwork().Link("entry-1"), v, time.Now, nil, hingequota.DefaultParams)
	}
	reportOf := func(o *Owner, ids ...string) report {
		for _, id := range ids {
			o.StartStream(streamRequest(id), Placement{
				Decode: "decode-1",
			})
		}
		return o.nextReport("control-1")
	}
	before := newProcess()
	// The clock is ahead by an hour.
	before.sequence += uint64(time.Hour)
	p.handleReport(time.Now(), "entry-1", reportOf(before, "1"))
	p.handleReport(time.Now(), "entry-1", reportOf(before, "2", "3"))
	after := newProcess()
	first := reportOf(after, "4")
	second := reportOf(after, "5")
	for _, r := range []struct {
		name string
		report
		streams int
	}{
		{name: "first report", report: first, streams: 1},
		{name: "second report", report: second, streams: 2},
		{name: "first report, out of order", report: first, streams: 2},
	} {
		p.handleReport(time.Now(), "entry-1", r.report)
		if got := p.fleet("model").StreamCount(); got != r.streams {
			t.Errorf("after the %s: %d streams, want %d", r.name, got, r.streams)
		}
	}
}
