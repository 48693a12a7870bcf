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

func (p *program) modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "compare the router's policy with baseline policies in a simulation of the engines",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "firm",
				Usage: "shellfish, shellfish-skewed or streaming",
				Value: "shellfish",
			},
			&cli.FloatSliceFlag{
				Name:  "load",
				Usage: "load as a multiple of the workload's peak rate; repeat for each load",
				Value: []float64{0.7, 0.9, 1, 1.3, 2},
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "number of runs, with different seeds, over which each result is averaged",
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

func workloadOf(name string) (hingemodel.Workload, error) {
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

// maxLoad bounds the arrivals of a run, which are all generated in advance.
const maxLoad = 20

func (p *program) runModel(ctx context.Context, c *cli.Command) error {
	workload, err := workloadOf(c.String("firm"))
	if err != nil {
		return err
	}
	for _, load := range c.FloatSlice("load") {
		if load <= 0 || load > maxLoad {
			return eris.Errorf("--load %v: want more than 0 and at most %v", load, maxLoad)
		}
	}
	if c.Int("seeds") < 1 || c.Duration("duration") <= 0 || c.Duration("duration") > maxDuration {
		return eris.Errorf("--seeds %d --duration %v: want at least 1 seed, and a positive duration of at most %v",
			c.Int("seeds"), c.Duration("duration"), maxDuration)
	}
	points, err := hingecompare.Compare(ctx, hingecompare.Options{
		Workload: workload,
		Loads:    c.FloatSlice("load"),
		Seeds:    c.Int("seeds"),
		Duration: c.Duration("duration"),
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
	}, workload.Name, points); err != nil {
		return err
	}
	p.printf("%d points; report in %s\n", len(points), c.String("out"))
	return nil
}
