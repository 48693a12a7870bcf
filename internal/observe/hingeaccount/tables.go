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

// Counts is how many requests had each outcome.
type Counts map[Outcome]int

func (c Counts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// By counts requests by a key.
func By(list []*Request, key func(r *Request) string) map[string]Counts {
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

// Write writes the tables: by route, by zone, by span of time, and the reasons.
func (a *Account) Write(w io.Writer, every time.Duration) error {
	list := a.Requests()
	var b strings.Builder
	if a.Dropped > 0 {
		fmt.Fprintf(&b, "%d lines were dropped by their writers: what follows lacks them.\n\n", a.Dropped)
	}
	if a.Unnamed > 0 {
		fmt.Fprintf(&b, "%d requests that were denied, beyond a quota or refused because servers end under them have no line of their own, and aren't counted here.\n\n", a.Unnamed)
	}
	a.writeCounts(&b, "route", By(list, func(r *Request) string {
		return r.Route
	}))
	if slices.ContainsFunc(list, func(r *Request) bool {
		return r.Customer != ""
	}) {
		a.writeCounts(&b, "customer", By(list, func(r *Request) string {
			return string(r.Customer)
		}))
	}
	a.writeCounts(&b, "zone", By(list, func(r *Request) string {
		return string(a.Zones[r.Host])
	}))
	if len(list) > 0 {
		began := list[0].EndedAt
		a.writeCounts(&b, "second", By(list, func(r *Request) string {
			return fmt.Sprintf("%6.1f", r.EndedAt.Sub(began).Truncate(every).Seconds())
		}))
	}
	a.writeReasons(&b, list)
	a.writeWaste(&b)
	a.writeEnds(&b)
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "account")
}

func (*Account) writeCounts(b *strings.Builder, name string, by map[string]Counts) {
	fmt.Fprintf(b, "%-24s %7s", name, "asked")
	for _, o := range Outcomes {
		fmt.Fprintf(b, " %*s", max(len(o), 7), o)
	}
	b.WriteString("\n")
	for _, k := range slices.Sorted(maps.Keys(by)) {
		fmt.Fprintf(b, "%-24s %7d", k, by[k].total())
		for _, o := range Outcomes {
			fmt.Fprintf(b, " %*d", max(len(o), 7), by[k][o])
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
}

// cause is why requests of one outcome were lost.
type cause struct {
	outcome Outcome
	reason  string
	count   int
	// fill is the mean of how full engines were, over those requests for which it is known.
	fill, known int64
	first       *Request
}

func (a *Account) writeReasons(b *strings.Builder, list []*Request) {
	causes := make(map[string]*cause)
	for _, r := range list {
		if r.Outcome == OnTime {
			continue
		}
		key := string(r.Outcome) + "/" + r.Reason
		c := causes[key]
		if c == nil {
			c = &cause{
				outcome: r.Outcome,
				reason:  r.Reason,
				first:   r,
			}
			causes[key] = c
		}
		c.count++
		if f, ok := a.fillAt(r.EndedAt.Add(-r.Wait)); ok {
			c.fill += f
			c.known++
		}
	}
	sorted := slices.SortedFunc(maps.Values(causes), func(x, y *cause) int {
		// The graver of two outcomes stands first, so that the same lines always give the same table.
		return cmp.Or(cmp.Compare(y.count, x.count), cmp.Compare(x.reason, y.reason),
			cmp.Compare(slices.Index(Outcomes, y.outcome), slices.Index(Outcomes, x.outcome)))
	})
	fmt.Fprintf(b, "%-20s %-44s %7s %8s  %s\n", "outcome", "reason", "count", "memory", "the first")
	for _, c := range sorted {
		fill := "-"
		if c.known > 0 {
			fill = fmt.Sprintf("%d", c.fill/c.known)
		}
		fmt.Fprintf(b, "%-20s %-44s %7d %8s  %s\n", c.outcome, c.reason, c.count, fill, c.first.Asked)
	}
	b.WriteString("\n")
}

func (a *Account) writeWaste(b *strings.Builder) {
	fmt.Fprintf(b, "%-44s %12s\n", "prompts worked for nothing, by reason", "tokens")
	for _, k := range slices.SortedFunc(maps.Keys(a.waste), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.waste[y], a.waste[x]), cmp.Compare(x, y))
	}) {
		fmt.Fprintf(b, "%-44s %12d\n", k, a.waste[k])
	}
}

// mostEnds is how many requests the table of servers that ended has: all that ran beside a cause stand in it too.
const mostEnds = 10

// writeEnds writes the requests under which several servers ended, those with the most first.
func (a *Account) writeEnds(b *strings.Builder) {
	list := slices.SortedFunc(maps.Values(a.ends), func(x, y *Ends) int {
		return cmp.Or(cmp.Compare(len(y.Servers), len(x.Servers)), x.First.Compare(y.First), cmp.Compare(x.Print, y.Print))
	})
	list = slices.DeleteFunc(list, func(e *Ends) bool {
		return len(e.Servers) < 2
	})
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%-16s %8s %8s  %-26s %-26s %-16s %s\n", "print", "servers", "attempts", "the first ended", "the last", "customer", "route")
	for _, e := range list[:min(len(list), mostEnds)] {
		fmt.Fprintf(b, "%-16s %8d %8d  %-26s %-26s %-16s %s\n", e.Print, len(e.Servers), len(e.Attempts),
			e.First.Format(endsTime), e.Last.Format(endsTime), e.Customer, e.Route)
	}
}

// endsTime is how moments stand in the table of servers that ended.
const endsTime = "2006-01-02T15:04:05.000Z"

// Plot draws the outcomes over time into a folder.
func (a *Account) Plot(folder string, every time.Duration) error {
	list := a.Requests()
	f := hingefigure.Figure{
		File:  "account.png",
		Title: "What callers got",
		X:     "s",
		Y:     fmt.Sprintf("requests in %v", every),
	}
	if len(list) == 0 {
		return f.Write(folder)
	}
	began := list[0].EndedAt
	spans := int(list[len(list)-1].EndedAt.Sub(began)/every) + 1
	for _, o := range Outcomes {
		counts := make([]int, spans)
		for _, r := range list {
			if r.Outcome == o {
				counts[int(r.EndedAt.Sub(began)/every)]++
			}
		}
		points := make(plotter.XYs, 0, spans)
		for i, n := range counts {
			points = append(points, plotter.XY{
				X: float64(i) * every.Seconds(),
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
