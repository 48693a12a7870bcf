package hingecontrol

import (
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

var errNoLeader = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, time.Second, &hingegroup.Unavailable{
	Group:  "config",
	Reason: hingegroup.NoLeader,
})

// An outage of over a second must be recorded at its start, every few seconds and at its end with its length, and no
// more often: a line for each check would fill the log.
func TestOutageIsRecordedAtStartAndEnd(t *testing.T) {
	type recorded struct {
		at     time.Duration
		number hingeevents.Number
		took   time.Duration
	}
	for name, c := range map[string]struct {
		lasts time.Duration
		want  []recorded
	}{
		"change of the leader": {
			lasts: 900 * time.Millisecond,
		},
		"short": {
			lasts: 1500 * time.Millisecond,
			want: []recorded{
				{
					at:     time.Second,
					number: hingeevents.ConfigUnreadable,
					took:   time.Second,
				},
				{
					at:     1500 * time.Millisecond,
					number: hingeevents.ConfigReadable,
					took:   1500 * time.Millisecond,
				},
			},
		},
		"long": {
			lasts: 7 * time.Second,
			want: []recorded{
				{
					at:     time.Second,
					number: hingeevents.ConfigUnreadable,
					took:   time.Second,
				},
				{
					at:     6 * time.Second,
					number: hingeevents.ConfigUnreadable,
					took:   6 * time.Second,
				},
				{
					at:     7 * time.Second,
					number: hingeevents.ConfigReadable,
					took:   7 * time.Second,
				},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var o outage
			var got []recorded
			for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
				var failure error
				if at < c.lasts {
					failure = errNoLeader
				}
				e, due := o.step(start.Add(at), start.Add(at), failure, hingegroup.Diagnosis{})
				if due {
					got = append(got, recorded{
						at:     at,
						number: e.number,
						took:   e.fields.Elapsed,
					})
				}
			}
			if len(got) != len(c.want) {
				t.Fatalf("recorded %+v, want %+v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("recorded %+v, want %+v", got[i], c.want[i])
				}
			}
		})
	}
}

// The event must name the reason and the members, else nobody can tell afterwards why a read failed.
func TestOutageEventHasReasonAndMembers(t *testing.T) {
	start := time.Unix(1000, 0)
	var o outage
	e, due := o.step(start, start.Add(minOutage), errNoLeader, hingegroup.Diagnosis{
		Voters: []hingegroup.MemberDiagnosis{
			{
				Member: hingelog.Member{
					Host: "core-2",
				},
				State:   hingegroup.Silent,
				Silence: 3 * time.Second,
			},
		},
	})
	if !due {
		t.Fatal("a check that failed for a second isn't recorded")
	}
	for _, want := range []string{"noLeader", "core-2 silent for 3s"} {
		if !strings.Contains(e.fields.Detail, want) {
			t.Errorf("detail %q lacks %q", e.fields.Detail, want)
		}
	}
}

// A host without a suspicion must not read by itself, and one with a suspicion only twice a second.
func TestChecksAreFew(t *testing.T) {
	var p probeSchedule
	start := time.Unix(1000, 0)
	count := func(from, to time.Duration, suspect hingegroup.Reason, failing bool) int {
		n := 0
		for at := from; at < to; at += watchInterval {
			if p.due(start.Add(at), suspect, failing) {
				n++
			}
		}
		return n
	}
	if n := count(0, 10*time.Second, "", false); n != 0 {
		t.Errorf("%d checks without a suspicion", n)
	}
	if n := count(10*time.Second, 20*time.Second, hingegroup.NoLeader, false); n != 20 {
		t.Errorf("%d checks in 10 s without a leader, want 20", n)
	}
	if n := count(20*time.Second, 30*time.Second, "", false); n != 1 {
		t.Errorf("%d checks after the suspicion ended, want 1", n)
	}
	if n := count(30*time.Second, 40*time.Second, "", true); n != 20 {
		t.Errorf("%d checks in 10 s after an operator's failed read, want 20", n)
	}
}

// Failed reads must be counted by reason, and recorded at most once every few seconds at any load.
func TestFailedReadsAreCountedByReason(t *testing.T) {
	var r readCounts
	start := time.Unix(1000, 0)
	lines, recorded := 0, int64(0)
	for i := range 10000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		err := error(errNoLeader)
		if i%2 == 0 {
			err = ErrNoConfiguration
		}
		r.add(now, err)
		if s, due := r.takeSummary(now); due {
			lines++
			recorded += s.count
		}
	}
	r.add(start, eris.New("unexpected"))
	r.add(start, nil)
	if lines != 2 || recorded != 5001 {
		t.Errorf("%d events on %d reads, want 2 on 5001", lines, recorded)
	}
	var b strings.Builder
	r.write(&b)
	want := "swifthinge_config_reads_total 1\n" +
		"swifthinge_config_reads_failed_total{reason=\"noConfiguration\"} 5000\n" +
		"swifthinge_config_reads_failed_total{reason=\"noLeader\"} 5000\n" +
		"swifthinge_config_reads_failed_total{reason=\"other\"} 1\n"
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}
