package hingeload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// Judge must detect dropped and repeated tokens and tokens of other requests.
func TestJudge(t *testing.T) {
	want := hingestandin.Answer("own", 3)
	other := hingestandin.Answer("other", 3)
	token := func(i int) string { return hingestandin.Token("own", i) }
	got := map[string]Finding{
		"whole":           Judge(want, want),
		"short":           Judge(want, token(0)+token(1)),
		"empty":           Judge(want, ""),
		"gap":             Judge(want, token(0)+token(2)),
		"token twice":     Judge(want, token(0)+token(0)+token(1)+token(2)),
		"all twice":       Judge(want, want+want),
		"another's":       Judge(want, other),
		"another's token": Judge(want, want+hingestandin.Token("other", 0)),
		"broken token":    Judge(want, want[:len(want)-2]),
	}
	if diff := cmp.Diff(map[string]Finding{
		"whole":           Right,
		"short":           Truncated,
		"empty":           Truncated,
		"gap":             Truncated,
		"token twice":     Doubled,
		"all twice":       Doubled,
		"another's":       Crossed,
		"another's token": Crossed,
		"broken token":    Crossed,
	}, got); diff != "" {
		t.Error(diff)
	}
}

// The schedule must be the same for the same seed, so that runs are comparable,
// and no two requests may have the same prompt, or their answers couldn't be told apart.
func TestDraw(t *testing.T) {
	phases := []Phase{
		{
			Lasts: 10 * time.Second,
			Rate:  100,
		},
		{
			Lasts: time.Second,
			Rate:  1000,
		},
	}
	first := Draw(7, Shellfish(), phases, 1e6)
	if diff := cmp.Diff(first, Draw(7, Shellfish(), phases, 1e6)); diff != "" {
		t.Error(diff)
	}
	if len(first) < 1800 || len(first) > 2200 {
		t.Errorf("%d arrivals, want about 2,000", len(first))
	}
	if got := len(Draw(7, Shellfish(), phases, 50)); got != 50 {
		t.Errorf("%d arrivals, want the limit of 50", got)
	}
	seen := make(map[string]bool)
	for _, a := range first {
		if a.Class.Kind != Call && seen[a.Text("r")] {
			t.Fatalf("two requests have the prompt %.60q", a.Text("r"))
		}
		seen[a.Text("r")] = true
	}
}
