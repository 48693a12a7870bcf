package hingegroup

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// incompressible returns a document whose body can't be compressed.
func incompressible(v hingeversion.Version, size int) hingeversion.Document {
	random := rand.New(rand.NewPCG(uint64(v), 7))
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	return hingeversion.Document{
		Version: v,
		Body:    body,
	}
}

func (g *openGroup) propose(at hingeids.HostID, d hingeversion.Document) error {
	b, err := d.Encode()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer stop()
	_, err = g.hosts[at].group.Propose(ctx, b)
	return err
}

// Guards against a large configuration that is refused at all control hosts but the leader, and that a host whose own copy is old can't read.
func TestLargeStateIsProposedAndReadAtAnyHost(t *testing.T) {
	for i, size := range []int{1, maxWhole, maxWhole + 1, 4 << 20, 4<<20 + 1, 8 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			withOpenGroup(t, func(t *testing.T, g *openGroup) {
				g.mustChange("core-1", 1)
				other := g.notLeading("")
				want := incompressible(hingeversion.Version(2+i), size)
				if err := g.propose(other, want); err != nil {
					t.Fatalf("a change at %s, which doesn't lead: %v", other, err)
				}
				g.kill(other)
				g.startUnwritable(other, emptyDisk())
				b, err := g.hosts[other].group.ReadState(context.Background())
				if err != nil {
					t.Fatalf("a read at %s, which was wiped: %v", other, err)
				}
				m := hingeversion.New()
				if err := m.Restore(b); err != nil {
					t.Fatal(err)
				}
				if got := m.Documents().Load(); got.Version != want.Version || !bytes.Equal(got.Body, want.Body) {
					t.Errorf("read version %d with %d bytes", got.Version, len(got.Body))
				}
			})
		})
	}
}

// Guards against a state that is joined from parts of two states, and a read that fails while the state changes.
func TestLargeStateIsReadWhileItChanges(t *testing.T) {
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		other := g.notLeading("")
		g.kill(other)
		g.startUnwritable(other, emptyDisk())
		g.calls.setLatency(20 * time.Millisecond)
		leader := g.hosts[g.notLeading(other)].group.Leader()
		var changes sync.WaitGroup
		changes.Go(func() {
			for v := range hingeversion.Version(20) {
				if err := g.propose(leader, incompressible(v+2, 4<<20)); err != nil {
					t.Errorf("version %d: %v", v+2, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		whole := 0
		for range 20 {
			b, err := g.hosts[other].group.ReadState(context.Background())
			if err != nil {
				continue
			}
			m := hingeversion.New()
			if err := m.Restore(b); err != nil {
				t.Fatal(err)
			}
			got := m.Documents().Load()
			if got.Version > 1 {
				want := incompressible(got.Version, 4<<20)
				if !bytes.Equal(want.Body, got.Body) {
					t.Fatalf("version %d has parts of another one", got.Version)
				}
			}
			whole++
		}
		changes.Wait()
		if whole < 10 {
			t.Errorf("%d of 20 reads succeeded", whole)
		}
	})
}

// Guards against parts that are joined though they don't belong together, and against memory for proposals that hosts have given up.
func TestPartsOfAProposal(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := staged{
		proposals: make(map[hingeids.HostID]*stagedProposal),
	}
	part := func(id uint64, offset, total, size int) proposalPart {
		return proposalPart{
			ID:     id,
			Offset: offset,
			Total:  total,
			Bytes:  make([]byte, size),
		}
	}
	steps := []struct {
		name     string
		after    time.Duration
		from     hingeids.HostID
		part     proposalPart
		complete bool
		refused  bool
	}{
		{name: "a part without the first", from: "a", part: part(1, 10, 20, 10), refused: true},
		{name: "the first part", from: "a", part: part(1, 0, 20, 10)},
		{name: "the next one of another proposal", from: "a", part: part(2, 10, 20, 10), refused: true},
		{name: "one of another host", from: "b", part: part(1, 10, 20, 10), refused: true},
		{name: "one with a gap", from: "a", part: part(1, 11, 20, 9), refused: true},
		{name: "one with too many bytes", from: "a", part: part(1, 10, 20, 11), refused: true},
		{name: "the last part", from: "a", part: part(1, 10, 20, 10), complete: true},
		{name: "the last part again", from: "a", part: part(1, 10, 20, 10), refused: true},
		{name: "a proposal that is given up", from: "a", part: part(3, 0, maxStagedBytes, 10)},
		{name: "no room", from: "b", part: part(1, 0, 20, 10), refused: true},
		{name: "a new proposal of the same host", from: "a", part: part(4, 0, maxStagedBytes, 10)},
		{name: "room again", after: maxStagedAge + time.Second, from: "b", part: part(1, 0, 20, 10)},
		{name: "a negative size", from: "c", part: part(1, 0, -1, 0), refused: true},
	}
	for _, x := range steps {
		now = now.Add(x.after)
		body, err := s.add(now, x.from, x.part)
		if diff := cmp.Diff([]bool{x.complete, x.refused}, []bool{body != nil, err != nil}); diff != "" {
			t.Errorf("%s: %s (%v)", x.name, diff, err)
		}
	}
}

// Guards against a large configuration that never reaches the other control hosts over a slow link, and against copies of it that are queued at
// each heartbeat that overtakes it, until the process is ended for its memory.
func TestLargeChangeOverASlowLink(t *testing.T) {
	const (
		size = 8 << 20
		// rate is that of a link of 7.5 Mbit/s.
		rate = 7_500_000 / 8
	)
	withOpenGroup(t, func(t *testing.T, g *openGroup) {
		g.mustChange("core-1", 1)
		leader := g.hosts["core-1"].group.Leader()
		g.calls.setRate(rate)
		g.calls.takeBytes()
		began := time.Now()
		// The caller gives up before the change is committed.
		_ = g.propose(leader, incompressible(2, size))
		for _, x := range g.hosts {
			for x.machine.Documents().Load().Version < 2 && time.Since(began) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
		}
		took := time.Since(began)
		if limit := size/rate*time.Second + 3*time.Second; took > limit {
			t.Errorf("the change is known to all hosts after %v, want at most %v", took, limit)
		}
		if sent, limit := g.calls.takeBytes(), 2*size*5/4; sent > limit {
			t.Errorf("%d bytes were sent to two hosts, want at most %d", sent, limit)
		}
		if g.hosts["core-1"].group.Leader() != leader {
			t.Error("the leader has changed")
		}
		t.Logf("known to all hosts after %v", took)
	})
}

// Guards against entries that wait for good for a large message whose transfer has failed, and against an accepted change that is lost with the
// leader that sent it in parts.
func TestLargeChangesArriveAfterDrawnFaults(t *testing.T) {
	sizes := []int{10, partSize - 100, partSize + 1, 1 << 20, 4<<20 + 1, 8 << 20}
	for seed := range uint64(6) {
		withOpenGroup(t, func(t *testing.T, g *openGroup) {
			random := rand.New(rand.NewPCG(seed, 47))
			g.mustChange("core-1", 1)
			g.calls.setLatency(time.Duration(random.IntN(20)) * time.Millisecond)
			g.calls.setRate(1<<20 + random.IntN(16<<20))
			version, accepted := hingeversion.Version(1), hingeversion.Version(1)
			for range 12 {
				victim, other := seeds[random.IntN(3)], seeds[random.IntN(3)]
				var down *openHost
				if random.IntN(2) == 0 {
					down = g.kill(victim)
				} else {
					g.network.Cut(victim, other)
				}
				for range 3 {
					version++
					at := seeds[random.IntN(3)]
					if g.hosts[at] != nil && g.propose(at, incompressible(version, sizes[random.IntN(len(sizes))])) == nil {
						accepted = version
					}
				}
				g.network.Restore(victim, other)
				if down != nil {
					g.start(victim, down.disk, false)
				}
				time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
			}
			g.calls.setRate(0)
			time.Sleep(3 * time.Second)
			last := incompressible(version+1, 5<<20)
			if err := g.propose(seeds[random.IntN(3)], last); err != nil {
				t.Errorf("seed %d: a change 3 s after the last fault: %v", seed, err)
			}
			time.Sleep(2 * time.Second)
			for id, x := range g.hosts {
				if d := x.machine.Documents().Load(); d.Version != last.Version || !bytes.Equal(d.Body, last.Body) || accepted > d.Version {
					t.Errorf("seed %d: host %s has version %d, want %d; %d was accepted", seed, id, d.Version, last.Version, accepted)
				}
			}
		})
	}
}
