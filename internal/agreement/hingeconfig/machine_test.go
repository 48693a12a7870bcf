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

func mustApply(t interface{ Fatal(...any) }, m *Machine, c Change) Answer {
	a, err := DecodeAnswer(m.Apply(0, c.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A resend after a restore from a snapshot must get the first answer again, accepted
// or conflict; the same ID with other content must be refused.
func TestResendGetsFirstAnswerAfterRestore(t *testing.T) {
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
		AcceptedChange: AcceptedChange{
			Operator: "yann",
			ID:       "c1",
			Revision: 1,
		},
	}
	got := []Answer{
		mustApply(t, m, first),
		mustApply(t, m, second),
	}
	mustApply(t, m, put("c3", "yann", 1, "rules/quay", "x"))
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	first.SentAt = 5
	got = append(got, mustApply(t, restored, first), mustApply(t, restored, second))
	if diff := cmp.Diff([]Answer{won, lost, won, lost}, got); diff != "" {
		t.Fatal(diff)
	}
	other := mustApply(t, restored, put("c1", "yann", 0, "models/redacteur", "7"))
	if other.Result != ContentMismatch || !strings.Contains(other.Err().Error(), "c1") {
		t.Fatalf("got %+v", other)
	}
	if d, _ := restored.Views().Load().Get("models/redacteur"); string(d) != "9" {
		t.Fatalf("document is %q", d)
	}
}

// A system change while an operator edits must not make the operator's change a
// conflict, and must never lower a stored incarnation.
func TestSystemChangesOnlyGrowAndCauseNoConflict(t *testing.T) {
	m := New()
	mustApply(t, m, put("c1", "yann", 0, "models/redacteur", "9"))
	for _, n := range []hingeids.Incarnation{5, 9, 7} {
		mustApply(t, m, InstanceEnded(hingeids.Instance{
			Host:        "cancale-1",
			Incarnation: n,
		}, "roscoff-1", time.Unix(0, 0)))
	}
	v := m.Views().Load()
	if v.EndedUpTo("cancale-1") != 9 || v.Revision != 3 {
		t.Fatalf("ended up to %d at revision %d", v.EndedUpTo("cancale-1"), v.Revision)
	}
	if a := mustApply(t, m, put("c2", "yann", 1, "models/redacteur", "8")); a.Result != Accepted || a.Revision != 4 {
		t.Fatalf("got %+v", a)
	}
	forged := put("c3", "yann", 4, EndedIncarnationPath("cancale-1"), "forged")
	if a := mustApply(t, m, forged); a.Result != Malformed {
		t.Fatalf("got %+v", a)
	}
}

// A follower that applies differences, or all documents where the history is too
// short, must have the same documents as the machine.
func TestDifferencesReproduceDocuments(t *testing.T) {
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
			mustApply(t, m, c)
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
				d = v.FullDifference()
			}
			next, err := follower.Apply(d)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(v.Documents, next.Documents, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
			if _, err := next.Apply(Difference{}); err == nil && next.Revision > 0 {
				t.Fatal("went back to revision 0")
			}
			follower = next
		}
	})
}

// Documents that don't fit into one answer would leave a host that is far behind
// without a configuration.
func TestTotalSizeIsLimited(t *testing.T) {
	m := New()
	half := strings.Repeat("x", MaxTotalBytes/2)
	got := []Result{
		mustApply(t, m, put("c1", "yann", 0, "a", half)).Result,
		mustApply(t, m, put("c2", "yann", 1, "b", half)).Result,
		mustApply(t, m, put("c3", "yann", 1, "a", half+half[:100])).Result,
		mustApply(t, m, put("c4", "yann", 2, "a", "small")).Result,
	}
	if diff := cmp.Diff([]Result{Accepted, Malformed, Accepted, Accepted}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The number of kept change IDs is limited, and a resend whose ID was removed must not
// apply the change twice.
func TestResendOfForgottenChangeIsAConflict(t *testing.T) {
	m := New()
	first := put("c0", "yann", 0, "a", "0")
	mustApply(t, m, first)
	for i := range maxAnswers {
		mustApply(t, m, put(ChangeID(fmt.Sprint("x", i)), "yann", 0, "a", "1"))
	}
	if len(m.index) != maxAnswers || len(m.state.Answers) != maxAnswers {
		t.Fatalf("%d kept answers", len(m.index))
	}
	if a := mustApply(t, m, first); a.Result != Conflict || a.AcceptedChange.ID != "c0" {
		t.Fatalf("got %+v", a)
	}
}
