package hingefleet

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// onTimeShare is the share of an engine's memory that the predicted peak and its margin may
	// fill.
	onTimeShare = 1.0
	// lateShare is the lower limit that applies to late requests (rule 3).
	lateShare = 0.95
	// slowFactor is the share of the highest decode rate below which an engine counts as slow
	// (rule 6).
	slowFactor = 0.4
)

// crossZoneTolerance is how much fuller, as a share of its memory, an engine in the request's zone
// may be than one in another zone (rule 2). A higher value breaks fewer streams when a zone is cut
// off, but causes more preemptions, since engines fill less evenly: in the simulation at twice the load
// that fits, 385 of 20,397 streams are preempted with 0, 535 with 0.2 and 690 with 0.25.
const crossZoneTolerance = 0.2

// candidate is a decode engine evaluated for one request.
type candidate struct {
	engine *engine
	// share is the predicted peak as a share of the engine's memory; rank is share plus penalties.
	share float64
	rank  float64
}

// betterThan reports whether c ranks before other; the server ID breaks ties.
func (c candidate) betterThan(other candidate) bool {
	if c.rank != other.rank {
		return c.rank < other.rank
	}
	return c.engine.Server < other.engine.Server
}

// candidate returns the best decode engine for a request whose predicted share stays within limit
// (rules 2 and 6). It evaluates a bounded number of engines of each zone, the emptiest first, and
// computes the exact prediction only for engines whose lower bound beats the best so far. If accept
// isn't nil, it filters engines by their predicted share.
func (f *Fleet) candidate(
	now time.Time, req *StreamRequest, limit float64, accept func(e *engine, share float64) bool,
) (candidate, bool) {
	f.updateIndex(now)
	fastest := f.fastestDecodeRate()
	// promptShare is what the prompt adds to the share of any engine.
	promptShare := float64(req.PromptTokens) / float64(max(f.largestMemory(), 1))
	var best candidate
	f.index.fromZone(req.Zone, func(z hingeids.Zone, zi *zoneIndex) {
		zonePenalty := 0.0
		if z != req.Zone {
			zonePenalty = crossZoneTolerance
		}
		evaluated := 0
		zi.decoders.Scan(func(x indexEntry) bool {
			e := x.engine
			if !e.usable(now) {
				return true
			}
			// The engines are ordered by the share that a long stream would have, without its
			// prompt. Those after this one are better for a short stream at most.
			atLeast := x.key + promptShare
			if evaluated >= minEvaluated &&
				(evaluated >= maxEvaluated || atLeast > limit || best.engine != nil && atLeast+zonePenalty > best.rank) {
				return false
			}
			evaluated++
			if c, ok := f.evaluate(now, e, req, limit, f.penalty(e, req, fastest), best); ok && (accept == nil || accept(e, c.share)) {
				best = c
			}
			return true
		})
	})
	return best, best.engine != nil
}

// minEvaluated is the number of engines of a zone that are evaluated although the index says that
// they can't be better: it is only exact for long streams.
const minEvaluated = 16

// evaluate returns an engine as a candidate if it has capacity for the request and is better than the
// best one so far.
func (f *Fleet) evaluate(now time.Time, e *engine, req *StreamRequest, limit, penalty float64, best candidate) (candidate, bool) {
	f.evaluations++
	if len(e.streams) >= int(e.Slots) {
		return candidate{}, false
	}
	c := candidate{
		engine: e,
	}
	fc := f.forecastOf(now, e)
	c.share = share(fc.lowerBound(req)+f.margin(e, fc.squares, req), e)
	c.rank = c.share + penalty
	if c.share > limit || best.engine != nil && !c.betterThan(best) || f.unsuitable(now, e, req) {
		return candidate{}, false
	}
	c.share = f.predictShare(now, e, fc, req)
	c.rank = c.share + penalty
	return c, c.share <= limit && (best.engine == nil || c.betterThan(best))
}

// slowPenalty is the penalty of a slow engine. It exceeds all other differences in rank.
const slowPenalty = 100

// penalty returns the rank penalty of an engine, as a share of its memory.
func (f *Fleet) penalty(e *engine, req *StreamRequest, fastest float64) float64 {
	rank := 0.0
	if e.Zone != req.Zone {
		rank += crossZoneTolerance
	}
	if f.decodeRateOf(e) < slowFactor*fastest {
		rank += slowPenalty
	}
	return rank
}

// unsuitable reports whether a request must avoid an engine or couldn't finish there before its
// deadline. The deadline isn't checked before decode rates are known, since they are learned only
// from streams.
func (f *Fleet) unsuitable(now time.Time, e *engine, req *StreamRequest) bool {
	if slices.Contains(req.Avoid, e.Server) {
		return true
	}
	duration := durationOf(float64(req.ExpectedTokens) / f.decodeRateOf(e))
	return f.estimates.decodeRate.samples > 0 && now.Add(duration).After(req.Deadline)
}

func share(n hingeids.Tokens, e *engine) float64 {
	return float64(n) / float64(max(e.Memory, 1))
}

// predictShare returns the predicted peak of an engine with one more stream, as a share of its
// memory.
func (f *Fleet) predictShare(now time.Time, e *engine, fc forecast, req *StreamRequest) float64 {
	list := append(f.loads(now, e), load{
		held:      req.PromptTokens,
		remaining: req.ExpectedTokens,
	})
	f.scratch = list
	highest, _ := peak(list)
	return share(highest+f.margin(e, fc.squares, req), e)
}
