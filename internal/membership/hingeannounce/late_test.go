package hingeannounce

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// lateSim plays control hosts that exchange records, and a server whose reports arrive late, again and at other hosts.
type lateSim struct {
	random *rand.Rand
	now    time.Time
	hosts  []*Directory
	// sent is the revision up to which a host has the records of another.
	sent map[[2]int]uint64
	// reports are on their way to a host.
	reports []lateReport
}

type lateReport struct {
	at   time.Time
	to   int
	body Announcement
}

const (
	lateHeartbeat = 1200 * time.Millisecond
	// ackTimeout is the time after which a server reports to the next host.
	ackTimeout = time.Second
)

func newLateSim(seed uint64, hosts int) *lateSim {
	s := &lateSim{
		random: rand.New(rand.NewPCG(seed, 2)),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		sent:   make(map[[2]int]uint64),
	}
	for i := range hosts {
		d := NewDirectory(hingeids.HostID(fmt.Sprint("control-", i)))
		d.SetHeartbeatInterval(lateHeartbeat)
		s.hosts = append(s.hosts, d)
	}
	return s
}

// step delivers the reports that are due and exchanges records between hosts.
func (s *lateSim) step(by time.Duration) {
	s.now = s.now.Add(by)
	rest := s.reports[:0]
	for _, r := range s.reports {
		if r.at.After(s.now) {
			rest = append(rest, r)
			continue
		}
		s.hosts[r.to].Receive(s.now, r.body)
	}
	s.reports = rest
	for i, d := range s.hosts {
		d.Step(s.now)
		for j, other := range s.hosts {
			if i == j || s.random.IntN(3) == 0 {
				// Not every exchange takes place at once.
				continue
			}
			changes, upTo := d.SinceAtMost(s.sent[[2]int{i, j}], 1000)
			s.sent[[2]int{i, j}] = upTo
			for _, c := range changes {
				if c.Local || !other.Holds(c.Digest) {
					other.Merge(s.now, c.Record)
				}
			}
		}
	}
}

// Guards against a server whose reports are all acknowledged again but that most hosts go on taking for silent, because some of its reports
// came late at a host that then missed the further ones.
func TestServerThatReportsIsUsableEverywhereAfterLateReports(t *testing.T) {
	for _, hosts := range []int{2, 3, 5, 25} {
		t.Run(fmt.Sprint(hosts, " control hosts"), func(t *testing.T) {
			broken := 0
			// An exchange of records costs with the square of the hosts.
			draws := uint64(300 * 5 / max(hosts, 5))
			for seed := range draws {
				if !reportsLate(seed, hosts) {
					broken++
				}
			}
			if broken > 0 {
				t.Errorf("in %d of %d draws some host doesn't use a server that reports to another", broken, draws)
			}
		})
	}
}

// reportsLate draws a time in which reports are late, and reports whether all hosts use the server two heartbeats after it.
func reportsLate(seed uint64, hosts int) bool {
	s := newLateSim(seed, hosts)
	target := s.random.IntN(hosts)
	first := 3 + s.random.IntN(4)
	late := 1 + s.random.IntN(2*hosts)
	delay := time.Duration(1+s.random.IntN(4)) * 700 * time.Millisecond
	nextReport := s.now
	for sequence := uint64(1); sequence < uint64(first+late+8); {
		s.step(20 * time.Millisecond)
		if s.now.Before(nextReport) {
			continue
		}
		arrives := s.now.Add(time.Duration(s.random.IntN(10)) * time.Millisecond)
		acknowledged := true
		if n := int(sequence); n > first && n <= first+late {
			arrives = arrives.Add(delay)
			acknowledged = delay < ackTimeout
		}
		s.reports = append(s.reports, lateReport{
			at: arrives,
			to: target,
			body: Announcement{
				Server:      "app-1",
				Incarnation: 1,
				Sequence:    sequence,
				Kind:        Service,
				Address:     "10.0.0.1:80",
				Service:     "app",
				Slots:       6,
			},
		})
		nextReport = s.now.Add(lateHeartbeat)
		if !acknowledged {
			target = (target + 1) % hosts
			nextReport = s.now.Add(ackTimeout)
		}
		sequence++
	}
	for _, d := range s.hosts {
		if e := d.records["app-1"]; e == nil || !e.record.Usable() {
			return false
		}
	}
	return true
}

// Guards against a leaving that is taken for known to another host, and acknowledged, because that host has sent a newer record without it.
func TestLeavingThatASenderLacksIsThisHostsOwn(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	report := Announcement{
		Server:      "app-1",
		Incarnation: 1,
		Sequence:    1,
		Kind:        Service,
		Address:     "10.0.0.1:80",
		Service:     "app",
	}
	for _, leaving := range []bool{false, true} {
		d := NewDirectory("control-1")
		d.Receive(now, report)
		d.MarkLeaving(now, "app-1", 1)
		other := report
		other.Sequence = 2
		other.Leaving = leaving
		d.Merge(now, Record{
			Announcement: other,
			Owner:        "control-2",
		})
		if _, local := d.LocalLeaving("app-1"); local == leaving {
			t.Errorf("the sender knows the leaving: %v; this host takes it for its own: %v", leaving, local)
		}
	}
}
