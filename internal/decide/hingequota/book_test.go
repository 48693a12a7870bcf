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

// tenASecond lets a customer use 90 units in a window.
var tenASecond = hingecustomers.Quota{
	Rate:  10,
	Burst: 10,
}

// bareTerms leave no margin.
var bareTerms = Terms{
	Window: 8 * time.Second,
}

// ledBook is a leader's book that has counted for long.
func ledBook() *Book {
	b := NewBook(bareTerms)
	b.Begin(start.Add(-time.Hour), true)
	b.Tell(start, "host-1", nil, time.Hour)
	return b
}

func charge(id int, cost hingeids.Units) Charge {
	return Charge{
		ID:       ChargeID(id),
		Customer: "quay",
		Cost:     cost,
	}
}

// use has a request of host-1 admitted and placed, and gives the verdict.
func (b *Book) use(now time.Time, c Charge, q hingecustomers.Quota) Verdict {
	if b.Hear(now, "host-1") {
		b.Tell(now, "host-1", nil, time.Hour)
	}
	v := b.Admit(now, c, q, 1, time.Minute)
	if v.Admitted {
		b.Settle(now, "host-1", c, true)
	}
	return v
}

// A customer that was quiet all morning sends a batch of dossiers at once. It is within its quota of the window, so all are taken,
// where a bucket would hold it to its burst and its rate.
func TestQuietCustomerMayUseItsWindowAtOnce(t *testing.T) {
	b := ledBook()
	admitted := 0
	for i := range 100 {
		if b.use(start, charge(i, 1), tenASecond).Admitted {
			admitted++
		}
	}
	if admitted != 90 {
		t.Fatalf("%d of 90 units", admitted)
	}
}

// A customer that is told to come back at a certain time does so. Were it refused again, its user would wait twice for nothing; and of two
// that are refused one after the other, the second has to wait for more room than the first.
func TestWhoComesBackAsToldIsServed(t *testing.T) {
	b := ledBook()
	for i := range 9 {
		b.use(start.Add(time.Duration(i)*time.Second/2), charge(i, 10), tenASecond)
	}
	now := start.Add(5 * time.Second)
	var told []time.Duration
	for i := range 3 {
		v := b.use(now, charge(10+i, 10), tenASecond)
		if v.Admitted || !v.Over {
			t.Fatalf("request %d: %+v", i, v)
		}
		told = append(told, v.RetryAfter)
	}
	want := []time.Duration{3 * time.Second, 3500 * time.Millisecond, 4 * time.Second}
	if diff := cmp.Diff(want, told); diff != "" {
		t.Fatal(diff)
	}
	for i, after := range told {
		if v := b.use(now.Add(after+time.Millisecond), charge(20+i, 10), tenASecond); !v.Admitted {
			t.Errorf("request %d came back after %v and got %+v", i, after, v)
		}
	}
}

// A caller that can't wait until there is room won't come back. What it would have taken isn't kept for it, or those after it
// would be told to wait for nothing.
func TestNothingIsPromisedToWhoCannotWait(t *testing.T) {
	b := ledBook()
	b.use(start, charge(1, 90), tenASecond)
	now := start.Add(time.Second)
	b.Tell(now, "host-1", nil, time.Hour)
	for i := range 5 {
		if v := b.Admit(now, charge(2+i, 10), tenASecond, 1, time.Second); v.RetryAfter != 7*time.Second {
			t.Fatalf("request %d is told %v", i, v.RetryAfter)
		}
	}
}

// A request is placed and its engine dies before it runs, or it is refused for want of room. If it counted all the same, a customer would
// pay for what it didn't get, most of all on a bad day.
func TestWhatDidNotRunDoesNotCount(t *testing.T) {
	b := ledBook()
	b.use(start, charge(1, 60), tenASecond)
	b.use(start, charge(2, 30), tenASecond)
	if b.use(start, charge(3, 20), tenASecond).Admitted {
		t.Fatal("beyond the quota")
	}
	b.Return(charge(2, 30))
	if !b.Admit(start, charge(4, 20), tenASecond, 1, time.Minute).Admitted {
		t.Fatal("what was given back still counts")
	}
	if b.Admit(start, charge(5, 20), tenASecond, 1, time.Minute).Admitted {
		t.Fatal("what waits for a place doesn't count")
	}
	b.Settle(start, "host-1", charge(4, 20), false)
	if !b.use(start, charge(6, 20), tenASecond).Admitted {
		t.Fatal("what was refused a place still counts")
	}
}

// An operator lowers a customer's quota to a third. From then on it gets a third; what it used before, well within its quota of
// then, must not shut it out for a whole window.
func TestLoweredQuotaHoldsAtOnceAndShutsNobodyOut(t *testing.T) {
	b := ledBook()
	for i := range 16 {
		b.use(start.Add(time.Duration(i)*time.Second/2), charge(i, 4), tenASecond)
	}
	lower := hingecustomers.Quota{
		Rate:  3,
		Burst: 6,
	}
	admitted := hingeids.Units(0)
	now := start.Add(8 * time.Second)
	for i := range 80 {
		if b.use(now.Add(time.Duration(i)*100*time.Millisecond), charge(100+i, 1), lower).Admitted {
			admitted++
		}
	}
	if quota := bareTerms.quota(lower); admitted > quota || admitted < quota/2 {
		t.Fatalf("%d units in the window after a change to %d", admitted, quota)
	}
}

// Retried reports, and uses that the placer has counted itself, come in once more when a host tells all. Counted twice they would
// shut a customer out.
func TestUsesThatAreToldTwiceCountOnce(t *testing.T) {
	b := ledBook()
	b.use(start, charge(1, 40), tenASecond)
	uses := []Use{
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
		b.Tell(now, "host-1", uses, time.Hour)
	}
	if !b.use(now, charge(3, 10), tenASecond).Admitted || b.use(now, charge(4, 10), tenASecond).Admitted {
		t.Fatal("want room for 10 units beside twice 40")
	}
}

// All hosts lose power, and nobody remembers what was used. Customers get their rate from then on, and a caller that is refused and comes
// back as told is served: refused again it would be lost.
func TestAfterALossOfPowerWhoComesBackAsToldIsServed(t *testing.T) {
	b := NewBook(bareTerms)
	b.Begin(start, true)
	b.Tell(start, "host-1", nil, 0)
	var told []time.Duration
	for i := range 3 {
		c := charge(i, 10)
		c.Doubtful = true
		v := b.use(start, c, tenASecond)
		if v.Admitted || v.Over {
			t.Fatalf("request %d: %+v", i, v)
		}
		told = append(told, v.RetryAfter)
	}
	for i, after := range told {
		c := charge(100+i, 10)
		c.Doubtful = true
		if v := b.use(start.Add(after+10*time.Millisecond), c, tenASecond); !v.Admitted {
			t.Errorf("came back after %v and got %+v", after, v)
		}
	}
}

// Hosts of a fleet without quotas say nothing for a second now and then. If each were asked for its uses at its next word, the leader would take
// twice the reports, in a burst as well, when its processor is what is short.
func TestIdleHostsAreNotAskedAgain(t *testing.T) {
	b := ledBook()
	asked := 0
	for i := range 20 {
		if b.Hear(start.Add(time.Duration(i)*2*time.Second), "host-1") {
			asked++
		}
	}
	if asked != 0 {
		t.Fatalf("asked %d times for uses that there aren't", asked)
	}
	b.use(start.Add(40*time.Second), charge(1, 10), tenASecond)
	if !b.Hear(start.Add(43*time.Second), "host-1") {
		t.Fatal("a host that fell silent with uses in the window isn't asked")
	}
}

// A region is cut off for minutes while a customer asks for all it can get on both sides. As fewer hosts are heard, each side could take
// itself for the whole fleet; and once the others have forgotten it, a side must no longer give out what they left to it.
func TestBothSidesOfALongCutStayBelowTheBound(t *testing.T) {
	const all, cut = 60, 20
	lead, apart := NewBook(modelTerms), NewBook(modelTerms)
	q := modelQuota(18000)
	bound := modelTerms.quota(q) + modelTerms.margin(modelTerms.quota(q))
	begin := start.Add(-time.Minute)
	lead.Begin(begin, true)
	apart.Begin(start, false)
	var used []dayUse
	id := 0
	for at := -10 * time.Second; at < 3*time.Minute; at += 50 * time.Millisecond {
		now := start.Add(at)
		isCut := at >= 0
		for i := range all {
			book, heard := lead, all
			if isCut && i < cut {
				book = apart
			}
			if isCut && at > 5*time.Second {
				// Each side hears its own hosts only.
				heard = all - cut
				if i < cut {
					heard = cut
				}
			}
			if book.Hear(now, host(i)) {
				book.Tell(now, host(i), nil, time.Hour)
			}
			if at%time.Second == 0 {
				book.Step(now)
			}
			if i%10 != 0 {
				continue
			}
			id++
			c := charge(id, 9000)
			c.Doubtful = true
			if book.Admit(now, c, q, heard, time.Minute).Admitted {
				book.Settle(now, host(i), c, true)
				used = append(used, dayUse{
					at:   at,
					cost: c.Cost,
				})
			}
		}
		var sum hingeids.Units
		for i := len(used) - 1; i >= 0 && at-used[i].at <= modelTerms.Window; i-- {
			sum += used[i].cost
		}
		if sum > bound {
			t.Fatalf("%d of %d in the window at %v of the cut", sum, bound, at)
		}
	}
}

// A placer that is busy with thousands of customers must not spend its processor on counting.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{16, 7300} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			book := ledBook()
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
				book.Hear(now, "host-1")
				book.Admit(now, c, q, 560, time.Second)
				book.Settle(now, "host-1", c, true)
			}
		})
	}
}
