package hingeplacer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// busyCall returns a request of the customer "busy", whose quota is 16,000 tokens per window.
func busyCall(id int, cost hingeids.QuotaUnits) CallRequest {
	c := callRequest(id)
	c.Charge = hingequota.Charge{
		ID:       hingequota.ChargeID(id),
		Customer: "busy",
		Cost:     cost,
	}
	return c
}

// call places and completes a request, and returns whether it was placed and the cause of a refusal.
func (cl *cluster) call(owner int, c CallRequest) (placed bool, cause Cause) {
	a := cl.owners[owner].PlaceCall(context.Background(), c)
	if a.Server == "" {
		return false, a.Cause
	}
	cl.owners[owner].CompleteCall("app", a, completionOf(c, a))
	return true, 0
}

// fillWindow lets a window pass with requests of another customer, so that the hosts and the placer know the usage of a
// whole window.
func (cl *cluster) fillWindow() {
	for i := range 18 {
		c := busyCall(1000+i, 1)
		c.Charge.Customer = "calm"
		cl.call(i%2, c)
		time.Sleep(hingequota.DefaultParams.Window / 16)
	}
}

// Guards against a customer that exceeds its quota by spreading its requests over the entry hosts.
func TestQuotaIsCountedOverAllHosts(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.fillWindow()
		placed := 0
		for i := range 10 {
			ok, cause := cl.call(i%2, busyCall(i, 2000))
			if ok {
				placed++
			} else if cause != OverQuota {
				t.Errorf("request %d: cause %d, want OverQuota", i, cause)
			}
		}
		if placed != 8 {
			t.Fatalf("placed %d requests of 2,000 tokens with a quota of 16,000, want 8", placed)
		}
		if ok, _ := cl.call(0, callRequest(100)); !ok {
			t.Error("a request without a customer was refused")
		}
	})
}

// Guards against a change of leader that resets the usage of a customer at its quota.
func TestNextLeaderKnowsTheUsage(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.fillWindow()
		for i := range 7 {
			cl.call(i%2, busyCall(i, 2000))
		}
		time.Sleep(600 * time.Millisecond)
		cl.network.Remove("control-1")
		cl.leads["control-2"].Store(true)
		for _, k := range cl.views {
			k.placers.Store(&[]hingeids.HostID{"control-2"})
		}
		time.Sleep(2 * time.Second)
		var got []bool
		for i := range 3 {
			ok, _ := cl.call(i%2, busyCall(10+i, 2000))
			got = append(got, ok)
		}
		if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against charging a customer for a stream that was refused for lack of capacity.
func TestRefusalForCapacityCostsNoQuota(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.fillWindow()
		for i := range 4 {
			cl.place(t, i%2, fmt.Sprint(i))
		}
		time.Sleep(1100 * time.Millisecond)
		for i := range 3 {
			r := streamRequest(fmt.Sprint("more-", i))
			r.MaxWait = 700 * time.Millisecond
			r.Charge = busyCall(20+i, 15000).Charge
			if a := cl.owners[0].Place(context.Background(), r); !a.Refused || a.Cause != NoCapacity {
				t.Fatalf("stream on full engines: %+v", a)
			}
		}
		if ok, _ := cl.call(0, busyCall(30, 15000)); !ok {
			t.Fatal("streams that were refused for lack of capacity were charged")
		}
	})
}

// Guards against charging a customer for a request that was placed but didn't run: the refund must reach the placer.
func TestRequestThatDidNotRunIsRefunded(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.fillWindow()
		c := busyCall(1, 15000)
		if ok, _ := cl.call(0, c); !ok {
			t.Fatal("a request within the quota was refused")
		}
		if ok, _ := cl.call(1, busyCall(2, 15000)); ok {
			t.Fatal("a request beyond the quota was placed")
		}
		cl.owners[0].Refund(c.Charge)
		time.Sleep(100 * time.Millisecond)
		if ok, _ := cl.call(1, busyCall(3, 15000)); !ok {
			t.Fatal("the charge was not refunded")
		}
	})
}

// Guards against a customer that gets its whole quota at each entry host while no placer can be reached.
func TestLocalPlacementEnforcesItsShareOfTheQuota(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.fillWindow()
		cl.network.Remove("control-1")
		cl.network.Remove("control-2")
		used := hingeids.QuotaUnits(0)
		for i := range 200 {
			ok, cause := cl.call(0, busyCall(i, 200))
			if ok {
				used += 200
			} else if cause != QuotaUnknown {
				t.Fatalf("cause %d, want QuotaUnknown", cause)
			}
			time.Sleep(20 * time.Millisecond)
		}
		// The host doesn't enforce its share in the first second; then each of the two hosts has half of the quota.
		if used < 8000 || used > 8000+12000 {
			t.Fatalf("%d tokens placed in 4 s, want 8000 to 20000", used)
		}
	})
}
