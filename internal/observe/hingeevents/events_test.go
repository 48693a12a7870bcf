package hingeevents

import (
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Guards against a ring buffer that loses the order of events or doesn't report
// that it has dropped the oldest ones.
func TestOldestEventsAreDropped(t *testing.T) {
	r := NewRecorder(hingeids.Instance{
		Host: "cancale-1",
	})
	now := time.Unix(1000, 0)
	for i := range maxKeptEvents {
		r.appendEvent(now, ProcessStarted, Fields{
			Count: int64(i),
		})
	}
	if r.Dropped() {
		t.Error("events were dropped before the buffer was full")
	}
	for i := range 10 {
		r.appendEvent(now, ProcessStarted, Fields{
			Count: int64(maxKeptEvents + i),
		})
	}
	retained := r.Events()
	if !r.Dropped() || len(retained) != maxKeptEvents {
		t.Fatalf("dropped is %v, kept %d events", r.Dropped(), len(retained))
	}
	for i, e := range retained {
		if e.Fields.Count != int64(10+i) || i > 0 && !retained[i-1].Stamp.Before(e.Stamp) {
			t.Fatalf("position %d has event %d with stamp %+v", i, e.Fields.Count, e.Stamp)
		}
	}
}

// Guards against allocations by each event of a request once the buffer is full.
func TestRecordingAllocatesNothing(t *testing.T) {
	r := NewRecorder(hingeids.Instance{
		Host: "cancale-1",
	})
	now := time.Unix(1000, 0)
	record := func() {
		r.Record(now, ProcessStarted, Fields{
			Server: "redacteur-1",
		})
	}
	for range maxKeptEvents {
		record()
	}
	if n := testing.AllocsPerRun(1000, record); n != 0 {
		t.Errorf("%v allocations per event, want 0", n)
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(hingeids.Instance{
		Host: "cancale-1",
	})
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.Record(now, ProcessStarted, Fields{
				Server: "redacteur-1",
			})
		}
	})
}
