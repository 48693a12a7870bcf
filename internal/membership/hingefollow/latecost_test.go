package hingefollow

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Guards against owners that contradict each other again and again, and against a late report that is sent to every host more than twice: once as
// it came, and once more contradicted.
func TestLateReportCostsTwoChanges(t *testing.T) {
	most := fromEnvironment(t, "SWIFTHINGE_ENTRY_HOSTS", 70)
	for _, x := range []struct {
		controls, entries int
	}{
		{controls: 3, entries: 7},
		{controls: 25, entries: most},
	} {
		t.Run(fmt.Sprintf("%d control hosts, %d entry hosts", x.controls, x.entries), func(t *testing.T) {
			withSpread(t, x.controls, func(t *testing.T, s *spreadCluster) {
				for i := range x.entries {
					s.startEntry(hingeids.HostID(fmt.Sprint("entry-", i)))
				}
				a := announcement("server-1")
				for sequence := range uint64(10) {
					a.Sequence = sequence + 1
					announce(t, s.controls[0].source, a)
				}
				time.Sleep(10 * time.Second)
				s.traffic.take()
				time.Sleep(4 * time.Second)
				idleCalls, idleBytes, _ := s.traffic.take()
				a.Sequence = 5
				announce(t, s.controls[1].source, a)
				time.Sleep(4 * time.Second)
				calls, bytes, records := s.traffic.take()
				if limit := 2 * (x.controls - 1 + x.entries); records > limit {
					t.Errorf("hosts received the record %d times, want at most %d", records, limit)
				}
				if c := s.controls[0].source.TakeContradicted(); c.Count != 1 {
					t.Errorf("%d records were contradicted, want 1", c.Count)
				}
				t.Logf("a late report takes %d records, %d more calls and %d more bytes than an idle time's %d and %d",
					records, calls-idleCalls, bytes-idleBytes, idleCalls, idleBytes)
			})
		})
	}
}
