package hingecontrol

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
)

// A leader is cut off, and another is elected once its lease has ended; for a while both believe that they lead, and they
// want different roles of the same engine, which doesn't check fencing numbers. If the engine heard both within
// the pause, it would change its role to and fro, and be away from work for most of a minute.
func TestTwoLeadersKeepThePauseBetweenTheirOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1_700_000_000, 0)
		pause := time.Duration(rapid.IntRange(500, 6000).Draw(t, "pauseMs")) * time.Millisecond
		leaseEnds := began.Add(20 * time.Second)
		elected := leaseEnds.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "electedAfterMs")) * time.Millisecond)
		leaders := []*leaderUnderTest{
			newLeader(began, 7, hingefleet.Prefill, leaseEnds),
			newLeader(elected, 8, hingefleet.Decode, elected.Add(time.Hour)),
		}
		// Arrivals are when orders may have reached the engine, at the latest and at the earliest.
		var last, first time.Time
		for now := began; now.Before(elected.Add(30 * time.Second)); now = now.Add(50 * time.Millisecond) {
			for i, l := range leaders {
				sent := l.step(now, pause)
				if sent && i == 0 {
					last = now.Add(orderTime)
				}
				if sent && i == 1 && first.IsZero() {
					first = now
				}
			}
		}
		if first.IsZero() || last.IsZero() {
			t.Fatal("a leader gave no order")
		}
		if first.Sub(last) < pause {
			t.Fatalf("the engine heard two issuers within %v, the pause is %v", first.Sub(last), pause)
		}
	})
}

// leaderUnderTest wants one role of an engine that never takes it, so that it orders whenever it may.
type leaderUnderTest struct {
	tenure tenure
	state  *hingeorders.State
	term   hingeids.Fence
	since  time.Time
	until  time.Time
	role   hingefleet.Role
}

func newLeader(since time.Time, term hingeids.Fence, role hingefleet.Role, until time.Time) *leaderUnderTest {
	l := &leaderUnderTest{
		state: hingeorders.NewState(hingeorders.Settings{
			OrderTimeout: orderTime,
		}),
		term:  term,
		since: since,
		until: until,
		role:  role,
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
		Held:  now.Before(l.until),
		Fence: l.term,
		Until: l.until,
	})
	for _, e := range out.Query {
		l.state.HandleState(now, now, e, hingeorders.ActualState{
			Role: hingeorders.Role(kindOf[hingefleet.Prefill+hingefleet.Decode-l.role]),
		})
	}
	return len(out.Send) > 0
}
