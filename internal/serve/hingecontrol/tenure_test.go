package hingecontrol

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
)

// Guards against two successive leaders whose orders reach an engine that doesn't check fencing
// numbers within the pause.
func TestTwoLeadersKeepThePauseBetweenTheirOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		pause := time.Duration(rapid.IntRange(500, 6000).Draw(t, "pauseMs")) * time.Millisecond
		leaseEnd := start.Add(20 * time.Second)
		elected := leaseEnd.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "electedAfterMs")) * time.Millisecond)
		leaders := []*leaderUnderTest{
			newLeader(start, 7, hingefleet.Prefill, leaseEnd),
			newLeader(elected, 8, hingefleet.Decode, elected.Add(time.Hour)),
		}
		// The latest time at which the engine may have received an order of the first leader, and the
		// earliest for the second.
		var lastArrival, firstArrival time.Time
		for now := start; now.Before(elected.Add(30 * time.Second)); now = now.Add(50 * time.Millisecond) {
			for i, l := range leaders {
				sent := l.step(now, pause)
				if sent && i == 0 {
					lastArrival = now.Add(orderTimeout)
				}
				if sent && i == 1 && firstArrival.IsZero() {
					firstArrival = now
				}
			}
		}
		if firstArrival.IsZero() || lastArrival.IsZero() {
			t.Fatal("a leader issued no order")
		}
		if firstArrival.Sub(lastArrival) < pause {
			t.Fatalf("the engine received orders of two issuers within %v; the pause is %v", firstArrival.Sub(lastArrival), pause)
		}
	})
}

// leaderUnderTest orders one role of an engine whose reported role never changes, so it sends an order
// whenever it may.
type leaderUnderTest struct {
	tenure     tenure
	state      *hingeorders.State
	term       hingeids.Fence
	since      time.Time
	leaseUntil time.Time
	role       hingefleet.Role
}

func newLeader(since time.Time, term hingeids.Fence, role hingefleet.Role, leaseUntil time.Time) *leaderUnderTest {
	l := &leaderUnderTest{
		state: hingeorders.NewState(hingeorders.Settings{
			OrderTimeout: orderTimeout,
		}),
		term:       term,
		since:      since,
		leaseUntil: leaseUntil,
		role:       role,
	}
	l.state.SetDesired([]hingeorders.DesiredState{
		{
			Engine: "engine",
			Role:   hingeorders.Role(kindOf[role]),
		},
	})
	l.state.SetEngines(since, []hingeorders.Engine{
		{
			ID:          "engine",
			Incarnation: 1,
		},
	})
	return l
}

func (l *leaderUnderTest) step(now time.Time, pause time.Duration) bool {
	if now.Before(l.since) || !l.tenure.settled(now, l.term, pause) {
		return false
	}
	out := l.state.Step(now, hingeorders.Lease{
		Held:  now.Before(l.leaseUntil),
		Fence: l.term,
		Until: l.leaseUntil,
	})
	for _, e := range out.Query {
		l.state.HandleState(now, now, e, hingeorders.ActualState{
			Role: hingeorders.Role(kindOf[hingefleet.Prefill+hingefleet.Decode-l.role]),
		})
	}
	return len(out.Send) > 0
}
