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
