package hingesoak

import (
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

func planOf(seed uint64, o Options) []fault {
	return planLosses(rand.New(rand.NewPCG(seed, 9)), o)
}

// Guards against a seed that can't be played again, and against a plan that never ends with a fault after an accepted
// change, or takes more disks than may be lost.
func TestPlansOfLosses(t *testing.T) {
	seen := make(map[kind]int)
	finalDisks := 0
	for seed := range uint64(200) {
		for _, losses := range []Losses{TolerableLosses, OverlappingLosses} {
			o := Options{
				Controls: 5,
				Entries:  3,
				Duration: 10 * time.Second,
				Losses:   losses,
			}
			faults := planOf(seed, o)
			if !reflect.DeepEqual(faults, planOf(seed, o)) {
				t.Fatalf("seed %d has two plans", seed)
			}
			last := faults[len(faults)-1]
			if last.kind != strike || !last.afterAck || !last.final || last.disks == 0 && last.scope == scopeNone {
				t.Errorf("seed %d ends with %v", seed, last)
			}
			disks := 0
			for i, f := range faults {
				seen[f.kind]++
				disks += f.disks
				if f.kind == wipe || f.kind == replace || f.kind == handOver {
					disks++
				}
				if i > 0 && f.at < faults[i-1].at {
					t.Errorf("seed %d: %v is planned before its predecessor", seed, f)
				}
			}
			finalDisks += last.disks
			if losses == OverlappingLosses && disks > maxLost(o) {
				t.Errorf("seed %d takes %d disks, want at most %d", seed, disks, maxLost(o))
			}
		}
	}
	for _, k := range []kind{wipe, replace, handOver, cut, strike, freeze, kill} {
		if seen[k] < 20 {
			t.Errorf("%s is planned %d times in 400 plans", k, seen[k])
		}
	}
	if finalDisks == 0 {
		t.Error("no plan ends with a lost disk")
	}
}

// Guards against a loss that begins while as many hosts as tolerated are lost, or later than it may.
func TestLossesWaitUntilTheyAreTolerated(t *testing.T) {
	l := lossCount{
		until:  make([]time.Time, 3),
		active: make([]int, 3),
	}
	l.begin(0)
	if l.admits(1, []int{0}, []int{0}) || l.admits(-1, []int{0}, []int{0}) {
		t.Error("a host is hit while a fault is in progress there")
	}
	if l.admits(1, []int{1}, []int{1}) || !l.admits(2, []int{1}, []int{1}) || !l.admits(-1, []int{1}, []int{1}) {
		t.Error("a host that is down doesn't count as one that is lost")
	}
	l.end(time.Now().Add(catchUp), 0)
	if l.admits(1, []int{1}, []int{1}) || !l.admits(1, []int{0}, []int{0}) || !l.admits(-1, []int{0, 1, 2}, nil) {
		t.Error("a host that catches up doesn't count as lost")
	}
	l.until[0] = time.Now()
	if !l.admits(1, []int{1}, []int{1}) || l.admits(1, []int{1, 2}, []int{1, 2}) {
		t.Error("a host that has caught up counts as lost")
	}
}

// Guards against cuts that block nothing, the wrong direction, or more than the two hosts.
func TestRelayCutsOneDirection(t *testing.T) {
	hosts := make([]*process, 3)
	sockets := make([]*net.UDPConn, len(hosts))
	r := newRelay()
	defer r.close()
	for i := range hosts {
		hosts[i] = &process{
			settings: hingeplatform.Settings{
				IP: []string{"127.9.9.1", "127.9.9.2", "127.9.9.3"}[i],
			},
		}
		var err error
		sockets[i], err = net.ListenUDP("udp4", &net.UDPAddr{
			IP: net.ParseIP(hosts[i].settings.IP),
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			_ = sockets[i].Close()
		}()
		hosts[i].settings.LinkPort = sockets[i].LocalAddr().(*net.UDPAddr).Port
		if err := r.add(hosts[i]); err != nil {
			t.Fatal(err)
		}
	}
	reaches := func(from, to int) bool {
		t.Helper()
		if _, err := sockets[from].WriteToUDP([]byte("packet"), &net.UDPAddr{
			IP:   net.ParseIP(hosts[to].settings.IP),
			Port: hosts[from].settings.LinkPort,
		}); err != nil {
			t.Fatal(err)
		}
		_ = sockets[to].SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, _, err := sockets[to].ReadFromUDP(make([]byte, 100))
		return err == nil && n == len("packet")
	}
	check := func(blocked ...path) {
		t.Helper()
		for from := range hosts {
			for to := range hosts {
				want := from != to
				for _, p := range blocked {
					want = want && (p.from != hosts[from].settings.IP || p.to != hosts[to].settings.IP)
				}
				if from != to && reaches(from, to) != want {
					t.Errorf("packets from host %d to host %d arrive: %v, want %v", from, to, !want, want)
				}
			}
		}
	}
	oneWay := []path{
		{
			from: "127.9.9.1",
			to:   "127.9.9.2",
		},
	}
	check()
	r.setCuts(oneWay, true)
	check(oneWay...)
	r.setCuts(oneWay, false)
	check()
}

// Guards against cuts that leave a path to the host, or cut off others.
func TestCutPaths(t *testing.T) {
	x := newFleet(Options{
		Controls: 3,
		Entries:  2,
		Losses:   TolerableLosses,
	})
	for mode, want := range map[cutMode]int{
		cutBoth:  4,
		cutFrom:  2,
		cutTo:    2,
		cutAll:   8,
		cutApart: 6,
	} {
		got := make(map[path]bool)
		self := x.controls[1].settings.IP
		for _, p := range x.cutPaths(fault{
			index: 1,
			loss: loss{
				cut: mode,
			},
		}) {
			got[p] = true
			if mode != cutApart && p.from != self && p.to != self || mode == cutFrom && p.from != self || mode == cutTo && p.to != self {
				t.Errorf("cut %s: %v", mode, p)
			}
		}
		if len(got) != want {
			t.Errorf("cut %s blocks %d paths, want %d: %v", mode, len(got), want, got)
		}
	}
}

// Guards against an empty host whose seeds are all gone or itself, which the platform's list never is, and against seeds
// that are never gone ones.
func TestSeedsOfRestartedHosts(t *testing.T) {
	x := newFleet(Options{
		Controls: 3,
		Entries:  1,
		Losses:   TolerableLosses,
	})
	old := x.controls
	names := func(hosts ...*process) []hingeids.HostID {
		var out []hingeids.HostID
		for _, p := range hosts {
			out = append(out, hingeids.HostID(p.settings.IP))
		}
		return out
	}
	empty, full := old[2], old[1]
	empty.emptyAt = time.Now()
	check := func(choice seedChoice, p *process, want []hingeids.HostID) {
		t.Helper()
		if got := x.seeds(choice, p); !slices.Equal(got, want) {
			t.Errorf("seeds %s of %s are %v, want %v", choice, p.name, got, want)
		}
	}
	check(seedsGone, full, names(old...))
	replacements := []*process{x.newProcess(true, 4, ""), x.newProcess(true, 5, "")}
	x.controls, x.gone = []*process{replacements[0], old[1], old[2]}, []*process{old[0]}
	check(seedsGone, full, names(old[0]))
	check(seedsGone, empty, names(old...))
	check(seedsNew, empty, names(replacements[0], old[1], old[2]))
	x.controls, x.gone = []*process{replacements[0], replacements[1], old[2]}, old[:2]
	check(seedsGone, empty, names(replacements[0], replacements[1], old[2]))
	check(seedsGone, x.entries[0], names(old...))
}
