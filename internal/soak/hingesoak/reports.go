package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

// late is a fault in which the next reports of all servers arrive late, each at the control host that it was sent to, or
// are sent in time and arrive once more, late, at another one.
const late kind = "late"

const (
	// reportInterval is how often a server reports, and reportTimeout how long it waits for an acknowledgement before it
	// reports to the next control host.
	reportInterval = time.Second
	reportTimeout  = time.Second
	// silenceBound is the longest silence after which a control host says that a server is gone.
	silenceBound = 11 * time.Second
)

// planReports generates the times at which reports are late (rule 11). They have a random source of their own.
func planReports(random *rand.Rand, o Options) []fault {
	var out []fault
	at := time.Second
	for at < o.Duration {
		f := fault{
			at:       at,
			kind:     late,
			reports:  1 + random.IntN(2*max(o.Controls, 1)),
			again:    random.IntN(4) == 0,
			duration: time.Duration(1200+random.IntN(4000)) * time.Millisecond,
		}
		out = append(out, f)
		at += time.Duration(f.reports)*reportTimeout + time.Duration(2000+random.IntN(12000))*time.Millisecond
	}
	return out
}

func (f fault) lateString() string {
	if f.again {
		return fmt.Sprintf("%d reports of each server arrive a second time, %v later at another control host", f.reports, f.duration)
	}
	return fmt.Sprintf("%d reports of each server arrive %v late", f.reports, f.duration)
}

// lateReports are the reports of one server that are still to be late.
type lateReports struct {
	left  int
	again bool
	delay time.Duration
}

// reportState is shared by a server and the plan.
type reportState struct {
	late atomic.Pointer[lateReports]
	// lastLate is when the last late report arrives, in Unix nanoseconds.
	lastLate atomic.Int64
	// ackedAt is when the first report was acknowledged, in Unix nanoseconds; zero means that none was.
	ackedAt atomic.Int64
}

func (r *reportState) recordAck(now time.Time) {
	r.ackedAt.CompareAndSwap(0, now.UnixNano())
}

func (r *reportState) begin(f fault) {
	r.late.Store(&lateReports{
		left:  f.reports,
		again: f.again,
		delay: f.duration,
	})
}

// next returns what happens to the next report.
func (r *reportState) next() lateReports {
	x := r.late.Load()
	if x == nil || x.left == 0 {
		return lateReports{}
	}
	r.late.Store(&lateReports{
		left:  x.left - 1,
		again: x.again,
		delay: x.delay,
	})
	return *x
}

// sendLate sends a report to a control host after a delay. Nobody waits for its acknowledgement.
func (x *server) sendLate(ctx context.Context, p *process, c hingeplatform.Call, delay time.Duration) {
	at := time.Now().Add(delay)
	x.reports.lastLate.Store(max(x.reports.lastLate.Load(), at.UnixNano()))
	go func() {
		if sleepUntil(ctx, at) {
			// The control host may be down.
			_, _, _ = call(ctx, p.settings.ControlAddress, c)
		}
	}()
}

// awaitSilence waits until a control host that got a late report and no further one has said that the server is gone.
func (s *soak) awaitSilence(ctx context.Context) {
	var last int64
	for _, x := range s.servers {
		last = max(last, x.reports.lastLate.Load())
	}
	sleepUntil(ctx, time.Unix(0, last).Add(silenceBound+2*reportInterval))
}
