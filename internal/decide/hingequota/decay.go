package hingequota

import (
	"math"
	"time"
)

// decayTime is the time constant of decayingSum: a customer at its quota sends several requests in it.
const decayTime = time.Second

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (f *decayingSum) add(now time.Time, n float64) {
	f.sum = f.value(now) + n
	f.at = now
}

func (f *decayingSum) value(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/decayTime.Seconds())
}
