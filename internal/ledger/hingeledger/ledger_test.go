package hingeledger

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

type refusal struct {
	Verdict       hingeverdict.Verdict
	Code          hingeverdict.Code
	HasRetryAfter bool
}

func refusalOf(t *testing.T, err error) refusal {
	t.Helper()
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		t.Fatalf("error without a verdict: %v", err)
	}
	return refusal{
		Verdict:       v.Verdict,
		Code:          v.Code,
		HasRetryAfter: v.RetryAfter > 0,
	}
}

func requireRefusal(t *testing.T, err error, want refusal) {
	t.Helper()
	if diff := cmp.Diff(want, refusalOf(t, err)); diff != "" {
		t.Fatalf("%v\n%s", err, diff)
	}
}

func newReliableCluster(t *testing.T) *simCluster {
	sc := newCluster(t, nil)
	t.Cleanup(sc.stopAll)
	return sc
}

func (sc *simCluster) isolate(zone hingeids.Zone, cut bool) {
	for _, a := range sc.order {
		for _, b := range sc.order {
			if (a.zone == zone) == (b.zone == zone) {
				continue
			}
			p := pair{a.id, b.id}
			if cut {
				sc.cuts[p] = true
				sc.network.Cut(p.from, p.to)
			} else {
				delete(sc.cuts, p)
				sc.network.Restore(p.from, p.to)
			}
		}
	}
}

func (sc *simCluster) issue(h *host) *operation {
	key, err := h.ledger.Issue(context.Background(), "depot")
	if err != nil {
		sc.t.Fatalf("issue: %v", err)
	}
	return &operation{caller: "depot", key: key}
}

// An isolated zone must serve the keys that it issued. Requests with other keys are
// refused with a retry time and without calls to unreachable hosts.
func TestIsolatedZoneServesOwnKeysAndRefusesOthers(t *testing.T) {
	sc := newReliableCluster(t)
	inside, outside := sc.hosts["cancale-2"], sc.hosts["roscoff-2"]
	foreign := sc.issue(outside)
	sc.isolate("cancale", true)

	if err := sc.request(sc.issue(inside), inside, "body"); err != nil {
		t.Fatalf("key of the own zone: %v", err)
	}
	noQuorum := refusal{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeNoQuorum, HasRetryAfter: true}
	noKeyOwner := refusal{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeKeeperUnreachable, HasRetryAfter: true}
	free := &operation{caller: "depot", key: "lot-7"}
	requireRefusal(t, sc.request(free, inside, "body"), noQuorum)
	requireRefusal(t, sc.request(foreign, inside, "body"), noKeyOwner)
	calls := sc.calls
	for range 50 {
		requireRefusal(t, sc.request(free, inside, "body"), noQuorum)
		requireRefusal(t, sc.request(foreign, inside, "body"), noKeyOwner)
	}
	if diff := cmp.Diff(calls, sc.calls); diff != "" {
		t.Fatalf("refused requests called other hosts\n%s", diff)
	}
	if err := sc.request(free, outside, "body"); err != nil {
		t.Fatalf("free key at the hosts with a quorum: %v", err)
	}

	sc.isolate("cancale", false)
	sc.now = sc.now.Add(probeInterval)
	for _, op := range []*operation{foreign, sc.issue(inside), {caller: "depot", key: "lot-8"}} {
		if err := sc.request(op, inside, "body"); err != nil {
			t.Fatalf("after the partition: %v", err)
		}
	}
}

// A claim that was accepted but whose replies were all lost must be released, or
// resends would be refused as in progress although no attempt is.
func TestClaimWithLostReplyIsReleased(t *testing.T) {
	sc := newReliableCluster(t)
	h := sc.hosts["cancale-2"]
	op := &operation{caller: "depot", key: "lot-7"}
	sc.dropReplies = 6
	requireRefusal(t, sc.request(op, h, "body"),
		refusal{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeNoQuorum, HasRetryAfter: true})
	other := sc.hosts["roscoff-2"]
	requireRefusal(t, sc.request(op, other, "body"),
		refusal{Verdict: hingeverdict.MayHaveRun, Code: hingeverdict.CodeKeyInProgress, HasRetryAfter: true})
	h.ledger.retryQueued(context.Background(), sc.now)
	if err := sc.request(op, other, "body"); err != nil {
		t.Fatalf("after the release: %v", err)
	}
}

// An answer that can't be delivered during a partition must be delivered afterwards.
func TestAnswerIsDeliveredAfterPartition(t *testing.T) {
	sc := newReliableCluster(t)
	h, other := sc.hosts["cancale-2"], sc.hosts["roscoff-2"]
	op := &operation{caller: "depot", key: "lot-7"}
	if err := sc.request(op, h, "body"); err != nil {
		t.Fatal(err)
	}
	a := sc.attempts[0]
	sc.advance(a)
	sc.isolate("cancale", true)
	err := h.ledger.Finish(context.Background(), a.claim, []byte(op.answer))
	if diff := cmp.Diff(hingeverdict.MayHaveRun, hingeverdict.Of(err)); diff != "" {
		t.Fatalf("the verdict denies that a request ran: %v\n%s", err, diff)
	}
	calls := sc.calls
	sc.advance(a)
	if diff := cmp.Diff(calls, sc.calls); diff != "" {
		t.Fatalf("the second finish called unreachable hosts\n%s", diff)
	}
	h.ledger.retryQueued(context.Background(), sc.now)
	sc.isolate("cancale", false)
	h.ledger.retryQueued(context.Background(), sc.now)
	outcome, err := other.ledger.Claim(context.Background(), Claim{
		Caller:  op.caller,
		Key:     op.key,
		Digest:  a.claim.Digest,
		Request: hingeids.RequestID{Instance: hingeids.Instance{Host: other.id, Incarnation: other.incarnation}, Sequence: 99},
		Until:   a.claim.Until,
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(op.answer, string(outcome.Answer)); diff != "" {
		t.Fatal(diff)
	}
}
