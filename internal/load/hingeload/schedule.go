package hingeload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Phase is a part of the run with a constant rate, in arrivals per second.
type Phase struct {
	Duration time.Duration
	Rate     float64
}

// Arrival is one request of the schedule.
type Arrival struct {
	// ScheduledAt is the scheduled time since the start of the run.
	ScheduledAt time.Duration
	Serial      int
	Class       *Class
	Caller      hingeids.CallerID
	Prefix      int
	Prompt      hingeids.Tokens
	Output      int
}

// NewSchedule generates the schedule of a run with at most limit arrivals. It is
// deterministic for a seed.
func NewSchedule(seed uint64, m Mix, phases []Phase, limit int) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []Arrival
	start := time.Duration(0)
	for _, p := range phases {
		end := start + p.Duration
		for at := start; p.Rate > 0; {
			at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
			if at >= end || len(list) == limit {
				break
			}
			list = append(list, sampleArrival(rng, m, at, len(list)))
		}
		start = end
	}
	return list
}

func sampleArrival(rng *rand.Rand, m Mix, at time.Duration, serial int) Arrival {
	c := pickClass(rng, m.Classes)
	own := float64(c.Prompt-c.PrefixTokens) * (0.5 + rng.Float64())
	return Arrival{
		ScheduledAt: at,
		Serial:      serial,
		Class:       c,
		Caller:      hingeids.CallerID(fmt.Sprintf("caller-%d", rng.IntN(max(m.Callers, 1)))),
		Prefix:      rng.IntN(max(c.Prefixes, 1)),
		Prompt:      c.PrefixTokens + hingeids.Tokens(own),
		Output:      int(float64(c.Output)*(0.5+rng.Float64())) + 1,
	}
}

func pickClass(rng *rand.Rand, classes []Class) *Class {
	total := 0.0
	for _, c := range classes {
		total += c.Share
	}
	x := rng.Float64() * total
	for i := range classes {
		if x < classes[i].Share {
			return &classes[i]
		}
		x -= classes[i].Share
	}
	return &classes[len(classes)-1]
}

// bytesPerToken is the prompt length that a stand-in counts as one token.
const bytesPerToken = 4

// PromptText returns the prompt: the shared prefix, then text that is unique to the
// request, so that its answer identifies it.
func (a Arrival) PromptText(run string) string {
	var b strings.Builder
	fill(&b, fmt.Sprintf("%s prefix %d. ", a.Class.Name, a.Prefix), int(a.Class.PrefixTokens)*bytesPerToken)
	own := fmt.Sprintf("%s request %d. ", run, a.Serial)
	b.WriteString(own)
	fill(&b, own, int(a.Prompt)*bytesPerToken)
	return b.String()
}

func fill(b *strings.Builder, text string, length int) {
	for b.Len() < length {
		b.WriteString(text[:min(len(text), length-b.Len())])
	}
}
