package hingequota

import (
	"math"
	"time"
)

// decayTime is the time constant of decayingSum: a customer at its quota sends several requests in it.
const decayTime = time.Second

type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) add(now time.Time, n float64) {
	d.sum = d.value(now) + n
	d.at = now
}

func (d *decayingSum) value(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/decayTime.Seconds())
}
