package hingequota

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var start = time.Unix(1000, 0)

// tenASecond allows 90 units in a window.
var tenASecond = hingecustomers.Quota{
	Rate:  10,
	Burst: 10,
}

var noMarginParams = Params{
	Window: 8 * time.Second,
}

// leaderLimiter returns a leader's limiter that has been counting for an hour.
func leaderLimiter() *Limiter {
	l := NewLimiter(noMarginParams)
	l.Start(start.Add(-time.Hour), true)
	l.HandleReport(start, "host-1", nil, time.Hour)
	return l
}

func charge(id int, cost hingeids.QuotaUnits) Charge {
	return Charge{
		ID:       ChargeID(id),
		Customer: "quay",
		Cost:     cost,
	}
}

// use submits a request of host-1 and places it if it is admitted.
func (l *Limiter) use(now time.Time, c Charge, q hingecustomers.Quota) Decision {
	if l.Observe(now, "host-1") {
		l.HandleReport(now, "host-1", nil, time.Hour)
	}
	d := l.Admit(now, c, q, 1, time.Minute)
	if d.Admitted {
		l.Settle(now, "host-1", c, true)
	}
	return d
}

// An idle customer may use its whole window at once. A token bucket would limit it to its burst and rate.
func TestIdleCustomerMayUseItsWindowAtOnce(t *testing.T) {
	l := leaderLimiter()
	admitted := 0
	for i := range 100 {
		if l.use(start, charge(i, 1), tenASecond).Admitted {
			admitted++
		}
	}
	if admitted != 90 {
		t.Fatalf("%d units were admitted at once, want 90", admitted)
	}
}

// A caller that retries after its RetryAfter must be admitted, and of several refused callers each must get a later time than the one
// before.
func TestRetryAfterIsKept(t *testing.T) {
	l := leaderLimiter()
	for i := range 9 {
		l.use(start.Add(time.Duration(i)*time.Second/2), charge(i, 10), tenASecond)
	}
	now := start.Add(5 * time.Second)
	var delays []time.Duration
	for i := range 3 {
		d := l.use(now, charge(10+i, 10), tenASecond)
		if d.Admitted || !d.Over {
			t.Fatalf("request %d: %+v", i, d)
		}
		delays = append(delays, d.RetryAfter)
	}
	want := []time.Duration{3 * time.Second, 3500 * time.Millisecond, 4 * time.Second}
	if diff := cmp.Diff(want, delays); diff != "" {
		t.Fatal(diff)
	}
	for i, after := range delays {
		if d := l.use(now.Add(after+time.Millisecond), charge(20+i, 10), tenASecond); !d.Admitted {
			t.Errorf("request %d, retried after %v: %+v", i, after, d)
		}
	}
}

// A caller that can't wait for its RetryAfter won't retry. Capacity reserved for it would only delay later callers.
func TestNoCapacityIsReservedForCallersThatCannotWait(t *testing.T) {
	l := leaderLimiter()
	l.use(start, charge(1, 90), tenASecond)
	now := start.Add(time.Second)
	l.HandleReport(now, "host-1", nil, time.Hour)
	for i := range 5 {
		if d := l.Admit(now, charge(2+i, 10), tenASecond, 1, time.Second); d.RetryAfter != 7*time.Second {
			t.Fatalf("request %d: RetryAfter %v, want 7s", i, d.RetryAfter)
		}
	}
}

// Requests whose engine fails before they run, and requests refused for lack of a server, must not count against the quota.
func TestRequestsThatDidNotRunDoNotCount(t *testing.T) {
	l := leaderLimiter()
	l.use(start, charge(1, 60), tenASecond)
	l.use(start, charge(2, 30), tenASecond)
	if l.use(start, charge(3, 20), tenASecond).Admitted {
		t.Fatal("a request beyond the quota was admitted")
	}
	l.Return(charge(2, 30))
	if !l.Admit(start, charge(4, 20), tenASecond, 1, time.Minute).Admitted {
		t.Fatal("a returned charge still counts")
	}
	if l.Admit(start, charge(5, 20), tenASecond, 1, time.Minute).Admitted {
		t.Fatal("a pending charge doesn't count")
	}
	l.Settle(start, "host-1", charge(4, 20), false)
	if !l.use(start, charge(6, 20), tenASecond).Admitted {
		t.Fatal("the charge of a request that wasn't placed still counts")
	}
}

// A lowered quota must apply at once, and usage within the previous quota must not block the customer for a whole window.
func TestLoweredQuotaAppliesAtOnceWithoutBlocking(t *testing.T) {
	l := leaderLimiter()
	for i := range 16 {
		l.use(start.Add(time.Duration(i)*time.Second/2), charge(i, 4), tenASecond)
	}
	lower := hingecustomers.Quota{
		Rate:  3,
		Burst: 6,
	}
	admitted := hingeids.QuotaUnits(0)
	now := start.Add(8 * time.Second)
	for i := range 80 {
		if l.use(now.Add(time.Duration(i)*100*time.Millisecond), charge(100+i, 1), lower).Admitted {
			admitted++
		}
	}
	if quota := noMarginParams.quota(lower); admitted > quota || admitted < quota/2 {
		t.Fatalf("%d units in the window after a change to %d", admitted, quota)
	}
}

// Retried reports, and full reports that include charges counted already, must not count a charge twice.
func TestUsageReportedTwiceCountsOnce(t *testing.T) {
	l := leaderLimiter()
	l.use(start, charge(1, 40), tenASecond)
	usages := []Usage{
		{
			Charge: charge(1, 40),
			Age:    time.Second,
		},
		{
			Charge: charge(2, 40),
			Age:    2 * time.Second,
		},
	}
	now := start.Add(time.Second)
	for range 3 {
		l.HandleReport(now, "host-1", usages, time.Hour)
	}
	if !l.use(now, charge(3, 10), tenASecond).Admitted || l.use(now, charge(4, 10), tenASecond).Admitted {
		t.Fatal("want 10 units free beside two charges of 40")
	}
}

// After all hosts have lost their usage records, a caller that retries after its RetryAfter must be admitted.
func TestRetryAfterIsKeptAfterAPowerLoss(t *testing.T) {
	l := NewLimiter(noMarginParams)
	l.Start(start, true)
	l.HandleReport(start, "host-1", nil, 0)
	var delays []time.Duration
	for i := range 3 {
		c := charge(i, 10)
		c.NearLimit = true
		d := l.use(start, c, tenASecond)
		if d.Admitted || d.Over {
			t.Fatalf("request %d: %+v", i, d)
		}
		delays = append(delays, d.RetryAfter)
	}
	for i, after := range delays {
		c := charge(100+i, 10)
		c.NearLimit = true
		if d := l.use(start.Add(after+10*time.Millisecond), c, tenASecond); !d.Admitted {
			t.Errorf("retried after %v: %+v", after, d)
		}
	}
}

// Idle hosts are silent for seconds at a time. Requesting a full report after each pause would double the leader's load.
func TestNoReportIsRequestedFromIdleHosts(t *testing.T) {
	l := leaderLimiter()
	requests := 0
	for i := range 20 {
		if l.Observe(start.Add(time.Duration(i)*2*time.Second), "host-1") {
			requests++
		}
	}
	if requests != 0 {
		t.Fatalf("%d reports were requested from a host without usage", requests)
	}
	l.use(start.Add(40*time.Second), charge(1, 10), tenASecond)
	if !l.Observe(start.Add(43*time.Second), "host-1") {
		t.Fatal("no report was requested from a host that fell silent with usage in the window")
	}
}

// During a long partition a side must not compute shares as if it were the whole fleet, nor use the share withheld for it once the leader
// has forgotten its hosts.
func TestBothSidesOfALongPartitionStayWithinTheMargin(t *testing.T) {
	const all, cut = 60, 20
	leader, substitute := NewLimiter(modelParams), NewLimiter(modelParams)
	q := modelQuota(18000)
	bound := modelParams.quota(q) + modelParams.margin(modelParams.quota(q))
	begin := start.Add(-time.Minute)
	leader.Start(begin, true)
	substitute.Start(start, false)
	var used []admission
	id := 0
	for at := -10 * time.Second; at < 3*time.Minute; at += 50 * time.Millisecond {
		now := start.Add(at)
		isCut := at >= 0
		for i := range all {
			limiter, seen := leader, all
			if isCut && i < cut {
				limiter = substitute
			}
			if isCut && at > 5*time.Second {
				// Each side sees only its own hosts.
				seen = all - cut
				if i < cut {
					seen = cut
				}
			}
			if limiter.Observe(now, host(i)) {
				limiter.HandleReport(now, host(i), nil, time.Hour)
			}
			if at%time.Second == 0 {
				limiter.RemoveExpired(now)
			}
			if i%10 != 0 {
				continue
			}
			id++
			c := charge(id, 9000)
			c.NearLimit = true
			if limiter.Admit(now, c, q, seen, time.Minute).Admitted {
				limiter.Settle(now, host(i), c, true)
				used = append(used, admission{
					at:   at,
					cost: c.Cost,
				})
			}
		}
		var sum hingeids.QuotaUnits
		for i := len(used) - 1; i >= 0 && at-used[i].at <= modelParams.Window; i-- {
			sum += used[i].cost
		}
		if sum > bound {
			t.Fatalf("%d units in the window, bound %d, %v into the partition", sum, bound, at)
		}
	}
}

// BenchmarkAdmit measures the cost of a decision with few and with thousands of customers.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{16, 7300} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			limiter := leaderLimiter()
			names := make([]hingeids.CallerID, customers)
			for i := range names {
				names[i] = hingeids.CallerID(fmt.Sprint("customer-", i))
			}
			q := hingecustomers.Quota{
				Rate:  1e9,
				Burst: 1e9,
			}
			b.ReportAllocs()
			now := start
			i := 0
			for b.Loop() {
				i++
				// 17,000 requests a second.
				now = now.Add(59 * time.Microsecond)
				c := Charge{
					ID:       ChargeID(i),
					Customer: names[i%customers],
					Cost:     200,
				}
				limiter.Observe(now, "host-1")
				limiter.Admit(now, c, q, 560, time.Second)
				limiter.Settle(now, "host-1", c, true)
			}
		})
	}
}
