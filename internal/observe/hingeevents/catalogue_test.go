package hingeevents

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

// Guards against a number or name that is used twice, a number outside its area,
// and incomplete entries.
func TestNumbers(t *testing.T) {
	numbers := make(map[Number]string)
	names := make(map[string]Number)
	for _, a := range areas {
		for _, e := range a.entries {
			if other, ok := numbers[e.Number]; ok {
				t.Errorf("%d is both %s and %s", e.Number, other, e.Name)
			}
			if other, ok := names[e.Name]; ok {
				t.Errorf("%s is both %d and %d", e.Name, other, e.Number)
			}
			if e.Number < a.first || e.Number >= a.first+areaSize {
				t.Errorf("%d %s is outside its area, %d to %d", e.Number, e.Name, a.first, a.first+areaSize-1)
			}
			if e.Name == "" || e.Description == "" {
				t.Errorf("%d has no name or no text", e.Number)
			}
			if e.Severity == Failure && e.Action == "" {
				t.Errorf("%d %s is a failure and doesn't say what an operator should do", e.Number, e.Name)
			}
			numbers[e.Number] = e.Name
			names[e.Name] = e.Number
		}
	}
}

// Guards against a generated page that is out of date.
func TestPage(t *testing.T) {
	const path = "../../../docs/EVENTS.md"
	if *update {
		if err := os.WriteFile(path, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if kept := strconv.Itoa(maxKeptEvents); !strings.Contains(pageHead, kept) {
		t.Errorf("the head of the page doesn't say that %s events are kept", kept)
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(page), Page()); diff != "" {
		t.Errorf("docs/EVENTS.md differs from the catalogue; run go test ./internal/observe/hingeevents -update (-page +code):\n%s", diff)
	}
}
