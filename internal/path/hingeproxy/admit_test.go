package hingeproxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
)

// withCustomers returns the routes with one customer that has the given keys.
func withCustomers(t *testing.T, version uint64, keys ...hingecustomers.Key) *hingeroutes.Table {
	t.Helper()
	c := hingecustomers.Customer{
		Name: "quay",
	}
	for _, k := range keys {
		c.Keys = append(c.Keys, k.Digest())
	}
	set, err := hingecustomers.NewSet([]hingecustomers.Customer{c})
	if err != nil {
		t.Fatal(err)
	}
	out := routes()
	out.Version = version
	out.Customers = set
	return out
}

// A request with a key that was just added must be served at a host that has not yet received the new configuration,
// since callers don't retry a denial.
func TestNewKeyIsNotDenied(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	d.key = "new"
	d.cluster.set(withCustomers(t, 2))
	d.cluster.newest = func(context.Context) bool {
		time.Sleep(20 * time.Millisecond)
		d.cluster.set(withCustomers(t, 3, "new"))
		return true
	}
	want := result{
		Status:   http.StatusOK,
		Body:     "lot 7 is alive",
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/status/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A host that is cut off from all control hosts may have missed a change. It must refuse with a Retry-After and not
// deny a key or a route for good.
func TestHostWithStaleConfigurationDeniesNothing(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	d.cluster.set(withCustomers(t, 2, "old"))
	d.cluster.newest = func(context.Context) bool {
		return false
	}
	for _, c := range []struct {
		key    hingecustomers.Key
		target string
	}{
		{
			key:    "unknown",
			target: "/status/7",
		},
		{
			key:    "old",
			target: "/nowhere/7",
		},
		{
			target: "/status/7",
		},
	} {
		d.key = c.key
		if g := d.send(c.target); g.Status != http.StatusServiceUnavailable || !g.RetryAfter {
			t.Errorf("%s: %+v, want 503 with a Retry-After", c.target, g)
		}
	}
}

// After a customer's key is removed, the next request on a connection that is still open must be denied.
func TestRemovedKeyIsDeniedOnOpenConnection(t *testing.T) {
	app := newStandin(t, "app-1", 0, nil)
	d := newTestProxy(t, app)
	d.key = "mine"
	d.keepAlive = true
	d.cluster.set(withCustomers(t, 2, "mine"))
	var statuses []int
	statuses = append(statuses, d.send("/status/7").Status)
	d.cluster.set(withCustomers(t, 3))
	statuses = append(statuses, d.send("/status/8").Status)
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusUnauthorized}, statuses); diff != "" {
		t.Fatal(diff)
	}
	if n := app.ran(); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}

// Thousands of requests a second with wrong keys must not flood the log.
func TestDenialsDoNotFloodTheLog(t *testing.T) {
	var l logLimiter
	now := time.Unix(0, 0)
	lines, requests := 0, int64(0)
	for range 5000 {
		if n, ok := l.allow(now); ok {
			lines++
			requests += n
		}
		now = now.Add(time.Millisecond)
	}
	if lines > 5*maxLogLines || requests < 4000 {
		t.Fatalf("%d lines represent %d denials", lines, requests)
	}
}

// The check for a newer configuration must leave the caller time to retry at another host if nobody answers.
func TestConfigurationCheckUsesPartOfTheCallersTime(t *testing.T) {
	d := newTestProxy(t)
	d.maxWait = 600 * time.Millisecond
	d.cluster.set(withCustomers(t, 2))
	var bounded atomic.Bool
	d.cluster.newest = func(ctx context.Context) bool {
		deadline, there := ctx.Deadline()
		bounded.Store(there && time.Until(deadline) <= time.Duration(configCheckShare*float64(d.maxWait)))
		<-ctx.Done()
		return false
	}
	if g := d.send("/status/7"); g.Status != http.StatusServiceUnavailable || !g.RetryAfter {
		t.Errorf("%+v, want 503 with a Retry-After", g)
	}
	if !bounded.Load() {
		t.Error("the check isn't limited to its share of the caller's time")
	}
}
