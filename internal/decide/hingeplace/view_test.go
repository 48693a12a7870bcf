package hingeplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func announce(name string, k hingeannounce.Kind, running int) hingeannounce.Announcement {
	return hingeannounce.Announcement{
		Server:      hingeids.ServerID(name),
		Incarnation: 1,
		Kind:        k,
		Slots:       20,
		Load: hingeannounce.Load{
			Running: running,
		},
	}
}

// newTestView returns a view of prefill engines p0, p1, ... and decode engines
// d0, d1, ...
func newTestView(c Config, prefills, decodes int) *View {
	v := NewView(c)
	for i := range prefills {
		v.HandleAnnouncement(start, start, announce(fmt.Sprintf("p%d", i), hingeannounce.Prefill, 0))
	}
	for i := range decodes {
		v.HandleAnnouncement(start, start, announce(fmt.Sprintf("d%d", i), hingeannounce.Decode, 0))
	}
	return v
}

func request(n uint64, prompt hingeids.Tokens) *Request {
	return &Request{
		ID: hingeids.RequestID{
			Sequence: n,
		},
		Class:    "batch",
		Priority: 1,
		CanWait:  true,
		Prompt:   prompt,
		TokenGap: 60 * time.Millisecond,
	}
}

// occupySlots starts and binds n requests.
func occupySlots(v *View, n int) {
	for i := range n {
		r := request(uint64(1000+i), 10)
		v.HandleStart(start, r, Decision{
			Action:  Start,
			Prefill: "p0",
		})
		v.HandlePrefillDone(start, r.ID, 0)
		v.Bind(start, r.ID)
	}
}

// A report measured before the last requests were sent must not make a full
// engine appear empty.
func TestLateReportDoesNotHideLaterRequests(t *testing.T) {
	v := newTestView(Defaults(), 1, 1)
	occupySlots(v, 20)
	now := start.Add(300 * time.Millisecond)
	v.HandleAnnouncement(now, start.Add(-time.Second), announce("d0", hingeannounce.Decode, 0))
	r := request(1, 100)
	v.HandleStart(now, r, Decision{
		Action:  Start,
		Prefill: "p0",
	})
	v.HandlePrefillDone(now, r.ID, 0)
	if s, ok := v.Bind(now, r.ID); ok {
		t.Fatalf("bound to %s, which has no free slot", s)
	}
}

// Other entry hosts' requests, known only from reports, must be counted in
// addition to this host's own.
func TestForeignRequestsOccupySlots(t *testing.T) {
	v := newTestView(Defaults(), 1, 1)
	occupySlots(v, 5)
	now := start.Add(time.Second)
	v.HandleAnnouncement(now, now.Add(-300*time.Millisecond), announce("d0", hingeannounce.Decode, 17))
	free := 0
	for i := range 20 {
		r := request(uint64(i), 100)
		v.HandleStart(now, r, Decision{
			Action:  Start,
			Prefill: "p0",
		})
		v.HandlePrefillDone(now, r.ID, 0)
		if _, ok := v.Bind(now, r.ID); ok {
			free++
		}
	}
	if diff := cmp.Diff(3, free); diff != "" {
		t.Fatal(diff)
	}
}

// Prefill must not start while all slots are held by answers that have just
// started: the KV cache would be evicted before a slot is free.
func TestPrefillWaitsForLikelySlot(t *testing.T) {
	v := newTestView(Defaults(), 1, 1)
	for i := range 100 {
		v.class("batch").observe(float64(300 + 2*i))
	}
	occupySlots(v, 20)
	var got []Action
	for _, elapsed := range []time.Duration{time.Millisecond, 9 * time.Second} {
		v.HandleTokenGap(start.Add(elapsed), "d0", 25*time.Millisecond)
		got = append(got, v.Place(start.Add(elapsed), request(1, 3000)).Action)
	}
	if diff := cmp.Diff([]Action{Wait, Start}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The threshold at which prefill starts must rise with the weight of wasted
// prefill.
func TestStartThresholdRisesWithWastedPrefillWeight(t *testing.T) {
	var last float64
	for _, w := range []float64{0, 0.25, 0.5, 1, 4} {
		c := Defaults()
		c.Weights = Weights{
			Goodput:       1,
			WastedPrefill: w,
		}
		v := NewView(c)
		v.busyShare = 0.5
		if got := v.startThreshold(); got <= last {
			t.Fatalf("weight %v gives threshold %v, a lower weight gives %v", w, got, last)
		}
		last = v.startThreshold()
	}
}

// Changed weights must apply without a restart: otherwise entry hosts would
// place by different rules.
func TestChangedWeightsApplyAtOnce(t *testing.T) {
	v := NewView(Defaults())
	before := v.startThreshold()
	v.Configure(Weights{
		Goodput:       1,
		WastedPrefill: 4,
	}, 64<<10)
	if after := v.startThreshold(); after <= before {
		t.Errorf("threshold is %v, before the change it was %v", after, before)
	}
	if diff := cmp.Diff(hingeids.Bytes(64<<10), v.config.CacheBytesPerToken); diff != "" {
		t.Error(diff)
	}
}

// A long prompt must go to the engine that has its prefix cached, until that
// engine reports that it dropped the prefix.
func TestPrefillPrefersCachedPrefix(t *testing.T) {
	v := newTestView(Defaults(), 3, 1)
	prefix := []Block{
		{
			Hash:   7,
			Tokens: 2000,
		},
	}
	v.HandleCacheEvent("p2", prefix[0], true)
	r := request(1, 3000)
	r.Prefix = prefix
	got := v.Place(start, r)
	if diff := cmp.Diff("p2 2000", fmt.Sprintf("%s %d", got.Prefill, got.Cached)); diff != "" {
		t.Error(diff)
	}
	v.HandleCacheEvent("p2", prefix[0], false)
	if got := v.Place(start, r); got.Cached != 0 {
		t.Errorf("%d tokens are still expected in the cache", got.Cached)
	}
}

// Without prefill engines, decode engines must prefill prompts of any length.
func TestDecodeEnginesPrefillWithoutPrefillEngines(t *testing.T) {
	v := newTestView(Defaults(), 0, 1)
	got := v.Place(start, request(1, 3000))
	if got.Action != Local || got.Decode != "d0" {
		t.Fatalf("got %+v", got)
	}
}

// An engine whose token gap doubles must be given fewer requests, then none,
// and must be used again once it has recovered.
func TestSlowEngineLosesCapacityAndRecovers(t *testing.T) {
	v := newTestView(Defaults(), 1, 2)
	r := request(1, 100)
	r.TokenGap = 40 * time.Millisecond
	now := start
	capacity := func() int { return v.capacity(now, v.byID["d0"], r) }
	capacities := []int{capacity()}
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		v.HandleTokenGap(now, "d0", 24*time.Millisecond)
	}
	capacities = append(capacities, capacity())
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		v.HandleTokenGap(now, "d0", 60*time.Millisecond)
	}
	capacities = append(capacities, capacity())
	now = now.Add(probeInterval)
	capacities = append(capacities, capacity())
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		v.HandleTokenGap(now, "d0", 12*time.Millisecond)
	}
	capacities = append(capacities, capacity())
	if diff := cmp.Diff([]int{20, 12, 0, 1, 20}, capacities); diff != "" {
		t.Fatal(diff)
	}
}

// In any order of events, no engine is assigned more requests than it has
// slots, and each request is in exactly one place.
func TestSlotsAreNotOverAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newTestView(Defaults(), 2, 2)
		now := start
		var ids []hingeids.RequestID
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pass")) * time.Millisecond)
			pickID := func() hingeids.RequestID {
				if len(ids) == 0 {
					return hingeids.RequestID{}
				}
				return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "which")]
			}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				r := request(uint64(n), hingeids.Tokens(rapid.IntRange(1, 4000).Draw(t, "prompt")))
				if d := v.Place(now, r); d.Action == Start || d.Action == Local {
					v.HandleStart(now, r, d)
					ids = append(ids, r.ID)
				}
			case 2, 3:
				v.HandlePrefillDone(now, pickID(), 0)
			case 4:
				for _, id := range v.ReadyRequests() {
					v.Bind(now, id)
				}
			case 5:
				v.HandleCompletion(now, pickID(), hingeids.Tokens(rapid.IntRange(0, 100).Draw(t, "output")))
			case 6:
				v.Unbind(now, pickID())
			case 7:
				server := rapid.SampledFrom([]string{"p0", "d0"}).Draw(t, "server")
				a := announce(server, hingeannounce.Decode, rapid.IntRange(0, 20).Draw(t, "running"))
				if server == "p0" {
					a.Kind = hingeannounce.Prefill
				}
				a.Incarnation += hingeids.Incarnation(rapid.IntRange(0, 1).Draw(t, "restart"))
				v.HandleAnnouncement(now, now.Add(-300*time.Millisecond), a)
			}
			checkInvariants(t, v)
		}
	})
}

func checkInvariants(t *rapid.T, v *View) {
	places := make(map[*inflightRequest]int)
	for _, f := range v.unbound {
		places[f]++
	}
	for _, e := range v.engines {
		if len(e.holding) > e.slots {
			t.Fatalf("%s holds %d requests, more than its slots", e.id, len(e.holding))
		}
		for _, f := range e.holding {
			places[f]++
		}
	}
	for f, n := range places {
		if n != 1 || v.inflight[f.request.ID] != f {
			t.Fatalf("request %v is in %d places", f.request.ID, n)
		}
	}
}
