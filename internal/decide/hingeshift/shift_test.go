package hingeshift

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func nine(drain time.Duration) []Engine {
	var out []Engine
	for i := range 9 {
		e := Engine{
			Server: hingeids.ServerID(fmt.Sprint(i)),
			Kind:   hingeannounce.Decode,
			Drain:  drain + time.Duration(i)*time.Second,
		}
		if i < 3 {
			e.Kind = hingeannounce.Prefill
		}
		out = append(out, e)
	}
	return out
}

// play asks once a second, carries out what is decided, and writes it down.
func play(engines []Engine, lasts time.Duration, demand func(t time.Duration) Demand) []string {
	s := New(Defaults())
	var out []string
	for t := time.Duration(0); t < lasts; t += time.Second {
		shift, ok := s.Decide(start.Add(t), engines, demand(t))
		if !ok {
			continue
		}
		out = append(out, fmt.Sprintf("%s to %s", shift.Server, shift.To))
		for i := range engines {
			if engines[i].Server == shift.Server {
				engines[i].Kind = shift.To
			}
		}
	}
	return out
}

// The season of long dossiers begins: prefill is short for good while decode
// engines idle. Callers are refused until an engine is moved; two are enough,
// and then nothing moves any more.
func TestLastingDemandMovesEngines(t *testing.T) {
	got := play(nine(20*time.Second), 30*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 4.8,
			Decode:  3,
		}
	})
	if diff := cmp.Diff([]string{"3 to prefill", "4 to prefill"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Demand goes back and forth each half minute. Moving an engine each time would
// lose its drain twice a minute, and always have the wrong role at hand.
func TestDemandThatSwingsMovesNothing(t *testing.T) {
	got := play(nine(20*time.Second), 30*time.Minute, func(t time.Duration) Demand {
		if int(t/(25*time.Second))%2 == 0 {
			return Demand{
				Prefill: 4.8,
				Decode:  3,
			}
		}
		return Demand{
			Prefill: 1,
			Decode:  8,
		}
	})
	if diff := cmp.Diff([]string(nil), got); diff != "" {
		t.Fatal(diff)
	}
}

// The engines hold answers that go on for minutes. A small gain is not worth the
// time in which the engine does neither work.
func TestLongDrainIsCounted(t *testing.T) {
	slight := func(time.Duration) Demand {
		return Demand{
			Prefill: 3.1,
			Decode:  4,
		}
	}
	got := [][]string{
		play(nine(10*time.Second), 10*time.Minute, slight),
		play(nine(5*time.Minute), 10*time.Minute, slight),
	}
	want := [][]string{
		{"3 to prefill"},
		nil,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Everything is short. Neither role can spare an engine, and the last one of a
// role never goes.
func TestSaturationOfBothMovesNothing(t *testing.T) {
	got := play(nine(10*time.Second), 10*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 6,
			Decode:  12,
		}
	})
	if diff := cmp.Diff([]string(nil), got); diff != "" {
		t.Fatal(diff)
	}
	got = play(nine(10 * time.Second)[2:4], 10*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 0,
			Decode:  12,
		}
	})
	if diff := cmp.Diff([]string(nil), got); diff != "" {
		t.Fatal(diff)
	}
}

// Prefill engines are to spare, and four of five stand in two zones. If the only one of the third zone was
// moved, that zone would have nobody to work its prompts once it is cut off, and its
// dossiers would be refused in front of idle decode engines.
func TestZoneKeepsItsOnlyPrefillEngine(t *testing.T) {
	zones := []hingeids.Zone{"quiberon", "cancale", "cancale", "roscoff", "roscoff"}
	engines := nine(0)
	for i := range engines {
		engines[i].Drain = 0
		engines[i].Kind = hingeannounce.Decode
		if i < len(zones) {
			engines[i].Kind = hingeannounce.Prefill
			engines[i].Zone = zones[i]
		}
	}
	play(engines, 30*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 3,
			Decode:  6,
		}
	})
	left := make(map[hingeids.Zone]int)
	for _, e := range engines {
		if e.Kind == hingeannounce.Prefill {
			left[e.Zone]++
		}
	}
	want := map[hingeids.Zone]int{
		"quiberon": 1,
		"cancale":  1,
		"roscoff":  1,
	}
	if diff := cmp.Diff(want, left); diff != "" {
		t.Fatal(diff)
	}
}

// Four of nine engines prefill where one is asked for, and callers are refused for want of memory at those that decode.
// Both that nobody misses at present go at once: one after the other, the second would come after the burst that
// it was needed for.
func TestEnginesThatNobodyMissesGoAtOnce(t *testing.T) {
	engines := nine(0)
	for i := range engines {
		engines[i].Drain = 0
	}
	engines[3].Kind = hingeannounce.Prefill
	d := Demand{
		Prefill:  2.1,
		Decode:   6.9,
		ReadCost: 2,
		Present: &Load{
			Prefill: 1,
			Decode:  3.5,
		},
	}
	s := New(Config{
		Change:   6 * time.Second,
		HoldFor:  time.Second,
		Rest:     9 * time.Second,
		MostLast: time.Minute,
	})
	moved := 0
	shift, ok := Shift{}, false
	for t := time.Duration(0); t <= 2*time.Second && !ok; t += 500 * time.Millisecond {
		shift, ok = s.Decide(start.Add(t), engines, d)
	}
	for ok && Spares(engines, shift.To, d) {
		moved++
		for i := range engines {
			if engines[i].Server == shift.Server {
				engines[i].Kind = shift.To
			}
		}
		shift, ok = s.More(engines, d)
	}
	if moved != 2 {
		t.Fatalf("%d engines went at once, want 2", moved)
	}
}

// Prefill is a third short, and engines that decode can work the prompts in between. They lose twice the time, and
// the served share says by how much; without them a third of all would be refused.
func TestPromptsWorkedBesideDecodeCost(t *testing.T) {
	d := Demand{
		Prefill: 3,
		Decode:  6,
	}
	if got := served(2, 7, d); got != 2.0/3 {
		t.Errorf("%v gets through two engines of three", got)
	}
	d.ReadCost = 2
	// 7 engines: 6 for decode and 1 for half an engine's prompts, of all 1 + 1/12.
	if got := served(2, 7, d); got < 0.916 || got > 0.918 {
		t.Errorf("%v gets through with the help of those that decode, want 11/12", got)
	}
}
