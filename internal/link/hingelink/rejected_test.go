package hingelink

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Guards against rejected messages that no log shows, and against an event for each of them.
func TestRejectedMessagesAreRecordedOnce(t *testing.T) {
	r := newRestarting(t)
	first, end := r.start(2)
	r.mustCall(first)
	second, _ := r.start(1)
	for range 5 {
		r.mustReject(second)
	}
	end(false)
	r.heardAfter(second, maxWait)
	got := map[hingeevents.Number]int{}
	for _, e := range r.peer.config.Recorder.Events() {
		if e.Fields.Host != "cancale-1" {
			continue
		}
		switch e.Number {
		case hingeevents.LinkInstanceRejected:
			got[e.Number]++
		case hingeevents.LinkInstanceAccepted:
			got[e.Number]++
			// A datagram may be lost.
			if e.Fields.Count < 5 {
				t.Errorf("count is %d", e.Fields.Count)
			}
		}
	}
	if diff := cmp.Diff(map[hingeevents.Number]int{
		hingeevents.LinkInstanceRejected: 1,
		hingeevents.LinkInstanceAccepted: 1,
	}, got); diff != "" {
		t.Error(diff)
	}
}
