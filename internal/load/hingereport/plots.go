package hingereport

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot/plotter"

	"github.com/swifthinge/swifthinge/internal/load/hingeload"
	"github.com/swifthinge/swifthinge/internal/observe/hingefigure"
)

func plotLoad(folder string, r *hingeload.Result) error {
	first := hingefigure.Figure{
		File:  "firstToken.png",
		Title: "Time to first token, " + r.Mix,
		X:     "ms",
		Y:     "share of answers",
		LogX:  true,
	}
	gaps := first
	gaps.File, gaps.Title, gaps.Y = "tokenGap.png", "Time between tokens, "+r.Mix, "share of gaps"
	for _, c := range r.Classes {
		first.Lines = append(first.Lines, hingefigure.Line{
			Name:   c.Name,
			Points: cumulative(c.FirstToken),
		})
		gaps.Lines = append(gaps.Lines, hingefigure.Line{
			Name:   c.Name,
			Points: cumulative(c.TokenGap),
		})
	}
	goodput := hingefigure.Figure{
		File:  "goodput.png",
		Title: "Requests by the second of their arrival, " + r.Mix,
		X:     "s",
		Y:     "requests",
		Lines: []hingefigure.Line{
			{
				Name:   "offered",
				Points: perSecond(r.OfferedPerSecond),
			},
			{
				Name:   "within both targets",
				Points: perSecond(r.InTargetPerSecond),
			},
		},
	}
	for _, f := range []hingefigure.Figure{first, gaps, goodput} {
		if err := f.Write(folder); err != nil {
			return err
		}
	}
	return nil
}

// cumulative returns the cumulative distribution of a histogram of microseconds,
// with the values in milliseconds.
func cumulative(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	sum := int64(0)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		sum += bar.Count
		points = append(points, plotter.XY{
			X: float64(bar.To) / 1000,
			Y: float64(sum) / float64(h.TotalCount()),
		})
	}
	return points
}

func perSecond(counts []int) plotter.XYs {
	points := make(plotter.XYs, 0, len(counts))
	for i, n := range counts {
		points = append(points, plotter.XY{
			X: float64(i),
			Y: float64(n),
		})
	}
	return points
}
