package hingeadmit

import (
	"math"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// drainTimeConstant is the time constant of the measured drain. A shorter one
// lets a single long request distort it; a longer one detects a lost engine
// too late.
const drainTimeConstant = 4 * time.Second

// priorSeconds is the weight of the known slots in the measured drain, as
// seconds of measurement.
const priorSeconds = 1.0

// drainRate measures the drain of the queue: the work dequeued, divided by the
// time for which requests were waiting.
type drainRate struct {
	last            time.Time
	backlogged      bool
	backloggedSince time.Time
	work, time      float64
}

// advance accounts for the time since the last call. backlogged states whether
// requests are waiting now.
func (r *drainRate) advance(now time.Time, backlogged bool) {
	elapsed := now.Sub(r.last)
	if elapsed > 0 && r.backlogged {
		decay := math.Exp(-elapsed.Seconds() / drainTimeConstant.Seconds())
		r.work *= decay
		r.time = r.time*decay + elapsed.Seconds()
	}
	if elapsed > 0 {
		r.last = now
	}
	if backlogged && !r.backlogged {
		r.backloggedSince = now
	}
	r.backlogged = backlogged
}

// add accounts for dequeued work. Work dequeued without a backlog says nothing
// about the rate at which a backlog drains, and is ignored.
func (r *drainRate) add(now time.Time, work time.Duration) {
	if r.backlogged && r.backloggedSince.Before(now) {
		r.work += work.Seconds()
	}
}

// slots returns the drain, in slots, with the known number of slots as the
// prior.
func (r *drainRate) slots(known float64) float64 {
	return (r.work + priorSeconds*known) / (r.time + priorSeconds)
}

// window measures recent work with exponential decay, with or without a
// backlog.
type window struct {
	last time.Time
	work float64
}

func (w *window) add(now time.Time, work time.Duration) {
	w.work = w.recent(now)*drainTimeConstant.Seconds() + work.Seconds()
	w.last = now
}

// recent returns the recent work per time, in slots.
func (w *window) recent(now time.Time) float64 {
	return w.work * math.Exp(-now.Sub(w.last).Seconds()/drainTimeConstant.Seconds()) / drainTimeConstant.Seconds()
}

// Bounds of the retry times. The Retry-After header counts whole seconds, so
// less than one would mean an immediate retry.
const (
	minRetryAfter      = time.Second
	maxRetryAfter      = time.Minute
	noServerRetryAfter = 5 * time.Second
)

// refuse returns a refusal with its retry time. Rule 7. late is by how much the
// request would have missed its target. Retry times differ, or callers refused
// in the same second would return as the same burst.
func (q *Queue) refuse(
	now time.Time, l *level, r Request, c hingeverdict.Code, late time.Duration,
) *hingeverdict.Error {
	earliest := now.Add(max(late, 0))
	if l.nextRetry.Before(earliest) {
		l.nextRetry = earliest
	}
	interval := time.Duration(float64(r.Work) / q.availableDrain(now, l, r.FirstToken))
	l.nextRetry = l.nextRetry.Add(interval)
	retryAfter := l.nextRetry.Sub(now)
	if retryAfter > maxRetryAfter {
		// The schedule is full: spread further retries over its second half.
		l.nextRetry = now.Add(maxRetryAfter)
		retryAfter = maxRetryAfter
		retryAfter -= time.Duration(unitFraction(r.JitterSeed) * float64(maxRetryAfter/2))
	} else {
		// Entry hosts schedule independently. Jitter of up to a quarter keeps their
		// retry times apart.
		retryAfter += time.Duration(unitFraction(r.JitterSeed) * float64(retryAfter/4))
	}
	return refusal(c, max(retryAfter, minRetryAfter+time.Duration(unitFraction(r.JitterSeed)*float64(minRetryAfter))))
}

var reasons = map[hingeverdict.Code]string{
	hingeverdict.CodeQueueFull:        "the queue is full",
	hingeverdict.CodeCallerShare:      "the caller's share of the queue is full",
	hingeverdict.CodeTargetOutOfReach: "the latency target is out of reach",
	hingeverdict.CodeDeadline:         "the deadline is out of reach",
	hingeverdict.CodeNoServer:         "there is no engine",
}

// unitFraction hashes a number to a fraction in [0, 1).
func unitFraction(n uint64) float64 {
	n *= 0x9E3779B97F4A7C15
	return float64(n>>11) / (1 << 53)
}
