package hingecontrol

import (
	"testing"

	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
)

// Guards against a plan that changes with the size of the demand at the same proportion of prefill
// and decode.
func TestPlanIgnoresTotalDemand(t *testing.T) {
	mean, _ := plan(9, hingefleet.Demand{
		Prefill: 1,
		Decode:  3.5,
	})
	burst, enough := plan(9, hingefleet.Demand{
		Prefill: 2,
		Decode:  7,
	})
	if !enough || !near(mean.Prefill, burst.Prefill) || !near(mean.Decode, burst.Decode) {
		t.Fatalf("plan for the mean %+v, for the burst %+v", mean, burst)
	}
	if !near(mean.Prefill+mean.Decode, 9) {
		t.Fatalf("the plan doesn't fill nine engines: %+v", mean)
	}
	// Six decode and three prefill engines must carry more of the plan than five and four, or seven
	// and two.
	best := min(3/mean.Prefill, 6/mean.Decode)
	if min(4/mean.Prefill, 5/mean.Decode) > best || min(2/mean.Prefill, 7/mean.Decode) > best {
		t.Fatalf("three prefill and six decode engines aren't the best split for %+v", mean)
	}
}

// Guards against role changes that follow the mix of a few requests.
func TestPlanRequiresMinimumDemand(t *testing.T) {
	for _, d := range []hingefleet.Demand{
		{},
		{
			Prefill: 0.3,
			Decode:  0.2,
		},
	} {
		if p, enough := plan(9, d); enough {
			t.Errorf("demand %+v: plan %+v, want none", d, p)
		}
	}
}

func near(a, b float64) bool {
	return a-b < 1e-9 && b-a < 1e-9
}
