// Package hingereport writes the results of a run into a folder: report.json,
// the same results as tables in report.md, and plots as PNG files.
package hingereport

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/load/hingeload"
)

// Header identifies the run that produced a report.
type Header struct {
	// Command is the command line of the run.
	Command string    `json:"command"`
	Written time.Time `json:"written"`
}

// WriteLoad writes the report of a load run into folder, which it creates.
func WriteLoad(folder string, h Header, r *hingeload.Result) error {
	if err := writeJSON(folder, struct {
		Header
		Violations int               `json:"bad"`
		Result     *hingeload.Result `json:"result"`
	}{
		Header:     h,
		Violations: r.Violations(),
		Result:     r,
	}); err != nil {
		return err
	}
	if err := plotLoad(folder, r); err != nil {
		return err
	}
	return writeText(folder, loadText(h, r))
}

func writeJSON(folder string, body any) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "create report folder")
	}
	b, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report.json")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, "report.json"), append(b, '\n'), 0o644), "write report.json")
}

func writeText(folder, text string) error {
	return eris.Wrap(os.WriteFile(filepath.Join(folder, "report.md"), []byte(text), 0o644), "write report.md")
}

func (h Header) text(title string) string {
	return fmt.Sprintf("# %s\n\nWritten %s by\n\n    %s\n\n", title, h.Written.UTC().Format(time.RFC3339), h.Command)
}

func loadText(h Header, r *hingeload.Result) string {
	var b strings.Builder
	b.WriteString(h.text("Load of the " + r.Mix + " mix"))
	total := r.Total()
	fmt.Fprintf(&b, "%d requests to %d entry hosts in %.1f s, seed %d. ", total.Sent, r.Hosts, r.Seconds, r.Seed)
	fmt.Fprintf(&b, "Goodput under both targets: %.1f per second (%d requests).\n\n",
		float64(total.InTarget)/float64(len(r.OfferedPerSecond)), total.InTarget)
	b.WriteString(summaryText(r))
	b.WriteString("| class | sent | answered | in target | refused | uncertain | lost | truncated | doubled | crossed | attempts | refusals |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range append(r.Classes, &total) {
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |\n", c.Name, c.Sent, c.Answered,
			c.InTarget, c.Refused, c.Uncertain, c.Lost, c.Truncated, c.Duplicated, c.Misdelivered, c.Attempts, c.Refusals)
	}
	b.WriteString("\nTimes in ms; time to first token is counted from the scheduled arrival.\n\n")
	b.WriteString("| class | | count | p50 | p90 | p99 | p99.9 | max |\n|---|---|---|---|---|---|---|---|\n")
	for _, c := range r.Classes {
		quantileRow(&b, c.Name, "first token", c.FirstTokenMs)
		quantileRow(&b, c.Name, "token gap", c.TokenGapMs)
	}
	quantileRow(&b, "all", "sent late by", r.SendLagMs)
	caseRows(&b, r)
	b.WriteString("\n![Time to first token](firstToken.png)\n\n![Token gap](tokenGap.png)\n\n![Goodput](goodput.png)\n")
	return b.String()
}

// caseRows lists the failed requests, and the verdict codes of refusals and errors.
func caseRows(b *strings.Builder, r *hingeload.Result) {
	for _, c := range r.Classes {
		for _, code := range slices.Sorted(maps.Keys(c.Codes)) {
			fmt.Fprintf(b, "\nCode %d to %s: %d times.\n", code, c.Name, c.Codes[code])
		}
	}
	if len(r.Cases) == 0 {
		return
	}
	b.WriteString("\n| class | what | request | second | attempts | code | detail |\n|---|---|---|---|---|---|---|\n")
	for _, c := range r.Cases {
		fmt.Fprintf(b, "| %s | %s | %s | %.1f | %d | %d | %s |\n",
			c.Class, c.Problem, c.Request, c.Second, c.Attempts, c.Code, c.Detail)
	}
}

func quantileRow(b *strings.Builder, class, metric string, q hingeload.Quantiles) {
	if q.Count == 0 {
		return
	}
	fmt.Fprintf(b, "| %s | %s | %d | %.1f | %.1f | %.1f | %.1f | %.1f |\n",
		class, metric, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
}

// summaryText lists violated guarantees, reasons that invalidate the run, and
// the counters of the stand-ins.
func summaryText(r *hingeload.Result) string {
	var b strings.Builder
	if violations := r.Violations(); violations > 0 {
		fmt.Fprintf(&b, "**%d guarantees were violated**: see lost, truncated, doubled and crossed.\n\n", violations)
	}
	if !r.Verified {
		b.WriteString("The text of the answers was not verified, since no stand-ins were given.\n\n")
	}
	if r.Unsent > 0 {
		fmt.Fprintf(&b, "%d requests were not sent because too many were open. The run doesn't measure the router.\n\n", r.Unsent)
	}
	if s := r.Standins; s != nil {
		fmt.Fprintf(&b, "The stand-ins counted %d prefill tokens, %d of them wasted (%.2f%%), %d more from their prefix caches; "+
			"%d runs, %d of them calls of plain services; at most %d runs of one key at one stand-in; %d allocations held %.1f s after the last answer; the counters of %d stand-ins could not be read.\n\n",
			s.PrefillTokens, s.WastedTokens, 100*s.WastedShare(), s.CachedTokens, s.Runs, s.CallRuns, s.MaxRunsPerKey, s.Held, s.SettledSeconds, s.Unread)
	}
	return b.String()
}
