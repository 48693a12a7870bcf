package hingedemo

import (
	"context"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against answers that are lost, duplicated or truncated, guestbook entries that run twice and
// allocations that leak when an engine and an entry host are killed under load.
func TestDemoLosesNoRequests(t *testing.T) {
	got, err := Run(context.Background(), Options{
		Requests: 120,
		Seed:     7,
		Out:      io.Discard,
		Progress: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	// The number of refused requests depends on which requests were in progress at the failures.
	want := got
	want.Sent = 120
	want.Answered = 120 - got.Refused
	want.Lost, want.Duplicated, want.Truncated, want.RanMoreThanOnce, want.LeakedAllocations = 0, 0, 0, 0, 0
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
