package hingelog

import (
	"testing"
	"time"
)

// Guards against a host with a new disk that gets no entries for a minute, since a large message to the disk that it lost was on its way.
func TestEntriesForANewDiskWaitNoLongerThanTheTransfer(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	present := Member{
		Host: "b",
		Disk: 2,
	}
	other := Member{
		Host: "c",
		Disk: 1,
	}
	for _, delivered := range []bool{false, true} {
		l := &Log{
			settings: Settings{
				ElectionTimeout: DefaultElectionTimeout,
			},
			progress: make(map[Member]*progress),
		}
		for _, m := range []Member{present, other} {
			l.progress[m] = &progress{
				waitUntil: now.Add(maxTransfer),
			}
		}
		// The transfer was to the disk that host b has lost.
		l.TransferEnded(now, "b", delivered)
		if l.progress[present].waits(now.Add(DefaultElectionTimeout)) {
			t.Errorf("delivered %v: entries for the new disk wait", delivered)
		}
		if !l.progress[other].waits(now) {
			t.Errorf("delivered %v: entries for another host don't wait for its own transfer", delivered)
		}
	}
}
