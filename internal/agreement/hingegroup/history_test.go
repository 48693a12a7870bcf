package hingegroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// reported covers all resends of a change.
type reported struct {
	change  hingeconfig.Change
	answer  hingeconfig.Answer
	refused bool
}

// workload simulates operators that change and read the configuration under faults.
type workload struct {
	*cluster
	random   *rand.Rand
	mu       sync.Mutex
	reported []reported
	// accepted is the newest revision that was reported to any operator.
	accepted hingeids.Revision
}

// The host may have no disk.
func (r *workload) randomHost() *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := append([]hingeids.HostID{"quiberon-2"}, diskHosts...)
	for {
		if x := r.hosts[ids[r.random.IntN(len(ids))]]; x != nil {
			return x
		}
	}
}

func (r *workload) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *workload) runOperator(name string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(time.Duration(r.randomInt(200)) * time.Millisecond)
		revision := r.read()
		c := hingeconfig.Change{
			ID:       hingeconfig.ChangeID(fmt.Sprint(name, i)),
			Expected: revision,
			Operator: name,
			Puts: map[hingeconfig.Path][]byte{
				"rules/weights": []byte(fmt.Sprint(name, i)),
			},
		}
		r.record(r.send(c))
	}
}

// The revision must be at least the newest one accepted before the read.
func (r *workload) read() hingeids.Revision {
	x := r.randomHost()
	for x.disk == nil {
		x = r.randomHost()
	}
	r.mu.Lock()
	before := r.accepted
	r.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_, err := x.group.Read(ctx)
	got := x.machine.Views().Load().Revision
	if err == nil && got < before {
		r.t.Errorf("host %s reads revision %d after %d was accepted", x.id, got, before)
	}
	return got
}

// send resends a change until its result is known, at most six times.
func (r *workload) send(c hingeconfig.Change) reported {
	mayHaveRun := false
	for range 6 {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		b, err := r.randomHost().group.Propose(ctx, c.Encode())
		stop()
		if err == nil {
			a, err := hingeconfig.DecodeAnswer(b)
			if err != nil {
				r.t.Error(err)
			}
			return reported{
				change: c,
				answer: a,
			}
		}
		mayHaveRun = mayHaveRun || hingeverdict.Of(err) != hingeverdict.NotRun
		time.Sleep(300 * time.Millisecond)
	}
	return reported{
		change:  c,
		refused: !mayHaveRun,
	}
}

func (r *workload) record(x reported) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = append(r.reported, x)
	if x.answer.Result == hingeconfig.Accepted {
		r.accepted = max(r.accepted, x.answer.Revision)
	}
}

func (r *workload) injectFault() {
	a, b := diskHosts[r.randomInt(3)], diskHosts[r.randomInt(3)]
	switch r.randomInt(6) {
	case 0:
		r.network.Cut(a, b)
	case 1:
		r.network.Cut("quiberon-2", a)
	case 2:
		r.heal()
	case 3:
		r.restart(a, r.disk(a))
	case 4:
		time.Sleep(time.Duration(r.randomInt(1500)) * time.Millisecond)
	case 5:
		if r.repaired() {
			r.restart(a, newMemoryDisk())
		}
	}
}

func (r *workload) disk(id hingeids.HostID) *memoryDisk {
	return r.hosts[id].disk
}

func (r *workload) restart(id hingeids.HostID, disk *memoryDisk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill(id)
	r.start(id, disk)
}

// Another disk may be lost only once the leader has committed the present disks of
// all hosts as voters.
func (r *workload) repaired() bool {
	for _, x := range r.hosts {
		if x.disk == nil {
			continue
		}
		s := x.group.Status()
		if !s.IsLeader || s.Applied < s.LastIndex || len(s.Members.Learners) > 0 {
			continue
		}
		voters := 0
		for _, m := range s.Members.Voters {
			if o := r.hosts[m.Host]; o != nil && o.group.Status().Self == m {
				voters++
			}
		}
		return voters == 3
	}
	return false
}

func (r *workload) heal() {
	for _, a := range diskHosts {
		r.network.Restore("quiberon-2", a)
		for _, b := range diskHosts {
			r.network.Restore(a, b)
		}
	}
}

func (r *workload) checkHistory() {
	v := r.newestView()
	revisions := make(map[hingeconfig.ChangeID]hingeids.Revision)
	for i, entry := range v.History {
		if entry.Revision != hingeids.Revision(i+1) || revisions[entry.Change.ID] != 0 || entry.Change.Expected != entry.Revision-1 {
			r.t.Errorf("history has %s at %d, expected %d", entry.Change.ID, entry.Revision, entry.Change.Expected)
		}
		revisions[entry.Change.ID] = entry.Revision
	}
	for _, x := range r.reported {
		at := revisions[x.change.ID]
		switch {
		case x.refused && at != 0:
			r.t.Errorf("change %s was reported as not run, but created revision %d", x.change.ID, at)
		case x.answer.Result == hingeconfig.Accepted && at != x.answer.Revision:
			r.t.Errorf("change %s was reported as revision %d, but the history has it at %d", x.change.ID, x.answer.Revision, at)
		case x.answer.Result == hingeconfig.Conflict && (at != 0 || revisions[x.answer.AcceptedChange.ID] != x.answer.AcceptedChange.Revision):
			r.t.Errorf("change %s was reported as a conflict with %+v, but the history has it at %d", x.change.ID, x.answer.AcceptedChange, at)
		}
	}
}

// Under restarts, one-way cuts and lost disks, the history must be linear and match
// every reported result and read. HISTORIES sets the number of seeds.
func TestHistoryIsLinearAndMatchesAnswers(t *testing.T) {
	seeds := 20
	if n, err := strconv.Atoi(os.Getenv("HISTORIES")); err == nil {
		seeds = n
	}
	var changes, accepted, conflicts, refused, unknown int
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := &workload{
				cluster: newCluster(t),
				random:  rand.New(rand.NewPCG(seed, 4)),
			}
			defer r.stopAll()
			r.race()
			r.checkHistory()
			for _, x := range r.reported {
				changes++
				switch {
				case x.answer.Result == hingeconfig.Accepted:
					accepted++
				case x.answer.Result == hingeconfig.Conflict:
					conflicts++
				case x.refused:
					refused++
				default:
					unknown++
				}
			}
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d seeds, %d changes: %d accepted, %d conflicts, %d refused as not run, %d unknown",
		seeds, changes, accepted, conflicts, refused, unknown)
}

func (r *workload) race() {
	until := time.Now().Add(20 * time.Second)
	var operators sync.WaitGroup
	for _, name := range []string{"yann", "maelle", "asha"} {
		operators.Go(func() {
			r.runOperator(name, until)
		})
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(r.randomInt(1200)) * time.Millisecond)
		r.injectFault()
	}
	operators.Wait()
	r.heal()
	time.Sleep(6 * time.Second)
	// After all faults, the group must answer and all hosts must have the same history.
	if _, err := r.hosts["quiberon-2"].group.Read(context.Background()); err != nil {
		r.t.Error("after all faults have ended:", err)
	}
	want := r.newestView()
	for id, x := range r.hosts {
		if x.disk == nil {
			continue
		}
		if diff := cmp.Diff(want.History, x.machine.Views().Load().History); diff != "" {
			r.t.Errorf("host %s differs: %.500s", id, diff)
		}
	}
}
