package hingeevents

import (
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// A process records more than it keeps. The oldest go, the order stays, and
// it says so, or a time line would show its beginning as quiet.
func TestOldestEventsAreDropped(t *testing.T) {
	r := NewRecorder(hingeids.Instance{
		Host: "cancale-1",
	})
	now := time.Unix(1000, 0)
	for i := range keptEvents {
		r.keep(now, ProcessStarted, Fields{
			Count: int64(i),
		})
	}
	if r.Dropped() {
		t.Error("dropped before it was full")
	}
	for i := range 10 {
		r.keep(now, ProcessStarted, Fields{
			Count: int64(keptEvents + i),
		})
	}
	kept := r.Kept()
	if !r.Dropped() || len(kept) != keptEvents {
		t.Fatalf("dropped %v, keeps %d", r.Dropped(), len(kept))
	}
	for i, e := range kept {
		if e.Fields.Count != int64(10+i) || i > 0 && !kept[i-1].Stamp.Before(e.Stamp) {
			t.Fatalf("place %d holds event %d at %+v", i, e.Fields.Count, e.Stamp)
		}
	}
}

// Every request records several events. Once the process keeps as many as it
// may, recording one more must not allocate, or traffic pays for it in pauses.
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
	for range keptEvents {
		record()
	}
	if n := testing.AllocsPerRun(1000, record); n != 0 {
		t.Errorf("%v allocations an event", n)
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
