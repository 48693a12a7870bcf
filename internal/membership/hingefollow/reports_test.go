package hingefollow

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// fromEnvironment returns the number in a variable by which more schedules are drawn by hand.
func fromEnvironment(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a server that reports and that some host doesn't use, or one that is gone and still used, after reports came late, again
// or at other hosts, while control hosts were cut off, paused or lost.
func TestDrawnReports(t *testing.T) {
	everything := reportPlan{
		late:     true,
		copies:   true,
		cuts:     true,
		pauses:   true,
		wipes:    true,
		crashes:  true,
		leaves:   true,
		restarts: true,
	}
	for _, x := range []struct {
		name     string
		plan     reportPlan
		controls int
		draws    int
	}{
		{name: "late, 2 control hosts", controls: 2, draws: 30, plan: reportPlan{late: true}},
		{name: "late, 3 control hosts", controls: 3, draws: 30, plan: reportPlan{late: true}},
		{name: "late and again, 3 control hosts", controls: 3, draws: 30, plan: reportPlan{late: true, copies: true}},
		{name: "everything, 2 control hosts", controls: 2, draws: 30, plan: everything},
		{name: "everything, 3 control hosts", controls: 3, draws: 60, plan: everything},
		{name: "everything, 9 control hosts", controls: 9, draws: 30, plan: everything},
		{name: "everything, 25 control hosts", controls: 25, draws: 2, plan: everything},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			x.plan.controls = x.controls
			x.plan.entries = 3
			x.plan.servers = 4
			var agreed []time.Duration
			var unused time.Duration
			broken := 0
			draws := fromEnvironment(t, "SWIFTHINGE_REPORT_DRAWS", x.draws)
			first := fromEnvironment(t, "SWIFTHINGE_REPORT_SEED", 0)
			for seed := first; seed < first+draws; seed++ {
				s := playReports(t, uint64(seed), x.plan)
				unused += s.unusedTime
				if s.agreedAt.IsZero() {
					s.faults = append(s.faults, "hosts don't agree on the servers that they use")
				}
				if len(s.faults) > 0 {
					broken++
					if broken <= 3 {
						t.Errorf("seed %d: %v", seed, s.faults)
					}
				}
				agreed = append(agreed, max(s.agreedAt.Sub(s.calmAt), 0))
			}
			slices.Sort(agreed)
			t.Logf("%d of %d draws broken; hosts agree %v (median), %v (p99), %v (most) after the last disturbance; unused %v a draw",
				broken, draws, agreed[len(agreed)/2], agreed[len(agreed)*99/100], agreed[len(agreed)-1], unused/time.Duration(draws))
		})
	}
}
