package hingereport

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot/plotter"

	"github.com/swifthinge/swifthinge/internal/load/hingecompare"
	"github.com/swifthinge/swifthinge/internal/observe/hingefigure"
)

// WriteModel writes the report of a comparison on the engine model into folder,
// which it creates. Points of one policy must be adjacent.
func WriteModel(folder string, h Header, workload string, points []hingecompare.Point) error {
	if err := writeJSON(folder, struct {
		Header
		Workload string               `json:"firm"`
		Points   []hingecompare.Point `json:"points"`
	}{
		Header:   h,
		Workload: workload,
		Points:   points,
	}); err != nil {
		return err
	}
	for _, f := range []hingefigure.Figure{
		loadFigure("goodput.png", "Goodput under both targets, "+workload, "requests/s", points,
			func(p hingecompare.Point) float64 { return p.Goodput }),
		loadFigure("tokenGoodput.png", "Output tokens within both targets, "+workload, "tokens/s", points,
			func(p hingecompare.Point) float64 { return p.TokenGoodput }),
		loadFigure("wasted.png", "Wasted prefill, "+workload, "share of prefill tokens", points,
			func(p hingecompare.Point) float64 { return p.WastedShare }),
	} {
		if err := f.Write(folder); err != nil {
			return err
		}
	}
	return writeText(folder, modelText(h, workload, points))
}

func loadFigure(
	file, title, y string, points []hingecompare.Point, value func(hingecompare.Point) float64,
) hingefigure.Figure {
	f := hingefigure.Figure{
		File:  file,
		Title: title,
		X:     "load, as a multiple of the peak rate",
		Y:     y,
	}
	for _, p := range points {
		if n := len(f.Lines); n == 0 || f.Lines[n-1].Name != p.Policy {
			f.Lines = append(f.Lines, hingefigure.Line{
				Name: p.Policy,
			})
		}
		last := &f.Lines[len(f.Lines)-1]
		last.Points = append(last.Points, plotter.XY{
			X: p.Load,
			Y: value(p),
		})
	}
	return f
}

func modelText(h Header, workload string, points []hingecompare.Point) string {
	var b strings.Builder
	b.WriteString(h.text("Policies on the engine model, " + workload))
	b.WriteString("Goodput is per second, wasted is a share of the prefill tokens, refused and timed out are shares of the requests.\n\n")
	b.WriteString("| policy | load | goodput | token goodput | wasted | refused | timed out |\n|---|---|---|---|---|---|---|\n")
	for _, p := range points {
		fmt.Fprintf(&b, "| %s | %.2f | %.1f | %.0f | %.4f | %.3f | %.3f |\n",
			p.Policy, p.Load, p.Goodput, p.TokenGoodput, p.WastedShare, p.Refused, p.TimedOut)
	}
	b.WriteString("\n![Goodput](goodput.png)\n\n![Token goodput](tokenGoodput.png)\n\n![Wasted prefill](wasted.png)\n")
	return b.String()
}
