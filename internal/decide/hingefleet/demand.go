package hingefleet

import (
	"math"
	"time"
)

// Demand is what comes for each role, in engines.
type Demand struct {
	Prefill float64
	Decode  float64
}

// demandTime is the time over which demand is averaged: longer than a stream's life of some
// seconds, so that single streams don't move it, and shorter than a change of role takes.
const demandTime = 5 * time.Second

// believedAfter is how long after the first want demand is believed: some fifteen streams of
// today's demand. A role takes six seconds to change, and the sooner that begins, the less of the first burst it misses.
const believedAfter = 1500 * time.Millisecond

// demand averages what is asked for, whatever becomes of it: at saturation
// only that tells which role is short.
type demand struct {
	// prompts is prompt tokens, held is token-seconds of decode memory; both fade.
	prompts float64
	held    float64
	at      time.Time
	// since is when the first want came.
	since time.Time
}

func (d *demand) add(now time.Time, w Want, tokensPerSecond float64) {
	d.fade(now)
	if d.since.IsZero() {
		d.since = now
	}
	life := float64(w.Expected) / tokensPerSecond
	d.prompts += float64(w.Prompt)
	d.held += (float64(w.Prompt) + float64(w.Expected)/2) * life
}

func (d *demand) fade(now time.Time) {
	if passed := now.Sub(d.at); passed > 0 {
		keep := fading(passed, demandTime)
		d.prompts *= keep
		d.held *= keep
		d.at = now
	}
}

// fading is what is left of an average that fades over a span, after some time.
func fading(passed, span time.Duration) float64 {
	return math.Exp(-passed.Seconds() / span.Seconds())
}

// Demand gives what has come lately. It is zero until enough has come to tell.
func (f *Fleet) Demand(now time.Time) Demand {
	f.demand.fade(now)
	span := min(now.Sub(f.demand.since), demandTime)
	memory := 0.0
	for _, e := range f.engines {
		if e.Role == Decode {
			memory = max(memory, float64(e.Memory))
		}
	}
	if f.demand.since.IsZero() || now.Sub(f.demand.since) < believedAfter || memory == 0 {
		return Demand{}
	}
	// An average that fades holds what came within its time, less of it while it is young.
	full := demandTime.Seconds() * (1 - fading(span, demandTime))
	if now.Sub(f.demand.since) > 3*demandTime {
		full = demandTime.Seconds()
	}
	return Demand{
		Prefill: f.demand.prompts / full / prefillPace,
		Decode:  f.demand.held / full / (memory * memoryShare),
	}
}

// pace is the mean pace of the decode engines.
func (f *Fleet) pace() float64 {
	sum, n := 0.0, 0
	for _, e := range f.engines {
		if e.Role == Decode {
			sum += e.tokensPerSecond
			n++
		}
	}
	if n == 0 {
		return startPace
	}
	return sum / float64(n)
}
