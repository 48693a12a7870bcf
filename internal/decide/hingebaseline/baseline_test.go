package hingebaseline

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
)

var baselines = map[string]func(hingemodel.Workload, hingemodel.Cluster, uint64) *Router{
	"roundRobin":       RoundRobin,
	"leastLoad":        LeastLoad,
	"twoChoices":       TwoChoices,
	"prefixAffinity":   PrefixAffinity,
	"priorityAffinity": PriorityAffinity,
}

func sampleRun(t *rapid.T) hingemodel.Run {
	return hingemodel.Run{
		Cluster:  hingemodel.DefaultCluster(),
		Workload: rapid.SampledFrom([]hingemodel.Workload{hingemodel.Shellfish(), hingemodel.Streaming()}).Draw(t, "firm"),
		Phases: []hingemodel.Phase{
			{
				Duration: 4 * time.Second,
				Load:     rapid.Float64Range(0.1, 4).Draw(t, "load"),
			},
		},
		Clients: hingemodel.ClientRetries{
			RetryAfterShare: rapid.Float64Range(0, 1).Draw(t, "asTold"),
			Attempts:        rapid.IntRange(1, 4).Draw(t, "attempts"),
		},
		Seed: rapid.Uint64().Draw(t, "seed"),
	}
}

// Guards against a simulation that loses a request, answers one twice, or differs
// between runs with the same seed.
func TestModelAnswersEachCallerOnceAndIsDeterministic(t *testing.T) {
	for name, newBaseline := range baselines {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				run := sampleRun(t)
				first := hingemodel.Simulate(run, newBaseline(run.Workload, run.Cluster, run.Seed))
				again := hingemodel.Simulate(run, newBaseline(run.Workload, run.Cluster, run.Seed))
				if diff := cmp.Diff(first.Classes, again.Classes); diff != "" {
					t.Fatal(diff)
				}
				for class, o := range first.Classes {
					if got := o.InTarget + o.Late + o.TimedOut + o.Refused; got != o.Arrived {
						t.Fatalf("%s: %d requests arrived, %d have an outcome", class, o.Arrived, got)
					}
				}
				if w := first.WastedShare(); w < 0 || w > 1 {
					t.Fatalf("wasted share of prefill is %v, want a value from 0 to 1", w)
				}
			})
		})
	}
}
