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

func nineEngines(drain time.Duration) []Engine {
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

// simulate calls Decide once a second, applies the role changes and returns them.
func simulate(engines []Engine, duration time.Duration, demand func(t time.Duration) Demand) []string {
	p := New(Defaults())
	var out []string
	for t := time.Duration(0); t < duration; t += time.Second {
		change, ok := p.Decide(start.Add(t), engines, demand(t))
		if !ok {
			continue
		}
		out = append(out, fmt.Sprintf("%s to %s", change.Server, change.To))
		for i := range engines {
			if engines[i].Server == change.Server {
				engines[i].Kind = change.To
			}
		}
	}
	return out
}

// A lasting shortage of prefill must change as many engines as it requires, and no more.
func TestLastingDemandChangesRoles(t *testing.T) {
	got := simulate(nineEngines(20*time.Second), 30*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 4.8,
			Decode:  3,
		}
	})
	if diff := cmp.Diff([]string{"3 to prefill", "4 to prefill"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// A demand that oscillates within a minute must not change roles, since each drain would cost more
// than the change gains.
func TestOscillatingDemandChangesNoRole(t *testing.T) {
	got := simulate(nineEngines(20*time.Second), 30*time.Minute, func(t time.Duration) Demand {
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

// A small gain must not change the role of an engine that takes minutes to drain.
func TestLongDrainOutweighsASmallGain(t *testing.T) {
	shortPrefill := func(time.Duration) Demand {
		return Demand{
			Prefill: 3.1,
			Decode:  4,
		}
	}
	got := [][]string{
		simulate(nineEngines(10*time.Second), 10*time.Minute, shortPrefill),
		simulate(nineEngines(5*time.Minute), 10*time.Minute, shortPrefill),
	}
	want := [][]string{
		{"3 to prefill"},
		nil,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// No engine may change its role if both roles are short, and the last engine of a role must never
// change.
func TestSaturationOfBothRolesChangesNone(t *testing.T) {
	got := simulate(nineEngines(10*time.Second), 10*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 6,
			Decode:  12,
		}
	})
	if diff := cmp.Diff([]string(nil), got); diff != "" {
		t.Fatal(diff)
	}
	got = simulate(nineEngines(10 * time.Second)[2:4], 10*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 0,
			Decode:  12,
		}
	})
	if diff := cmp.Diff([]string(nil), got); diff != "" {
		t.Fatal(diff)
	}
}

// A surplus of prefill engines must not be reduced in a zone that has only one, or that zone
// couldn't prefill during a partition.
func TestZoneKeepsItsOnlyPrefillEngine(t *testing.T) {
	zones := []hingeids.Zone{"quiberon", "cancale", "cancale", "roscoff", "roscoff"}
	engines := nineEngines(0)
	for i := range engines {
		engines[i].Drain = 0
		engines[i].Kind = hingeannounce.Decode
		if i < len(zones) {
			engines[i].Kind = hingeannounce.Prefill
			engines[i].Zone = zones[i]
		}
	}
	simulate(engines, 30*time.Minute, func(time.Duration) Demand {
		return Demand{
			Prefill: 3,
			Decode:  6,
		}
	})
	remaining := make(map[hingeids.Zone]int)
	for _, e := range engines {
		if e.Kind == hingeannounce.Prefill {
			remaining[e.Zone]++
		}
	}
	want := map[hingeids.Zone]int{
		"quiberon": 1,
		"cancale":  1,
		"roscoff":  1,
	}
	if diff := cmp.Diff(want, remaining); diff != "" {
		t.Fatal(diff)
	}
}

// All engines that their role can spare must change at once, or the later ones would change after
// the burst that needs them.
func TestSpareEnginesChangeTogether(t *testing.T) {
	engines := nineEngines(0)
	for i := range engines {
		engines[i].Drain = 0
	}
	engines[3].Kind = hingeannounce.Prefill
	d := Demand{
		Prefill:           2.1,
		Decode:            6.9,
		DecodePrefillCost: 2,
		Current: &Load{
			Prefill: 1,
			Decode:  3.5,
		},
	}
	p := New(Config{
		ChangeTime:        6 * time.Second,
		HoldFor:           time.Second,
		Cooldown:          9 * time.Second,
		MaxDemandDuration: time.Minute,
	})
	changed := 0
	change, ok := RoleChange{}, false
	for t := time.Duration(0); t <= 2*time.Second && !ok; t += 500 * time.Millisecond {
		change, ok = p.Decide(start.Add(t), engines, d)
	}
	for ok && CanSpare(engines, change.To, d) {
		changed++
		for i := range engines {
			if engines[i].Server == change.Server {
				engines[i].Kind = change.To
			}
		}
		change, ok = p.DecideNext(engines, d)
	}
	if changed != 2 {
		t.Fatalf("%d engines changed at once, want 2", changed)
	}
}

// The served share must include the prompts that decode engines prefill, at their higher cost.
func TestPrefillOnDecodeEnginesReducesTheServedShare(t *testing.T) {
	d := Demand{
		Prefill: 3,
		Decode:  6,
	}
	if got := servedShare(2, 7, d); got != 2.0/3 {
		t.Errorf("served share without prefill on decode engines: %v, want 2/3", got)
	}
	d.DecodePrefillCost = 2
	// Decode needs 6 engines, and the prompts of the missing prefill engine need 2: the share is
	// (7 + 2 x 2) / (6 + 2 x 3) = 11/12.
	if got := servedShare(2, 7, d); got < 0.916 || got > 0.918 {
		t.Errorf("served share with prefill on decode engines: %v, want 11/12", got)
	}
}
