// Package hingefigure draws line plots for reports and accounts as PNG files.
package hingefigure

import (
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Figure is a line plot. File is its name in the output folder, X and Y are the axis labels.
type Figure struct {
	File, Title, X, Y string
	// LogX makes the X axis logarithmic, for distributions over several powers of ten.
	LogX  bool
	Lines []Line
}

// Line is one named series of points. Its color follows from its index in Figure.Lines.
type Line struct {
	Name   string
	Points plotter.XYs
}

const (
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Write draws the figure as PNG into a folder. Lines without points are skipped, and the X axis
// stays linear unless the points have different positive X values.
func (f Figure) Write(folder string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.Title, f.X, f.Y
	p.Y.Min = 0
	// A cumulative distribution rises to the upper right, so its legend is at the lower right.
	p.Legend.Top, p.Legend.Left = !f.LogX, !f.LogX
	p.Add(plotter.NewGrid())
	for i, l := range f.Lines {
		if len(l.Points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.Points)
		if err != nil {
			return eris.Wrapf(err, "figure %s: invalid points of line %s", f.File, l.Name)
		}
		drawn.Color = plotutil.Color(i)
		drawn.Dashes = plotutil.Dashes(i)
		p.Add(drawn)
		p.Legend.Add(l.Name, drawn)
	}
	if f.LogX && p.X.Min > 0 && p.X.Max > p.X.Min {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{
			Prec: -1,
		}
	}
	return eris.Wrap(p.Save(width, height, filepath.Join(folder, f.File)), f.File)
}
