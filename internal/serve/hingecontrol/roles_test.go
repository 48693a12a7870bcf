package hingecontrol

import (
	"testing"

	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
)

// The demand is the mean of today's deployments: one engine's worth of prefill and three
// and a half of decode memory. Whether it is played at its mean or in a burst of twice that,
// the plan is the same: a burst under way must not look like one to come on top of it.
func TestPlanKeepsTheProportion(t *testing.T) {
	mean, _ := plan(9, hingefleet.Demand{
		Prefill: 1,
		Decode:  3.5,
	})
	burst, enough := plan(9, hingefleet.Demand{
		Prefill: 2,
		Decode:  7,
	})
	if !enough || !near(mean.Prefill, burst.Prefill) || !near(mean.Decode, burst.Decode) {
		t.Fatalf("mean %+v, burst %+v", mean, burst)
	}
	if !near(mean.Prefill+mean.Decode, 9) {
		t.Fatalf("the plan doesn't fill nine engines: %+v", mean)
	}
	// Six engines that decode and three that prefill bear more of it than five and four,
	// or seven and two.
	best := min(3/mean.Prefill, 6/mean.Decode)
	if min(4/mean.Prefill, 5/mean.Decode) > best || min(2/mean.Prefill, 7/mean.Decode) > best {
		t.Fatalf("%+v isn't borne best by three and six", mean)
	}
}

// A few requests in the morning say nothing of what the day will ask for.
func TestLittleDemandPlansNothing(t *testing.T) {
	for _, d := range []hingefleet.Demand{
		{},
		{
			Prefill: 0.3,
			Decode:  0.2,
		},
	} {
		if p, enough := plan(9, d); enough {
			t.Errorf("%+v plans %+v", d, p)
		}
	}
}

func near(a, b float64) bool {
	return a-b < 1e-9 && b-a < 1e-9
}
