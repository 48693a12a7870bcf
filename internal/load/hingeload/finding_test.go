package hingeload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// Dropped and repeated tokens and tokens of other requests must be detected.
func TestClassifyAnswer(t *testing.T) {
	want := hingestandin.Answer("own", 3)
	other := hingestandin.Answer("other", 3)
	token := func(i int) string { return hingestandin.Token("own", i) }
	got := map[string]Finding{
		"whole":           ClassifyAnswer(want, want),
		"short":           ClassifyAnswer(want, token(0)+token(1)),
		"empty":           ClassifyAnswer(want, ""),
		"gap":             ClassifyAnswer(want, token(0)+token(2)),
		"token twice":     ClassifyAnswer(want, token(0)+token(0)+token(1)+token(2)),
		"all twice":       ClassifyAnswer(want, want+want),
		"another's":       ClassifyAnswer(want, other),
		"another's token": ClassifyAnswer(want, want+hingestandin.Token("other", 0)),
		"broken token":    ClassifyAnswer(want, want[:len(want)-2]),
	}
	if diff := cmp.Diff(map[string]Finding{
		"whole":           Correct,
		"short":           Truncated,
		"empty":           Truncated,
		"gap":             Truncated,
		"token twice":     Duplicated,
		"all twice":       Duplicated,
		"another's":       Misdelivered,
		"another's token": Misdelivered,
		"broken token":    Misdelivered,
	}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against runs of one seed that aren't comparable, and against equal prompts, whose answers
// can't be told apart.
func TestNewSchedule(t *testing.T) {
	phases := []Phase{
		{
			Duration: 10 * time.Second,
			Rate:     100,
		},
		{
			Duration: time.Second,
			Rate:     1000,
		},
	}
	first := NewSchedule(7, Shellfish(), phases, 1e6)
	if diff := cmp.Diff(first, NewSchedule(7, Shellfish(), phases, 1e6)); diff != "" {
		t.Error(diff)
	}
	if len(first) < 1800 || len(first) > 2200 {
		t.Errorf("%d arrivals, want about 2,000", len(first))
	}
	if got := len(NewSchedule(7, Shellfish(), phases, 50)); got != 50 {
		t.Errorf("%d arrivals, want the limit of 50", got)
	}
	seen := make(map[string]bool)
	for _, a := range first {
		if a.Class.Kind != Call && seen[a.PromptText("r")] {
			t.Fatalf("two requests have the prompt %.60q", a.PromptText("r"))
		}
		seen[a.PromptText("r")] = true
	}
}
