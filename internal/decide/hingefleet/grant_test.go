package hingefleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// An engine dies in the middle of answers. Their callers have read half of them, so they
// go before those who have read nothing.
func TestMovedStreamGoesFirst(t *testing.T) {
	f := taught()
	now := simStart
	f.SetEngines(engines()[:2])
	first := wantOf("first", now)
	moved := wantOf("moved", now)
	moved.Moved = true
	f.Offer(now, first)
	f.Offer(now, moved)
	var got []StreamID
	for _, d := range f.Step(now) {
		if !d.Refused {
			got = append(got, d.ID)
		}
	}
	if diff := cmp.Diff([]StreamID{"moved"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Dossiers of two customers wait for the one engine, and one of them goes first by its rank. It came a moment later, and would
// otherwise be behind the other's.
func TestHigherPriorityGoesFirst(t *testing.T) {
	f := taught()
	now := simStart
	f.SetEngines(engines()[:2])
	first := wantOf("first", now)
	first.Priority = 1
	urgent := wantOf("urgent", now.Add(time.Millisecond))
	f.Offer(now, first)
	f.Offer(now, urgent)
	var got []StreamID
	for _, d := range f.Step(now.Add(time.Millisecond)) {
		if !d.Refused {
			got = append(got, d.ID)
		}
	}
	if diff := cmp.Diff([]StreamID{"urgent"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// All hosts were without power, and of the engines only the first has announced itself again. It is full
// at once. Callers that were sent away for some seconds then would come back late, to engines that
// had been there a moment after.
func TestFleetThatHasJustBegunWaitsForItsEngines(t *testing.T) {
	f := taught()
	now := simStart
	list := engines()
	f.SetEngines(list[:2])
	for i := range 6 {
		f.Offer(now, wantOf(StreamID(fmt.Sprint(i)), now))
	}
	for _, d := range f.Step(now) {
		if d.Refused {
			t.Fatalf("refused before its engines were heard of: %+v", d)
		}
	}
	now = now.Add(300 * time.Millisecond)
	list[2].Memory = 1_000_000
	list[2].Slots = 100
	f.SetEngines(list)
	granted := 0
	for range 20 {
		for _, d := range f.Step(now) {
			f.Note(now, Note{
				Server: d.Grant.Prefill,
				Stream: d.ID,
			})
			granted++
		}
		now = now.Add(20 * time.Millisecond)
	}
	if granted != 5 {
		t.Fatalf("%d of the 5 that waited were granted", granted)
	}
}

// A prompt's KV cache is there for half a second. The engine it was meant for can't
// be reached; another takes it, or the caller hears at once that none can.
func TestCachedWantIsDecidedAtOnce(t *testing.T) {
	f := taught()
	now := simStart
	f.SetEngines(engines())
	w := wantOf("a", now)
	w.Cached = true
	w.Avoid = []hingeids.ServerID{"decode-1"}
	f.Offer(now, w)
	d := f.Step(now)
	if len(d) != 1 || d[0].Grant.Decode != "decode-2" || d[0].Grant.Prefill != "" {
		t.Fatalf("want decode-2 and no prefill: %+v", d)
	}
	w.ID = "b"
	w.Avoid = []hingeids.ServerID{"decode-1", "decode-2"}
	f.Offer(now, w)
	if d := f.Step(now); len(d) != 1 || !d[0].Refused {
		t.Fatalf("want a refusal at once: %+v", d)
	}
}

// A zone is cut off. Every stream between a caller's zone and an engine of another falls silent in
// front of its caller, and its prefill is lost. At the mean demand four in five streams
// are to be in their own zone, though callers of the zones come in clumps.
func TestStreamsStayInTheirZone(t *testing.T) {
	f := taught()
	list := engineList(loadPattern{
		prefills: 3,
		decodes:  6,
	})
	f.SetEngines(list)
	zones := make(map[hingeids.ServerID]hingeids.Zone)
	for _, e := range list {
		zones[e.Server] = e.Zone
	}
	now := simStart
	inZone := 0
	random := rand.New(rand.NewPCG(1, 1))
	const asked = 45 // Streams in flight at the mean demand of ten a second.
	for i := range asked {
		now = now.Add(100 * time.Millisecond)
		w := wantOf(StreamID(fmt.Sprint(i)), now)
		w.Zone = hingeids.Zone(fmt.Sprint(random.IntN(3)))
		f.Offer(now, w)
		d := f.Step(now)
		if len(d) != 1 || d[0].Refused {
			t.Fatalf("stream %d isn't granted: %+v", i, d)
		}
		if zones[d[0].Grant.Decode] == w.Zone {
			inZone++
		}
		f.Note(now.Add(90*time.Millisecond), Note{
			Server: d[0].Grant.Prefill,
			Stream: w.ID,
		})
	}
	if inZone < asked*4/5 {
		t.Fatalf("%d of %d streams are in their zone", inZone, asked)
	}
}

// All callers come from one zone, whose engines are a third. They are to use the others' memory
// too, and not to wait in front of their own full ones.
func TestCrowdedZoneUsesTheOthersEngines(t *testing.T) {
	f := taught()
	f.SetEngines(engineList(loadPattern{
		prefills: 3,
		decodes:  6,
	}))
	now := simStart
	for i := range 45 {
		now = now.Add(100 * time.Millisecond)
		w := wantOf(StreamID(fmt.Sprint(i)), now)
		w.Zone = "0"
		f.Offer(now, w)
		d := f.Step(now)
		if len(d) != 1 || d[0].Refused {
			t.Fatalf("stream %d isn't granted: %+v", i, d)
		}
		f.Note(now.Add(90*time.Millisecond), Note{
			Server: d[0].Grant.Prefill,
			Stream: w.ID,
		})
	}
}

// An engine that prefills has become slow, or others use it too, and what it was handed isn't
// read when it should be. If that was taken for read, more and more would be handed to it: a queue of
// a dozen prompts, each first event late by a second, while wants wait that could go first.
func TestPromptsThatAreNotReadCountAsWork(t *testing.T) {
	f := taught()
	now := simStart
	list := engines()
	list[1].Memory = 1_000_000
	list[1].Slots = 100
	f.SetEngines(list)
	granted := 0
	for i := range 12 {
		f.Offer(now, wantOf(StreamID(fmt.Sprint(i)), now))
		for _, d := range f.Step(now) {
			if d.Grant.Prefill != "" {
				granted++
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
	// The backlog of 200 ms that an engine may have, and one prompt that is taken to be read by now.
	if most := 4; granted > most {
		t.Fatalf("%d prompts were handed to an engine that has ended none, want %d at most", granted, most)
	}
}

// A zone is cut off together with decode engines alone, or all engines that prefill die.
// Callers there would be refused for as long as it lasts, in front of engines that can
// work a prompt themselves.
func TestDecodeEngineWorksThePromptWhereNoneElseCan(t *testing.T) {
	f := taught()
	now := simStart
	f.SetEngines(engines())
	f.Note(now, Note{
		Server:  "prefill",
		Outcome: Unreached,
	})
	f.Offer(now, wantOf("a", now))
	d := f.Step(now)
	if len(d) != 1 || d[0].Refused || d[0].Grant.Prefill != "" {
		t.Fatalf("want a decode engine alone: %+v", d)
	}
	// Once one can be reached again it has the prompts.
	now = now.Add(firstAway)
	f.Offer(now, wantOf("b", now))
	if d := f.Step(now); len(d) != 1 || d[0].Grant.Prefill != "prefill" {
		t.Fatalf("want the engine that prefills: %+v", d)
	}
}
