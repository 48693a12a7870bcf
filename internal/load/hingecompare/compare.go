// Package hingecompare plays the engine model under our decisions and under
// plainer ones, over a range of loads, so that they can be drawn side by side.
//
// Every policy meets the same arrivals for the same seed. What is compared is
// decisions on a model of engines, not processes: swifthinge-load run measures
// those.
package hingecompare

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/decide/hingebaseline"
	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
	"github.com/swifthinge/swifthinge/internal/decide/hingepolicy"
)

// Options say what to compare.
type Options struct {
	Firm hingemodel.Workload
	// Loads are multiples of the firm's peak rate.
	Loads []float64
	Seeds int
	// Lasts is the simulated time of each run; its first two fifths aren't counted.
	Lasts time.Duration
	// Progress is called before each run, if it is set.
	Progress func(policy string, load float64)
}

// Point is the mean over the seeds of one policy at one load.
type Point struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Goodput and TokenGoodput are requests and output tokens within both
	// targets, a second. Wasted is the share of prefill tokens that was lost.
	Goodput      float64 `json:"goodput"`
	TokenGoodput float64 `json:"tokenGoodput"`
	Wasted       float64 `json:"wasted"`
	// Refused and TimedOut are shares of the requests that arrived.
	Refused  float64 `json:"refused"`
	TimedOut float64 `json:"timedOut"`
}

// contender is a way to decide.
type contender struct {
	name string
	make func(f hingemodel.Workload, c hingemodel.Cluster, seed uint64) hingemodel.Policy
}

// contenders are ours with the weights of both firms' examples, and the
// baselines.
func contenders() []contender {
	return []contender{
		{
			name: "ours, goodput first",
			make: ours(hingeplace.Weights{
				Goodput:       1,
				WastedPrefill: 0.3,
			}),
		},
		{
			name: "ours, waste first",
			make: ours(hingeplace.Weights{
				Goodput:       0.4,
				WastedPrefill: 1,
			}),
		},
		{
			name: "round robin",
			make: baseline(hingebaseline.RoundRobin),
		},
		{
			name: "least load",
			make: baseline(hingebaseline.LeastLoad),
		},
		{
			name: "two choices",
			make: baseline(hingebaseline.TwoChoices),
		},
		{
			name: "prefix affinity",
			make: baseline(hingebaseline.PrefixAffinity),
		},
		{
			name: "affinity, by priority",
			make: baseline(hingebaseline.PriorityAffinity),
		},
	}
}

func ours(w hingeplace.Weights) func(hingemodel.Workload, hingemodel.Cluster, uint64) hingemodel.Policy {
	return func(f hingemodel.Workload, c hingemodel.Cluster, _ uint64) hingemodel.Policy {
		return hingepolicy.New(f, c, w)
	}
}

func baseline(
	b func(hingemodel.Workload, hingemodel.Cluster, uint64) *hingebaseline.Router,
) func(hingemodel.Workload, hingemodel.Cluster, uint64) hingemodel.Policy {
	return func(f hingemodel.Workload, c hingemodel.Cluster, seed uint64) hingemodel.Policy {
		return b(f, c, seed)
	}
}

// Compare plays all policies at all loads, in order of policy, then load.
func Compare(ctx context.Context, o Options) ([]Point, error) {
	var points []Point
	for _, c := range contenders() {
		for _, load := range o.Loads {
			if err := ctx.Err(); err != nil {
				return points, eris.Wrap(err, "comparison")
			}
			if o.Progress != nil {
				o.Progress(c.name, load)
			}
			points = append(points, o.play(c, load))
		}
	}
	return points, nil
}

func (o Options) play(c contender, load float64) Point {
	p := Point{
		Policy: c.name,
		Load:   load,
	}
	var arrived, refused, timedOut int
	n := float64(o.Seeds)
	for seed := range o.Seeds {
		run := hingemodel.Run{
			Cluster:  hingemodel.DefaultCluster(),
			Workload: o.Firm,
			Seed:     uint64(seed + 1),
			Warmup:   o.Lasts * 2 / 5,
			Clients: hingemodel.ClientRetries{
				Attempts: 1,
			},
			Phases: []hingemodel.Phase{
				{
					Duration: o.Lasts,
					Load:     load,
				},
			},
		}
		r := hingemodel.Simulate(run, c.make(run.Workload, run.Cluster, run.Seed))
		p.Goodput += r.Goodput() / n
		p.TokenGoodput += r.TokenGoodput() / n
		p.Wasted += r.WastedShare() / n
		for _, class := range r.Classes {
			arrived += class.Arrived
			refused += class.Refused
			timedOut += class.TimedOut
		}
	}
	p.Refused = float64(refused) / float64(max(arrived, 1))
	p.TimedOut = float64(timedOut) / float64(max(arrived, 1))
	return p
}
