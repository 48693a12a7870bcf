package hingeproxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// All hosts lose power and are back. Callers ask a host that has just started and knows no configuration yet, most of
// them for the last time. Sent away they would be lost; it knows one a moment later, and they are served.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	d := newDoor(t, newStandin(t, "app-1", 0, nil))
	w := d.world
	table := w.Table()
	w.set(nil)
	d.proxy.settings.Started = time.Now()
	time.AfterFunc(300*time.Millisecond, func() {
		w.set(table)
	})
	began := time.Now()
	want := got{
		Status: http.StatusOK,
		Body:   "lot 7 is alive",
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/status/7")); diff != "" {
		t.Fatal(diff)
	}
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Fatalf("answered after %v", took)
	}
}

// A host stays without a configuration. Its callers are told while they have time left to ask elsewhere, and those that
// come when it should have known one by then hear it at once.
func TestRequestDoesNotWaitForLong(t *testing.T) {
	d := newDoor(t, newStandin(t, "app-1", 0, nil))
	d.world.set(nil)
	d.left = 400 * time.Millisecond
	for _, c := range []struct {
		started time.Time
		least   time.Duration
		most    time.Duration
	}{
		{
			started: time.Now(),
			least:   time.Duration(startShare*400) * time.Millisecond,
			most:    400 * time.Millisecond,
		},
		{
			started: time.Now().Add(-startTime),
			most:    100 * time.Millisecond,
		},
	} {
		d.proxy.settings.Started = c.started
		began := time.Now()
		g := d.ask("/status/7")
		took := time.Since(began)
		if g.Status != http.StatusServiceUnavailable || !g.RetryAfter || took < c.least || took > c.most {
			t.Errorf("%+v after %v, want 503 after %v to %v", g, took, c.least, c.most)
		}
	}
}

// A host that starts is asked by more callers than it has memory for.
func TestWaitingRequestsAreBounded(t *testing.T) {
	d := newDoor(t)
	for range mostHeld {
		if !d.proxy.hold(1) {
			t.Fatal("no room")
		}
	}
	if d.proxy.hold(1) {
		t.Fatal("one more than the bound waits")
	}
	d.proxy.hold(-1)
	if !d.proxy.hold(1) {
		t.Fatal("a place that was given back isn't free")
	}
}
