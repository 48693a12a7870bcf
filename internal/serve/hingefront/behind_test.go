package hingefront

import (
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
)

// Guards against an entry host that serves by an old configuration for long without saying so.
func TestHostKnowsForHowLongItsConfigurationIsOld(t *testing.T) {
	since := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := since.Add(3 * time.Second)
	s := &hingefollow.State{
		Newest:      7,
		NewestSince: since,
	}
	for inForce, want := range map[uint64]time.Duration{
		0: 3 * time.Second,
		6: 3 * time.Second,
		7: 0,
		8: 0,
	} {
		if got := behind(now, inForce, s); got != want {
			t.Errorf("with version %d in force: %v, want %v", inForce, got, want)
		}
	}
}
