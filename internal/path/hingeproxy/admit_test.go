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

// withCustomers gives the routes with a customer that holds keys.
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

// A key is added, and its customer uses it at a host that hasn't heard of it yet. A denial would be final: callers don't ask
// again after one. The host finds the newer configuration out, and serves the request.
func TestKeyThatHasJustBeenAddedIsNotDenied(t *testing.T) {
	d := newDoor(t, newStandin(t, "app-1", 0, nil))
	d.key = "new"
	d.world.set(withCustomers(t, 2))
	d.world.newest = func(context.Context) bool {
		time.Sleep(20 * time.Millisecond)
		d.world.set(withCustomers(t, 3, "new"))
		return true
	}
	want := got{
		Status: http.StatusOK,
		Body:   "lot 7 is alive",
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/status/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A host is cut off from all control hosts, and may have missed any change. It must not tell a caller for good that its key or
// its route isn't there; the caller comes back, and reaches another host.
func TestHostThatMayBeBehindDeniesNothing(t *testing.T) {
	d := newDoor(t, newStandin(t, "app-1", 0, nil))
	d.world.set(withCustomers(t, 2, "old"))
	d.world.newest = func(context.Context) bool {
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
		if g := d.ask(c.target); g.Status != http.StatusServiceUnavailable || !g.RetryAfter {
			t.Errorf("%s: %+v, want 503 with a time to come back", c.target, g)
		}
	}
}

// A customer leaves the firm and its key is taken away, while its app keeps a connection open. The next request on that
// connection must not run.
func TestKeyThatWasTakenAwayIsOfNoUseOnAnOpenConnection(t *testing.T) {
	app := newStandin(t, "app-1", 0, nil)
	d := newDoor(t, app)
	d.key = "mine"
	d.keep = true
	d.world.set(withCustomers(t, 2, "mine"))
	var statuses []int
	statuses = append(statuses, d.ask("/status/7").Status)
	d.world.set(withCustomers(t, 3))
	statuses = append(statuses, d.ask("/status/8").Status)
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusUnauthorized}, statuses); diff != "" {
		t.Fatal(diff)
	}
	if n := app.ran(); n != 1 {
		t.Errorf("%d requests ran", n)
	}
}

// Somebody tries thousands of keys a second. Each line costs more than the denial itself, and would push the lines on other
// requests out.
func TestDenialsDoNotFloodTheLog(t *testing.T) {
	var b bounded
	now := time.Unix(0, 0)
	lines, told := 0, int64(0)
	for range 5000 {
		if n, ok := b.take(now); ok {
			lines++
			told += n
		}
		now = now.Add(time.Millisecond)
	}
	if lines > 5*mostLines || told < 4000 {
		t.Fatalf("%d lines that stand for %d denials", lines, told)
	}
}

// Nobody answers whether there is a newer configuration. A caller with a key that isn't known here must hear so while it has time left to ask
// at another host.
func TestFindingOutTakesAPartOfTheCallersTime(t *testing.T) {
	d := newDoor(t)
	d.left = 600 * time.Millisecond
	d.world.set(withCustomers(t, 2))
	var bounded atomic.Bool
	d.world.newest = func(ctx context.Context) bool {
		deadline, there := ctx.Deadline()
		bounded.Store(there && time.Until(deadline) <= time.Duration(newestShare*float64(d.left)))
		<-ctx.Done()
		return false
	}
	if g := d.ask("/status/7"); g.Status != http.StatusServiceUnavailable || !g.RetryAfter {
		t.Errorf("%+v, want 503 with a time to come back", g)
	}
	if !bounded.Load() {
		t.Error("it may take more than its part of the caller's time")
	}
}
