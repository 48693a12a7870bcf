package hingefleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// marginDeviations is the margin for answers longer than their hints, in standard deviations
	// of the total error over an engine's streams. In the simulation at twice the load that fits, one
	// stream in a hundred is preempted with 1.3, and one in twenty with less than 1.2.
	marginDeviations = 1.3
	// maxMarginShare bounds the margin as a share of the engine's memory. Where answers are far
	// longer than their prompts, a larger margin would cost more streams than the preemptions it
	// prevents: it would be a quarter of the memory there.
	maxMarginShare = 0.15
	// overrunShare is the number of further tokens expected of a stream that has exceeded its
	// hint, as a share of those generated: the longer such a stream is, the longer it tends to
	// continue, as lengths are spread evenly on a logarithmic scale.
	overrunShare = 0.2
)

// load is a stream in the prediction of an engine's memory.
type load struct {
	// held is the number of tokens in memory, remaining the number still to be generated.
	held      hingeids.Tokens
	remaining hingeids.Tokens
}

// loadOf returns the load of a stream at a moment. Between reports the stream is assumed to
// generate at the given rate, but not beyond its hint.
func (s *stream) loadOf(now time.Time, tokensPerSecond float64) load {
	generated := s.generated
	if d := now.Sub(s.generatedAt); d > 0 {
		generated = min(generated+hingeids.Tokens(tokensPerSecond*d.Seconds()), max(s.generated, s.expected))
	}
	return load{
		held:      s.prompt + generated,
		remaining: max(s.expected-generated, hingeids.Tokens(overrunShare*float64(generated))),
	}
}

// peak returns the highest memory predicted for streams that generate at one rate, and the number
// of tokens that each generates until then. Memory is highest just before a stream finishes, so
// only these moments are evaluated. It sorts list.
func peak(list []load) (highest, until hingeids.Tokens) {
	slices.SortFunc(list, func(a, b load) int {
		return cmp.Compare(b.remaining, a.remaining)
	})
	held := hingeids.Tokens(0)
	for i, l := range list {
		// The streams before this one in the list are still running when it finishes.
		held += l.held
		if at := held + hingeids.Tokens(i+1)*l.remaining; at > highest {
			highest, until = at, l.remaining
		}
	}
	return highest, until
}

// forecast is the predicted memory of an engine without a further stream: its peak, and the number
// of tokens that each of its streams generates until then.
type forecast struct {
	peak      hingeids.Tokens
	untilPeak hingeids.Tokens
	// squares is the sum of the squares of the expected answer lengths.
	squares    float64
	computedAt time.Time
	valid      bool
}

// forecastTTL is how long a forecast is reused while no stream of the engine is reported. It is
// shorter than the time between two events of a stream, and delays the release of memory by no
// more.
const forecastTTL = 50 * time.Millisecond

// lowerBound returns a lower bound for an engine's peak with one more stream. It is exact if that
// stream is still running at the peak, which is usual when memory is short.
func (fc forecast) lowerBound(req *StreamRequest) hingeids.Tokens {
	if req.ExpectedTokens >= fc.untilPeak {
		return fc.peak + req.PromptTokens + fc.untilPeak
	}
	return fc.peak
}

// forecastOf returns an engine's forecast, recomputed if it has expired.
func (f *Fleet) forecastOf(now time.Time, e *engine) forecast {
	fc := &e.forecast
	if !fc.valid || now.Sub(fc.computedAt) > forecastTTL {
		list := f.loads(now, e)
		fc.peak, fc.untilPeak = peak(list)
		fc.squares = sumSquares(e.streams)
		fc.computedAt = now
		fc.valid = true
	}
	return *fc
}

// loads returns the loads of an engine's streams, in a buffer that the next call overwrites.
func (f *Fleet) loads(now time.Time, e *engine) []load {
	rate := f.decodeRateOf(e)
	list := f.scratch[:0]
	for _, s := range e.streams {
		list = append(list, s.loadOf(now, rate))
	}
	f.scratch = list
	return list
}

func sumSquares(list []*stream) float64 {
	sum := 0.0
	for _, s := range list {
		sum += float64(s.expected) * float64(s.expected)
	}
	return sum
}

// margin returns the memory kept free for answers that exceed their hints, of an engine's streams
// and one more. It grows with the square root of their number and with the error of past hints.
func (f *Fleet) margin(e *engine, squares float64, req *StreamRequest) hingeids.Tokens {
	squares += float64(req.ExpectedTokens) * float64(req.ExpectedTokens)
	margin := marginDeviations * f.estimates.hintError() * math.Sqrt(squares)
	return hingeids.Tokens(min(margin, maxMarginShare*float64(e.Memory)))
}
