package hingeadmit

import "time"

// targetDrain is the recent drain of a level by requests with the same
// first-token target.
type targetDrain struct {
	target   time.Duration
	dequeued window
}

// maxTargets bounds the targets that a level distinguishes. Usually there is
// one for each class; requests with further targets share the last entry.
const maxTargets = 16

// allTargets and noTarget are the extremes of the order of targets. A request
// without a target goes after all that have one.
const (
	allTargets = time.Duration(0)
	noTarget   = time.Duration(1<<63 - 1)
)

func (l *level) targetDrain(target time.Duration) *targetDrain {
	if target == 0 {
		target = noTarget
	}
	for _, d := range l.drains {
		if d.target == target {
			return d
		}
	}
	if len(l.drains) >= maxTargets {
		return l.drains[maxTargets-1]
	}
	d := &targetDrain{
		target: target,
	}
	l.drains = append(l.drains, d)
	return d
}

// recentDrain is the recent drain, in slots, by requests with targets shorter
// than the given one, or by the whole level with allTargets.
func (l *level) recentDrain(now time.Time, target time.Duration) float64 {
	var sum float64
	for _, d := range l.drains {
		if target == allTargets || d.target < target {
			sum += d.dequeued.recent(now)
		}
	}
	return sum
}

// Waiting work is summed in buckets by due time, so that the work due before a
// new request is found without a search. Due times beyond the span of the
// buckets count as due at its end.
const (
	bucketSpan  = 500 * time.Millisecond
	bucketCount = 512
)

func bucket(due time.Time) int64 {
	return due.UnixNano() / int64(bucketSpan)
}

func (l *level) workDueAfter(now, due time.Time) time.Duration {
	last := bucket(now) + bucketCount/2
	var sum time.Duration
	for i := bucket(due) + 1; i <= last; i++ {
		sum += l.byDue[i%bucketCount]
	}
	return sum
}

// addDue adds work to the bucket of an item; negative work is removed from it.
func (l *level) addDue(it *item, work time.Duration) {
	l.byDue[it.bucket%bucketCount] += work
}
