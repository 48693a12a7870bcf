package hingesoak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// startFault is a fault of control hosts while the system starts for the first time.
type startFault int

const (
	startInPeace startFault = iota
	// killAllAtStart kills all control processes at the same moment.
	killAllAtStart
	killOneAtStart
	stopOneAtStart
	// wipeOneAtStart also takes the disk. It is the first of its series: the hosts of an earlier fault would still count as lost.
	wipeOneAtStart
	startFaults
)

// maxStartDelay is the time within which a fault begins, after the start or the fault before. The first leader is elected half a
// second after the start at the earliest.
const maxStartDelay = 300 * time.Millisecond

// breakFirstStart draws up to two faults in a row. The group must be founded all the same, which the first change shows.
func (s *soak) breakFirstStart() {
	random := rand.New(rand.NewPCG(s.options.Seed, 10))
	for i := range 1 + random.IntN(2) {
		time.Sleep(time.Duration(random.Int64N(int64(maxStartDelay))))
		kind := startFault(random.IntN(int(startFaults)))
		if kind == wipeOneAtStart && i > 0 {
			kind = killAllAtStart
		}
		s.fleet.breakStart(random, kind)
	}
}

func (x *fleet) breakStart(random *rand.Rand, kind startFault) {
	hosts := x.controlHosts()
	if kind != killAllAtStart {
		i := random.IntN(len(hosts))
		hosts = hosts[i : i+1]
	}
	_, _ = fmt.Fprintf(x.options.Out, "first start, fault %d: %d control hosts\n", kind, len(hosts))
	away := 200*time.Millisecond + time.Duration(random.Int64N(int64(800*time.Millisecond)))
	switch kind {
	case startInPeace:
	case stopOneAtStart:
		hosts[0].signal(syscall.SIGSTOP)
		time.Sleep(away)
		hosts[0].signal(syscall.SIGCONT)
	default:
		x.killAndRestart(hosts, away, kind == wipeOneAtStart)
	}
}

func (x *fleet) killAndRestart(hosts []*process, away time.Duration, wipes bool) {
	for _, p := range hosts {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range hosts {
		<-p.exited
	}
	time.Sleep(away)
	for _, p := range hosts {
		if wipes {
			p.emptyAt = time.Now()
			if err := os.RemoveAll(p.settings.DataFolder); err != nil {
				_, _ = fmt.Fprintln(x.options.Out, err)
			}
		}
		x.restart(p)
	}
}
