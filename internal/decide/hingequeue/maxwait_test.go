package hingequeue

import (
	"testing"
	"time"
)

// A longer maximum wait of a few callers must not be taken for that of first attempts, or first
// attempts would be treated as late retries and refused.
func TestMostCommonMaxWaitIsThatOfFirstAttempts(t *testing.T) {
	var m maxWaits
	now := start
	const target = 150 * time.Millisecond
	for i := range 400 {
		now = now.Add(2 * time.Millisecond)
		m.elapsed(now, target, time.Second)
		if i%20 == 0 {
			m.elapsed(now, target, 2*time.Second)
		}
		if i%2 == 0 {
			m.elapsed(now, target, time.Second-time.Duration(100+i)*time.Millisecond)
		}
	}
	for maxWait, want := range map[time.Duration]time.Duration{
		time.Second:            0,
		990 * time.Millisecond: 0,
		2 * time.Second:        0,
		700 * time.Millisecond: 300 * time.Millisecond,
		0:                      0,
	} {
		if got := m.elapsed(now, target, maxWait); got != want {
			t.Errorf("elapsed time of a caller with a maximum wait of %v: %v, want %v", maxWait, got, want)
		}
	}
}

// After callers change their maximum wait, their first attempts must be recognized as such within
// seconds.
func TestMostCommonMaxWaitFollowsAChange(t *testing.T) {
	var m maxWaits
	now := start
	const target = 150 * time.Millisecond
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		m.elapsed(now, target, time.Second)
	}
	for range 3000 {
		now = now.Add(5 * time.Millisecond)
		m.elapsed(now, target, 500*time.Millisecond)
	}
	if got := m.elapsed(now, target, 500*time.Millisecond); got != 0 {
		t.Errorf("elapsed time of a first attempt 15 s after the change: %v, want 0", got)
	}
}
