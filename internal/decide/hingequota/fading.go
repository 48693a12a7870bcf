package hingequota

import (
	"math"
	"time"
)

// fadeTime is the time in which what was counted fades by two thirds: some requests of a customer that asks as much as it may.
const fadeTime = time.Second

// fading is a sum in which older parts count less.
type fading struct {
	sum float64
	at  time.Time
}

func (f *fading) add(now time.Time, n float64) {
	f.sum = f.value(now) + n
	f.at = now
}

func (f *fading) value(now time.Time) float64 {
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/fadeTime.Seconds())
}
