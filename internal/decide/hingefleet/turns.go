package hingefleet

import "time"

// turns is how late wants fare that wait while new ones go before them. In a burst of some seconds most get a
// turn within their callers' patience, and are spared another way here. While demand stays above what the engines serve none
// does: to let them wait would only use up the time that their callers have to come back, or to ask elsewhere.
type turns struct {
	got estimate
	at  time.Time
}

const (
	// turnWeight is the weight of a new outcome in the share of those that got their turn: half a dozen that didn't
	// move it below leastTurns.
	turnWeight = 0.1
	// leastTurns is the share that must have got their turn for others to wait.
	leastTurns = 0.5
	// turnsLast is how long the share stands without a new outcome: the next burst is another.
	turnsLast = 10 * time.Second
)

// take notes whether a late want got its turn.
func (t *turns) take(now time.Time, got bool) {
	t.fade(now)
	t.at = now
	if t.got.readings == 0 {
		t.got.take(1, turnWeight)
		// What one says isn't what all do.
		t.got.readings = int(1 / turnWeight)
	}
	outcome := 0.0
	if got {
		outcome = 1
	}
	t.got.take(outcome, turnWeight)
}

// hopeful reports whether a late want may wait for its turn.
func (t *turns) hopeful(now time.Time) bool {
	t.fade(now)
	return t.got.or(1) >= leastTurns
}

func (t *turns) fade(now time.Time) {
	if now.Sub(t.at) > turnsLast {
		t.got = estimate{}
	}
}
