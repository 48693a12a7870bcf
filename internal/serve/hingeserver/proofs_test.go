package hingeserver

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

// Guards against hosts that stay at different revisions, and a change that takes too long,
// when the leader is killed.
func TestChangeIsInForceEverywhereThroughALeadersKill(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	revision := f.configure()
	elapsed := f.awaitChange(f.order[1], revision, 23*time.Hour)
	t.Logf("the change was in force on 7 hosts after %v", elapsed)

	leader := f.leader()
	f.kill(leader)
	var rest []hingeids.HostID
	for _, id := range f.order {
		if id != leader {
			rest = append(rest, id)
		}
	}
	began := time.Now()
	status, err := f.status(rest[0])
	if err != nil {
		t.Fatal(err)
	}
	c := f.change(status.Committed, 22*time.Hour)
	var accepted hingeids.Revision
	f.await("a change to be accepted by another leader", 10*time.Second, func() error {
		got, code, err := f.apply(rest[0], c)
		if code != http.StatusOK {
			// System changes also advance the revision. An operator's change conflicts only with
			// another operator's.
			return err
		}
		accepted = got.Revision
		return nil
	})
	f.awaitRevision(accepted, rest...)
	t.Logf("the change was in force on 6 hosts %v after the leader was killed", time.Since(began))
	if elapsed := time.Since(began); elapsed > 5*time.Second {
		t.Errorf("the change took %v, want at most 5 s", elapsed)
	}
}

// awaitChange returns the time until all hosts have the change in force.
func (f *fleet) awaitChange(at hingeids.HostID, expected hingeids.Revision, keepKeys time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	accepted, code, err := f.applyUntilAnswered(at, f.change(expected, keepKeys))
	if code != http.StatusOK {
		f.t.Fatalf("status %d, %v", code, err)
	}
	f.awaitRevision(accepted.Revision, f.order...)
	return time.Since(began)
}

// Guards against accepting two concurrent changes of the same revision, as one would
// silently revert the other.
func TestConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	revision := f.configure()
	type result struct {
		revision hingeids.Revision
		code     int
		err      error
	}
	results := make(chan result, 2)
	first, second := f.change(revision, 20*time.Hour), f.change(revision, 21*time.Hour)
	for i, c := range []struct {
		at     hingeids.HostID
		change int
	}{
		{
			at:     f.order[0],
			change: 0,
		},
		{
			at:     f.order[6],
			change: 1,
		},
	} {
		change := first
		if i == 1 {
			change = second
		}
		go func() {
			accepted, code, err := f.applyUntilAnswered(c.at, change)
			results <- result{
				revision: accepted.Revision,
				code:     code,
				err:      err,
			}
		}()
	}
	codes := map[int]int{}
	var won hingeids.Revision
	for range 2 {
		r := <-results
		codes[r.code]++
		won = max(won, r.revision)
		t.Logf("status %d, revision %d, %v", r.code, r.revision, r.err)
	}
	if diff := cmp.Diff(map[int]int{http.StatusOK: 1, http.StatusConflict: 1}, codes); diff != "" {
		t.Fatal(diff)
	}
	// A resend of either change to any host gets the same result again.
	for _, c := range []int{0, 1} {
		change := first
		if c == 1 {
			change = second
		}
		accepted, code, err := f.applyUntilAnswered(f.order[3], change)
		if code == http.StatusOK && accepted.Revision != won {
			t.Errorf("the resend was accepted as revision %d, the first time as %d", accepted.Revision, won)
		}
		codes[code]++
		t.Logf("resend: status %d, revision %d, %v", code, accepted.Revision, err)
	}
	if diff := cmp.Diff(map[int]int{http.StatusOK: 2, http.StatusConflict: 2}, codes); diff != "" {
		t.Error(diff)
	}
}

// Guards against an empty history at a host without a disk, and a change that skips
// validation, after system changes have advanced the revision.
func TestHistoryAndValidationAfterSystemChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	revision := f.configure()
	f.kill(f.order[2])
	f.start(f.order[2])
	f.awaitChange(f.order[1], revision, 17*time.Hour)
	var history hingeadmin.History
	if err := f.get(f.order[1], "/v1/history", &history); err != nil {
		t.Fatal(err)
	}
	if len(history.Changes) != 2 || history.Changes[0].Revision <= history.Changes[1].Revision {
		t.Errorf("want two changes, the newest first: %+v", history.Changes)
	}
	wrong := f.change(history.Changes[0].Revision, time.Hour)
	wrong.Puts["models/redacteur"] = "name = 7\n"
	f.kill(f.order[2])
	f.start(f.order[2])
	f.awaitRevision(history.Changes[0].Revision+1, f.order[2])
	if _, code, err := f.apply(f.order[1], wrong); code != http.StatusUnprocessableEntity {
		t.Errorf("status %d, %v", code, err)
	}
}

// Guards against the loss of accepted changes and of the quorum when a second host is lost
// right after the first was repaired.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	revision := f.configure()
	cancale, roscoff := f.order[0], f.order[3]
	f.kill(cancale)
	f.loseDisk(cancale)
	f.start(cancale)
	f.awaitRevision(revision, cancale)
	repaired := f.await("the repair to be done", 20*time.Second, func() error {
		return f.repaired(cancale)
	})
	t.Logf("repaired %v after the host was back", repaired)
	f.kill(roscoff)
	f.loseDisk(roscoff)
	var accepted hingeids.Revision
	c := f.change(revision, 19*time.Hour)
	f.await("a change to be accepted by the repaired host and one other", 10*time.Second, func() error {
		got, code, err := f.apply(f.order[6], c)
		if code != http.StatusOK {
			return err
		}
		accepted = got.Revision
		return nil
	})
	f.awaitRevision(accepted, cancale, f.order[1], f.order[2], f.order[4], f.order[5], f.order[6])
}

// Guards against a quorum that still counts a replaced voter, so that the next loss blocks
// all changes, orders and keys.
func TestOperatorReplacesAVoterThatIsLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	revision := f.configure()
	lost, next, other := f.order[0], f.order[1], f.order[3]
	f.kill(lost)
	f.kill(next)
	f.hosts[next].settings.DataFolder = f.hosts[lost].settings.DataFolder + "-next"
	f.write(next)
	f.start(next)
	f.awaitRevision(revision, next)
	voters := func(v hingeadmin.VoterChange) {
		t.Helper()
		f.await("a change of voters to be accepted", 10*time.Second, func() error {
			var answer hingeadmin.VoterChange
			_, err := f.post(f.hosts[other].settings.Listen.Operators, "/v1/voters", v, &answer)
			return err
		})
	}
	voters(hingeadmin.VoterChange{
		Admit: next,
	})
	f.await("the new host to vote", 15*time.Second, func() error {
		return f.repaired(next)
	})
	voters(hingeadmin.VoterChange{
		Remove: lost,
	})
	f.kill(other)
	c := f.change(revision, 16*time.Hour)
	f.await("a change to be accepted without the lost host and another one", 10*time.Second, func() error {
		_, code, err := f.apply(f.order[6], c)
		if code != http.StatusOK {
			return err
		}
		return nil
	})
}

// Guards against hosts that return to an older revision when a suspended leader resumes.
func TestSuspendedLeaderDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	revision := f.configure()
	leader := f.leader()
	f.signal(leader, 19)
	other := f.order[1]
	var accepted hingeids.Revision
	c := f.change(revision, 18*time.Hour)
	f.await("a change to be accepted without the suspended leader", 10*time.Second, func() error {
		got, code, err := f.apply(other, c)
		if code != http.StatusOK {
			return err
		}
		accepted = got.Revision
		return nil
	})
	f.signal(leader, 18)
	f.awaitRevision(accepted, f.order...)
	for range 20 {
		for _, id := range f.order {
			status, err := f.status(id)
			if err != nil {
				t.Fatal(err)
			}
			if status.Committed < accepted {
				t.Fatalf("%s went back to revision %d from %d", id, status.Committed, accepted)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a status that names a dead leader, or none, at hosts without a disk that have sent no request since
// the election.
func TestStatusNamesTheLeaderAtEveryHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	dead := f.leader()
	f.kill(dead)
	f.await("all hosts to name the next leader", 10*time.Second, func() error {
		leader := f.leader()
		if leader == dead {
			return errors.New("no other leader yet")
		}
		for _, id := range f.order {
			if id == dead {
				continue
			}
			status, err := f.status(id)
			if err != nil {
				return err
			}
			if status.Leader != leader {
				return fmt.Errorf("%s names %q as the leader, it is %s", id, status.Leader, leader)
			}
		}
		return nil
	})
}
