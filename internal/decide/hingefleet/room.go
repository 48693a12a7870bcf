package hingefleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// memoryShare is how much of an engine's memory predictions may fill for what can be on
	// time, and lateShare for what is late (rule 3). The rest absorbs hints that were too low. Of
	// the shares 0.75 to 0.98, played with bursts and at saturation, 0.85 earned
	// most: from 0.80 to 0.85 two to three in a hundred more are on time, from 0.85 to 0.92 as many
	// again, but five to seven in a hundred are preempted, each of them dearer than a stream.
	memoryShare = 0.85
	lateShare   = 0.80
	// overrun is what a stream that has outlived its hint is expected to add,
	// as a share of what it has made: lengths are spread evenly on a
	// logarithmic scale, so the longer it was, the longer it goes on. 0.15 and 0.3 earn the same.
	overrun = 0.2
	// farSlower is the share of the best pace under which an engine counts as slow (rule 6).
	farSlower = 0.4
)

// load is a stream as the prediction of an engine's memory sees it.
type load struct {
	// held is what it holds now, left the tokens that it will still make.
	held hingeids.Tokens
	left hingeids.Tokens
}

// loadOf gives a stream's load at a moment. Past its hint it is believed to
// have made no more than was reported: most that reach it end soon.
func (s *stream) loadOf(now time.Time, tokensPerSecond float64) load {
	made := s.made
	if d := now.Sub(s.madeAt); d > 0 {
		made = min(made+hingeids.Tokens(tokensPerSecond*d.Seconds()), max(s.made, s.expected))
	}
	return load{
		held: s.prompt + made,
		left: max(s.expected-made, hingeids.Tokens(overrun*float64(made))),
	}
}

// peak gives the highest memory predicted for streams that run side by side at
// one pace. Memory is highest just before a stream ends, so only those moments
// are looked at.
func peak(list []load) hingeids.Tokens {
	slices.SortFunc(list, func(a, b load) int {
		return cmp.Compare(b.left, a.left)
	})
	highest, held := hingeids.Tokens(0), hingeids.Tokens(0)
	for i, l := range list {
		// Those with more left than this one are still there when it ends.
		held += l.held
		highest = max(highest, held+hingeids.Tokens(i+1)*l.left)
	}
	return highest
}

// acrossZones is how much fuller, as a share of its memory, an engine of the stream's own zone
// may be than one of another (rule 2). A cut breaks the streams across its border, four in nine
// where three zones are alike, and each costs its caller the answer and the engines a
// prefill. Against that stands the evenness that absorbs hints which were too low: at twice the
// load that fits, 535 of 20,397 streams are preempted with 0.2, 385 with 0, and 690 with 0.25
// (simulation). On loaded days with a cut 0.15, 0.2 and 0.3 earned 0.016 to 0.026 of all worth more than 0.
const acrossZones = 0.2

// room is a decode engine as one want sees it.
type room struct {
	engine *engine
	// share is the predicted peak as a share of the engine's memory, rank
	// the same with what speaks against the engine.
	share float64
	rank  float64
	slow  bool
}

// rooms gives the decode engines that a want could go to, the best first (rules 2 and 6).
func (f *Fleet) rooms(now time.Time, w *Want) []room {
	best := 0.0
	for _, e := range f.engines {
		if e.Role == Decode {
			best = max(best, e.tokensPerSecond)
		}
	}
	var out []room
	for _, e := range f.engines {
		if e.Role != Decode || !e.health.usable(now) || slices.Contains(w.Avoid, e.Server) {
			continue
		}
		share, streams := f.predict(now, e, w)
		life := time.Duration(float64(w.Expected) / e.tokensPerSecond * float64(time.Second))
		if streams >= int(e.Slots) || now.Add(life).After(w.Deadline) {
			continue
		}
		r := room{
			engine: e,
			share:  share,
			rank:   share,
			slow:   e.tokensPerSecond < farSlower*best,
		}
		if e.Zone != w.Zone {
			r.rank += acrossZones
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b room) int {
		if a.slow != b.slow {
			if b.slow {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.engine.Server, b.engine.Server))
	})
	return out
}

// predict gives the peak of an engine with one more stream, as a share of its memory, and
// how many streams it has without it.
func (f *Fleet) predict(now time.Time, e *engine, w *Want) (share float64, streams int) {
	list := f.scratch[:0]
	for _, s := range f.streams {
		if s.decode == e.Server {
			list = append(list, s.loadOf(now, e.tokensPerSecond))
		}
	}
	streams = len(list)
	list = append(list, load{
		held: w.Prompt,
		left: w.Expected,
	})
	f.scratch = list
	return float64(peak(list)) / float64(max(e.Memory, 1)), streams
}

// prefillFor gives the engine that will have read the prompt first, one of the zone of
// the decode engine if they are alike: a transfer between zones takes twice as long.
// None is given if all have work for a while: what waits there holds decode
// memory for nothing, and can't be overtaken any more by what is more urgent.
func (f *Fleet) prefillFor(now time.Time, w *Want, zone hingeids.Zone) (*engine, time.Time) {
	var best *engine
	var bestAt time.Time
	for _, e := range f.engines {
		if e.Role != Prefill || !e.health.usable(now) || slices.Contains(w.Avoid, e.Server) {
			continue
		}
		backlog := e.prompts.backlog(now)
		if backlog > mostBacklog {
			continue
		}
		at := now.Add(backlog + e.prompts.reading(now, w.Prompt))
		if e.Zone != zone {
			at = at.Add(otherZone)
		}
		if best == nil || at.Before(bestAt) || at.Equal(bestAt) && e.Server < best.Server {
			best, bestAt = e, at
		}
	}
	return best, bestAt
}

// otherZone is the wait that a transfer within the zone is worth: a tenth of a
// prefill, which costs callers nothing that they would notice.
const otherZone = 10 * time.Millisecond

// mostBacklog is the work that a prefill engine may have ahead: two prompts of the
// mean size or one of the longest, so that it never idles while a decision is on its way.
const mostBacklog = 200 * time.Millisecond

// prefills reports whether an engine that prefills can be used at all, now or once its
// work is done.
func (f *Fleet) prefills(now time.Time, w *Want) bool {
	for _, e := range f.engines {
		if e.Role == Prefill && e.health.usable(now) && !slices.Contains(w.Avoid, e.Server) {
			return true
		}
	}
	return false
}

// ownReading is how many times longer a decode engine reads a prompt than one that prefills.
const ownReading = 2

const (
	// lastCallTime is how long before it would be late a want whose prompt no engine can read yet is
	// given to a decode engine that has room.
	lastCallTime = 100 * time.Millisecond
	// readRest is how long a decode engine that works a prompt isn't given another: its streams
	// pause meanwhile, for a fifth of a second for a prompt of the mean size.
	readRest = 400 * time.Millisecond
	// ownPause is the time between two events at an engine that works no prompt: 72 tokens of
	// 0.75 ms each, and its way.
	ownPause = 60 * time.Millisecond
)
