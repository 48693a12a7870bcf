package hingepolicy

import (
	"bufio"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/tools/txtar"

	"github.com/swifthinge/swifthinge/internal/decide/hingebaseline"
	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
)

// The weights of the two workloads.
var (
	goodputFirst = hingeplace.Weights{
		Goodput:       1,
		WastedPrefill: 0.25,
	}
	wastedFirst = hingeplace.Weights{
		Goodput:       0.25,
		WastedPrefill: 1,
	}
)

// script is the content of the file run.toml of a script. Times are in seconds.
type script struct {
	Firm   string
	Skewed bool
	// Greedy is the share of requests that one caller sends. Long is the share of
	// dossiers or eulogies; zero means that of the workload.
	Greedy, Long float64
	Seeds        int
	Measure      float64
	AsTold       float64
	Attempts     int
	Phases       []struct {
		Lasts, Load float64
	}
	Slow []struct {
		Engine           int
		From, To, Factor float64
	}
}

func setLong(classes []hingemodel.Class, share float64) {
	for i := range classes {
		if classes[i].CanWait {
			classes[i].Share = share
		} else {
			classes[i].Share = 1 - share
		}
	}
}

func duration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func (s *script) run(seed uint64) (hingemodel.Run, hingeplace.Weights) {
	workload, w := hingemodel.Shellfish(), goodputFirst
	if s.Firm == "streaming" {
		workload, w = hingemodel.Streaming(), wastedFirst
	}
	if s.Skewed {
		workload = workload.Skewed()
	}
	workload.GreedyShare = s.Greedy
	if s.Long > 0 {
		setLong(workload.Classes, s.Long)
	}
	r := hingemodel.Run{
		Cluster:  hingemodel.DefaultCluster(),
		Workload: workload,
		Seed:     seed,
		Warmup:   duration(s.Measure),
		Clients: hingemodel.ClientRetries{
			RetryAfterShare: s.AsTold,
			Attempts:        max(1, s.Attempts),
		},
	}
	for _, p := range s.Phases {
		r.Phases = append(r.Phases, hingemodel.Phase{
			Duration: duration(p.Lasts),
			Load:     p.Load,
		})
	}
	for _, x := range s.Slow {
		r.Slow = append(r.Slow, hingemodel.Slowdown{
			Engine: hingemodel.EngineID(x.Engine),
			Start:  duration(x.From),
			End:    duration(x.To),
			Factor: x.Factor,
		})
	}
	return r, w
}

type newBaselineFunc func(hingemodel.Workload, hingemodel.Cluster, uint64) *hingebaseline.Router

// baselines are the four standard baselines and the one with a priority queue.
var baselines = []struct {
	name     string
	make     newBaselineFunc
	standard bool
}{
	{
		name:     "roundRobin",
		make:     hingebaseline.RoundRobin,
		standard: true,
	},
	{
		name:     "leastLoad",
		make:     hingebaseline.LeastLoad,
		standard: true,
	},
	{
		name:     "twoChoices",
		make:     hingebaseline.TwoChoices,
		standard: true,
	},
	{
		name:     "prefixAffinity",
		make:     hingebaseline.PrefixAffinity,
		standard: true,
	},
	{
		name: "priorityAffinity",
		make: hingebaseline.PriorityAffinity,
	},
}

// sums holds figures by name, summed or averaged over the seeds.
type sums map[string]float64

func (s sums) add(r *hingemodel.Result, seeds float64) {
	s["goodput"] += r.Goodput() / seeds
	s["tokenGoodput"] += r.TokenGoodput() / seeds
	s["wasted"] += r.WastedShare() / seeds
	s["fullSlots"] += float64(r.FullEngineRequests)
	for name, o := range r.Classes {
		s[name+".arrived"] += float64(o.Arrived)
		s[name+".answered"] += float64(o.InTarget + o.Late)
		s[name+".late"] += float64(o.Late)
		s[name+".unanswered"] += float64(o.TimedOut)
		s[name+".inTarget"] += float64(o.InTarget) / float64(o.Arrived) / seeds
		s[name+".held"] = max(s[name+".held"], o.MaxRefusalDelay.Seconds())
	}
}

func (s *script) simulate() sums {
	out := make(sums)
	n := max(1, s.Seeds)
	for seed := range n {
		run, w := s.run(uint64(seed + 1))
		r := hingemodel.Simulate(run, New(run.Workload, run.Cluster, w))
		out.add(r, float64(n))
		// caller-0 is the caller to which GreedyShare applies.
		for caller, k := range r.ByCaller {
			if caller != "caller-0" {
				out["others.inTarget"] += float64(k) / float64(n)
			}
		}
	}
	best := make(sums)
	for _, b := range baselines {
		got := make(sums)
		for seed := range n {
			run, _ := s.run(uint64(seed + 1))
			got.add(hingemodel.Simulate(run, b.make(run.Workload, run.Cluster, run.Seed)), float64(n))
		}
		best["any"] = max(best["any"], got["goodput"])
		if b.standard {
			best["standard"] = max(best["standard"], got["goodput"])
		}
	}
	out["overBaselines"] = out["goodput"] / best["standard"]
	out["overAll"] = out["goodput"] / best["any"]
	return out
}

// Guards against regressions in the scenarios under testdata. A script holds a run
// and bounds of its figures, as lines "figure >= bound" or "figure <= bound".
func TestScripts(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts match testdata/*.txtar", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			a, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var s script
			if err := toml.Unmarshal(a.Files[0].Data, &s); err != nil {
				t.Fatal(err)
			}
			check(t, s.simulate(), string(a.Files[1].Data))
		})
	}
}

func check(t *testing.T, got sums, bounds string) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(bounds))
	for lines.Scan() {
		var figure, op string
		var bound float64
		if _, err := fmt.Sscan(lines.Text(), &figure, &op, &bound); err != nil {
			t.Fatalf("bound %q: %v", lines.Text(), err)
		}
		v, ok := got[figure]
		if !ok {
			t.Fatalf("the results have no figure %q", figure)
		}
		t.Logf("%s %s %v: %.4f", figure, op, bound, v)
		if op == ">=" && v < bound || op == "<=" && v > bound {
			t.Errorf("%s is %.4f, want %s %v", figure, v, op, bound)
		}
	}
}
