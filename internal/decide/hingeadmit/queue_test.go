package hingeadmit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var engines = Forecast{
	FirstToken: 50 * time.Millisecond,
	TokenGap:   25 * time.Millisecond,
	Slots:      120,
}

var serial uint64

func interactive(caller string) Request {
	serial++
	return Request{
		ID: hingeids.RequestID{
			Sequence: serial,
		},
		Caller:     hingeids.CallerID(caller),
		Priority:   10,
		Arrived:    start,
		FirstToken: 500 * time.Millisecond,
		TokenGap:   40 * time.Millisecond,
		Deadline:   start.Add(5 * time.Second),
		Work:       750 * time.Millisecond,
		JitterSeed: serial,
	}
}

func batch(caller string) Request {
	r := interactive(caller)
	r.Priority = 1
	r.CanWait = true
	r.FirstToken = 30 * time.Second
	r.Deadline = start.Add(time.Minute)
	r.Work = 10 * time.Second
	return r
}

func acceptAny(Request) bool { return true }

func acceptNone(Request) bool { return false }

// In any order of events, each offered request must end exactly once: one that
// doesn't end leaves its caller waiting, one that ends twice is answered
// twice.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{
			Limit:    20,
			MinShare: 0.1,
		})
		now := start
		serial = 0
		outcomes := make(map[hingeids.RequestID]int)
		waiting := make(map[hingeids.RequestID]bool)
		finish := func(id hingeids.RequestID) {
			outcomes[id]++
			delete(waiting, id)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := interactive(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller")))
				if rapid.Bool().Draw(t, "batch") {
					r = batch(string(r.Caller))
				}
				r.Arrived, r.Deadline = now, now.Add(r.Deadline.Sub(start))
				waiting[r.ID] = true
				if q.Offer(now, r, engines) != nil {
					finish(r.ID)
				}
			case 2:
				if r, ok := q.Next(now, acceptAny); ok {
					finish(r.ID)
					if rapid.IntRange(0, 3).Draw(t, "evicted") == 0 {
						outcomes[r.ID]--
						waiting[r.ID] = true
						q.Requeue(now, r, engines)
					}
				}
			case 3:
				for _, g := range q.Expire(now) {
					finish(g.Request.ID)
				}
			case 4:
				if len(q.expiring.list) == 0 {
					break
				}
				id := q.expiring.list[len(q.expiring.list)-1].request.ID
				if !q.Cancel(id) {
					t.Fatalf("%v waits and could not be cancelled", id)
				}
				finish(id)
			}
			if q.Len() != len(waiting) {
				t.Fatalf("the queue holds %d, %d wait", q.Len(), len(waiting))
			}
			checkSums(t, q)
		}
		for id, n := range outcomes {
			if waiting[id] {
				n++
			}
			if n != 1 {
				t.Fatalf("%v ended %d times, want once", id, n)
			}
		}
	})
}

// checkSums compares the running sums of each level with its items.
func checkSums(t *rapid.T, q *Queue) {
	for _, l := range q.levels {
		var work, byDue time.Duration
		count, active := 0, 0
		for _, f := range l.flows {
			if len(f.items.list) > 0 {
				active++
			}
			for _, it := range f.items.list {
				work += it.request.Work
				count++
			}
		}
		for _, w := range l.byDue {
			byDue += w
		}
		want := fmt.Sprint(work, work, count, active)
		if diff := cmp.Diff(want, fmt.Sprint(l.work, byDue, l.count, l.active)); diff != "" {
			t.Fatal(diff)
		}
	}
}

// A caller that sends ten thousand requests in one second must neither cause
// the refusal of other callers' requests nor delay them noticeably.
func TestGreedyCallerDoesNotDisplaceOthers(t *testing.T) {
	q := New(Defaults())
	dequeued := make(map[hingeids.CallerID]int)
	for range 10000 {
		r := batch("greedy")
		r.FirstToken = 0
		r.Deadline = start.Add(time.Hour)
		_ = q.Offer(start, r, engines)
	}
	refused := 0
	for i := range 300 {
		r := batch(fmt.Sprint(i))
		r.FirstToken = 0
		r.Deadline = start.Add(time.Hour)
		if q.Offer(start, r, engines) != nil {
			refused++
		}
	}
	for range 330 {
		r, _ := q.Next(start, acceptAny)
		dequeued[r.Caller]++
	}
	if refused > 0 {
		t.Errorf("%d of the 300 other callers were refused", refused)
	}
	if others := 330 - dequeued["greedy"]; others < 300 {
		t.Errorf("of 330 dequeued requests only %d are from the 300 other callers", others)
	}
}

// A steady load of high-priority requests must not starve accepted ones of a
// lower priority.
func TestLowerLevelGetsItsMinimumShare(t *testing.T) {
	q := New(Defaults())
	for i := range 20 {
		_ = q.Offer(start, batch(fmt.Sprint(i)), engines)
	}
	var interactiveWork, batchWork time.Duration
	for i := range 1000 {
		_ = q.Offer(start, interactive(fmt.Sprint(i)), engines)
		r, ok := q.Next(start, acceptAny)
		if !ok {
			break
		}
		if r.Priority == 10 {
			interactiveWork += r.Work
		} else {
			batchWork += r.Work
		}
	}
	if share := batchWork.Seconds() / (batchWork + interactiveWork).Seconds(); share < 0.07 || share > 0.15 {
		t.Fatalf("batch requests got %.2f of the work, want about 0.1", share)
	}
}

// Callers refused at the same moment must get retry times spread by the drain,
// or they would return together and be refused again.
func TestRetryTimesFollowTheDrain(t *testing.T) {
	q := New(Defaults())
	busy := engines
	busy.FirstToken = time.Second
	perSecond := make(map[time.Duration]int)
	for i := range 1000 {
		r := interactive(fmt.Sprint(i))
		err := q.Offer(start, r, busy)
		if err == nil {
			t.Fatal("a request was accepted that can't meet its first-token target")
		}
		if err.RetryAfter < minRetryAfter || err.RetryAfter > 2*maxRetryAfter {
			t.Fatalf("retry time is %v", err.RetryAfter)
		}
		perSecond[err.RetryAfter.Truncate(time.Second)]++
	}
	// 120 slots drain 160 of these requests per second.
	for at, n := range perSecond {
		if n > 200 {
			t.Errorf("%d retries are scheduled after %v, the drain is 160 per second", n, at)
		}
	}
}

// A waiting request that can no longer meet its first-token target must be
// refused then, with a retry time, and not at its deadline seconds later.
func TestRequestExpiresWhenTargetIsOutOfReach(t *testing.T) {
	q := New(Defaults())
	r := interactive("a")
	if err := q.Offer(start, r, engines); err != nil {
		t.Fatal(err)
	}
	if _, ok := q.Next(start, acceptNone); ok {
		t.Fatal("dequeued although try rejected it")
	}
	expiry := q.NextExpiry()
	if wait := expiry.Sub(start); wait > r.FirstToken {
		t.Fatalf("expires only after %v, its target is %v", wait, r.FirstToken)
	}
	expired := q.Expire(expiry)
	if len(expired) != 1 {
		t.Fatalf("%d requests expired, want 1", len(expired))
	}
	got := *expired[0].Err
	if got.RetryAfter < minRetryAfter {
		t.Errorf("retry time is %v", got.RetryAfter)
	}
	want := hingeverdict.Error{
		Verdict:    hingeverdict.NotRun,
		Code:       hingeverdict.CodeTargetOutOfReach,
		RetryAfter: got.RetryAfter,
		Cause:      got.Cause,
	}
	if diff := cmp.Diff(want.Error(), got.Error()); diff != "" {
		t.Error(diff)
	}
}

// A request whose KV cache was evicted must not be charged to its caller's
// share a second time.
func TestEvictedRequestIsNotChargedTwice(t *testing.T) {
	q := New(Defaults())
	first := batch("a")
	_ = q.Offer(start, first, engines)
	for i := range 50 {
		r := batch(fmt.Sprint(i))
		r.Arrived = start.Add(time.Second)
		_ = q.Offer(start, r, engines)
	}
	dequeued, _ := q.Next(start, acceptAny)
	q.Requeue(start, dequeued, engines)
	again, _ := q.Next(start, acceptAny)
	if diff := cmp.Diff([]uint64{first.ID.Sequence, first.ID.Sequence}, []uint64{dequeued.ID.Sequence, again.ID.Sequence}); diff != "" {
		t.Fatal(diff)
	}
}

// Without engines a request must be refused at once rather than wait for an
// engine that may never appear.
func TestWithoutEnginesAllAreRefusedAtOnce(t *testing.T) {
	q := New(Defaults())
	err := q.Offer(start, batch("a"), Forecast{})
	if err == nil || err.Code != hingeverdict.CodeNoServer || err.RetryAfter == 0 {
		t.Fatalf("got %v", err)
	}
}

// A long prompt must be accepted on idle engines: its prefill cost in slots is
// far higher than the duration of its answer, and may exceed the deadline.
func TestLongPromptIsAcceptedOnIdleEngines(t *testing.T) {
	r := batch("v")
	r.Work = 2 * time.Minute
	r.AnswerTime = 5 * time.Second
	if err := New(Defaults()).Offer(start, r, engines); err != nil {
		t.Fatal(err)
	}
}
