package hingeevents

import (
	_ "embed" // for pageHead
	"fmt"
	"strings"
)

// String returns the severity as written in docs/EVENTS.md and metrics.
func (s Severity) String() string {
	switch s {
	case Warning:
		return "warning"
	case Failure:
		return "failure"
	default:
		return "info"
	}
}

//go:embed pagehead.md
var pageHead string

// Page returns the content of docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, a := range areas {
		fmt.Fprintf(&b, "\n## %d: %s\n\n", a.first, a.title)
		b.WriteString("| number | name | severity | what happened | what to do |\n|---|---|---|---|---|\n")
		for _, e := range a.entries {
			fmt.Fprintf(&b, "| %d | %s | %v | %s | %s |\n", e.Number, e.Name, e.Severity, cell(e.Description), cell(e.Action))
		}
	}
	return b.String()
}

func cell(s string) string {
	if s == "" {
		return "-"
	}
	return strings.ReplaceAll(s, "|", "\\|")
}
