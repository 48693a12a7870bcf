package hingeproxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Requests that arrive before a host has its first configuration must wait for it; for many callers this is the last
// retry.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	w := d.cluster
	table := w.Table()
	w.set(nil)
	d.proxy.settings.StartedAt = time.Now()
	time.AfterFunc(300*time.Millisecond, func() {
		w.set(table)
	})
	began := time.Now()
	want := result{
		Status:   http.StatusOK,
		Body:     "lot 7 is alive",
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/status/7")); diff != "" {
		t.Fatal(diff)
	}
	if elapsed := time.Since(began); elapsed < 300*time.Millisecond {
		t.Fatalf("answered after %v", elapsed)
	}
}

// A host without a configuration must refuse its callers while they have time to retry elsewhere, and at once after
// the startup time.
func TestWaitForConfigurationIsBounded(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	d.cluster.set(nil)
	d.maxWait = 400 * time.Millisecond
	for _, c := range []struct {
		started time.Time
		least   time.Duration
		most    time.Duration
	}{
		{
			started: time.Now(),
			least:   time.Duration(startupShare*400) * time.Millisecond,
			most:    400 * time.Millisecond,
		},
		{
			started: time.Now().Add(-startupTime),
			most:    100 * time.Millisecond,
		},
	} {
		d.proxy.settings.StartedAt = c.started
		began := time.Now()
		g := d.send("/status/7")
		elapsed := time.Since(began)
		if g.Status != http.StatusServiceUnavailable || !g.RetryAfter || elapsed < c.least || elapsed > c.most {
			t.Errorf("%+v after %v, want 503 after %v to %v", g, elapsed, c.least, c.most)
		}
	}
}

// The number of requests that wait for the first configuration must be bounded.
func TestWaitingRequestsAreBounded(t *testing.T) {
	d := newTestProxy(t)
	for range maxWaiting {
		if !d.proxy.addWaiting(1) {
			t.Fatal("a request below the limit was refused")
		}
	}
	if d.proxy.addWaiting(1) {
		t.Fatal("a request beyond the limit was accepted")
	}
	d.proxy.addWaiting(-1)
	if !d.proxy.addWaiting(1) {
		t.Fatal("a freed place can't be used again")
	}
}
