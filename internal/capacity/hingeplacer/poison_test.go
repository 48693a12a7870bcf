package hingeplacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// listing is engines with a list of requests that are refused, and the agreement on it.
type listing struct {
	engines
	list  *hingepoison.List
	today time.Time
	// works says that there is a leader to agree with.
	works  bool
	agreed []hingepoison.Record
}

func (l *listing) Poison(p hingeids.Fingerprint) hingepoison.Listed {
	return l.list.At(l.today, p)
}

func (l *listing) Agree(r hingepoison.Record) {
	l.agreed = append(l.agreed, r)
	if l.works {
		l.list = l.list.With(r)
	}
}

// poisoned is a placer whose loop is the test.
func poisoned() (*Placer, *listing) {
	l := &listing{
		list:  &hingepoison.List{},
		today: time.Now(),
	}
	p := New(l, l, func() bool {
		return true
	}, time.Now, hingequota.DefaultTerms)
	p.today = func() time.Time {
		return l.today
	}
	return p, l
}

func ended(server string, p hingeids.Fingerprint) hingepoison.Crash {
	return hingepoison.Crash{
		Fingerprint: p,
		Server:      hingeids.ServerID(server),
		Service:     "model",
		Held:        100 * time.Millisecond,
	}
}

// tells has owners report that so many engines ended under a request, a second apart.
func tells(p *Placer, now time.Time, print hingeids.Fingerprint, n int) time.Time {
	for i := range n {
		p.take(now, hingeids.HostID(fmt.Sprint("entry-", i)), report{
			Sequence: uint64(i + 1),
			Ends:     []hingepoison.Crash{ended(fmt.Sprint("engine-", i), print)},
		})
		now = now.Add(time.Second)
	}
	return now
}

// A control host dies between the end of a third engine and the next attempt of the request that ended it. Unless it was
// agreed on before, three more engines end.
func TestFoundRequestIsAgreedOnBeforeItComesAgain(t *testing.T) {
	p, l := poisoned()
	l.works = true
	now := tells(p, time.Now(), 7, 3)
	p.stepQuotas(now)
	if len(l.agreed) != 1 || l.agreed[0].Fingerprint != 7 || l.agreed[0].Crashes != 3 {
		t.Fatalf("agreed on %+v", l.agreed)
	}
	p.stepQuotas(now.Add(time.Second))
	if j := p.judge(now.Add(time.Second), "model", 7, nil); !j.Refused || len(l.agreed) != 1 {
		t.Errorf("%+v, agreed on %d times", j, len(l.agreed))
	}
}

// There is no leader while a request is found. It is refused at once all the same, and agreed on when there is one.
func TestFoundRequestIsRefusedWithoutAnAgreement(t *testing.T) {
	p, l := poisoned()
	now := tells(p, time.Now(), 7, 3)
	for range 5 {
		if j := p.judge(now, "model", 7, nil); !j.Refused {
			t.Fatalf("%+v", j)
		}
		now = now.Add(agreeEvery / 2)
	}
	if n := len(l.agreed); n != 3 {
		t.Errorf("%d tries to agree in two and a half seconds", n)
	}
	// It doesn't come again before there is a leader.
	l.works = true
	now = now.Add(agreeEvery)
	p.stepQuotas(now)
	if len(l.list.Refused()) != 1 {
		t.Error("it isn't agreed on once there is a leader")
	}
}

// An engine ends with two requests. The host of the one that was there by chance is the first to tell, and asks for another engine
// at once.
func TestNothingIsRefusedBeforeOthersHaveTold(t *testing.T) {
	p, _ := poisoned()
	now := time.Now()
	p.tell(now, ended("engine-other", 7))
	now = now.Add(30 * time.Second)
	for i := range 3 {
		id := fmt.Sprint("engine-", i)
		p.tell(now, ended(id, 8))
		if i < 2 {
			p.tell(now, ended(id, 7))
		}
		now = now.Add(time.Second)
	}
	now = now.Add(-time.Second)
	if j := p.judge(now.Add(5*time.Millisecond), "model", 8, nil); !j.Settling {
		t.Errorf("it is decided at once: %+v", j)
	}
	p.tell(now.Add(20*time.Millisecond), ended("engine-2", 7))
	now = now.Add(2 * hingepoison.SettleTime)
	if j := p.judge(now, "model", 8, nil); j.Refused {
		t.Errorf("the one that was there by chance: %+v", j)
	}
	if j := p.judge(now, "model", 7, nil); !j.Refused {
		t.Errorf("the cause: %+v", j)
	}
}

// What ended engines was mended an hour ago. One attempt shows it, and nobody has to take the request off the list by hand; where
// it wasn't mended, the next attempt waits longer.
func TestListedRequestIsTriedWhenItIsDue(t *testing.T) {
	for _, mended := range []bool{true, false} {
		p, l := poisoned()
		l.works = true
		now := tells(p, time.Now(), 7, 3)
		p.stepQuotas(now)
		if j := p.judge(now, "model", 7, nil); !j.Refused {
			t.Fatalf("%+v", j)
		}
		l.today = l.today.Add(3 * time.Hour)
		now = now.Add(3 * time.Hour)
		p.stepQuotas(now)
		if j := p.judge(now, "model", 7, nil); j.Refused || !j.Suspect {
			t.Fatalf("when it is due: %+v", j)
		}
		if j := p.judge(now.Add(time.Millisecond), "model", 7, nil); !j.Refused {
			t.Errorf("a second attempt beside the trial: %+v", j)
		}
		now = now.Add(time.Second)
		l.today = l.today.Add(time.Second)
		if mended {
			p.take(now, "entry-1", report{
				Sequence: 9,
				Passes: []hingepoison.Completion{
					{
						Fingerprint: 7,
					},
				},
			})
			if refused := l.list.Refused(); len(refused) != 0 {
				t.Errorf("still refused: %+v", refused)
			}
			if j := p.judge(now, "model", 7, nil); j.Refused {
				t.Errorf("after a whole answer: %+v", j)
			}
			continue
		}
		p.tell(now, ended("engine-9", 7))
		if r := l.Poison(7).Record; r.FailedProbes != 1 || r.Crashes != 4 {
			t.Errorf("after a trial in vain: %+v", r)
		}
		if j := p.judge(now, "model", 7, nil); !j.Refused || j.RetryAfter < 2*time.Hour {
			t.Errorf("after a trial in vain: %+v", j)
		}
	}
}

// The leader changes after two engines have ended. Each entry host has seen one of the ends; the next placer hears of both with their
// next reports, and needs one engine more, not three.
func TestNextPlacerHearsOfEndsFromAllHosts(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		for i := range 2 {
			b.place(t, i, fmt.Sprint("stream-", i))
			b.owners[i].Ended(ended(fmt.Sprint("engine-", i), 7))
		}
		time.Sleep(100 * time.Millisecond)
		b.leads["control-1"].Store(false)
		b.leads["control-2"].Store(true)
		for i := range 2 {
			b.known[i].placers.Store(&[]hingeids.HostID{"control-2"})
		}
		time.Sleep(time.Second)
		w := want("again")
		w.Print = 7
		if a := b.owners[0].Place(t.Context(), w); a.Refused || !a.Suspect {
			t.Fatalf("%+v", a)
		}
		w.ID = "and-again"
		w.Ends = []hingepoison.Crash{ended("engine-2", 7)}
		if a := b.owners[1].Place(t.Context(), w); !a.Refused || a.Cause != Poison || a.RetryAfter <= 0 {
			t.Errorf("%+v", a)
		}
		c := quayQuery(1)
		c.Print = 7
		if a := b.owners[1].PlaceCall(t.Context(), c); !a.Refused || a.Cause != Poison {
			t.Errorf("a call gets %+v", a)
		}
	})
}

// A host that reaches nobody who places counts by itself, and what it has seen isn't lost when it reaches somebody again.
func TestHostAloneStopsARequestThatEndsEngines(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		b.known[0].placers.Store(&[]hingeids.HostID{})
		for i := range 3 {
			b.owners[0].Ended(ended(fmt.Sprint("engine-", i), 7))
			time.Sleep(time.Second)
		}
		w := want("alone")
		w.Print = 7
		if a := b.owners[0].Place(t.Context(), w); !a.Refused || a.Cause != Poison {
			t.Errorf("alone: %+v", a)
		}
		b.known[0].placers.Store(&[]hingeids.HostID{"control-1"})
		time.Sleep(time.Second)
		b.place(t, 0, "other")
		time.Sleep(time.Second)
		if a := b.owners[1].Place(t.Context(), w); !a.Refused || a.Cause != Poison {
			t.Errorf("another host: %+v", a)
		}
	})
}

// An operator has mended what a request ended, and lifts it. The placer, and whoever is told of the old ends next, would refuse it again
// by them; and an answer from before it was found, told to a new placer, would let it through.
func TestOnlyWhatIsNewerThanTheListCounts(t *testing.T) {
	p, l := poisoned()
	l.works = true
	now := tells(p, time.Now(), 7, 3)
	p.stepQuotas(now)
	p.take(now, "entry-9", report{
		Sequence: 1,
		Passes: []hingepoison.Completion{
			{
				Fingerprint: 7,
				Ago:         time.Minute,
			},
		},
	})
	if j := p.judge(now, "model", 7, nil); !j.Refused || len(l.list.Refused()) != 1 {
		t.Errorf("after an old answer: %+v, the list has %+v", j, l.list.Records)
	}
	l.today = l.today.Add(time.Hour)
	now = now.Add(time.Hour)
	l.Agree(hingepoison.Lift(l.today, 7))
	l.today = l.today.Add(time.Second)
	now = now.Add(time.Second)
	if j := p.judge(now, "model", 7, nil); j.Refused {
		t.Errorf("after it was lifted: %+v", j)
	}
	next, nextList := poisoned()
	*nextList = *l
	next.servers = l
	for i := range 3 {
		e := ended(fmt.Sprint("engine-", i), 7)
		e.Ago = time.Minute
		next.tell(now, e)
	}
	if j := next.judge(now, "model", 7, nil); j.Refused {
		t.Errorf("at another placer: %+v", j)
	}
	now = tells(p, now, 7, 3)
	l.today = l.today.Add(3 * time.Second)
	if j := p.judge(now.Add(time.Second), "model", 7, nil); j.Refused {
		t.Errorf("engines of the same names ended under it once: %+v", j)
	}
	for i := range 3 {
		p.tell(now, ended(fmt.Sprint("engine-new-", i), 7))
		now = now.Add(time.Second)
		l.today = l.today.Add(time.Second)
	}
	if j := p.judge(now, "model", 7, nil); !j.Refused {
		t.Errorf("after three new ends: %+v", j)
	}
}
