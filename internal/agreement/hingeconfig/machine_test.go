package hingeconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

func put(id ChangeID, operator string, expected hingeids.Revision, path Path, text string) Change {
	return Change{
		ID:       id,
		Expected: expected,
		Operator: operator,
		Puts: map[Path][]byte{
			path: []byte(text),
		},
	}
}

func answer(t interface{ Fatal(...any) }, m *Machine, c Change) Answer {
	a, err := DecodeAnswer(m.Apply(0, c.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Two operators change revision 0 at the same time, and one whose answer was
// lost sends again, after the leader that knew has gone and the log was compacted. Each must
// learn the truth about their own change: who won, or what was said at first.
func TestRacingAndResendingOperatorsLearnTheTruth(t *testing.T) {
	m := New()
	first := put("c1", "yann", 0, "models/redacteur", "9")
	second := put("c2", "maelle", 0, "models/redacteur", "8")
	won := Answer{
		Result:   Accepted,
		Revision: 1,
	}
	lost := Answer{
		Result:   Conflict,
		Revision: 1,
		Winner: Winner{
			Operator: "yann",
			ID:       "c1",
			Revision: 1,
		},
	}
	got := []Answer{
		answer(t, m, first),
		answer(t, m, second),
	}
	answer(t, m, put("c3", "yann", 1, "rules/quay", "x"))
	again := New()
	if err := again.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	first.SentAt = 5
	got = append(got, answer(t, again, first), answer(t, again, second))
	if diff := cmp.Diff([]Answer{won, lost, won, lost}, got); diff != "" {
		t.Fatal(diff)
	}
	other := answer(t, again, put("c1", "yann", 0, "models/redacteur", "7"))
	if other.Result != OtherContent || !strings.Contains(other.Err().Error(), "c1") {
		t.Fatalf("got %+v", other)
	}
	if d, _ := again.Views().Load().Get("models/redacteur"); string(d) != "9" {
		t.Fatalf("document is %q", d)
	}
}

// The system records that a host's life is over while an operator edits. The
// operator would see a conflict with nobody's change.
func TestFactsOnlyGrowAndAreInNobodysWay(t *testing.T) {
	m := New()
	answer(t, m, put("c1", "yann", 0, "models/redacteur", "9"))
	for _, n := range []hingeids.Incarnation{5, 9, 7} {
		answer(t, m, LifeOver(hingeids.Instance{
			Host:        "cancale-1",
			Incarnation: n,
		}, "roscoff-1", time.Unix(0, 0)))
	}
	v := m.Views().Load()
	if v.OverUpTo("cancale-1") != 9 || v.Revision != 3 {
		t.Fatalf("over up to %d at revision %d", v.OverUpTo("cancale-1"), v.Revision)
	}
	if a := answer(t, m, put("c2", "yann", 1, "models/redacteur", "8")); a.Result != Accepted || a.Revision != 4 {
		t.Fatalf("got %+v", a)
	}
	forged := put("c3", "yann", 4, LifePath("cancale-1"), "forged")
	if a := answer(t, m, forged); a.Result != Malformed {
		t.Fatalf("got %+v", a)
	}
}

// Whatever order changes come in, a follower that takes differences, or one snapshot
// where the history is too short, has the same documents as the machine.
func TestDifferencesLeadWhereTheMachineIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		follower := m.Views().Load()
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := put(ChangeID(fmt.Sprint(i)), "yann", m.state.Revision,
				Path(rapid.StringMatching(`[ab]{1,2}`).Draw(t, "path")), fmt.Sprint(i))
			if rapid.Bool().Draw(t, "delete") {
				for p := range c.Puts {
					c.Deletes = []Path{p}
				}
				c.Puts = nil
			}
			answer(t, m, c)
			if rapid.Bool().Draw(t, "restart") {
				if err := m.Restore(m.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "follow") > 0 {
				continue
			}
			v := m.Views().Load()
			d, ok := v.Diff(follower.Revision, v.Revision)
			if !ok || rapid.Bool().Draw(t, "whole") {
				d = v.Whole()
			}
			next, err := follower.With(d)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(v.Documents, next.Documents, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
			if _, err := next.With(Difference{}); err == nil && next.Revision > 0 {
				t.Fatal("went back to revision 0")
			}
			follower = next
		}
	})
}

// Documents that no longer fit one answer would leave a host that is far
// behind without any configuration.
func TestConfigurationStaysSmallEnoughToBeSentWhole(t *testing.T) {
	m := New()
	half := strings.Repeat("x", largestWhole/2)
	got := []Result{
		answer(t, m, put("c1", "yann", 0, "a", half)).Result,
		answer(t, m, put("c2", "yann", 1, "b", half)).Result,
		answer(t, m, put("c3", "yann", 1, "a", half+half[:100])).Result,
		answer(t, m, put("c4", "yann", 2, "a", "small")).Result,
	}
	if diff := cmp.Diff([]Result{Accepted, Malformed, Accepted, Accepted}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The memory that change ids take is bounded; forgetting one never applies a change twice.
func TestForgottenChangeIsAConflict(t *testing.T) {
	m := New()
	first := put("c0", "yann", 0, "a", "0")
	answer(t, m, first)
	for i := range keptAnswers {
		answer(t, m, put(ChangeID(fmt.Sprint("x", i)), "yann", 0, "a", "1"))
	}
	if len(m.index) != keptAnswers || len(m.state.Answers) != keptAnswers {
		t.Fatalf("remembers %d", len(m.index))
	}
	if a := answer(t, m, first); a.Result != Conflict || a.Winner.ID != "c0" {
		t.Fatalf("got %+v", a)
	}
}
