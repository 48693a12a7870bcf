package hingefleet

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// An operator asks why a stream went where it did, and plays the day again. If the same reports and wants lead elsewhere the second
// time, nobody can tell; nor can a test that fails be told from one that doesn't.
func TestDecisionsRepeat(t *testing.T) {
	for seed := range uint64(60) {
		p := draw(rand.New(rand.NewPCG(seed, 7)))
		if diff := cmp.Diff(newSim(p, seed, fleetOf).play(), newSim(p, seed, fleetOf).play()); diff != "" {
			t.Errorf("draw %d: %s", seed, diff)
		}
	}
}
