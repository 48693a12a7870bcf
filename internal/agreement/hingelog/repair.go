package hingelog

import (
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// lostLearnerFactor times the silence of rule 13 is the time without answers after
// which a learner is removed. An unreachable learner costs only its messages, so it
// is removed later than a voter is replaced, and rarely while its host restarts.
const lostLearnerFactor = 5

// repair implements rules 11 and 13 to 15.
func (l *Log) repair(now time.Time) {
	m := l.currentMembers()
	if !m.IsReplacing() && len(m.Learners) == 0 || !l.MayLead(now) {
		return
	}
	if c, needed := l.nextRepair(now); needed {
		// The next tick retries if another change is pending.
		_ = l.ChangeMembers(now, c)
	}
}

func (l *Log) nextRepair(now time.Time) (Change, bool) {
	if l.currentMembers().IsReplacing() {
		return Change{
			Kind: completeReplacement,
		}, true
	}
	if x, ok := l.lostLearner(now); ok {
		return Change{
			Kind:   Remove,
			Member: x,
		}, true
	}
	var ready []Member
	for _, x := range l.currentMembers().Learners {
		switch old, isVoter := l.voterOfHost(x.Host); {
		case l.isSuperseded(x):
			return Change{
				Kind:   Remove,
				Member: x,
			}, true
		case !l.isReady(now, x):
		case isVoter:
			// Two voting incarnations would give the host two votes.
			return replacement(old, x), true
		default:
			ready = append(ready, x)
		}
	}
	return l.moveVote(now, ready)
}

// isSuperseded reports whether the host of a learner has a newer disk.
func (l *Log) isSuperseded(x Member) bool {
	return slices.ContainsFunc(l.currentMembers().Learners, func(m Member) bool {
		return m.Host == x.Host && m.Disk > x.Disk
	})
}

func (l *Log) voterOfHost(h hingeids.HostID) (Member, bool) {
	for _, m := range l.currentMembers().Voters {
		if m.Host == h {
			return m, true
		}
	}
	return Member{}, false
}

// isReady reports whether a learner may get a vote (rule 11).
func (l *Log) isReady(now time.Time, x Member) bool {
	p := l.progressOf(x)
	return p.match >= l.commit && now.Sub(p.ackedSendTime) <= l.settings.ElectionTimeout && p.retiringSince.IsZero()
}

func replacement(voter, learner Member) Change {
	return Change{
		Kind:     Replace,
		Member:   learner,
		Replaced: voter,
	}
}

// moveVote implements rules 13 to 15 for the learners that are ready. A voter that may not answer again is
// replaced before a healthy one is for the sake of its zone.
func (l *Log) moveVote(now time.Time, ready []Member) (Change, bool) {
	voters := l.currentMembers().Voters
	if l.settings.Voters == 0 || len(voters) < l.settings.Voters {
		return l.promotion(ready)
	}
	var lost, crowded Change
	lowestLost, lowestCrowded := math.MaxInt, l.crowding(voters)
	for i, v := range voters {
		for _, x := range ready {
			after := slices.Clone(voters)
			after[i] = x
			crowding := l.crowding(after)
			if l.mustMove(now, v, x) && crowding < lowestLost {
				lost, lowestLost = replacement(v, x), crowding
			}
			if v != l.settings.Self && crowding < lowestCrowded {
				crowded, lowestCrowded = replacement(v, x), crowding
			}
		}
	}
	if lowestLost < math.MaxInt {
		return lost, true
	}
	return crowded, crowded.Kind == Replace
}

// promotion returns the change that adds the vote of a learner, the one in the zone with the fewest votes.
func (l *Log) promotion(ready []Member) (Change, bool) {
	best, lowest := Change{}, math.MaxInt
	for _, x := range ready {
		if c := l.crowding(append(slices.Clone(l.currentMembers().Voters), x)); c < lowest {
			best = Change{
				Kind:   Promote,
				Member: x,
			}
			lowest = c
		}
	}
	return best, lowest < math.MaxInt
}

// mustMove reports whether a voter is silent, or is about to stop and the learner isn't.
func (l *Log) mustMove(now time.Time, voter, learner Member) bool {
	// A host that stops at the same time must not take the vote: its answer to a message that was sent later
	// would say so.
	since := l.retiringSinceOf(voter)
	if !since.IsZero() && l.progressOf(learner).ackedSendTime.After(since) {
		return true
	}
	// A new leader gives each member the time for an answer.
	mayHaveAnswered := now.Sub(l.leaderSince) >= 2*l.settings.HeartbeatInterval
	return voter != l.settings.Self && mayHaveAnswered && l.unansweredFor(now, voter) > l.settings.SilenceTimeout
}

// crowding returns the sum of the squares of the zones' votes, which is lowest if votes are spread evenly over
// the zones.
func (l *Log) crowding(voters []Member) int {
	if l.settings.Zone == nil {
		return len(voters)
	}
	votes := make(map[hingeids.Zone]int)
	sum := 0
	for _, m := range voters {
		z := l.settings.Zone(m.Host)
		if z == "" {
			sum++
			continue
		}
		// The difference of two successive squares.
		sum += 2*votes[z] + 1
		votes[z]++
	}
	return sum
}

// Retire makes a leader give this member's vote to a learner that is ready (rule 14).
func (l *Log) Retire(now time.Time) {
	if l.retiringSince.IsZero() {
		l.retiringSince = now
	}
}

func (l *Log) retiringSinceOf(m Member) time.Time {
	if m == l.settings.Self {
		return l.retiringSince
	}
	return l.progressOf(m).retiringSince
}

// The time is counted from the first message to the member in this term at the
// earliest, or from before if the member was silent then.
func (l *Log) unansweredFor(now time.Time, m Member) time.Duration {
	p := l.progressOf(m)
	switch {
	case p.firstSentAt.IsZero():
		return 0
	case p.ackedSendTime.After(p.firstSentAt):
		return now.Sub(p.ackedSendTime)
	}
	return now.Sub(p.firstSentAt)
}

// lostLearner implements rule 13 if hosts join by themselves. A learner that was
// removed wrongly requests to join again.
func (l *Log) lostLearner(now time.Time) (Member, bool) {
	if l.settings.Voters == 0 {
		return Member{}, false
	}
	for _, m := range l.currentMembers().Learners {
		if l.unansweredFor(now, m) > lostLearnerFactor*l.settings.SilenceTimeout {
			return m, true
		}
	}
	return Member{}, false
}
