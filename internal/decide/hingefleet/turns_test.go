package hingefleet

import (
	"testing"
	"time"
)

// Demand is twice what the engines serve. The first callers that can't be on time wait in vain, and use up the time in which
// they could have come back; those after them must hear it at once. Ten seconds later another burst begins, and nothing is
// known of that one.
func TestLateWantsWaitOnlyWhereSomeGetTheirTurn(t *testing.T) {
	var u turns
	now := simStart
	if !u.hopeful(now) {
		t.Fatal("nobody may try")
	}
	inVain := 0
	for u.hopeful(now) {
		now = now.Add(100 * time.Millisecond)
		u.take(now, false)
		inVain++
	}
	if inVain < 3 || inVain > 10 {
		t.Fatalf("%d waited in vain", inVain)
	}
	for range 10 {
		u.take(now, true)
	}
	if !u.hopeful(now) {
		t.Fatal("nobody may wait where ten in a row got their turn")
	}
	for range 20 {
		u.take(now, false)
	}
	if u.hopeful(now) {
		t.Fatal("others wait where twenty in a row got none")
	}
	if !u.hopeful(now.Add(turnsLast + time.Second)) {
		t.Fatal("the next burst is judged by the last")
	}
}

// A burst of a second and a half brings more than there is memory for, and it drains within callers' patience. Sent away,
// they would come back seconds later than they could be served.
func TestLateWantsAreServedAfterAShortBurst(t *testing.T) {
	o := mean(loadPattern{
		lasts: 12 * time.Second,
		perSec: func(t time.Duration) float64 {
			if t > 4*time.Second && t < 5500*time.Millisecond {
				return 45
			}
			return 8
		},
		prefills: 3,
		decodes:  5,
	}, fleetOf)
	t.Logf("%+v", o)
	want(t, o, "refused", o.Refused, 0, 0.04)
	want(t, o, "late", o.Late, 0.05, 0.3)
}
