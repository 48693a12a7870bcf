// Package hingecompare simulates the router's placement policy and baseline
// policies on the engine model over a range of loads.
//
// For the same seed, all policies get the same arrivals. The simulation covers
// placement decisions only; hingeload measures running processes.
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

// Options configures a comparison.
type Options struct {
	Workload hingemodel.Workload
	// Loads are multiples of the workload's peak rate.
	Loads []float64
	Seeds int
	// Duration is the simulated time of each run; the first two fifths are warm-up
	// and aren't measured.
	Duration time.Duration
	// Progress is called before each policy is simulated at a load; nil disables it.
	Progress func(policy string, load float64)
}

// Point is the result of one policy at one load, averaged over the seeds.
type Point struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Goodput and TokenGoodput are requests and output tokens per second within
	// both targets. WastedShare is the share of prefill tokens that were computed
	// but not used.
	Goodput      float64 `json:"goodput"`
	TokenGoodput float64 `json:"tokenGoodput"`
	WastedShare  float64 `json:"wasted"`
	// Refused and TimedOut are shares of the requests that arrived.
	Refused  float64 `json:"refused"`
	TimedOut float64 `json:"timedOut"`
}

type candidate struct {
	name      string
	newPolicy func(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) hingemodel.Policy
}

// candidates returns the router's policy with the weights of both example
// workloads, and the baselines.
func candidates() []candidate {
	return []candidate{
		{
			name: "ours, goodput first",
			newPolicy: routerPolicy(hingeplace.Weights{
				Goodput:       1,
				WastedPrefill: 0.3,
			}),
		},
		{
			name: "ours, waste first",
			newPolicy: routerPolicy(hingeplace.Weights{
				Goodput:       0.4,
				WastedPrefill: 1,
			}),
		},
		{
			name:      "round robin",
			newPolicy: baselinePolicy(hingebaseline.RoundRobin),
		},
		{
			name:      "least load",
			newPolicy: baselinePolicy(hingebaseline.LeastLoad),
		},
		{
			name:      "two choices",
			newPolicy: baselinePolicy(hingebaseline.TwoChoices),
		},
		{
			name:      "prefix affinity",
			newPolicy: baselinePolicy(hingebaseline.PrefixAffinity),
		},
		{
			name:      "affinity, by priority",
			newPolicy: baselinePolicy(hingebaseline.PriorityAffinity),
		},
	}
}

func routerPolicy(weights hingeplace.Weights) func(hingemodel.Workload, hingemodel.Cluster, uint64) hingemodel.Policy {
	return func(w hingemodel.Workload, c hingemodel.Cluster, _ uint64) hingemodel.Policy {
		return hingepolicy.New(w, c, weights)
	}
}

func baselinePolicy(
	newRouter func(hingemodel.Workload, hingemodel.Cluster, uint64) *hingebaseline.Router,
) func(hingemodel.Workload, hingemodel.Cluster, uint64) hingemodel.Policy {
	return func(w hingemodel.Workload, c hingemodel.Cluster, seed uint64) hingemodel.Policy {
		return newRouter(w, c, seed)
	}
}

// Compare simulates all policies at all loads. The points are ordered by policy,
// then load. If ctx is done, it returns the points so far with an error.
func Compare(ctx context.Context, o Options) ([]Point, error) {
	var points []Point
	for _, c := range candidates() {
		for _, load := range o.Loads {
			if err := ctx.Err(); err != nil {
				return points, eris.Wrap(err, "comparison stopped")
			}
			if o.Progress != nil {
				o.Progress(c.name, load)
			}
			points = append(points, o.simulate(c, load))
		}
	}
	return points, nil
}

func (o Options) simulate(c candidate, load float64) Point {
	p := Point{
		Policy: c.name,
		Load:   load,
	}
	var arrived, refused, timedOut int
	n := float64(o.Seeds)
	for seed := range o.Seeds {
		run := hingemodel.Run{
			Cluster:  hingemodel.DefaultCluster(),
			Workload: o.Workload,
			Seed:     uint64(seed + 1),
			Warmup:   o.Duration * 2 / 5,
			Clients: hingemodel.ClientRetries{
				Attempts: 1,
			},
			Phases: []hingemodel.Phase{
				{
					Duration: o.Duration,
					Load:     load,
				},
			},
		}
		r := hingemodel.Simulate(run, c.newPolicy(run.Workload, run.Cluster, run.Seed))
		p.Goodput += r.Goodput() / n
		p.TokenGoodput += r.TokenGoodput() / n
		p.WastedShare += r.WastedShare() / n
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
