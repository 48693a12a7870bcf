package hingelog

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
	// Replace gives the vote of Change.Replaced to the learner Change.Member.
	Replace
	// completeReplacement makes the outgoing voters learners.
	completeReplacement
)

// Change is a membership change (rule 10).
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
	// Replaced is the voter that Member replaces; set only for Replace.
	Replaced Member `cbor:"3,keyasint,omitzero"`
}

// Errors of rejected membership changes. A rejected change adds nothing to the log.
var (
	ErrChangePending      = eris.New("the previous membership change is not committed yet")
	ErrLearnerNotCaughtUp = eris.New("the learner has not confirmed all committed entries yet")
	ErrLastVoter          = eris.New("cannot remove the last voter")
	ErrPreviousVersion    = eris.New("too few members run a version that knows replacements of voters")
	ErrUnknownMember      = eris.New("the host or disk is not a member of the group")
)

// The members in force are those of the newest change in the log, committed or not.
func (l *Log) currentMembers() Members {
	return l.members[len(l.members)-1].members
}

func (l *Log) recordMembers(e Entry) {
	if e.Kind != MembersChange || e.Members == nil || e.Index <= l.members[0].index {
		return
	}
	l.members = append(l.members, indexedMembers{
		index:   e.Index,
		members: *e.Members,
	})
}

func (l *Log) truncateMembers(i Index) {
	for len(l.members) > 1 && l.members[len(l.members)-1].index >= i {
		l.members = l.members[:len(l.members)-1]
	}
}

func (l *Log) membersAt(i Index) Members {
	m := l.members[0].members
	for _, a := range l.members {
		if a.index <= i {
			m = a.members
		}
	}
	return m
}

func (l *Log) compactMembers(i Index) {
	for len(l.members) > 1 && l.members[1].index <= i {
		l.members = l.members[1:]
	}
}

// ChangeMembers proposes a membership change (rule 10). It returns nil if the change
// is in force already.
func (l *Log) ChangeMembers(now time.Time, c Change) error {
	if !l.MayLead(now) {
		return ErrNotLeader
	}
	uncommitted := l.members[len(l.members)-1].index > l.commit
	if uncommitted || l.currentMembers().IsReplacing() != (c.Kind == completeReplacement) {
		return ErrChangePending
	}
	next, err := l.membersAfterChange(c)
	if err != nil || next == nil {
		return err
	}
	if c.Kind == AddLearner {
		// The progress of an earlier membership would make a host that returns with the same
		// disk look silent, so that rule 13 removes it again before its first answer.
		delete(l.progress, c.Member)
	}
	l.append(Entry{
		Kind:    MembersChange,
		Members: next,
	})
	l.replicate(now)
	return nil
}

// membersAfterChange returns nil if the change is in force already.
func (l *Log) membersAfterChange(c Change) (*Members, error) {
	m := l.currentMembers()
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
		return l.membersAfterPromotion(next, c.Member)
	case Replace:
		return l.membersAfterReplacement(next, c)
	case completeReplacement:
		return membersAfterCompletion(next, m.Outgoing), nil
	default:
		return membersAfterRemoval(next, c.Member)
	}
}

func (l *Log) membersAfterPromotion(next Members, x Member) (*Members, error) {
	if next.HasVoter(x) {
		return nil, nil
	}
	if !next.Has(x) {
		return nil, ErrUnknownMember
	}
	// Rule 11.
	if l.progressOf(x).match < l.commit {
		return nil, ErrLearnerNotCaughtUp
	}
	next.Learners = without(next.Learners, x)
	next.Voters = append(next.Voters, x)
	return &next, nil
}

// membersAfterReplacement implements rule 10. Removing the old voter before the new one is promoted, or
// after it, would leave the group for that moment with one loss less that it survives.
func (l *Log) membersAfterReplacement(next Members, c Change) (*Members, error) {
	i := slices.Index(next.Voters, c.Replaced)
	if i < 0 || next.HasVoter(c.Member) || !next.Has(c.Member) {
		return nil, ErrUnknownMember
	}
	// Rule 11.
	if l.progressOf(c.Member).match < l.commit {
		return nil, ErrLearnerNotCaughtUp
	}
	next.Outgoing = slices.Clone(next.Voters)
	next.Learners = without(next.Learners, c.Member)
	next.Voters[i] = c.Member
	if !l.knowsReplacing(c.Member) || !next.HasQuorum(l.knowsReplacing) {
		return nil, ErrPreviousVersion
	}
	return &next, nil
}

func (l *Log) knowsReplacing(m Member) bool {
	return m == l.settings.Self || l.progressOf(m).knowsReplacing
}

// membersAfterCompletion makes the outgoing voters learners, so that a host that returns with its disk
// receives all entries again. A lost incarnation is removed.
func membersAfterCompletion(next Members, outgoing []Member) *Members {
	for _, x := range outgoing {
		sameHost := slices.ContainsFunc(next.All(), func(m Member) bool {
			return m.Host == x.Host
		})
		if !sameHost {
			next.Learners = append(next.Learners, x)
		}
	}
	return &next
}

func membersAfterRemoval(next Members, x Member) (*Members, error) {
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

// stepDownIfRemoved waits until the removal is committed.
func (l *Log) stepDownIfRemoved(now time.Time) {
	if !l.currentMembers().HasVoter(l.settings.Self) && l.members[len(l.members)-1].index <= l.commit {
		l.becomeFollower(now, l.hardState.Term)
	}
}

// MembersEvents returns the kinds and members of the events for the change between two consecutive sets
// of members. A replacement is reported when it is complete.
func MembersEvents(old, next Members) []Event {
	if next.IsReplacing() {
		return nil
	}
	if old.IsReplacing() {
		old.Voters = old.Outgoing
	}
	var out []Event
	add := func(k EventKind, members, known []Member) {
		for _, m := range members {
			if !slices.Contains(known, m) {
				out = append(out, Event{
					Kind:   k,
					Member: m,
				})
			}
		}
	}
	add(Promoted, next.Voters, old.Voters)
	add(LearnerAdded, next.Learners, old.Learners)
	add(Removed, old.All(), next.All())
	return out
}
