package hingeplacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// fakePoisonList provides the servers of the tests with a poison list, and applies proposals to the list.
type fakePoisonList struct {
	fixedServers
	list     *hingepoison.List
	wallTime time.Time
	// hasLeader is true if proposals succeed.
	hasLeader bool
	proposed  []hingepoison.Record
}

func (l *fakePoisonList) PoisonEntry(fingerprint hingeids.Fingerprint) hingepoison.Listed {
	return l.list.At(l.wallTime, fingerprint)
}

func (l *fakePoisonList) Propose(r hingepoison.Record) {
	l.proposed = append(l.proposed, r)
	if l.hasLeader {
		l.list = l.list.With(r)
	}
}

// newPoisonPlacer returns a placer without a running loop; the test calls the loop's functions.
func newPoisonPlacer() (*Placer, *fakePoisonList) {
	l := &fakePoisonList{
		list:     &hingepoison.List{},
		wallTime: time.Now(),
	}
	p := New(l, l, func() bool {
		return true
	}, time.Now, hingequota.DefaultParams)
	p.wallTime = func() time.Time {
		return l.wallTime
	}
	return p, l
}

func crash(server string, fingerprint hingeids.Fingerprint) hingepoison.Crash {
	return hingepoison.Crash{
		Fingerprint: fingerprint,
		Server:      hingeids.ServerID(server),
		Service:     "model",
		Held:        100 * time.Millisecond,
	}
}

// reportCrashes reports n engine crashes during a request, each from another owner and a second apart.
func reportCrashes(p *Placer, now time.Time, fingerprint hingeids.Fingerprint, n int) time.Time {
	for i := range n {
		p.handleReport(now, hingeids.HostID(fmt.Sprint("entry-", i)), report{
			Sequence: uint64(i + 1),
			Crashes:  []hingepoison.Crash{crash(fmt.Sprint("engine-", i), fingerprint)},
		})
		now = now.Add(time.Second)
	}
	return now
}

// Guards against losing a detected poison request with its placer: it must be listed before its next attempt, or it
// crashes three more engines.
func TestDetectedRequestIsListedBeforeItsNextAttempt(t *testing.T) {
	p, l := newPoisonPlacer()
	l.hasLeader = true
	now := reportCrashes(p, time.Now(), 7, 3)
	p.stepQuotas(now)
	if len(l.proposed) != 1 || l.proposed[0].Fingerprint != 7 || l.proposed[0].Crashes != 3 {
		t.Fatalf("proposed %+v", l.proposed)
	}
	p.stepQuotas(now.Add(time.Second))
	if d := p.evaluate(now.Add(time.Second), "model", 7, nil); !d.Refused || len(l.proposed) != 1 {
		t.Errorf("next attempt: %+v, proposed %d times", d, len(l.proposed))
	}
}

// Guards against a detected poison request that runs, or is never listed, because there was no leader at its detection.
func TestDetectedRequestIsRefusedWithoutALeader(t *testing.T) {
	p, l := newPoisonPlacer()
	now := reportCrashes(p, time.Now(), 7, 3)
	for range 5 {
		if d := p.evaluate(now, "model", 7, nil); !d.Refused {
			t.Fatalf("without a leader: %+v", d)
		}
		now = now.Add(proposalInterval / 2)
	}
	if n := len(l.proposed); n != 3 {
		t.Errorf("%d proposals in two and a half seconds, want 3", n)
	}
	// The request must be listed without another attempt.
	l.hasLeader = true
	now = now.Add(proposalInterval)
	p.stepQuotas(now)
	if len(l.list.Refused()) != 1 {
		t.Error("it isn't listed once there is a leader")
	}
}

// Guards against refusing a request that only shared the crashed engines with the poison request, because its host
// reported first.
func TestRequestIsRefusedOnlyAfterAllHostsReported(t *testing.T) {
	p, _ := newPoisonPlacer()
	now := time.Now()
	p.recordCrash(now, crash("engine-other", 7))
	now = now.Add(30 * time.Second)
	for i := range 3 {
		id := fmt.Sprint("engine-", i)
		p.recordCrash(now, crash(id, 8))
		if i < 2 {
			p.recordCrash(now, crash(id, 7))
		}
		now = now.Add(time.Second)
	}
	now = now.Add(-time.Second)
	if d := p.evaluate(now.Add(5*time.Millisecond), "model", 8, nil); !d.Settling {
		t.Errorf("evaluated before the other reports: %+v", d)
	}
	p.recordCrash(now.Add(20*time.Millisecond), crash("engine-2", 7))
	now = now.Add(2 * hingepoison.SettleTime)
	if d := p.evaluate(now, "model", 8, nil); d.Refused {
		t.Errorf("the unrelated request: %+v", d)
	}
	if d := p.evaluate(now, "model", 7, nil); !d.Refused {
		t.Errorf("the poison request: %+v", d)
	}
}

// Guards against a listed request that stays refused after its fault was fixed, and against frequent probes while it
// isn't fixed.
func TestListedRequestIsProbed(t *testing.T) {
	for _, fixed := range []bool{true, false} {
		p, l := newPoisonPlacer()
		l.hasLeader = true
		now := reportCrashes(p, time.Now(), 7, 3)
		p.stepQuotas(now)
		if d := p.evaluate(now, "model", 7, nil); !d.Refused {
			t.Fatalf("after three crashes: %+v", d)
		}
		l.wallTime = l.wallTime.Add(3 * time.Hour)
		now = now.Add(3 * time.Hour)
		p.stepQuotas(now)
		if d := p.evaluate(now, "model", 7, nil); d.Refused || !d.Suspect {
			t.Fatalf("at the time of the probe: %+v", d)
		}
		if d := p.evaluate(now.Add(time.Millisecond), "model", 7, nil); !d.Refused {
			t.Errorf("second attempt during the probe: %+v", d)
		}
		now = now.Add(time.Second)
		l.wallTime = l.wallTime.Add(time.Second)
		if fixed {
			p.handleReport(now, "entry-1", report{
				Sequence: 9,
				Completions: []hingepoison.Completion{
					{
						Fingerprint: 7,
					},
				},
			})
			if refused := l.list.Refused(); len(refused) != 0 {
				t.Errorf("still refused: %+v", refused)
			}
			if d := p.evaluate(now, "model", 7, nil); d.Refused {
				t.Errorf("after a complete answer: %+v", d)
			}
			continue
		}
		p.recordCrash(now, crash("engine-9", 7))
		if r := l.PoisonEntry(7).Record; r.FailedProbes != 1 || r.Crashes != 4 {
			t.Errorf("after a failed probe: %+v", r)
		}
		if d := p.evaluate(now, "model", 7, nil); !d.Refused || d.RetryAfter < 2*time.Hour {
			t.Errorf("after a failed probe: %+v", d)
		}
	}
}

// Guards against a change of leader that resets the crash counts: with two crashes reported by two hosts, the third
// crash must suffice.
func TestNextPlacerReceivesCrashesFromAllHosts(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		for i := range 2 {
			cl.place(t, i, fmt.Sprint("stream-", i))
			cl.owners[i].RecordCrash(crash(fmt.Sprint("engine-", i), 7))
		}
		time.Sleep(100 * time.Millisecond)
		cl.leads["control-1"].Store(false)
		cl.leads["control-2"].Store(true)
		for i := range 2 {
			cl.views[i].placers.Store(&[]hingeids.HostID{"control-2"})
		}
		time.Sleep(time.Second)
		r := streamRequest("again")
		r.Fingerprint = 7
		if a := cl.owners[0].Place(t.Context(), r); a.Refused || !a.Suspect {
			t.Fatalf("after two crashes: %+v", a)
		}
		r.ID = "and-again"
		r.Crashes = []hingepoison.Crash{crash("engine-2", 7)}
		if a := cl.owners[1].Place(t.Context(), r); !a.Refused || a.Cause != Poison || a.RetryAfter <= 0 {
			t.Errorf("after the third crash: %+v", a)
		}
		c := callRequest(1)
		c.Fingerprint = 7
		if a := cl.owners[1].PlaceCall(t.Context(), c); !a.Refused || a.Cause != Poison {
			t.Errorf("request to a plain service: %+v", a)
		}
	})
}

// Guards against a host without a placer that runs a poison request, or that doesn't report its crashes to the next
// placer.
func TestLocalPlacementRefusesAPoisonRequest(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.views[0].placers.Store(&[]hingeids.HostID{})
		for i := range 3 {
			cl.owners[0].RecordCrash(crash(fmt.Sprint("engine-", i), 7))
			time.Sleep(time.Second)
		}
		r := streamRequest("alone")
		r.Fingerprint = 7
		if a := cl.owners[0].Place(t.Context(), r); !a.Refused || a.Cause != Poison {
			t.Errorf("local placement: %+v", a)
		}
		cl.views[0].placers.Store(&[]hingeids.HostID{"control-1"})
		time.Sleep(time.Second)
		cl.place(t, 0, "other")
		time.Sleep(time.Second)
		if a := cl.owners[1].Place(t.Context(), r); !a.Refused || a.Cause != Poison {
			t.Errorf("placement by another host: %+v", a)
		}
	})
}

// Guards against old reports that override the list: crashes from before an operator lifted a block, and a complete
// answer from before the request was listed.
func TestReportsOlderThanTheListAreIgnored(t *testing.T) {
	p, l := newPoisonPlacer()
	l.hasLeader = true
	now := reportCrashes(p, time.Now(), 7, 3)
	p.stepQuotas(now)
	p.handleReport(now, "entry-9", report{
		Sequence: 1,
		Completions: []hingepoison.Completion{
			{
				Fingerprint: 7,
				Ago:         time.Minute,
			},
		},
	})
	if d := p.evaluate(now, "model", 7, nil); !d.Refused || len(l.list.Refused()) != 1 {
		t.Errorf("after an old answer: %+v, list %+v", d, l.list.Records)
	}
	l.wallTime = l.wallTime.Add(time.Hour)
	now = now.Add(time.Hour)
	l.Propose(hingepoison.Lift(l.wallTime, 7))
	l.wallTime = l.wallTime.Add(time.Second)
	now = now.Add(time.Second)
	if d := p.evaluate(now, "model", 7, nil); d.Refused {
		t.Errorf("after the block was lifted: %+v", d)
	}
	next, nextList := newPoisonPlacer()
	*nextList = *l
	next.servers = l
	for i := range 3 {
		c := crash(fmt.Sprint("engine-", i), 7)
		c.Ago = time.Minute
		next.recordCrash(now, c)
	}
	if d := next.evaluate(now, "model", 7, nil); d.Refused {
		t.Errorf("at another placer after old crashes: %+v", d)
	}
	now = reportCrashes(p, now, 7, 3)
	l.wallTime = l.wallTime.Add(3 * time.Second)
	if d := p.evaluate(now.Add(time.Second), "model", 7, nil); d.Refused {
		t.Errorf("after crashes of engines that were already counted: %+v", d)
	}
	for i := range 3 {
		p.recordCrash(now, crash(fmt.Sprint("engine-new-", i), 7))
		now = now.Add(time.Second)
		l.wallTime = l.wallTime.Add(time.Second)
	}
	if d := p.evaluate(now, "model", 7, nil); !d.Refused {
		t.Errorf("after three new crashes: %+v", d)
	}
}
