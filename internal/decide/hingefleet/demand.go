package hingefleet

import (
	"math"
	"time"
)

// Demand is what comes for each role, in engines.
type Demand struct {
	Prefill float64
	Decode  float64
	// Reads says that engines that decode can work prompts of the usual size without making their
	// streams late.
	Reads bool
}

// demandTime is the time over which demand is averaged: longer than a stream's life of some
// seconds, so that single streams don't move it, and shorter than a change of role takes.
const demandTime = 5 * time.Second

// usualFill is the share of an engine's memory that streams have in use when no more are given to it: in bursts
// engines stand at 0.8 to 0.9 of it.
const usualFill = 0.85

// believedAfter is how many wants it takes for demand to be believed: the mean of fifteen whose sizes are spread by
// half is right within an eighth. A role takes seconds to change, and the sooner that begins, the less of the
// first burst it misses.
const believedAfter = 15

// demand averages what is asked for, whatever becomes of it: at saturation
// only that tells which role is short.
type demand struct {
	// prompts is prompt tokens; held is what decode memory they take, in tokens times the tokens made
	// meanwhile, so that a pace that is learned later counts for all of it. Both fade.
	prompts float64
	held    float64
	wants   int
	at      time.Time
	// since is when the first want came.
	since time.Time
}

func (d *demand) add(now time.Time, w Want) {
	d.fade(now)
	if d.since.IsZero() {
		d.since = now
	}
	d.wants++
	d.prompts += float64(w.Prompt)
	d.held += (float64(w.Prompt) + float64(w.Expected)/2) * float64(w.Expected)
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
	for _, e := range f.decoders {
		memory = max(memory, float64(e.Memory))
	}
	if f.demand.wants < believedAfter || memory == 0 || span <= 0 {
		return Demand{}
	}
	// An average that fades holds what came within its time, less of it while it is young.
	full := demandTime.Seconds() * (1 - fading(span, demandTime))
	if now.Sub(f.demand.since) > 3*demandTime {
		full = demandTime.Seconds()
	}
	return Demand{
		Prefill: f.demand.prompts / full / f.paces.reads(),
		Decode:  f.demand.held / f.paces.made() / full / (memory * usualFill),
		Reads:   f.readsBeside(),
	}
}

// readsBeside reports whether the pause that a prompt of the usual size makes in an engine's streams is short
// enough for them to stay on time.
func (f *Fleet) readsBeside() bool {
	if f.paces.gap == 0 {
		return true
	}
	// The engines of a service are alike, so that the first speaks for all.
	return len(f.decoders) > 0 && f.pause(f.decoders[0], f.paces.usualReading()) < f.paces.gap
}
