package hingeproxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// Requests that arrive before a host has its first configuration must wait for it; for many callers this is the last
// retry.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	w := d.cluster
	table := w.Table()
	w.set(nil)
	d.proxy.settings.StartedAt = time.Now()
	began := time.Now()
	time.AfterFunc(300*time.Millisecond, func() {
		w.set(table)
	})
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
// the startup time. The clock is simulated: on a busy machine the way to the host and back takes any time.
func TestWaitForConfigurationIsBounded(t *testing.T) {
	const maxWait = 400 * time.Millisecond
	for _, c := range []struct {
		name string
		age  time.Duration
		want time.Duration
	}{
		{
			name: "host that has just started",
			want: time.Duration(startupShare * float64(maxWait)),
		},
		{
			name: "startup time ends during the wait",
			age:  startupTime - 100*time.Millisecond,
			want: 100 * time.Millisecond,
		},
		{
			name: "after the startup time",
			age:  startupTime,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				p := New(Settings{
					Clock:     time.Now,
					StartedAt: now.Add(-c.age),
				}, testDialect{}, &cluster{}, nil)
				table := p.awaitTable(t.Context(), &hingewire.Request{
					Arrived: now,
				}, RequestInfo{
					MaxWait: maxWait,
				})
				if diff := cmp.Diff(c.want, time.Since(now)); table != nil || diff != "" {
					t.Errorf("table %v, diff of the wait: %s", table, diff)
				}
			})
		})
	}
}

// A caller whose request a host refuses for lack of a configuration must learn that it may retry, and when, but not
// before the host has waited for one.
func TestRefusedWithoutConfiguration(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	d.cluster.set(nil)
	d.maxWait = 400 * time.Millisecond
	for _, c := range []struct {
		age   time.Duration
		least time.Duration
	}{
		{
			least: time.Duration(startupShare * float64(d.maxWait)),
		},
		{
			age: startupTime,
		},
	} {
		began := time.Now()
		d.proxy.settings.StartedAt = began.Add(-c.age)
		g := d.send("/status/7")
		elapsed := time.Since(began)
		if g.Status != http.StatusServiceUnavailable || !g.RetryAfter || elapsed < c.least {
			t.Errorf("%+v after %v, want 503 with Retry-After after %v", g, elapsed, c.least)
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
