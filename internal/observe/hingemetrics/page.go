package hingemetrics

import (
	_ "embed" // for pageHead
	"fmt"
	"strings"
)

//go:embed pagehead.md
var pageHead string

// Page returns the content of docs/METRICS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	b.WriteString("\n| name | kind | labels | what it measures |\n|---|---|---|---|\n")
	for _, d := range Table {
		labels := strings.Join(d.Labels, ", ")
		if labels == "" {
			labels = "-"
		}
		fmt.Fprintf(&b, "| %s | %v | %s | %s |\n", d.Name, d.Kind, labels, d.Description)
	}
	return b.String()
}
