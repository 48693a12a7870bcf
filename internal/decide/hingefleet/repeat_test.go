package hingefleet

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against decisions that depend on map order, which would make them and failing tests
// impossible to reproduce.
func TestDecisionsRepeat(t *testing.T) {
	for seed := range uint64(60) {
		p := randomPattern(rand.New(rand.NewPCG(seed, 7)))
		if diff := cmp.Diff(newSim(p, seed, newFleetPlacer).run(), newSim(p, seed, newFleetPlacer).run()); diff != "" {
			t.Errorf("pattern %d: %s", seed, diff)
		}
	}
}
