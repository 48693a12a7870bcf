package hingegroup

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

var diskHosts = []hingeids.HostID{"cancale-1", "quiberon-1", "roscoff-1"}

// host is one simulated process.
type host struct {
	id      hingeids.HostID
	disk    *memoryDisk
	machine *hingeconfig.Machine
	group   *Group
	stop    context.CancelFunc
	runErr  chan error
}

// cluster is a simulated cluster under a fake clock: three hosts with a disk and one without.
type cluster struct {
	t       *testing.T
	network *hingefake.Network
	hosts   map[hingeids.HostID]*host
	starts  uint64
}

func newCluster(t *testing.T) *cluster {
	h := &cluster{
		t:       t,
		network: hingefake.NewNetwork(),
		hosts:   make(map[hingeids.HostID]*host),
	}
	for _, id := range diskHosts {
		h.start(id, newMemoryDisk())
	}
	h.start("quiberon-2", nil)
	time.Sleep(3 * time.Second)
	return h
}

func (h *cluster) start(id hingeids.HostID, disk *memoryDisk) *host {
	h.starts++
	s := Settings{
		Name:         "config",
		Self:         id,
		Hosts:        diskHosts,
		Clock:        time.Now,
		Seed:         h.starts,
		CompactAfter: 100,
	}
	x := &host{
		id:      id,
		disk:    disk,
		machine: hingeconfig.New(),
		runErr:  make(chan error, 1),
	}
	var err error
	if disk == nil {
		x.group, err = New(s, h.network.Link(id), nil, nil)
	} else {
		x.group, err = New(s, h.network.Link(id), disk, x.machine)
	}
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	go func() {
		x.runErr <- x.group.Run(ctx)
	}()
	h.hosts[id] = x
	return x
}

// kill stops a host whose peers get no notice.
func (h *cluster) kill(id hingeids.HostID) *host {
	x := h.hosts[id]
	h.network.Remove(id)
	x.stop()
	if err := <-x.runErr; err != nil {
		h.t.Error(id, err)
	}
	delete(h.hosts, id)
	return x
}

func (h *cluster) stopAll() {
	for id := range h.hosts {
		h.kill(id)
	}
}

func (h *cluster) leader() *host {
	for _, x := range h.hosts {
		if _, leads := x.group.Leading(time.Now()); leads {
			return x
		}
	}
	h.t.Fatal("no host leads")
	return nil
}

func (h *cluster) follower() *host {
	l := h.leader()
	for _, id := range diskHosts {
		if x := h.hosts[id]; x != nil && x != l {
			return x
		}
	}
	h.t.Fatal("no follower")
	return nil
}

func (h *cluster) change(at hingeids.HostID, id int) (hingeconfig.Answer, error) {
	c := hingeconfig.Change{
		ID:       hingeconfig.ChangeID(fmt.Sprint(id)),
		Expected: 0,
		Operator: "yann",
		Puts: map[hingeconfig.Path][]byte{
			"models/redacteur": []byte(fmt.Sprint(id)),
		},
	}
	if v := h.newestView(); v != nil {
		c.Expected = v.Revision
	}
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	b, err := h.hosts[at].group.Propose(ctx, c.Encode())
	if err != nil {
		return hingeconfig.Answer{}, err
	}
	return hingeconfig.DecodeAnswer(b)
}

func (h *cluster) newestView() *hingeconfig.View {
	var v *hingeconfig.View
	for _, x := range h.hosts {
		if x.disk != nil && (v == nil || x.machine.Views().Load().Revision > v.Revision) {
			v = x.machine.Views().Load()
		}
	}
	return v
}

func (h *cluster) mustChange(at hingeids.HostID, id int) {
	h.t.Helper()
	if a, err := h.change(at, id); err != nil || a.Result != hingeconfig.Accepted {
		h.t.Fatalf("change %d at %s: %+v, %v", id, at, a, err)
	}
}

func (h *cluster) checkRevisions(r hingeids.Revision) {
	h.t.Helper()
	for id, x := range h.hosts {
		if x.disk == nil {
			continue
		}
		if got := x.machine.Views().Load().Revision; got != r {
			h.t.Errorf("host %s has revision %d, want %d", id, got, r)
		}
	}
}

func checkNotRun(t *testing.T, err error) {
	t.Helper()
	var e *hingeverdict.Error
	if !errors.As(err, &e) || e.Verdict != hingeverdict.NotRun || e.RetryAfter <= 0 {
		t.Fatalf("got %v, want NotRun with a retry time", err)
	}
}

func withCluster(t *testing.T, f func(t *testing.T, h *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		h := newCluster(t)
		defer h.stopAll()
		f(t, h)
	})
}

// After the leader is killed, changes must succeed again within two seconds at all
// other hosts, including one without a disk.
func TestChangesResumeAfterLeaderFailure(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		h.mustChange("quiberon-2", 1)
		dead := h.kill(h.leader().id)
		if _, err := h.change("quiberon-2", 2); err == nil {
			t.Error("a change was accepted without a leader")
		}
		time.Sleep(2 * time.Second)
		h.mustChange("quiberon-2", 3)
		h.mustChange(h.follower().id, 4)
		h.start(dead.id, dead.disk)
		time.Sleep(time.Second)
		h.checkRevisions(3)
	})
}

// A host that is cut off from the others must refuse changes at once as not run, and
// neither block nor report that they may have run.
func TestPartitionedHostRefusesChangesImmediately(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		l := h.leader()
		for _, id := range diskHosts {
			h.network.Cut(id, l.id)
			h.network.Cut(l.id, id)
		}
		time.Sleep(2 * time.Second)
		at := time.Now()
		_, err := h.change(l.id, 1)
		checkNotRun(t, err)
		if elapsed := time.Since(at); elapsed > 0 {
			t.Errorf("refused after %v", elapsed)
		}
		h.mustChange(h.leader().id, 2)
		for _, id := range diskHosts {
			h.network.Cut("quiberon-2", id)
		}
		_, err = h.change("quiberon-2", 3)
		checkNotRun(t, err)
	})
}

// A resend of a change whose answer was lost must get the first answer, even from another
// leader.
func TestResendAfterALostAnswerGetsTheFirstAnswer(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		l := h.leader()
		h.mustChange("quiberon-2", 1)
		h.network.Cut(l.id, "quiberon-2")
		first, err := h.change("quiberon-2", 2)
		if hingeverdict.Of(err) != hingeverdict.MayHaveRun {
			t.Fatalf("got %+v, %v", first, err)
		}
		c := hingeconfig.Change{
			ID:       "2",
			Expected: 1,
			Operator: "yann",
			Puts: map[hingeconfig.Path][]byte{
				"models/redacteur": []byte("2"),
			},
		}
		h.kill(l.id)
		time.Sleep(2 * time.Second)
		b, err := h.hosts["quiberon-2"].group.Propose(context.Background(), c.Encode())
		if err != nil {
			t.Fatal(err)
		}
		got, _ := hingeconfig.DecodeAnswer(b)
		if diff := cmp.Diff(hingeconfig.Answer{
			Result:   hingeconfig.Accepted,
			Revision: 2,
		}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Accepted changes must survive the loss of one disk after another, each after the last
// was repaired, and then a restart of all hosts at once.
func TestSuccessiveDiskLosses(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		for i := range 150 {
			h.mustChange("quiberon-2", i)
		}
		for _, id := range diskHosts {
			h.kill(id)
			h.start(id, newMemoryDisk())
			time.Sleep(4 * time.Second)
			s := h.leader().group.Status()
			if len(s.Members.Voters) != 3 || len(s.Members.Learners) != 0 {
				t.Fatalf("members are %+v", s.Members)
			}
		}
		var old []*host
		for _, id := range diskHosts {
			old = append(old, h.kill(id))
		}
		for _, x := range old {
			h.start(x.id, x.disk)
		}
		time.Sleep(3 * time.Second)
		h.checkRevisions(150)
		h.mustChange("quiberon-2", 200)
	})
}

// measure returns the number of syncs at a host and the time that a call of f takes.
func (h *cluster) measure(x *host, f func()) (int64, time.Duration) {
	before, start := x.group.Status().Journal.Syncs, time.Now()
	f()
	return x.group.Status().Journal.Syncs - before, time.Since(start)
}

// Concurrent proposals must share syncs. With one sync for each, the disk would limit the
// throughput of a burst.
func TestProposalsShareSyncs(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		const proposals = 500
		for _, x := range h.hosts {
			if x.disk != nil {
				x.disk.syncTime.Store(int64(2 * time.Millisecond))
			}
		}
		l := h.leader()
		sequentialSyncs, sequentialTime := h.measure(l, func() {
			for i := range proposals {
				h.mustChange(l.id, i)
			}
		})
		concurrentSyncs, concurrentTime := h.measure(l, func() {
			var all sync.WaitGroup
			for i := range proposals {
				all.Go(func() {
					if _, err := h.change(l.id, proposals+i); err != nil {
						t.Error(err)
					}
				})
			}
			all.Wait()
		})
		t.Logf("%d proposals, 2 ms for a sync: sequential %d syncs, %v; concurrent %d syncs, %v",
			proposals, sequentialSyncs, sequentialTime, concurrentSyncs, concurrentTime)
		if sequentialSyncs < proposals || concurrentSyncs*20 > sequentialSyncs || concurrentTime*20 > sequentialTime {
			t.Error("concurrent proposals don't share syncs")
		}
	})
}

// An operator must be able to replace a lost host by another one, which may join only
// after it was admitted.
func TestOperatorReplacesALostHost(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		h.mustChange("quiberon-2", 1)
		h.kill("roscoff-1")
		time.Sleep(2 * time.Second)
		fresh := h.start("roscoff-2", newMemoryDisk())
		time.Sleep(2 * time.Second)
		if r := fresh.machine.Views().Load().Revision; r != 0 {
			t.Fatalf("a host that wasn't admitted has revision %d", r)
		}
		ctx := context.Background()
		if err := h.hosts["quiberon-2"].group.Admit(ctx, "roscoff-2"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if err := h.hosts["quiberon-2"].group.Remove(ctx, "roscoff-1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		h.kill("cancale-1")
		time.Sleep(2 * time.Second)
		h.mustChange("quiberon-2", 2)
		time.Sleep(100 * time.Millisecond)
		h.checkRevisions(2)
	})
}

// A host whose data folder was replaced by an older copy must stop with ErrStaleDisk.
func TestOldCopyOfAFolderStopsTheProcess(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		x := h.follower()
		h.mustChange(x.id, 1)
		time.Sleep(time.Second)
		disk := newMemoryDisk()
		disk.files = maps.Clone(h.kill(x.id).disk.files)
		again := h.start(x.id, x.disk)
		time.Sleep(time.Second)
		h.mustChange(x.id, 2)
		time.Sleep(time.Second)
		h.kill(again.id)
		old := h.start(x.id, disk)
		if err := <-old.runErr; !errors.Is(err, ErrStaleDisk) {
			t.Fatalf("Run returned %v", err)
		}
		delete(h.hosts, x.id)
	})
}

// A snapshot that is too large for one call must reach a host with a new disk.
func TestLargeSnapshotIsSentInParts(t *testing.T) {
	withCluster(t, func(t *testing.T, h *cluster) {
		for i := range 12 {
			c := hingeconfig.Change{
				ID:       hingeconfig.ChangeID(fmt.Sprint(i)),
				Expected: hingeids.Revision(i),
				Operator: "yann",
				Puts: map[hingeconfig.Path][]byte{
					"a": bytes.Repeat([]byte{byte(i)}, 1<<20),
				},
			}
			if _, err := h.leader().group.Propose(context.Background(), c.Encode()); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 100 {
			h.mustChange("quiberon-2", 100+i)
		}
		x := h.follower()
		h.kill(x.id)
		h.start(x.id, newMemoryDisk())
		time.Sleep(5 * time.Second)
		h.checkRevisions(112)
	})
}

// If the leader becomes unresponsive during a proposal, the proposal must fail within
// 2.5 seconds and not wait for a timeout of the link.
func TestProposalFailsSoonAfterLeaderGoesSilent(t *testing.T) {
	for name, target := range map[string]func(h *cluster) hingeids.HostID{
		"proposal at a follower": func(h *cluster) hingeids.HostID {
			return h.follower().id
		},
		"proposal at a host without a disk": func(*cluster) hingeids.HostID {
			return "quiberon-2"
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, h *cluster) {
				l, id := h.leader(), target(h)
				h.network.Link(l.id).HandleCall("config.propose",
					func(ctx context.Context, _ hingeids.HostID, _ []byte) ([]byte, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					})
				start := time.Now()
				_, err := h.change(id, 1)
				if hingeverdict.Of(err) != hingeverdict.MayHaveRun {
					t.Errorf("got %v", err)
				}
				if elapsed := time.Since(start); elapsed > 2500*time.Millisecond {
					t.Errorf("answered after %v", elapsed)
				}
			})
		})
	}
}
