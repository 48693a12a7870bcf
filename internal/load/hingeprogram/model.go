package hingeprogram

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
	"github.com/swifthinge/swifthinge/internal/load/hingecompare"
	"github.com/swifthinge/swifthinge/internal/load/hingereport"
)

func (p *program) model() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "compare our decisions with plainer ones on the engine model, without processes",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "firm",
				Usage: "shellfish, shellfish-skewed or streaming",
				Value: "shellfish",
			},
			&cli.FloatSliceFlag{
				Name:  "load",
				Usage: "load as a multiple of the firm's peak; give one flag for each",
				Value: []float64{0.7, 0.9, 1, 1.3, 2},
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "runs that each figure is the mean of",
				Value: 2,
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "simulated time of a run",
				Value: 100 * time.Second,
			},
			outFlag(),
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			return p.runModel(ctx, c)
		},
	}
}

func firmOf(name string) (hingemodel.Workload, error) {
	switch name {
	case "shellfish":
		return hingemodel.Shellfish(), nil
	case "shellfish-skewed":
		return hingemodel.Shellfish().Skewed(), nil
	case "streaming":
		return hingemodel.Streaming(), nil
	}
	return hingemodel.Workload{}, eris.Errorf("--firm %q: want shellfish, shellfish-skewed or streaming", name)
}

// mostLoad bounds a run's arrivals, which all are drawn beforehand.
const mostLoad = 20

func (p *program) runModel(ctx context.Context, c *cli.Command) error {
	firm, err := firmOf(c.String("firm"))
	if err != nil {
		return err
	}
	for _, load := range c.FloatSlice("load") {
		if load <= 0 || load > mostLoad {
			return eris.Errorf("--load %v: want more than 0 and at most %v", load, mostLoad)
		}
	}
	if c.Int("seeds") < 1 || c.Duration("duration") <= 0 || c.Duration("duration") > longestRun {
		return eris.Errorf("--seeds %d --duration %v: want at least 1, and at most %v",
			c.Int("seeds"), c.Duration("duration"), longestRun)
	}
	points, err := hingecompare.Compare(ctx, hingecompare.Options{
		Firm:  firm,
		Loads: c.FloatSlice("load"),
		Seeds: c.Int("seeds"),
		Lasts: c.Duration("duration"),
		Progress: func(policy string, load float64) {
			p.progressf("%s at %v\n", policy, load)
		},
	})
	if err != nil {
		return err
	}
	if err := hingereport.WriteModel(c.String("out"), hingereport.Header{
		Command: p.command,
		Written: p.now(),
	}, firm.Name, points); err != nil {
		return err
	}
	p.printf("%d points; report in %s\n", len(points), c.String("out"))
	return nil
}
