package hingemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Class is a class of requests in a workload.
type Class struct {
	Name string
	// Share is the share of all requests, from 0 to 1.
	Share    float64
	Priority int
	CanWait  bool
	// FirstToken and TokenGap are the latency targets.
	FirstToken time.Duration
	TokenGap   time.Duration
	// Deadline is the time from arrival to the caller's cancellation.
	Deadline time.Duration
	// Prompt and Output are mean numbers of tokens. PrefixTokens is the length of
	// the shared prefix, which is a part of the prompt.
	Prompt, PrefixTokens, Output hingeids.Tokens
	// Prefixes is the number of different prefixes, Skew the Zipf exponent of
	// their popularity; 0 is uniform.
	Prefixes int
	Skew     float64
}

// Workload holds the request classes of one installation, with the numbers of its
// engines and callers.
type Workload struct {
	Name    string
	Classes []Class
	// Prefill and Decode are numbers of engines.
	Prefill, Decode int
	Callers         int
	// GreedyShare is the share of requests that the first caller sends in addition
	// to its even share of the rest.
	GreedyShare float64
}

// Shellfish returns the workload of short quay queries and long dossiers, on nine
// engines.
func Shellfish() Workload {
	return Workload{
		Name:    "shellfish",
		Prefill: 3,
		Decode:  6,
		Callers: 7300,
		Classes: []Class{
			{
				Name:         "quay",
				Share:        0.75,
				Priority:     10,
				FirstToken:   500 * time.Millisecond,
				TokenGap:     40 * time.Millisecond,
				Deadline:     5 * time.Second,
				Prompt:       200,
				PrefixTokens: 120,
				Output:       30,
				Prefixes:     3,
			},
			{
				Name:         "dossier",
				Share:        0.25,
				Priority:     1,
				CanWait:      true,
				FirstToken:   30 * time.Second,
				TokenGap:     60 * time.Millisecond,
				Deadline:     60 * time.Second,
				Prompt:       3500,
				PrefixTokens: 2000,
				Output:       400,
				Prefixes:     60,
				Skew:         1,
			},
		},
	}
}

// Streaming returns the workload of long eulogies and short captions, on nine
// engines.
func Streaming() Workload {
	return Workload{
		Name:    "streaming",
		Prefill: 4,
		Decode:  5,
		Callers: 7300,
		Classes: []Class{
			{
				Name:         "eulogy",
				Share:        0.08,
				Priority:     5,
				CanWait:      true,
				FirstToken:   10 * time.Second,
				TokenGap:     60 * time.Millisecond,
				Deadline:     40 * time.Second,
				Prompt:       4000,
				PrefixTokens: 500,
				Output:       500,
				Prefixes:     8,
				Skew:         1,
			},
			{
				Name:         "caption",
				Share:        0.92,
				Priority:     5,
				FirstToken:   2 * time.Second,
				TokenGap:     40 * time.Millisecond,
				Deadline:     10 * time.Second,
				Prompt:       300,
				PrefixTokens: 150,
				Output:       40,
				Prefixes:     6,
			},
		},
	}
}

// Skewed returns a copy in which classes with many prefixes have longer and less
// evenly popular ones, so that the amount of prefill depends on cache hits.
func (w Workload) Skewed() Workload {
	w.Name += "-skewed"
	w.Classes = append([]Class(nil), w.Classes...)
	for i := range w.Classes {
		c := &w.Classes[i]
		if c.Prefixes < 10 {
			continue
		}
		c.PrefixTokens = c.Prompt * 8 / 10
		c.Skew = 1.2
	}
	return w
}

// PeakRate returns the number of requests per second that saturates either the
// decode slots or the prefill engines, at a prefix cache hit rate of 0.9.
func (w Workload) PeakRate(c Cluster) float64 {
	var slotSeconds, prefillTokens float64
	for _, k := range w.Classes {
		slotSeconds += k.Share * float64(k.Output) * c.tokenGap(c.Slots).Seconds()
		prefillTokens += k.Share * (float64(k.Prompt) - 0.9*float64(k.PrefixTokens))
	}
	decode := float64(w.Decode*c.Slots) / slotSeconds
	return min(decode, float64(w.Prefill)*c.PrefillRate/prefillTokens)
}

// Phase is a part of a run with a constant arrival rate.
type Phase struct {
	Duration time.Duration
	// Load is the arrival rate as a multiple of the peak rate.
	Load float64
}

// source samples requests. It has its own random number generator, so that all
// policies get the same requests for the same seed.
type source struct {
	rng      *rand.Rand
	workload Workload
	zipf     [][]float64
	serial   uint64
	callers  []hingeids.CallerID
}

func newSource(seed uint64, w Workload) *source {
	s := &source{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		workload: w,
		callers:  make([]hingeids.CallerID, w.Callers),
	}
	for i := range s.callers {
		s.callers[i] = hingeids.CallerID(fmt.Sprintf("caller-%d", i))
	}
	for _, c := range w.Classes {
		s.zipf = append(s.zipf, zipfTable(c.Prefixes, c.Skew))
	}
	return s
}

// zipfTable returns the cumulative distribution of a Zipf distribution over n items.
func zipfTable(n int, skew float64) []float64 {
	sums := make([]float64, n)
	var total float64
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	for i := range sums {
		sums[i] /= total
	}
	return sums
}

func (s *source) sample(now time.Time) *Request {
	s.serial++
	k := s.sampleClass()
	c := &s.workload.Classes[k]
	caller := 0
	if s.rng.Float64() >= s.workload.GreedyShare {
		caller = s.rng.IntN(len(s.callers))
	}
	unshared := float64(c.Prompt-c.PrefixTokens) * (0.5 + s.rng.Float64())
	return &Request{
		ID: hingeids.RequestID{
			Instance: hingeids.Instance{
				Host:        "cancale-1",
				Incarnation: 1,
			},
			Sequence: s.serial,
		},
		Caller:       s.callers[caller],
		Class:        c,
		Arrived:      now,
		Prompt:       c.PrefixTokens + hingeids.Tokens(unshared),
		Prefix:       k*1000 + pick(s.zipf[k], s.rng.Float64()),
		PrefixTokens: c.PrefixTokens,
		output:       hingeids.Tokens(float64(c.Output)*(0.5+s.rng.Float64())) + 1,
	}
}

func (s *source) sampleClass() int {
	x := s.rng.Float64()
	for i, c := range s.workload.Classes {
		if x < c.Share {
			return i
		}
		x -= c.Share
	}
	return len(s.workload.Classes) - 1
}

// pick returns the item of a cumulative distribution for x in [0, 1).
func pick(sums []float64, x float64) int {
	for i, s := range sums {
		if x < s {
			return i
		}
	}
	return len(sums) - 1
}
