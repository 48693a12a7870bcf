package hingepoison

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var begin = time.Unix(1000, 0)

// servers is how many servers the service of the tests has.
func servers() int { return 9 }

func end(p hingeids.Print, server string, had time.Duration) End {
	return End{
		Print:   p,
		Server:  hingeids.ServerID(server),
		Service: "model",
		Had:     had,
	}
}

// cause tells that so many servers ended under a request, a second apart, with others there.
func cause(b *Book, now time.Time, p hingeids.Print, n int, beside ...hingeids.Print) time.Time {
	for i := range n {
		id := fmt.Sprintf("engine-%d-%d", p, i)
		for _, q := range beside {
			b.Tell(now, end(q, id, 2*time.Second))
		}
		b.Tell(now, end(p, id, 100*time.Millisecond))
		now = now.Add(time.Second)
	}
	return now
}

// Two hosts tell the same end, and a report is sent twice. Counted twice, a request would be refused after two servers.
func TestEndThatIsToldTwiceCountsOnce(t *testing.T) {
	b := NewBook()
	now := cause(b, begin, 7, 2)
	if b.Tell(now, end(7, "engine-7-1", 100*time.Millisecond)) {
		t.Error("an end that was told is new")
	}
	if j := b.Judge(now, 7, Listed{}, servers); j.Refused || !j.Suspect {
		t.Errorf("%+v after two servers", j)
	}
	now = cause(b, now, 7, 3)
	if j := b.Judge(now, 7, Listed{}, servers); !j.Refused {
		t.Errorf("%+v after three servers", j)
	}
}

// A stream moves from an engine that ended to another, where the cause comes again, and is there when that ends too. Its caller
// must not pay for its neighbour.
func TestRequestsThatWereThereByChanceAreNotRefused(t *testing.T) {
	b := NewBook()
	now := cause(b, begin, 7, 2, 8)
	// One end more under the cause alone explains those that both were at.
	for i, p := range []hingeids.Print{7, 7, 8} {
		b.Tell(now, end(p, fmt.Sprint("other-", i), 100*time.Millisecond))
	}
	now = now.Add(time.Second)
	if j := b.Judge(now, 7, Listed{}, servers); !j.Refused {
		t.Errorf("the cause: %+v", j)
	}
	if j := b.Judge(now, 8, Listed{}, servers); j.Refused {
		t.Errorf("the other: %+v", j)
	}
}

// Engines end by themselves all the time, after a bad release. A stream of four seconds meets three of them; a request
// that ends them at once is told from it all the same.
func TestMoreEndsAreNeededWhereServersEndByThemselves(t *testing.T) {
	b := NewBook()
	now := begin
	for i := range 40 {
		b.Tell(now, end(hingeids.Print(100+i), fmt.Sprint("bad-", i), time.Second))
		now = now.Add(200 * time.Millisecond)
	}
	for i := range 3 {
		b.Tell(now, end(7, fmt.Sprint("long-", i), 3*time.Second))
		b.Tell(now, end(8, fmt.Sprint("short-", i), 20*time.Millisecond))
	}
	now = now.Add(time.Second)
	many := func() int { return 300 }
	if j := b.Judge(now, 7, Listed{}, many); j.Refused {
		t.Errorf("a long stream: %+v", j)
	}
	if j := b.Judge(now, 8, Listed{}, many); !j.Refused {
		t.Errorf("a request that ends servers at once: %+v", j)
	}
}

// A lookup was there when three replicas ended, and is answered by a fourth.
func TestWholeAnswerClears(t *testing.T) {
	b := NewBook()
	now := cause(b, begin, 7, 2)
	b.Pass(now, Pass{
		Print: 7,
	})
	now = cause(b, now.Add(time.Second), 9, 1, 7)
	// A host tells an end from before the answer only now.
	b.Tell(now, End{
		Print:   7,
		Server:  "engine-late",
		Service: "model",
		Ago:     10 * time.Second,
	})
	b.Tell(now, end(7, "engine-new", 100*time.Millisecond))
	if j := b.Judge(now, 7, Listed{}, servers); j.Refused {
		t.Errorf("%+v after two ends since it was answered", j)
	}
}

// A zone of thousands of engines loses power. What it had there must not push out the one request that the operators look for.
func TestBookKeepsThoseWithMostEnds(t *testing.T) {
	b := NewBook()
	now := cause(b, begin, 7, 3)
	for i := range 2 * mostSuspects {
		b.Tell(now, end(hingeids.Print(1000+i), fmt.Sprint("dark-", i/20), time.Second))
	}
	if b.Len() > mostSuspects {
		t.Errorf("%d requests are kept", b.Len())
	}
	if n := len(b.suspects[7].ends); n != 3 {
		t.Errorf("%d ends are kept of the cause", n)
	}
	b.Step(now.Add(2 * suspectTime))
	if b.Len() != 0 || len(b.beside) != 0 || len(b.recent["model"]) != 0 {
		t.Errorf("%d requests, %d servers and %d ends are kept for ever", b.Len(), len(b.beside), len(b.recent["model"]))
	}
}

// The placer has changed. The next one hears from each host what that has seen, and not again with every report.
func TestLedgerTellsEachPlacerOnce(t *testing.T) {
	var l Ledger
	l.End(begin, end(7, "engine-1", time.Second))
	l.Pass(begin, 9)
	told := func(to hingeids.HostID) (int, int) {
		ends, passes := l.Untold(begin.Add(time.Second), to)
		l.Told(to, len(ends), len(passes))
		return len(ends), len(passes)
	}
	var got [][2]int
	for _, to := range []hingeids.HostID{"control-1", "control-1", "control-2", "control-2", "control-1"} {
		ends, passes := told(to)
		got = append(got, [2]int{ends, passes})
	}
	if diff := cmp.Diff([][2]int{{1, 1}, {0, 0}, {1, 1}, {0, 0}, {1, 1}}, got); diff != "" {
		t.Error(diff)
	}
	l.End(begin, end(7, "engine-2", time.Second))
	if ends, _ := l.Untold(begin.Add(time.Second), "control-1"); len(ends) != 1 || ends[0].Ago != time.Second {
		t.Errorf("%+v", ends)
	}
	for i := range 3 * mostKept {
		l.End(begin, end(hingeids.Print(i+1), "engine-3", time.Second))
	}
	if ends, _ := l.Untold(begin, "control-3"); len(ends) != mostKept {
		t.Errorf("%d are kept", len(ends))
	}
	if ends, passes := l.Untold(begin.Add(2*suspectTime), "control-4"); len(ends)+len(passes) != 0 {
		t.Errorf("%d and %d are kept for ever", len(ends), len(passes))
	}
}

// What ended servers was mended, or a request was refused that ended nothing. Each must come back without an operator, at the
// risk of one server, and less and less often if it was in vain.
func TestRequestIsTriedAgainAfterAWhile(t *testing.T) {
	today := time.Unix(1_700_000_000, 0)
	b := NewBook()
	now := cause(b, begin, 7, 3)
	certain := b.Found(now, today, 7)
	both := NewBook()
	now = cause(both, begin, 7, 3, 8)
	doubtful := both.Found(now, today, 7)
	var waits []time.Duration
	for _, r := range []Record{doubtful, doubtful.again(today, "engine-4"), certain, certain.again(today, "engine-4")} {
		waits = append(waits, r.Wait(today))
	}
	if diff := cmp.Diff([]time.Duration{doubtfulWait, 2 * shortestWait, shortestWait, 2 * shortestWait}, waits); diff != "" {
		t.Error(diff)
	}
	due := Listed{
		Record: certain,
		There:  true,
	}
	if j := b.Judge(now, 7, due, servers); !j.Tried || j.Refused {
		t.Errorf("when it is due: %+v", j)
	}
	if j := b.Judge(now.Add(time.Second), 7, due, servers); j.Tried || !j.Refused {
		t.Errorf("beside a trial: %+v", j)
	}
	if r, inVain := b.InVain(now.Add(time.Second), today, end(7, "engine-5", 0), due); !inVain || r.Trials != 1 {
		t.Errorf("an end under the trial isn't known as one: %+v", r)
	}
	late := end(7, "engine-5", 0)
	late.Ago = time.Minute
	if _, inVain := b.InVain(now.Add(time.Second), today, late, due); inVain {
		t.Error("an end from before the trial is taken for its own")
	}
	// A time of day that was set back by a year must not make it wait for a year.
	if w := certain.Wait(today.AddDate(-1, 0, 0)); w > shortestWait {
		t.Errorf("it waits for %v", w)
	}
}

// Hundreds of different requests end servers, over weeks.
func TestListIsBounded(t *testing.T) {
	l := &List{}
	for i := range 2 * mostListed {
		l = l.With(Record{
			Print: hingeids.Print(1 + i*7919%4096),
			Since: int64(i),
		})
	}
	if len(l.Records) != mostListed || l.Revision != 2*mostListed {
		t.Errorf("%d records, revision %d", len(l.Records), l.Revision)
	}
	for _, r := range l.Records {
		if got, found := l.Find(r.Print); !found || got.Print != r.Print || r.Since < mostListed {
			t.Errorf("record %+v", r)
		}
	}
}

func BenchmarkJudge(b *testing.B) {
	k := NewBook()
	now := cause(k, begin, 7, 3, 8, 9, 10)
	for i := range mostSuspects / 2 {
		k.Tell(now, end(hingeids.Print(1000+i), fmt.Sprint("dark-", i/20), time.Second))
	}
	b.Run("unknown", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			k.Judge(now, 6, Listed{}, servers)
		}
	})
	b.Run("refused", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			k.Judge(now, 7, Listed{}, servers)
		}
	})
	b.Run("listed", func(b *testing.B) {
		l := &List{}
		for i := range mostListed {
			l = l.With(Record{
				Print: hingeids.Print(i * 7),
			})
		}
		b.ReportAllocs()
		for b.Loop() {
			l.At(now, 6)
		}
	})
}
