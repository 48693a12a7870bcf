package hingefleet

import (
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// Guards against a step that never ends, or passes over an engine that is usable again, because times are compared with
// less than a nanosecond's precision, and because the turn of a host that places locally passes unused.
func TestEngineIsUsableAgainAtItsTurn(t *testing.T) {
	f := New()
	f.SetEngines([]Engine{
		{
			Server: "decode-1",
			Role:   Decode,
			Slots:  8,
			Memory: 100000,
		},
	})
	f.SetPart(hingenotice.Part{
		Hosts: 4,
		Host:  "entry-1",
	})
	start := time.Unix(1_700_000_000, 1)
	f.RecordNotice(start, "decode-1", hingenotice.Notice{
		RateLimit: 1,
	})
	usable := 0
	for now := start; now.Before(start.Add(80 * time.Second)); now = now.Add(100*time.Millisecond + 1) {
		f.updateIndex(now)
		if e := f.engines["decode-1"]; e.usable(now) {
			usable++
			if e.position.tree == f.index.ejected {
				t.Fatalf("usable %v after the start, and still held back", now.Sub(start))
			}
		}
	}
	// A turn each 8 s, each open for 2.5 s.
	if usable < 200 || usable > 300 {
		t.Errorf("usable at %d of 800 moments, want 250", usable)
	}
	e := f.engines["decode-1"]
	until := e.unusableUntil(start)
	f.place(start, e)
	f.updateIndex(until.Add(-1))
	f.updateIndex(until)
	if e.position.tree == f.index.ejected {
		t.Error("held back at the moment at which it is usable")
	}
}
