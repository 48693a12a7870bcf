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

// busyCall is a request of the customer named busy, whose quota is 16,000 tokens in a window.
func busyCall(id int, cost hingeids.QuotaUnits) Call {
	c := quayQuery(id)
	c.Charge = hingequota.Charge{
		ID:       hingequota.ChargeID(id),
		Customer: "busy",
		Cost:     cost,
	}
	return c
}

// call has a request placed at an entry host and ended, and reports whether it was placed and why it wasn't.
func (b *bench) call(owner int, c Call) (placed bool, cause Cause) {
	a := b.owners[owner].PlaceCall(context.Background(), c)
	if a.Server == "" {
		return false, a.Cause
	}
	b.owners[owner].EndCall("app", a, endOf(c, a))
	return true, 0
}

// serveAWindow lets a window pass in which hosts serve others, so that they and the placer know of all that it holds.
func (b *bench) serveAWindow() {
	for i := range 18 {
		c := busyCall(1000+i, 1)
		c.Charge.Customer = "calm"
		b.call(i%2, c)
		time.Sleep(hingequota.DefaultTerms.Window / 16)
	}
}

// A customer spreads its requests over all entry hosts. Each of them sees a part far below the quota; together they are beyond it, and
// what is beyond is refused with a time to come back.
func TestQuotaIsCountedOverAllHosts(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.serveAWindow()
		placed := 0
		for i := range 10 {
			ok, cause := b.call(i%2, busyCall(i, 2000))
			if ok {
				placed++
			} else if cause != OverQuota {
				t.Errorf("request %d: cause %d", i, cause)
			}
		}
		if placed != 8 {
			t.Fatalf("%d requests of 2,000 tokens under a quota of 16,000", placed)
		}
		if ok, _ := b.call(0, quayQuery(100)); !ok {
			t.Error("a request of nobody's is held to the quota")
		}
	})
}

// The host that places is killed while a customer is at its quota. The next leader has counted nothing itself; if it began
// with nothing used, each change of leader would give the customer its quota anew.
func TestNextLeaderKnowsWhatWasUsed(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.serveAWindow()
		for i := range 7 {
			b.call(i%2, busyCall(i, 2000))
		}
		time.Sleep(600 * time.Millisecond)
		b.network.Remove("control-1")
		b.leads["control-2"].Store(true)
		for _, k := range b.known {
			k.placers.Store(&[]hingeids.HostID{"control-2"})
		}
		time.Sleep(2 * time.Second)
		var got []bool
		for i := range 3 {
			ok, _ := b.call(i%2, busyCall(10+i, 2000))
			got = append(got, ok)
		}
		if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// All engines are full, and a stream is refused for want of room. Its customer has got nothing, so its quota is as before.
func TestRefusedForWantOfRoomCostsNoQuota(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.serveAWindow()
		for i := range 4 {
			b.place(t, i%2, fmt.Sprint(i))
		}
		time.Sleep(1100 * time.Millisecond)
		for i := range 3 {
			w := want(fmt.Sprint("more-", i))
			w.Patience = 700 * time.Millisecond
			w.Charge = busyCall(20+i, 15000).Charge
			if a := b.owners[0].Place(context.Background(), w); !a.Refused || a.Cause != NoRoom {
				t.Fatalf("%+v", a)
			}
		}
		if ok, _ := b.call(0, busyCall(30, 15000)); !ok {
			t.Fatal("what was refused for want of room was counted")
		}
	})
}

// A request was given a server that turned out to be gone, and has run nowhere. It is given back, also at the placer.
func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.serveAWindow()
		c := busyCall(1, 15000)
		if ok, _ := b.call(0, c); !ok {
			t.Fatal("not placed")
		}
		if ok, _ := b.call(1, busyCall(2, 15000)); ok {
			t.Fatal("beyond the quota")
		}
		b.owners[0].Return(c.Charge)
		time.Sleep(100 * time.Millisecond)
		if ok, _ := b.call(1, busyCall(3, 15000)); !ok {
			t.Fatal("not given back")
		}
	})
}

// No control host can be reached for long. A customer goes on with the host's part of its quota and no more: if each host took it for
// unbounded, a customer would get as many quotas as there are hosts.
func TestHostAloneGivesOutItsPart(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.serveAWindow()
		b.network.Remove("control-1")
		b.network.Remove("control-2")
		used := hingeids.QuotaUnits(0)
		for i := range 200 {
			ok, cause := b.call(0, busyCall(i, 200))
			if ok {
				used += 200
			} else if cause != QuotaUnknown {
				t.Fatalf("cause %d", cause)
			}
			time.Sleep(20 * time.Millisecond)
		}
		// In the first second the host goes on as before; two hosts have half of the quota each.
		if used < 8000 || used > 8000+12000 {
			t.Fatalf("%d tokens in 4 s", used)
		}
	})
}
