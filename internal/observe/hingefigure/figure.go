// Package hingefigure draws the lines of reports and accounts as PNG files.
package hingefigure

import (
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Figure is a plot of lines, written as PNG.
type Figure struct {
	File, Title, X, Y string
	// LogX is for times that range over several powers of ten.
	LogX  bool
	Lines []Line
}

// Line is one line of a figure.
type Line struct {
	Name   string
	Points plotter.XYs
}

// The size of a plot.
const (
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Write draws the figure into a folder. One without points is left out: a logarithmic axis
// can't be drawn without any.
func (f Figure) Write(folder string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.Title, f.X, f.Y
	p.Y.Min = 0
	// A distribution rises from the left, so its legend stands at the lower right.
	p.Legend.Top, p.Legend.Left = !f.LogX, !f.LogX
	p.Add(plotter.NewGrid())
	for i, l := range f.Lines {
		if len(l.Points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.Points)
		if err != nil {
			return eris.Wrapf(err, "%s: %s", f.File, l.Name)
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
