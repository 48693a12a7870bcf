package hingeaccount

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"

	"github.com/swifthinge/swifthinge/internal/observe/hingefigure"
)

// Counts has the number of requests by outcome.
type Counts map[Outcome]int

func (c Counts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// CountBy counts requests by key and outcome.
func CountBy(list []*Request, key func(r *Request) string) map[string]Counts {
	out := make(map[string]Counts)
	for _, r := range list {
		k := key(r)
		if out[k] == nil {
			out[k] = make(Counts)
		}
		out[k][r.Outcome]++
	}
	return out
}

// Write writes the report: requests by route, customer, zone and interval, reasons, wasted prompt tokens and server
// crashes.
func (a *Account) Write(w io.Writer, interval time.Duration) error {
	list := a.Requests()
	var b strings.Builder
	if a.DroppedLines > 0 {
		fmt.Fprintf(&b, "%d lines were dropped by their writers: what follows lacks them.\n\n", a.DroppedLines)
	}
	if a.Unlisted > 0 {
		fmt.Fprintf(&b, "%d requests that were denied, beyond a quota or refused because servers end under them have no line of their own, and aren't counted here.\n\n", a.Unlisted)
	}
	a.writeCounts(&b, "route", CountBy(list, func(r *Request) string {
		return r.Route
	}))
	if slices.ContainsFunc(list, func(r *Request) bool {
		return r.Customer != ""
	}) {
		a.writeCounts(&b, "customer", CountBy(list, func(r *Request) string {
			return string(r.Customer)
		}))
	}
	a.writeCounts(&b, "zone", CountBy(list, func(r *Request) string {
		return string(a.Zones[r.Host])
	}))
	if len(list) > 0 {
		start := list[0].EndedAt
		a.writeCounts(&b, "second", CountBy(list, func(r *Request) string {
			return fmt.Sprintf("%6.1f", r.EndedAt.Sub(start).Truncate(interval).Seconds())
		}))
	}
	a.writeReasons(&b, list)
	a.writeWaste(&b)
	a.writeCrashes(&b)
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write account")
}

func (*Account) writeCounts(b *strings.Builder, name string, rows map[string]Counts) {
	fmt.Fprintf(b, "%-24s %7s", name, "asked")
	for _, o := range Outcomes {
		fmt.Fprintf(b, " %*s", max(len(o), 7), o)
	}
	b.WriteString("\n")
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		fmt.Fprintf(b, "%-24s %7d", k, rows[k].total())
		for _, o := range Outcomes {
			fmt.Fprintf(b, " %*d", max(len(o), 7), rows[k][o])
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}

type reasonRow struct {
	outcome Outcome
	reason  string
	count   int
	// fillSum sums the mean fill in percent over the fillCount requests for which it is known.
	fillSum, fillCount int64
	first              *Request
}

func (a *Account) writeReasons(b *strings.Builder, list []*Request) {
	rows := make(map[string]*reasonRow)
	for _, r := range list {
		if r.Outcome == OnTime {
			continue
		}
		key := string(r.Outcome) + "/" + r.Reason
		c := rows[key]
		if c == nil {
			c = &reasonRow{
				outcome: r.Outcome,
				reason:  r.Reason,
				first:   r,
			}
			rows[key] = c
		}
		c.count++
		if f, ok := a.meanFill(r.EndedAt.Add(-r.PlacementWait)); ok {
			c.fillSum += f
			c.fillCount++
		}
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(x, y *reasonRow) int {
		// The tie-breakers make the order of rows deterministic; the more severe outcome comes first.
		return cmp.Or(cmp.Compare(y.count, x.count), cmp.Compare(x.reason, y.reason),
			cmp.Compare(slices.Index(Outcomes, y.outcome), slices.Index(Outcomes, x.outcome)))
	})
	fmt.Fprintf(b, "%-20s %-44s %7s %8s  %s\n", "outcome", "reason", "count", "memory", "the first")
	for _, c := range sorted {
		fill := "-"
		if c.fillCount > 0 {
			fill = fmt.Sprintf("%d", c.fillSum/c.fillCount)
		}
		fmt.Fprintf(b, "%-20s %-44s %7d %8s  %s\n", c.outcome, c.reason, c.count, fill, c.first.CallerRequestID)
	}
	b.WriteString("\n")
}

func (a *Account) writeWaste(b *strings.Builder) {
	fmt.Fprintf(b, "%-44s %12s\n", "prompts worked for nothing, by reason", "tokens")
	for _, k := range slices.SortedFunc(maps.Keys(a.wastedTokens), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.wastedTokens[y], a.wastedTokens[x]), cmp.Compare(x, y))
	}) {
		fmt.Fprintf(b, "%-44s %12d\n", k, a.wastedTokens[k])
	}
}

// maxCrashRows limits the crash table, since requests that merely ran beside the cause of a crash appear in it too.
const maxCrashRows = 10

// writeCrashes writes the requests during which several servers crashed, those with the most servers first.
func (a *Account) writeCrashes(b *strings.Builder) {
	list := slices.SortedFunc(maps.Values(a.crashes), func(x, y *Crashes) int {
		return cmp.Or(cmp.Compare(len(y.Servers), len(x.Servers)), x.First.Compare(y.First), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	list = slices.DeleteFunc(list, func(c *Crashes) bool {
		return len(c.Servers) < 2
	})
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%-16s %8s %8s  %-26s %-26s %-16s %s\n", "print", "servers", "attempts", "the first ended", "the last", "customer", "route")
	for _, c := range list[:min(len(list), maxCrashRows)] {
		fmt.Fprintf(b, "%-16s %8d %8d  %-26s %-26s %-16s %s\n", c.Fingerprint, len(c.Servers), len(c.Attempts),
			c.First.Format(crashTimeLayout), c.Last.Format(crashTimeLayout), c.Customer, c.Route)
	}
}

const crashTimeLayout = "2006-01-02T15:04:05.000Z"

// Plot draws the number of requests by outcome for each interval into account.png in the folder.
func (a *Account) Plot(folder string, interval time.Duration) error {
	list := a.Requests()
	f := hingefigure.Figure{
		File:  "account.png",
		Title: "What callers got",
		X:     "s",
		Y:     fmt.Sprintf("requests in %v", interval),
	}
	if len(list) == 0 {
		return f.Write(folder)
	}
	start := list[0].EndedAt
	buckets := int(list[len(list)-1].EndedAt.Sub(start)/interval) + 1
	for _, o := range Outcomes {
		counts := make([]int, buckets)
		for _, r := range list {
			if r.Outcome == o {
				counts[int(r.EndedAt.Sub(start)/interval)]++
			}
		}
		points := make(plotter.XYs, 0, buckets)
		for i, n := range counts {
			points = append(points, plotter.XY{
				X: float64(i) * interval.Seconds(),
				Y: float64(n),
			})
		}
		f.Lines = append(f.Lines, hingefigure.Line{
			Name:   string(o),
			Points: points,
		})
	}
	return f.Write(folder)
}
