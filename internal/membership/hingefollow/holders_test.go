package hingefollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// maxLeavingTime is how long after its acknowledgement a leaving server may be given new work.
const maxLeavingTime = 2 * time.Second

// Guards against a leaving that was acknowledged and is lost with the one control host that knows of it, so that the server gets requests until
// it ends.
func TestAcknowledgedLeavingOutlivesItsControlHost(t *testing.T) {
	for _, x := range []struct {
		controls, entries, draws int
	}{
		{controls: 2, entries: 3, draws: 30},
		{controls: 3, entries: 7, draws: 30},
		{controls: 9, entries: 20, draws: 5},
		{controls: 25, entries: 50, draws: 2},
	} {
		t.Run(fmt.Sprint(x.controls, " control hosts"), func(t *testing.T) {
			t.Parallel()
			var waits, spreads []time.Duration
			for seed := range uint64(x.draws) {
				withSpread(t, x.controls, func(t *testing.T, s *spreadCluster) {
					wait, spread := s.loseAcknowledgingHost(t, rand.New(rand.NewPCG(seed, 5)), x.entries)
					waits = append(waits, wait)
					spreads = append(spreads, spread)
				})
			}
			t.Logf("acknowledged after %v at most, used nowhere %v (median) and %v (most) later",
				slices.Max(waits), median(spreads), slices.Max(spreads))
		})
	}
}

func median(list []time.Duration) time.Duration {
	return slices.Sorted(slices.Values(list))[len(list)/2]
}

// loseAcknowledgingHost has a server leave, ends the control host that acknowledges it, and returns the time to the
// acknowledgement and from there until no host uses the server.
func (x *spreadCluster) loseAcknowledgingHost(t *testing.T, random *rand.Rand, entries int) (wait, spread time.Duration) {
	var directories []*directory
	for i := range entries {
		directories = append(directories, x.startEntry(hingeids.HostID(fmt.Sprint("entry-", i))))
	}
	at := random.IntN(len(x.controls))
	x.announce(t, at, 1)
	time.Sleep(4*time.Second + time.Duration(random.Int64N(int64(longPollTime))))
	host := x.controls[at]
	leaving := host.source.records()[0].Announcement
	leaving.Sequence++
	leaving.Leaving = true
	began := time.Now()
	announce(t, host.source, leaving)
	if err := host.source.AwaitLeaving(x.ctx, leaving.Server); err != nil {
		t.Fatal(err)
	}
	wait = time.Since(began)
	x.network.Remove(host.id)
	acknowledged := time.Now()
	for time.Since(acknowledged) < 2*maxLeavingTime {
		used := slices.ContainsFunc(directories, func(d *directory) bool {
			return d.uses(leaving.Server)
		})
		for i, c := range x.controls {
			used = used || i != at && c.source.records()[0].Usable()
		}
		if !used {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	spread = time.Since(acknowledged)
	if spread > maxLeavingTime {
		t.Errorf("a server is used %v after its leaving was acknowledged", spread)
	}
	return wait, spread
}

// Guards against an acknowledgement that a host gives without another one that knows of the leaving, and against a server that
// waits for its acknowledgement longer than a second.
func TestLeavingIsNotAcknowledgedByOneHostAlone(t *testing.T) {
	withSpread(t, 3, func(t *testing.T, x *spreadCluster) {
		x.announce(t, 0, 1)
		time.Sleep(time.Second)
		for i := 1; i < 3; i++ {
			x.network.Cut(x.controls[i].id, x.controls[0].id)
		}
		// A poll that waits at the host when the cut begins ends with the change, but its response is lost.
		x.network.Cut(x.controls[0].id, x.controls[1].id)
		x.network.Cut(x.controls[0].id, x.controls[2].id)
		began := time.Now()
		host := x.controls[0].source
		host.HandleLeave(time.Now(), "server-1", 0)
		if err := host.AwaitLeaving(context.Background(), "server-1"); !errors.Is(err, ErrHeldHereOnly) {
			t.Errorf("got %v, want ErrHeldHereOnly", err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the server waits %v", took)
		}
		for i := 1; i < 3; i++ {
			x.network.Restore(x.controls[i].id, x.controls[0].id)
			x.network.Restore(x.controls[0].id, x.controls[i].id)
		}
		time.Sleep(2 * longPollTime)
		if err := host.AwaitLeaving(context.Background(), "server-1"); err != nil {
			t.Errorf("after the cut: %v", err)
		}
	})
}

// Guards against a host that was just started, knows no members yet and acknowledges a leaving alone, or takes over the servers of all others.
func TestHostThatKnowsNoMembersConcludesNothing(t *testing.T) {
	withCluster(t, func(t *testing.T, x *cluster) {
		host := x.hosts["control-1"]
		for _, members := range [][]hingeids.HostID{nil, {"control-1"}} {
			host.setStatus(GroupStatus{
				Members: members,
			})
			host.source.HandleLeave(time.Now(), "server-1", 1)
			err := host.source.AwaitLeaving(context.Background(), "server-1")
			if alone := len(members) == 1; alone != (err == nil) {
				t.Errorf("members %v: %v", members, err)
			}
		}
		host.setStatus(GroupStatus{})
		want := []hingeannounce.Record{
			{
				Announcement: announcement("server-2"),
				Owner:        "control-2",
			},
		}
		if diff := cmp.Diff(want, host.source.adopt(slices.Clone(want))); diff != "" {
			t.Error(diff)
		}
	})
}
