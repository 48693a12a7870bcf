package hingefleet

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// fullShare is how much of an engine's memory predictions and their margin may fill.
	fullShare = 1.0
	// lateShare is how much of an engine's memory may be filled with what is late (rule 3), beside what can be on
	// time, which may fill all of it.
	lateShare = 0.95
	// farSlower is the share of the best pace under which an engine counts as slow (rule 6).
	farSlower = 0.4
)

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
}

// before orders rooms, the best first.
func (r room) before(other room) bool {
	if r.rank != other.rank {
		return r.rank < other.rank
	}
	return r.engine.Server < other.engine.Server
}

// room gives the decode engine that a want goes to, if one has room within a limit (rules 2 and 6). An engine is
// looked at closely only if its outlook is better than the best so far, which of many is so for a few. May, if there,
// says whether an engine that would have a share of its memory in use may be taken.
func (f *Fleet) room(
	now time.Time, w *Want, limit float64, may func(e *engine, share float64) bool,
) (room, bool) {
	fastest := 0.0
	for _, e := range f.decoders {
		fastest = max(fastest, f.paceOf(e))
	}
	var best room
	for _, e := range f.decoders {
		if !e.health.usable(now) || len(e.streams) >= int(e.Slots) {
			continue
		}
		against := f.against(e, w, fastest)
		r := room{
			engine: e,
		}
		o := f.outlookOf(now, e)
		r.share = share(o.least(w)+f.margin(e, o.squares, w), e)
		r.rank = r.share + against
		if r.share > limit || best.engine != nil && !r.before(best) || f.unfit(now, e, w) {
			continue
		}
		r.share = f.predict(now, e, o, w)
		r.rank = r.share + against
		if may != nil && !may(e, r.share) {
			continue
		}
		if r.share <= limit && (best.engine == nil || r.before(best)) {
			best = r
		}
	}
	return best, best.engine != nil
}

// slowRank is put on top of the rank of an engine that is far slower than the others: it comes after all of them.
const slowRank = 100

// against gives what speaks against an engine, as a share of its memory.
func (f *Fleet) against(e *engine, w *Want, fastest float64) float64 {
	rank := 0.0
	if e.Zone != w.Zone {
		rank += acrossZones
	}
	if f.paceOf(e) < farSlower*fastest {
		rank += slowRank
	}
	return rank
}

// unfit reports whether a want mustn't go to an engine, or couldn't end there in time. On a pace that is only
// guessed nobody is turned away: what no stream tries is never learned.
func (f *Fleet) unfit(now time.Time, e *engine, w *Want) bool {
	if slices.Contains(w.Avoid, e.Server) {
		return true
	}
	life := spanOf(float64(w.Expected) / f.paceOf(e))
	return f.paces.decode.readings > 0 && now.Add(life).After(w.Deadline)
}

func share(t hingeids.Tokens, e *engine) float64 {
	return float64(t) / float64(max(e.Memory, 1))
}

// predict gives the peak of an engine with one more stream, as a share of its memory.
func (f *Fleet) predict(now time.Time, e *engine, o outlook, w *Want) float64 {
	list := append(f.loads(now, e), load{
		held: w.Prompt,
		left: w.Expected,
	})
	f.scratch = list
	highest, _ := peak(list)
	return share(highest+f.margin(e, o.squares, w), e)
}
