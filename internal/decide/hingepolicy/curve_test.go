package hingepolicy

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
)

var plotFile = flag.String("draw", "", "write the trade-off curve to this file")

// Guards against weights without effect: wasted prefill must fall from the weights
// that count only goodput to those that count only waste. -draw plots the curve.
func TestTradeOffCurve(t *testing.T) {
	t.Parallel()
	workload := hingemodel.Shellfish().Skewed()
	weights := []float64{0, 0.2, 0.4, 0.6, 0.8, 0.95, 1}
	got := make([]sums, len(weights))
	var all sync.WaitGroup
	for i, w := range weights {
		all.Go(func() {
			got[i] = simulatePolicy(workload, hingeplace.Weights{
				Goodput:       1 - w,
				WastedPrefill: w,
			}, 1.3)
		})
	}
	all.Wait()
	var points plotter.XYs
	var labels []string
	for i, w := range weights {
		t.Logf("weight %.2f: wasted %.4f, %.1f requests and %.0f tokens a second in target",
			w, got[i]["wasted"], got[i]["goodput"], got[i]["tokenGoodput"])
		points = append(points, plotter.XY{
			X: 100 * got[i]["wasted"],
			Y: got[i]["tokenGoodput"],
		})
		labels = append(labels, fmt.Sprintf(" w=%.2f", w))
	}
	first, last := points[0], points[len(points)-1]
	for i := range points[1:] {
		if points[i+1].X > 1.05*points[i].X {
			t.Errorf("more prefill is wasted at weight %v than at %v", weights[i+1], weights[i])
		}
	}
	if last.X > 0.3*first.X {
		t.Errorf("wasted %.2f%% of the prefill at weight 0 and %.2f%% at weight 1, want less than 0.3 times as much", first.X, last.X)
	}
	if *plotFile != "" {
		if err := drawCurve(points, labels); err != nil {
			t.Fatal(err)
		}
	}
}

func drawCurve(points plotter.XYs, labels []string) error {
	p := plot.New()
	p.Title.Text = "Skewed dossiers at 1.3 times the peak, by the weight w of wasted prefill"
	p.X.Label.Text = "wasted prefill, % of prefill tokens"
	p.Y.Label.Text = "tokens in target per second"
	p.Y.Min = 0
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	dots.Shape = draw.CircleGlyph{}
	names, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    points,
		Labels: labels,
	})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), line, dots, names)
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, *plotFile)
}
