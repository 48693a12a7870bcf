package hingelog

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ChangeKind says what a change of members does.
type ChangeKind uint8

// The kinds of changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// lostAfter is how many times the silence of rule 13 makes a learner lost: a
// learner costs only its messages, so there is no hurry.
const lostAfter = 3

// Change of members.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// Changes of members that were refused; nothing of them is in the log.
var (
	ErrChangePending = eris.New("another change of members is not committed yet")
	ErrNotCaughtUp   = eris.New("the learner doesn't hold everything committed yet")
	ErrLastVoter     = eris.New("the last voter can't be removed")
	ErrUnknownMember = eris.New("not a member")
)

// current gives the members in force: the newest in the log, committed or not.
func (l *Log) current() Members {
	return l.members[len(l.members)-1].members
}

func (l *Log) noteMembers(e Entry) {
	if e.Kind != MembersChange || e.Members == nil || e.Index <= l.members[0].index {
		return
	}
	l.members = append(l.members, membersAt{
		index:   e.Index,
		members: *e.Members,
	})
}

func (l *Log) dropMembersFrom(i Index) {
	for len(l.members) > 1 && l.members[len(l.members)-1].index >= i {
		l.members = l.members[:len(l.members)-1]
	}
}

func (l *Log) membersUpTo(i Index) Members {
	m := l.members[0].members
	for _, a := range l.members {
		if a.index <= i {
			m = a.members
		}
	}
	return m
}

func (l *Log) forgetMembersBefore(i Index) {
	for len(l.members) > 1 && l.members[1].index <= i {
		l.members = l.members[1:]
	}
}

// Reconfigure proposes a change of members (rule 10). A change that is already
// in force is no error.
func (l *Log) Reconfigure(now time.Time, c Change) error {
	if !l.MayLead(now) {
		return ErrNotLeader
	}
	if l.members[len(l.members)-1].index > l.commit {
		return ErrChangePending
	}
	next, err := l.changed(c)
	if err != nil || next == nil {
		return err
	}
	l.append(Entry{
		Kind:    MembersChange,
		Members: next,
	})
	l.replicate(now)
	return nil
}

// changed gives the members after a change, or nil if it is in force already.
func (l *Log) changed(c Change) (*Members, error) {
	m := l.current()
	next := Members{
		Voters:   slices.Clone(m.Voters),
		Learners: slices.Clone(m.Learners),
	}
	switch c.Kind {
	case AddLearner:
		if m.Has(c.Member) {
			return nil, nil
		}
		next.Learners = append(next.Learners, c.Member)
		return &next, nil
	case Promote:
		return l.promoted(next, c.Member)
	default:
		return removed(next, c.Member)
	}
}

func (l *Log) promoted(next Members, x Member) (*Members, error) {
	if next.HasVoter(x) {
		return nil, nil
	}
	if !next.Has(x) {
		return nil, ErrUnknownMember
	}
	// Rule 11.
	if l.progressOf(x).match < l.commit {
		return nil, ErrNotCaughtUp
	}
	next.Learners = without(next.Learners, x)
	next.Voters = append(next.Voters, x)
	return &next, nil
}

func removed(next Members, x Member) (*Members, error) {
	if !next.Has(x) {
		return nil, nil
	}
	next.Voters = without(next.Voters, x)
	next.Learners = without(next.Learners, x)
	if len(next.Voters) == 0 {
		return nil, ErrLastVoter
	}
	return &next, nil
}

func without(list []Member, x Member) []Member {
	return slices.DeleteFunc(list, func(m Member) bool {
		return m == x
	})
}

// afterCommit tells of committed changes of members. A leader that removed
// itself steps down; the others elect another.
func (l *Log) afterCommit(now time.Time) {
	if !l.current().HasVoter(l.settings.Self) && l.members[len(l.members)-1].index <= l.commit {
		l.becomeFollower(now, l.hard.Term)
	}
}

// MembersEvent compares two sets of members that follow each other.
func MembersEvent(old, next Members) (EventKind, Member) {
	for _, m := range next.Voters {
		if !old.HasVoter(m) {
			return Promoted, m
		}
	}
	for _, m := range next.Learners {
		if !old.Has(m) {
			return LearnerAdded, m
		}
	}
	for _, m := range old.All() {
		if !next.Has(m) {
			return Removed, m
		}
	}
	return 0, Member{}
}

// repair brings learners in, one step at a time (rule 11).
func (l *Log) repair(now time.Time) {
	if len(l.current().Learners) == 0 || !l.MayLead(now) {
		return
	}
	if x, ok := l.lostLearner(now); ok {
		// A pending change is no failure: the next tick tries again.
		_ = l.Reconfigure(now, Change{
			Kind:   Remove,
			Member: x,
		})
		return
	}
	for _, x := range l.current().Learners {
		if c, due := l.repairStep(now, x); due {
			// A pending change is no failure: the next tick tries again.
			_ = l.Reconfigure(now, c)
			return
		}
	}
}

func (l *Log) repairStep(now time.Time, x Member) (Change, bool) {
	for _, m := range l.current().Learners {
		if m.Host == x.Host && m.Disk > x.Disk {
			return Change{
				Kind:   Remove,
				Member: x,
			}, true
		}
	}
	p := l.progressOf(x)
	if p.match < l.commit || now.Sub(p.ackedSend) > l.settings.Election {
		return Change{}, false
	}
	for _, m := range l.current().Voters {
		if m.Host == x.Host {
			// Both incarnations in one set would give one host two votes.
			return Change{
				Kind:   Remove,
				Member: m,
			}, true
		}
	}
	return l.seat(now, x)
}

// seat promotes a learner if a vote is free, or frees the one of a silent voter. Rule 13.
func (l *Log) seat(now time.Time, x Member) (Change, bool) {
	if l.settings.Voters == 0 || len(l.current().Voters) < l.settings.Voters {
		return Change{
			Kind:   Promote,
			Member: x,
		}, true
	}
	for _, m := range l.current().Voters {
		if m != l.settings.Self && l.silentFor(now, m) > l.settings.Silence {
			return Change{
				Kind:   Remove,
				Member: m,
			}, true
		}
	}
	return Change{}, false
}

// silentFor is how long a member hasn't answered this leader, at most since it was first sent to.
func (l *Log) silentFor(now time.Time, m Member) time.Duration {
	p := l.progressOf(m)
	switch {
	case p.since.IsZero():
		return 0
	case p.ackedSend.After(p.since):
		return now.Sub(p.ackedSend)
	}
	return now.Sub(p.since)
}

// lostLearner finds a learner that isn't coming back, where hosts join by
// themselves: one that does come back asks to join again. Rule 13.
func (l *Log) lostLearner(now time.Time) (Member, bool) {
	if l.settings.Voters == 0 {
		return Member{}, false
	}
	for _, m := range l.current().Learners {
		if l.silentFor(now, m) > lostAfter*l.settings.Silence {
			return m, true
		}
	}
	return Member{}, false
}
