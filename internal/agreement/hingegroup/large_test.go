package hingegroup

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
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
