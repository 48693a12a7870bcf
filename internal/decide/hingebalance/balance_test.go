package hingebalance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var fromCancale = Constraints{
	Zone: "cancale",
}

// replicas returns three replicas, one in each zone.
func replicas() []Replica {
	var out []Replica
	for i, z := range []hingeids.Zone{"cancale", "roscoff", "quiberon"} {
		out = append(out, Replica{
			Server: hingeids.ServerID(fmt.Sprint("app-", i+1)),
			Zone:   z,
		})
	}
	return out
}

type behavior func(id hingeids.ServerID, random *rand.Rand) (Outcome, time.Duration)

// simulate sends a request every 20 ms for the given duration. It returns the share of requests
// that each replica got, and the share that was answered within 100 ms.
func simulate(behave behavior, duration time.Duration) (shares map[hingeids.ServerID]float64, inTime float64) {
	b := New(1)
	random := rand.New(rand.NewPCG(2, 3))
	counts := make(map[hingeids.ServerID]int)
	sent, answeredInTime := 0, 0
	type completion struct {
		at      time.Time
		id      hingeids.ServerID
		o       Outcome
		elapsed time.Duration
	}
	var open []completion
	for now := start; now.Sub(start) < duration; now = now.Add(20 * time.Millisecond) {
		kept := open[:0]
		for _, e := range open {
			if e.at.After(now) {
				kept = append(kept, e)
				continue
			}
			b.Done(now, e.id, fromCancale.Zone, e.o, e.elapsed)
		}
		open = kept
		r, found := b.Choose(now, replicas(), fromCancale)
		if found != Chosen {
			continue
		}
		sent++
		counts[r.Server]++
		o, elapsed := behave(r.Server, random)
		if o == Answered && elapsed <= 100*time.Millisecond {
			answeredInTime++
		}
		open = append(open, completion{
			at:      now.Add(elapsed),
			id:      r.Server,
			o:       o,
			elapsed: elapsed,
		})
	}
	shares = make(map[hingeids.ServerID]float64)
	for id, n := range counts {
		shares[id] = float64(n) / float64(sent)
	}
	return shares, float64(answeredInTime) / float64(sent)
}

func healthy(hingeids.ServerID, *rand.Rand) (Outcome, time.Duration) {
	return Answered, 15 * time.Millisecond
}

// Requests must stay in the zone of their host while all replicas are healthy.
func TestOwnZoneIsPreferred(t *testing.T) {
	shares, inTime := simulate(healthy, 10*time.Second)
	if shares["app-1"] < 0.9 || inTime < 0.99 {
		t.Fatalf("shares %v, answered in time %.2f", shares, inTime)
	}
}

// A replica that becomes ten times slower must lose its requests within a few answers.
func TestSlowReplicaGetsFewRequests(t *testing.T) {
	shares, inTime := simulate(func(id hingeids.ServerID, r *rand.Rand) (Outcome, time.Duration) {
		if id == "app-1" {
			return Answered, 150 * time.Millisecond
		}
		return healthy(id, r)
	}, 10*time.Second)
	if shares["app-1"] > 0.1 || inTime < 0.9 {
		t.Fatalf("shares %v, answered in time %.2f", shares, inTime)
	}
}

// A replica that fails half of its requests must lose most of them.
func TestFailingReplicaGetsFewRequests(t *testing.T) {
	shares, _ := simulate(func(id hingeids.ServerID, r *rand.Rand) (Outcome, time.Duration) {
		if id == "app-1" && r.Float64() < 0.5 {
			return Failed, 5 * time.Millisecond
		}
		return healthy(id, r)
	}, 20*time.Second)
	if shares["app-1"] > 0.25 {
		t.Fatalf("shares %v", shares)
	}
}

// In a burst beyond the capacity of one replica, a second one that fails three requests in ten must
// take the excess instead of being ejected.
func TestPartlyFailingReplicaHelpsInABurst(t *testing.T) {
	b := New(1)
	random := rand.New(rand.NewPCG(5, 6))
	list := replicas()[:2]
	type completion struct {
		at      time.Time
		id      hingeids.ServerID
		o       Outcome
		elapsed time.Duration
	}
	var open []completion
	freeAt := make([]time.Time, 6)
	sent, answeredInTime := 0, 0
	for i := range 240 * 8 {
		now := start.Add(time.Duration(i) * time.Second / 240)
		open = slices.DeleteFunc(open, func(e completion) bool {
			if e.at.After(now) {
				return false
			}
			b.Done(now, e.id, "", e.o, e.elapsed)
			return true
		})
		r, _ := b.Choose(now, list, Constraints{})
		e := completion{
			id:      r.Server,
			elapsed: 30 * time.Millisecond,
		}
		if r.Server == "app-1" {
			slot := slices.MinFunc(freeAt, time.Time.Compare)
			at := slices.Index(freeAt, slot)
			if slot.Before(now) {
				slot = now
			}
			freeAt[at] = slot.Add(e.elapsed)
			e.elapsed = freeAt[at].Sub(now)
		} else if random.Float64() < 0.3 {
			e.o = Failed
		}
		e.at = now.Add(e.elapsed)
		open = append(open, e)
		if now.Sub(start) > 2*time.Second {
			sent++
			if e.o == Answered && e.elapsed <= 150*time.Millisecond {
				answeredInTime++
			}
		}
	}
	if share := float64(answeredInTime) / float64(sent); share < 0.8 {
		t.Fatalf("%.2f of the burst answered in time, want at least 0.8", share)
	}
}

// If no replica is reachable, requests must be refused at once instead of each waiting for connect
// timeouts; a few probes must detect the recovery.
func TestUnreachableReplicasGetFewAttempts(t *testing.T) {
	b := New(1)
	attempts := 0
	now := start
	for ; now.Sub(start) < 6*time.Second; now = now.Add(20 * time.Millisecond) {
		r, found := b.Choose(now, replicas(), fromCancale)
		if found != Chosen {
			continue
		}
		attempts++
		b.Done(now, r.Server, fromCancale.Zone, ConnectFailed, 200*time.Millisecond)
	}
	if attempts > 20 {
		t.Errorf("%d of 300 requests were sent to unreachable replicas, want at most 20", attempts)
	}
	for end := now.Add(7 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		if r, found := b.Choose(now, replicas(), fromCancale); found == Chosen {
			b.Done(now, r.Server, fromCancale.Zone, Answered, 15*time.Millisecond)
		}
	}
	if _, found := b.Choose(now, replicas(), fromCancale); found != Chosen {
		t.Error("no replica was chosen after the recovery")
	}
}

// A failure rate of three in a hundred must not eject a replica, or the others would be overloaded.
func TestRareFailuresDoNotEject(t *testing.T) {
	shares, _ := simulate(func(id hingeids.ServerID, r *rand.Rand) (Outcome, time.Duration) {
		if r.Float64() < 0.03 {
			return Failed, 15 * time.Millisecond
		}
		return healthy(id, r)
	}, 20*time.Second)
	if shares["app-1"] < 0.8 {
		t.Fatalf("shares %v", shares)
	}
}

// An unreachable replica must get few requests, since each costs its caller a connect timeout, and
// must be used again soon after its recovery.
func TestUnreachableReplicaIsProbedRarelyAndRestored(t *testing.T) {
	b := New(1)
	failed := 0
	now := start
	for ; now.Sub(start) < 10*time.Second; now = now.Add(20 * time.Millisecond) {
		r, _ := b.Choose(now, replicas(), fromCancale)
		if r.Server == "app-1" {
			failed++
			b.Done(now, r.Server, fromCancale.Zone, ConnectFailed, 200*time.Millisecond)
			continue
		}
		b.Done(now, r.Server, fromCancale.Zone, Answered, 15*time.Millisecond)
	}
	if failed > 12 {
		t.Errorf("the unreachable replica got %d of 500 requests, want at most 12", failed)
	}
	restored := 0
	for end := now.Add(15 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		r, _ := b.Choose(now, replicas(), fromCancale)
		b.Done(now, r.Server, fromCancale.Zone, Answered, 15*time.Millisecond)
		if r.Server == "app-1" {
			restored++
		}
	}
	if restored < 200 {
		t.Errorf("the recovered replica got %d of 750 requests, want at least 200", restored)
	}
}

// A request must be sent to some replica even if all of them fail.
func TestSomeReplicaIsChosenWhenAllFail(t *testing.T) {
	b := New(1)
	now := start
	for range 50 {
		r, found := b.Choose(now, replicas(), fromCancale)
		if found != Chosen {
			t.Fatal("no replica was chosen")
		}
		b.Done(now, r.Server, fromCancale.Zone, Failed, time.Millisecond)
		now = now.Add(10 * time.Millisecond)
	}
	if _, found := b.Choose(now, nil, fromCancale); found == Chosen {
		t.Fatal("a replica was chosen from an empty list")
	}
}

// A replica whose address now belongs to another server must get no requests.
func TestReplacedReplicaGetsNothing(t *testing.T) {
	b := New(1)
	b.Choose(start, replicas(), fromCancale)
	b.Done(start, "app-1", fromCancale.Zone, Replaced, time.Millisecond)
	got := make(map[hingeids.ServerID]bool)
	for range 50 {
		r, _ := b.Choose(start, replicas(), fromCancale)
		got[r.Server] = true
	}
	want := map[hingeids.ServerID]bool{
		"app-2": true,
		"app-3": true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// A host must not fill a replica that answers nothing beyond its connection limit, or the
// connections of other hosts would be reset.
func TestSilentReplicaKeepsItsConnectionLimit(t *testing.T) {
	b := New(1)
	list := replicas()[:1]
	list[0].MaxConnections = 10
	got := 0
	for range 30 {
		if _, found := b.Choose(start, list, fromCancale); found == Chosen {
			got++
		}
	}
	if got != 10 {
		t.Fatalf("%d requests in flight at a replica with 10 connections for this host, want 10", got)
	}
	b.Done(start, list[0].Server, fromCancale.Zone, Answered, time.Millisecond)
	if _, found := b.Choose(start, list, fromCancale); found != Chosen {
		t.Fatal("no request was sent after a connection became free")
	}
}

func sixSlotReplica() []Replica {
	return []Replica{
		{
			Server: "app-1",
			Zone:   "cancale",
			Slots:  6,
		},
	}
}

// fill chooses until no replica is found, and returns the number of chosen ones.
func fill(b *Balancer, now time.Time, list []Replica) int {
	for n := 0; ; n++ {
		if _, found := b.Choose(now, list, fromCancale); found != Chosen {
			return n
		}
	}
}

// Requests beyond the limit would wait in the replica's own queue; a lower limit would leave slots
// idle while the next requests are in transit.
func TestLimitIsSlotsPlusRequestsInTransit(t *testing.T) {
	for turnaround, want := range map[time.Duration]int{
		0:                     7,
		10 * time.Millisecond: 9,
		time.Second:           12,
	} {
		b := New(1)
		b.SetTurnaround(turnaround)
		if got := fill(b, start, sixSlotReplica()); got != want {
			t.Errorf("turnaround %v: %d requests in flight, want %d", turnaround, got, want)
		}
	}
}

// A replica that other callers fill up must get fewer requests after its refusals, and its former
// limit once it has answered for a while.
func TestRefusalsReduceTheLimitForAWhile(t *testing.T) {
	b := New(1)
	list := sixSlotReplica()
	now := start
	full := fill(b, now, list)
	for range 3 {
		b.Done(now, "app-1", "cancale", Full, time.Millisecond)
	}
	now = now.Add(refusalPause + time.Millisecond)
	if got := full - 3 + fill(b, now, list); got > full-2 {
		t.Errorf("%d requests in flight after three refusals, %d before", got, full)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		b.Done(now, "app-1", "cancale", Answered, 25*time.Millisecond)
		fill(b, now, list)
	}
	if got := b.state("app-1").open; got != full {
		t.Errorf("%d requests in flight after a second without refusals, want %d", got, full)
	}
}

// A replica that stops answering while its connections stay up must lose its requests before the
// first of them fails, and must be probed now and then.
func TestSilentReplicaIsAvoidedBeforeAnyFailure(t *testing.T) {
	b := New(1)
	list := append(sixSlotReplica(), Replica{
		Server: "app-2",
		Zone:   "cancale",
		Slots:  6,
	})
	now := start
	silent := 0
	for range 600 {
		now = now.Add(5 * time.Millisecond)
		r, found := b.Choose(now, list, Constraints{
			Zone:       "cancale",
			MaxLatency: 150 * time.Millisecond,
		})
		if found != Chosen {
			continue
		}
		if r.Server == "app-1" {
			// The caller releases the place without an outcome.
			silent++
			b.Release("app-1")
			continue
		}
		b.Done(now, "app-2", "cancale", Answered, 25*time.Millisecond)
	}
	// Some requests until the silence is noticed, then one every 0.7 s for three seconds.
	if silent > 25 || silent < 4 {
		t.Errorf("the silent replica got %d of 600 requests, want 4 to 25", silent)
	}
}

// A replica that is unreachable from one zone only must still serve the other zones.
func TestReplicaUnreachableFromOneZoneServesOthers(t *testing.T) {
	b := New(1)
	list := sixSlotReplica()
	for range connectFailureLimit {
		b.Choose(start, list, fromCancale)
		b.Done(start, "app-1", "cancale", ConnectFailed, 100*time.Millisecond)
	}
	now := start.Add(time.Millisecond)
	if _, found := b.Choose(now, list, fromCancale); found != NoReplica {
		t.Error("a replica was chosen that cancale can't reach")
	}
	if _, found := b.Choose(now, list, Constraints{
		Zone: "roscoff",
	}); found != Chosen {
		t.Error("no replica was chosen for roscoff, which can reach it")
	}
	if rate := b.Rate(now, list); rate == 0 {
		t.Error("the replica's rate is 0")
	}
}
