package hingequeue

import (
	"math"
	"time"
)

// averagingTime is the time constant of the arrival rate: a few times the callers' maximum wait,
// but shorter than bursts that last for seconds.
const averagingTime = 500 * time.Millisecond

type arrivalRate struct {
	// average is the rate per second at updatedAt.
	average   float64
	updatedAt time.Time
}

func (a *arrivalRate) add(now time.Time) {
	a.average = a.perSecond(now) + 1/averagingTime.Seconds()
	a.updatedAt = now
}

func (a *arrivalRate) perSecond(now time.Time) float64 {
	if a.updatedAt.IsZero() {
		return 0
	}
	return a.average * math.Exp(-now.Sub(a.updatedAt).Seconds()/averagingTime.Seconds())
}
