package hingefleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Checks rule 6: one failure doesn't eject an engine, two consecutive ones and an unreachable
// engine do, and a refusal causes a short backoff.
func TestFailuresEjectEngine(t *testing.T) {
	now := simStart
	ejectedFor := func(outcomes ...Outcome) time.Duration {
		f := trainedFleet()
		f.SetEngines(engines())
		for _, o := range outcomes {
			f.RecordOutcome(now, OutcomeReport{
				Server:  "decode-1",
				Outcome: o,
			})
		}
		return max(f.engines["decode-1"].health.unusableUntil.Sub(now), 0)
	}
	got := []time.Duration{
		ejectedFor(Failed),
		ejectedFor(Failed, Failed),
		ejectedFor(Failed, Succeeded, Succeeded, Failed),
		ejectedFor(ConnectFailed),
		ejectedFor(Full),
	}
	want := []time.Duration{0, minEjection, 0, minEjection, minFullBackoff}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// An ejected engine appears to be the emptiest. Guards against assigning it more than one stream
// before it has answered.
func TestEjectedEngineIsProbedWithOneStream(t *testing.T) {
	f := trainedFleet()
	now := simStart
	list := engines()
	list[2].Zone = "another"
	list[2].Memory = 100_000
	f.SetEngines(list)
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-2",
		Outcome: ConnectFailed,
	})
	now = now.Add(minEjection)
	assigned := func(ids ...StreamID) int {
		for _, id := range ids {
			req := requestOf(id, now)
			req.Zone = "another"
			f.Enqueue(now, req)
		}
		n := 0
		for _, d := range f.Step(now) {
			if d.Assignment.Decode == "decode-2" {
				n++
			}
		}
		return n
	}
	got := []int{assigned("a", "b", "c")}
	// Requests that still wait for a prefill engine aren't counted below.
	f.DrainQueue()
	now = now.Add(probeTimeout / 2)
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-2",
		Outcome: Started,
		Stream:  "a",
	})
	got = append(got, assigned("d", "e"))
	if diff := cmp.Diff([]int{1, 2}, got); diff != "" {
		t.Fatal(diff)
	}
}

// After a zone was cut off for several seconds, one of its engines answers. Guards against leaving
// the other engines ejected for several seconds more.
func TestEnginesAreProbedWhenTheirZoneIsBack(t *testing.T) {
	f := trainedFleet()
	f.SetEngines(engines())
	now := simStart
	for range 4 {
		for _, id := range []hingeids.ServerID{"decode-1", "decode-2"} {
			f.RecordOutcome(now, OutcomeReport{
				Server:  id,
				Outcome: ConnectFailed,
			})
		}
		now = f.engines["decode-1"].health.unusableUntil
	}
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-1",
		Outcome: ConnectFailed,
	})
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-2",
		Outcome: Started,
	})
	if !f.engines["decode-1"].health.usable(now.Add(time.Millisecond)) {
		t.Fatalf("engine is unusable for %v after its zone is back", f.engines["decode-1"].health.unusableUntil.Sub(now))
	}
}

// A zone is cut off, and a stream finds one of its engines unreachable. Guards against assigning
// several streams to the zone's other engine before it has answered.
func TestUnreachableEngineMakesItsZoneSuspect(t *testing.T) {
	f := trainedFleet()
	now := simStart
	var list []Engine
	for i := range 5 {
		e := engines()[1]
		e.Server = hingeids.ServerID(fmt.Sprint("decode-", i))
		e.Zone = hingeids.Zone(fmt.Sprint(i % 2))
		e.Memory = 100_000
		if i == 4 {
			e.Role = Prefill
		}
		list = append(list, e)
	}
	f.SetEngines(list)
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-1",
		Outcome: ConnectFailed,
	})
	inZone := 0
	for i := range 8 {
		f.Enqueue(now, requestOf(StreamID(fmt.Sprint(i)), now))
		for _, d := range f.Step(now) {
			if d.Assignment.Decode == "decode-3" {
				inZone++
			}
		}
		f.RecordOutcome(now, OutcomeReport{
			Server:  "decode-4",
			Outcome: Succeeded,
			Stream:  StreamID(fmt.Sprint(i)),
		})
	}
	if inZone != 1 {
		t.Fatalf("%d streams were assigned to the suspect engine, want 1", inZone)
	}
}

// Engines of a zone crash while others answer. Guards against treating the whole zone as cut off,
// which would limit its healthy engines to probes.
func TestCrashedEnginesDoNotMakeAnAnsweringZoneSuspect(t *testing.T) {
	f := trainedFleet()
	now := simStart
	list := engines()
	for i := range list {
		list[i].Memory = 1_000_000
	}
	f.SetEngines(list)
	for i := range 3 {
		f.Enqueue(now, requestOf(StreamID(fmt.Sprint(i)), now))
		if d := f.Step(now); len(d) != 1 || d[0].Assignment.Prefill == "" || d[0].Assignment.Decode == "" {
			t.Fatalf("stream %d isn't assigned: %+v", i, d)
		}
		now = now.Add(100 * time.Millisecond)
		f.RecordOutcome(now, OutcomeReport{
			Server:  "decode-1",
			Outcome: Started,
		})
		now = now.Add(10 * time.Millisecond)
		f.RecordOutcome(now, OutcomeReport{
			Server:  "decode-2",
			Outcome: ConnectFailed,
		})
	}
}

// An engine with slow transfers keeps refusing KV caches. Guards against offering it streams at a
// constant rate.
func TestRepeatedRefusalsLengthenBackoff(t *testing.T) {
	f := trainedFleet()
	f.SetEngines(engines())
	now := simStart
	var got []time.Duration
	for range 5 {
		f.RecordOutcome(now, OutcomeReport{
			Server:  "decode-1",
			Outcome: Full,
		})
		backoff := f.engines["decode-1"].health.unusableUntil.Sub(now)
		got = append(got, backoff)
		now = now.Add(backoff)
	}
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-1",
		Outcome: Started,
	})
	f.RecordOutcome(now, OutcomeReport{
		Server:  "decode-1",
		Outcome: Full,
	})
	got = append(got, f.engines["decode-1"].health.unusableUntil.Sub(now))
	want := []time.Duration{minFullBackoff, 2 * minFullBackoff, 4 * minFullBackoff, maxFullBackoff, maxFullBackoff, minFullBackoff}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
