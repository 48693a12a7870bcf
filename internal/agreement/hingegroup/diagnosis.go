package hingegroup

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
)

// MemberState is what a host knows of another member.
type MemberState string

// The states of members.
const (
	// Answering members were heard lately; a host counts itself.
	Answering MemberState = "answering"
	// Silent members weren't.
	Silent MemberState = "silent"
	// Replaced members are lost: their host runs with a newer disk, so nobody has their vote.
	Replaced MemberState = "lost, its host has a new disk"
	// Unobserved members weren't heard, but this host follows a leader, so they have no reason to send
	// it messages.
	Unobserved MemberState = "not observed"
)

// MemberDiagnosis is a member's part of a Diagnosis.
type MemberDiagnosis struct {
	Member hingelog.Member
	State  MemberState
	// Silence is the time since its last message; negative if there was none.
	Silence time.Duration
	// LastIndex is the highest index of its log that is known.
	LastIndex hingelog.Index
}

// Diagnosis is what a host knows of the group's ability to serve.
type Diagnosis struct {
	Self   hingelog.Member
	Leader hingelog.Member
	Term   hingelog.Term
	// Suspect is the reason for which a read here would probably fail, empty if nothing is known.
	Suspect Reason
	// LastIndex and Applied are the local copy's.
	LastIndex hingelog.Index
	Applied   hingelog.Index
	Voters    []MemberDiagnosis
	// Outgoing are voters that are being replaced; a quorum needs a majority of them as well.
	Outgoing []MemberDiagnosis
	Learners []MemberDiagnosis
	// Others are hosts that were heard lately and aren't members, such as those that request to join.
	Others []MemberDiagnosis
	// HasQuorum reports whether a quorum of voters answers. It is known only without a leader and on the
	// leader.
	HasQuorum bool
}

// answerWindows times the election time is how long after its last message a member counts as
// answering. Members without a leader send something several times in that time.
const answerWindows = 3

// Diagnose returns what this host knows of the group at now.
func (g *Group) Diagnose(now time.Time) Diagnosis {
	return diagnose(now, g.Status(), g.peers.all(), answerWindows*g.settings.ElectionTimeout)
}

func diagnose(now time.Time, s Status, heard []Peer, window time.Duration) Diagnosis {
	d := Diagnosis{
		Self:      s.Self,
		Leader:    s.Leader,
		Term:      s.Term,
		LastIndex: s.LastIndex,
		Applied:   s.Applied,
	}
	switch {
	case s.Leader.IsZero():
		d.Suspect = NoLeader
	case s.IsLeader && !now.Before(s.LeaseUntil):
		d.Suspect = LeaderWithoutLease
	case s.Applied < s.Commit || !s.Members.Has(s.Self):
		d.Suspect = CopyBehind
	}
	observe := func(m hingelog.Member) MemberDiagnosis {
		return observeMember(now, m, s, heard, window)
	}
	for _, m := range s.Members.Voters {
		d.Voters = append(d.Voters, observe(m))
	}
	for _, m := range s.Members.Outgoing {
		d.Outgoing = append(d.Outgoing, observe(m))
	}
	for _, m := range s.Members.Learners {
		d.Learners = append(d.Learners, observe(m))
	}
	for _, p := range heard {
		if !s.Members.Has(p.Member) && p.Member.Host != s.Self.Host && now.Sub(p.HeardAt) <= window {
			d.Others = append(d.Others, observe(p.Member))
		}
	}
	slices.SortFunc(d.Others, func(a, b MemberDiagnosis) int {
		return cmp.Compare(a.Member.Host, b.Member.Host)
	})
	d.HasQuorum = len(d.Voters) > 0 && s.Members.HasQuorum(func(m hingelog.Member) bool {
		return observe(m).State == Answering
	})
	return d
}

func observeMember(now time.Time, m hingelog.Member, s Status, heard []Peer, window time.Duration) MemberDiagnosis {
	out := MemberDiagnosis{
		Member:  m,
		State:   Silent,
		Silence: -1,
	}
	if m == s.Self {
		out.State = Answering
		out.Silence = 0
		out.LastIndex = s.LastIndex
		return out
	}
	if m.Host == s.Self.Host && m.Disk < s.Self.Disk {
		out.State = Replaced
	}
	for _, x := range s.MatchIndexes {
		if x.Member == m {
			out.LastIndex = x.Index
		}
	}
	if !s.Leader.IsZero() && !s.IsLeader {
		out.State = Unobserved
	}
	for _, p := range heard {
		switch {
		case p.Member.Host != m.Host:
		case p.Member.Disk > m.Disk:
			out.State = Replaced
		case p.Member == m:
			out.Silence = now.Sub(p.HeardAt)
			out.LastIndex = max(out.LastIndex, p.LastIndex)
			if out.Silence <= window {
				out.State = Answering
			}
		}
	}
	return out
}

// Successor returns the host that would get the next vote: of the learners that answer the one whose
// log is longest, else a host that requests to join. It returns false if there is none.
func (d Diagnosis) Successor() (MemberDiagnosis, bool) {
	for _, list := range [][]MemberDiagnosis{d.Learners, d.Others} {
		best := -1
		for i, m := range list {
			if m.State == Answering && (best < 0 || m.LastIndex > list[best].LastIndex) {
				best = i
			}
		}
		if best >= 0 {
			return list[best], true
		}
	}
	return MemberDiagnosis{}, false
}

// String describes the diagnosis for operators.
func (d Diagnosis) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seen by %s (index %d, applied %d), term %d, ", d.Self.Host, d.LastIndex, d.Applied, d.Term)
	if d.Leader.IsZero() {
		b.WriteString("no leader")
	} else {
		fmt.Fprintf(&b, "leader %s", d.Leader.Host)
	}
	d.writeMembers(&b, "voters", d.Voters)
	d.writeMembers(&b, "voters being replaced", d.Outgoing)
	d.writeMembers(&b, "learners", d.Learners)
	d.writeMembers(&b, "other hosts", d.Others)
	b.WriteString("; " + d.Advice())
	return b.String()
}

func (d Diagnosis) writeMembers(b *strings.Builder, title string, list []MemberDiagnosis) {
	for i, m := range list {
		if i == 0 {
			fmt.Fprintf(b, "; %s: ", title)
		} else {
			b.WriteString(", ")
		}
		fmt.Fprintf(b, "%s %s", m.Member.Host, m.State)
		if m.State == Silent && m.Silence >= 0 {
			fmt.Fprintf(b, " for %v", m.Silence.Round(time.Millisecond))
		}
		if m.LastIndex > 0 {
			fmt.Fprintf(b, " at index %d", m.LastIndex)
		}
	}
}

// Advice says what would mend the group.
func (d Diagnosis) Advice() string {
	switch {
	case len(d.Voters) == 0:
		return "this host knows no members yet and requests to join"
	case !d.Leader.IsZero() && d.Leader != d.Self:
		return "the leader " + string(d.Leader.Host) + " knows more"
	case !d.HasQuorum:
		return "no quorum answers: " + d.missing()
	}
	next, found := d.Successor()
	if !found {
		return "a quorum answers"
	}
	return fmt.Sprintf("a quorum answers; next to get a vote: %s at index %d", next.Member.Host, next.LastIndex)
}

// missing names the voters that are needed back. Only they can restore a lost quorum: a learner gets a
// vote by an entry that a quorum has accepted.
func (d Diagnosis) missing() string {
	var silent, lost []string
	for _, m := range slices.Concat(d.Voters, d.Outgoing) {
		name := string(m.Member.Host)
		switch {
		case m.State == Silent && !slices.Contains(silent, name):
			silent = append(silent, name)
		case m.State == Replaced && !slices.Contains(lost, name):
			lost = append(lost, name)
		}
	}
	text := "start again, with its disk, a voter of: " + strings.Join(silent, ", ")
	if len(silent) == 0 {
		text = "no voter is merely silent"
	}
	if len(lost) > 0 {
		text += " (lost for good: " + strings.Join(lost, ", ") + ")"
	}
	return text
}
