package hingefleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Guards against panics on extreme values in request headers. Since each new leader gets the same
// request, one request could crash every control host.
func FuzzRequestsOfAnySize(f *testing.F) {
	for _, n := range []int64{0, 1, -1, 5000, math.MaxInt64, math.MinInt64, math.MaxInt64 / 2} {
		f.Add(n, n, n, n, n, n, false, false)
		f.Add(n, int64(3000), int64(time.Second), n, int64(14*time.Second), n, true, true)
	}
	f.Fuzz(func(t *testing.T, prompt, expected, target, maxWait, remaining, gap int64, moved, cached bool) {
		x := New()
		x.SetEngines([]Engine{
			{
				Server:      "prefill",
				Role:        Prefill,
				Slots:       8,
				Memory:      24000,
				EventTokens: 65,
			},
			{
				Server:      "decode",
				Role:        Decode,
				Slots:       8,
				Memory:      24000,
				EventTokens: 65,
			},
		})
		now := time.Unix(1000, 0)
		for i := range 5 {
			req := StreamRequest{
				ID:             StreamID(fmt.Sprint(i)),
				Owner:          "entry",
				PromptTokens:   5000,
				ExpectedTokens: 3000,
				Arrived:        now,
				Target:         900 * time.Millisecond,
				MaxWait:        3 * time.Second,
				Deadline:       now.Add(14 * time.Second),
			}
			if i%2 == 0 {
				req.PromptTokens = hingeids.Tokens(prompt)
				req.ExpectedTokens = hingeids.Tokens(expected)
				req.Target = time.Duration(target)
				req.MaxWait = time.Duration(maxWait)
				req.Deadline = now.Add(time.Duration(remaining))
				req.MaxEventGap = time.Duration(gap)
				req.Moved = moved
				req.Cached = cached
			}
			x.Enqueue(now, req)
			for _, d := range x.Step(now) {
				x.HandleReport(now, "entry", []Progress{
					{
						ID:        d.ID,
						Decode:    d.Assignment.Decode,
						Prompt:    req.PromptTokens,
						Expected:  req.ExpectedTokens,
						Generated: hingeids.Tokens(expected),
					},
				})
				x.RecordOutcome(now, OutcomeReport{
					Server:    d.Assignment.Decode,
					Outcome:   Succeeded,
					Stream:    d.ID,
					Generated: hingeids.Tokens(expected),
				})
			}
			now = now.Add(100 * time.Millisecond)
		}
		x.Demand(now)
	})
}
