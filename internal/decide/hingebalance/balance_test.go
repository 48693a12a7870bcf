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

// fromCancale is what requests of these tests ask, unless they say otherwise.
var fromCancale = Ask{
	Zone: "cancale",
}

// replicas gives three replicas, one in each zone.
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

// pattern is what the replicas do with a request.
type pattern func(id hingeids.ServerID, random *rand.Rand) (Outcome, time.Duration)

// play sends a request each 20 ms for a while, as one host of six does at its
// burst, and counts where requests went and how many were answered within 100 ms.
func play(p pattern, lasts time.Duration) (shares map[hingeids.ServerID]float64, inTime float64) {
	b := New(1)
	random := rand.New(rand.NewPCG(2, 3))
	counts := make(map[hingeids.ServerID]int)
	asked, good := 0, 0
	type ending struct {
		at   time.Time
		id   hingeids.ServerID
		o    Outcome
		took time.Duration
	}
	var open []ending
	for now := start; now.Sub(start) < lasts; now = now.Add(20 * time.Millisecond) {
		kept := open[:0]
		for _, e := range open {
			if e.at.After(now) {
				kept = append(kept, e)
				continue
			}
			b.Done(now, e.id, fromCancale.Zone, e.o, e.took)
		}
		open = kept
		r, found := b.Choose(now, replicas(), fromCancale)
		if found != Chosen {
			continue
		}
		asked++
		counts[r.Server]++
		o, took := p(r.Server, random)
		if o == Answered && took <= 100*time.Millisecond {
			good++
		}
		open = append(open, ending{
			at:   now.Add(took),
			id:   r.Server,
			o:    o,
			took: took,
		})
	}
	shares = make(map[hingeids.ServerID]float64)
	for id, n := range counts {
		shares[id] = float64(n) / float64(asked)
	}
	return shares, float64(good) / float64(asked)
}

func well(hingeids.ServerID, *rand.Rand) (Outcome, time.Duration) {
	return Answered, 15 * time.Millisecond
}

// All are well: the replica of the own zone is nearest and has room for the host's requests.
func TestOwnZoneIsPreferred(t *testing.T) {
	shares, inTime := play(well, 10*time.Second)
	if shares["app-1"] < 0.9 || inTime < 0.99 {
		t.Fatalf("shares %v, in time %.2f", shares, inTime)
	}
}

// The replica of the own zone turns ten times slower. Quay queries that go there on
// are late; it must lose them within some answers.
func TestSlowReplicaLosesItsRequests(t *testing.T) {
	shares, inTime := play(func(id hingeids.ServerID, r *rand.Rand) (Outcome, time.Duration) {
		if id == "app-1" {
			return Answered, 150 * time.Millisecond
		}
		return well(id, r)
	}, 10*time.Second)
	if shares["app-1"] > 0.1 || inTime < 0.9 {
		t.Fatalf("shares %v, in time %.2f", shares, inTime)
	}
}

// The replica of the own zone fails half of its requests while its heartbeats say that
// it is well.
func TestFailingReplicaIsLeftAlone(t *testing.T) {
	shares, _ := play(func(id hingeids.ServerID, r *rand.Rand) (Outcome, time.Duration) {
		if id == "app-1" && r.Float64() < 0.5 {
			return Failed, 5 * time.Millisecond
		}
		return well(id, r)
	}, 20*time.Second)
	if shares["app-1"] > 0.25 {
		t.Fatalf("shares %v", shares)
	}
}

// A burst of 240 requests a second is more than one replica with six slots answers at 30 ms
// each; the other one loses three answers in ten. Left alone, it would turn the whole
// burst of the first one late; used with care it answers what the first one can't.
func TestPartlyFailingReplicaHelpsInABurst(t *testing.T) {
	b := New(1)
	random := rand.New(rand.NewPCG(5, 6))
	list := replicas()[:2]
	type ending struct {
		at   time.Time
		id   hingeids.ServerID
		o    Outcome
		took time.Duration
	}
	var open []ending
	freeAt := make([]time.Time, 6)
	asked, good := 0, 0
	for i := range 240 * 8 {
		now := start.Add(time.Duration(i) * time.Second / 240)
		open = slices.DeleteFunc(open, func(e ending) bool {
			if e.at.After(now) {
				return false
			}
			b.Done(now, e.id, "", e.o, e.took)
			return true
		})
		r, _ := b.Choose(now, list, Ask{})
		e := ending{
			id:   r.Server,
			took: 30 * time.Millisecond,
		}
		if r.Server == "app-1" {
			slot := slices.MinFunc(freeAt, time.Time.Compare)
			at := slices.Index(freeAt, slot)
			if slot.Before(now) {
				slot = now
			}
			freeAt[at] = slot.Add(e.took)
			e.took = freeAt[at].Sub(now)
		} else if random.Float64() < 0.3 {
			e.o = Failed
		}
		e.at = now.Add(e.took)
		open = append(open, e)
		if now.Sub(start) > 2*time.Second {
			asked++
			if e.o == Answered && e.took <= 150*time.Millisecond {
				good++
			}
		}
	}
	if share := float64(good) / float64(asked); share < 0.8 {
		t.Fatalf("%.2f of the burst in time", share)
	}
}

// A zone is cut off and no replica is on its side. Whoever asks is told so at once, and
// not after four tries of a fifth of a second; a few tries find out when the cut is over.
func TestUnreachableReplicasAreNotTriedByEverybody(t *testing.T) {
	b := New(1)
	tries := 0
	now := start
	for ; now.Sub(start) < 6*time.Second; now = now.Add(20 * time.Millisecond) {
		r, found := b.Choose(now, replicas(), fromCancale)
		if found != Chosen {
			continue
		}
		tries++
		b.Done(now, r.Server, fromCancale.Zone, Unreached, 200*time.Millisecond)
	}
	if tries > 20 {
		t.Errorf("%d of 300 requests tried replicas that can't be reached", tries)
	}
	for end := now.Add(7 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		if r, found := b.Choose(now, replicas(), fromCancale); found == Chosen {
			b.Done(now, r.Server, fromCancale.Zone, Answered, 15*time.Millisecond)
		}
	}
	if _, found := b.Choose(now, replicas(), fromCancale); found != Chosen {
		t.Error("replicas that are back are not used")
	}
}

// Each replica loses one answer in thirty. None may be left alone for it: the others
// would get its load, and lose theirs too.
func TestSingleFailuresMoveLittle(t *testing.T) {
	shares, _ := play(func(id hingeids.ServerID, r *rand.Rand) (Outcome, time.Duration) {
		if r.Float64() < 0.03 {
			return Failed, 15 * time.Millisecond
		}
		return well(id, r)
	}, 20*time.Second)
	if shares["app-1"] < 0.8 {
		t.Fatalf("shares %v", shares)
	}
}

// The replica of the own zone is dark: each try there costs its callers the time of two
// dials. It gets a try now and then, and is used again soon after it is back.
func TestDarkReplicaIsTriedSeldomAndTakenBack(t *testing.T) {
	b := New(1)
	dark := 0
	now := start
	for ; now.Sub(start) < 10*time.Second; now = now.Add(20 * time.Millisecond) {
		r, _ := b.Choose(now, replicas(), fromCancale)
		if r.Server == "app-1" {
			dark++
			b.Done(now, r.Server, fromCancale.Zone, Unreached, 200*time.Millisecond)
			continue
		}
		b.Done(now, r.Server, fromCancale.Zone, Answered, 15*time.Millisecond)
	}
	if dark > 12 {
		t.Errorf("a dark replica got %d of 500 requests", dark)
	}
	back := 0
	for end := now.Add(15 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		r, _ := b.Choose(now, replicas(), fromCancale)
		b.Done(now, r.Server, fromCancale.Zone, Answered, 15*time.Millisecond)
		if r.Server == "app-1" {
			back++
		}
	}
	if back < 200 {
		t.Errorf("a replica that is back got %d of 750 requests", back)
	}
}

// Everything fails. Whoever asks is still sent somewhere: a refusal would be certain
// to help nobody.
func TestSomebodyIsAlwaysTried(t *testing.T) {
	b := New(1)
	now := start
	for range 50 {
		r, found := b.Choose(now, replicas(), fromCancale)
		if found != Chosen {
			t.Fatal("nobody was tried")
		}
		b.Done(now, r.Server, fromCancale.Zone, Failed, time.Millisecond)
		now = now.Add(10 * time.Millisecond)
	}
	if _, found := b.Choose(now, nil, fromCancale); found == Chosen {
		t.Fatal("a replica was chosen of none")
	}
}

// Another server has the address now. It refuses what is meant for the old one, so
// nothing more is sent there.
func TestReplacedReplicaGetsNothing(t *testing.T) {
	b := New(1)
	b.Choose(start, replicas(), fromCancale)
	b.Done(start, "app-1", fromCancale.Zone, Gone, time.Millisecond)
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

// A replica takes requests and answers none, for seconds. A host that kept sending there would fill it to its
// last connection, and what other hosts send would be reset.
func TestSilentReplicaIsNotFilledByOneHost(t *testing.T) {
	b := New(1)
	list := replicas()[:1]
	list[0].Most = 10
	got := 0
	for range 30 {
		if _, found := b.Choose(start, list, fromCancale); found == Chosen {
			got++
		}
	}
	if got != 10 {
		t.Fatalf("%d requests are open at a replica that has 10 connections for this host", got)
	}
	b.Done(start, list[0].Server, fromCancale.Zone, Answered, time.Millisecond)
	if _, found := b.Choose(start, list, fromCancale); found != Chosen {
		t.Fatal("a connection that is free again isn't used")
	}
}

// slotted is one replica of six slots.
func slotted() []Replica {
	return []Replica{
		{
			Server: "app-1",
			Zone:   "cancale",
			Slots:  6,
		},
	}
}

// fill chooses until there is no room, and gives how many were chosen.
func fill(b *Balance, now time.Time, list []Replica) int {
	for n := 0; ; n++ {
		if _, found := b.Choose(now, list, fromCancale); found != Chosen {
			return n
		}
	}
}

// One balance knows of all requests in a burst. What it sent beyond the slots would wait in the replica's queue, be refused after half of its time,
// and have new connections reset; what it held back beyond need would leave slots idle while the next request is on its way.
func TestReplicaHasNoMoreThanItWorksOnAndWhatIsOnTheWay(t *testing.T) {
	for handOver, want := range map[time.Duration]int{
		0:                     7,
		10 * time.Millisecond: 9,
		time.Second:           12,
	} {
		b := New(1)
		b.SetHandOver(handOver)
		if got := fill(b, start, slotted()); got != want {
			t.Errorf("with %v between two requests: %d at once, want %d", handOver, got, want)
		}
	}
}

// Other callers use the replica too, and it refuses. It gets fewer requests, or each burst would be turned away again; once it has
// answered for a while it gets as many as before.
func TestReplicaThatRefusesGetsFewerForAWhile(t *testing.T) {
	b := New(1)
	list := slotted()
	now := start
	full := fill(b, now, list)
	for range 3 {
		b.Done(now, "app-1", "cancale", Full, time.Millisecond)
	}
	now = now.Add(fullAway + time.Millisecond)
	if got := full - 3 + fill(b, now, list); got > full-2 {
		t.Errorf("%d at once after three refusals, %d before", got, full)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		b.Done(now, "app-1", "cancale", Answered, 25*time.Millisecond)
		fill(b, now, list)
	}
	if got := b.state("app-1").open; got != full {
		t.Errorf("%d at once after a second without refusals, %d before", got, full)
	}
}

// A replica takes requests and answers none, from one moment on, and its connections stay up. Each request sent there is lost
// after all of its caller's time. It must lose them before the first one has failed, and be tried again now and then.
func TestSilentReplicaLosesItsRequestsBeforeAnyFails(t *testing.T) {
	b := New(1)
	list := append(slotted(), Replica{
		Server: "app-2",
		Zone:   "cancale",
		Slots:  6,
	})
	now := start
	silent := 0
	for range 600 {
		now = now.Add(5 * time.Millisecond)
		r, found := b.Choose(now, list, Ask{
			Zone:   "cancale",
			Within: 150 * time.Millisecond,
		})
		if found != Chosen {
			continue
		}
		if r.Server == "app-1" {
			// Its place is given free after a while, as whoever counts requests does.
			silent++
			b.Expire("app-1")
			continue
		}
		b.Done(now, "app-2", "cancale", Answered, 25*time.Millisecond)
	}
	// Some until it is noticed, and one each 0.7 s in three seconds.
	if silent > 25 || silent < 4 {
		t.Errorf("the silent replica got %d of 600 requests", silent)
	}
}

// A cut parts the hosts of one zone from a replica. Theirs go elsewhere at once; hosts of other zones reach it, and would lose a
// third of what there is if it were taken for dark.
func TestReplicaThatOneZoneCannotReachIsLeftToTheOthers(t *testing.T) {
	b := New(1)
	list := slotted()
	for range unreachedLimit {
		b.Choose(start, list, fromCancale)
		b.Done(start, "app-1", "cancale", Unreached, 100*time.Millisecond)
	}
	now := start.Add(time.Millisecond)
	if _, found := b.Choose(now, list, fromCancale); found != None {
		t.Error("cancale still tries what it can't reach")
	}
	if _, found := b.Choose(now, list, Ask{
		Zone: "roscoff",
	}); found != Chosen {
		t.Error("roscoff doesn't get the replica that it reaches")
	}
	if rate := b.Rate(now, list); rate == 0 {
		t.Error("the replica counts for nothing")
	}
}
