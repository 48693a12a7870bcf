package hingefleet

import (
	"testing"
	"time"
)

// Guards against late requests that keep waiting under lasting overload, and against the outcome
// of one burst affecting the next.
func TestLateRequestsWaitOnlyWhileSomeAreAssigned(t *testing.T) {
	var u lateOutcomes
	now := simStart
	if !u.mayWait(now) {
		t.Fatal("late requests may not wait without outcomes")
	}
	failed := 0
	for u.mayWait(now) {
		now = now.Add(100 * time.Millisecond)
		u.record(now, false)
		failed++
	}
	if failed < 3 || failed > 10 {
		t.Fatalf("%d late requests waited and failed, want 3 to 10", failed)
	}
	for range 10 {
		u.record(now, true)
	}
	if !u.mayWait(now) {
		t.Fatal("late requests may not wait after ten consecutive assignments")
	}
	for range 20 {
		u.record(now, false)
	}
	if u.mayWait(now) {
		t.Fatal("late requests may wait after twenty consecutive failures")
	}
	if !u.mayWait(now.Add(lateOutcomeTTL + time.Second)) {
		t.Fatal("outcomes of the last burst affect the next")
	}
}

// A short burst exceeds the memory, but can be served within the callers' maximum wait. Guards
// against refusing its late requests, whose retries would be served later.
func TestLateRequestsAreServedAfterAShortBurst(t *testing.T) {
	o := runSeeds(loadPattern{
		duration: 12 * time.Second,
		requestsPerSecond: func(t time.Duration) float64 {
			if t > 4*time.Second && t < 5500*time.Millisecond {
				return 45
			}
			return 8
		},
		prefillers: 3,
		decoders:   5,
	}, newFleetPlacer)
	t.Logf("%+v", o)
	checkShare(t, o, "refused", o.Refused, 0, 0.04)
	checkShare(t, o, "late", o.Late, 0.05, 0.3)
}
