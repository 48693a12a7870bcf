package hingeledger

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// refusal is what a test compares of an error.
type refusal struct {
	Verdict   hingeverdict.Verdict
	Code      hingeverdict.Code
	ComesBack bool
}

func refusalOf(t *testing.T, err error) refusal {
	t.Helper()
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		t.Fatalf("error without a verdict: %v", err)
	}
	return refusal{
		Verdict:   v.Verdict,
		Code:      v.Code,
		ComesBack: v.RetryAfter > 0,
	}
}

func wantRefusal(t *testing.T, err error, want refusal) {
	t.Helper()
	if diff := cmp.Diff(want, refusalOf(t, err)); diff != "" {
		t.Fatalf("%v\n%s", err, diff)
	}
}

func calmWorld(t *testing.T) *world {
	w := newWorld(t, nil)
	t.Cleanup(w.end)
	return w
}

func (w *world) isolate(zone hingeids.Zone, cut bool) {
	for _, a := range w.order {
		for _, b := range w.order {
			if (a.zone == zone) == (b.zone == zone) {
				continue
			}
			p := pair{a.id, b.id}
			if cut {
				w.cuts[p] = true
				w.network.Cut(p.from, p.to)
			} else {
				delete(w.cuts, p)
				w.network.Heal(p.from, p.to)
			}
		}
	}
}

func (w *world) issue(h *host) *operation {
	key, err := h.ledger.Issue(context.Background(), "depot")
	if err != nil {
		w.t.Fatalf("issue: %v", err)
	}
	return &operation{caller: "depot", key: key}
}

// A zone is cut off from all others. Depot staff there go on getting status replies
// under keys of their own zone; what needs the others is refused at once, with
// when to come back, and without each request waiting for hosts that don't answer.
func TestCutOffZoneServesItsOwnKeysAndRefusesOthersAtOnce(t *testing.T) {
	w := calmWorld(t)
	inside, outside := w.hosts["cancale-2"], w.hosts["roscoff-2"]
	foreign := w.issue(outside)
	w.isolate("cancale", true)

	if err := w.request(w.issue(inside), inside, "body"); err != nil {
		t.Fatalf("its own key: %v", err)
	}
	noQuorum := refusal{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeNoQuorum, ComesBack: true}
	noKeeper := refusal{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeKeeperUnreachable, ComesBack: true}
	free := &operation{caller: "depot", key: "lot-7"}
	wantRefusal(t, w.request(free, inside, "body"), noQuorum)
	wantRefusal(t, w.request(foreign, inside, "body"), noKeeper)
	calls := w.calls
	for range 50 {
		wantRefusal(t, w.request(free, inside, "body"), noQuorum)
		wantRefusal(t, w.request(foreign, inside, "body"), noKeeper)
	}
	if diff := cmp.Diff(calls, w.calls); diff != "" {
		t.Fatalf("refused requests called other hosts\n%s", diff)
	}
	if err := w.request(free, outside, "body"); err != nil {
		t.Fatalf("the others have a quorum: %v", err)
	}

	w.isolate("cancale", false)
	w.now = w.now.Add(holdOff)
	for _, op := range []*operation{foreign, w.issue(inside), {caller: "depot", key: "lot-8"}} {
		if err := w.request(op, inside, "body"); err != nil {
			t.Fatalf("after the cut: %v", err)
		}
	}
}

// The ledger took a claim, but its answer was lost on every try, so the request was
// refused as not run. If the claim stayed, the caller's resend would be told that an
// attempt is in progress which nobody makes.
func TestClaimWhoseAnswerWasLostIsReleased(t *testing.T) {
	w := calmWorld(t)
	h := w.hosts["cancale-2"]
	op := &operation{caller: "depot", key: "lot-7"}
	w.loseAnswers = 6
	wantRefusal(t, w.request(op, h, "body"),
		refusal{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeNoQuorum, ComesBack: true})
	other := w.hosts["roscoff-2"]
	wantRefusal(t, w.request(op, other, "body"),
		refusal{Verdict: hingeverdict.MayHaveRun, Code: hingeverdict.CodeKeyInProgress, ComesBack: true})
	h.ledger.bringNotes(context.Background(), w.now)
	if err := w.request(op, other, "body"); err != nil {
		t.Fatalf("after the release: %v", err)
	}
}

// The answer of a request can't be brought to the ledger while the host is cut off.
// It is brought afterwards, so that a resend gets it and not "may have run".
func TestAnswerIsBroughtAfterACut(t *testing.T) {
	w := calmWorld(t)
	h, other := w.hosts["cancale-2"], w.hosts["roscoff-2"]
	op := &operation{caller: "depot", key: "lot-7"}
	if err := w.request(op, h, "body"); err != nil {
		t.Fatal(err)
	}
	a := w.attempts[0]
	w.step(a)
	w.isolate("cancale", true)
	err := h.ledger.Finish(context.Background(), a.claim, []byte(op.answer))
	if diff := cmp.Diff(hingeverdict.MayHaveRun, hingeverdict.Of(err)); diff != "" {
		t.Fatalf("a request that ran is said not to have: %v\n%s", err, diff)
	}
	calls := w.calls
	w.step(a)
	if diff := cmp.Diff(calls, w.calls); diff != "" {
		t.Fatalf("the next one waited for hosts that are away\n%s", diff)
	}
	h.ledger.bringNotes(context.Background(), w.now)
	w.isolate("cancale", false)
	h.ledger.bringNotes(context.Background(), w.now)
	outcome, err := other.ledger.Claim(context.Background(), Claim{
		Caller:  op.caller,
		Key:     op.key,
		Digest:  a.claim.Digest,
		Request: hingeids.RequestID{Instance: hingeids.Instance{Host: other.id, Incarnation: other.life}, Sequence: 99},
		Until:   a.claim.Until,
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(op.answer, string(outcome.Answer)); diff != "" {
		t.Fatal(diff)
	}
}
