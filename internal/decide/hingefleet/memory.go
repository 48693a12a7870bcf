package hingefleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// marginFor is the margin for hints that were too low, in standard deviations of what the streams of an engine are
	// longer than said, together. With memory filled to a fixed share of the prediction, 0.85 to 0.92 earned most where an answer is
	// as long as its prompt, and 0.92 to 1.0 where it is a fifth of it: a margin of 0.6 to 1.3 deviations in both. With less than
	// 1.2 one stream in twenty is preempted at twice the load that fits (simulation), with 1.3 one in a hundred.
	marginFor = 1.3
	// mostMargin bounds it, as a share of the memory. Where answers are far longer than their prompts, the margin would be a
	// quarter of it, which serves more streams than are thrown out without it: over engines of all kinds the
	// decision earns 1.095 of what others do with the bound, and 1.074 without.
	mostMargin = 0.15
	// overrun is what a stream that has outlived its hint is expected to add,
	// as a share of what it has made: lengths are spread evenly on a
	// logarithmic scale, so the longer it was, the longer it goes on. 0.15 and 0.3 earn the same.
	overrun = 0.2
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
// one pace, and the tokens that each makes until then. Memory is highest just before a stream ends, so only those
// moments are looked at.
func peak(list []load) (highest, until hingeids.Tokens) {
	slices.SortFunc(list, func(a, b load) int {
		return cmp.Compare(b.left, a.left)
	})
	held := hingeids.Tokens(0)
	for i, l := range list {
		// Those with more left than this one are still there when it ends.
		held += l.held
		if at := held + hingeids.Tokens(i+1)*l.left; at > highest {
			highest, until = at, l.left
		}
	}
	return highest, until
}

// outlook is what is predicted of an engine's memory without a further stream: its peak, and how many tokens
// each of its streams makes until then.
type outlook struct {
	peak  hingeids.Tokens
	until hingeids.Tokens
	// squares is the sum of the squares of what the streams are expected to make.
	squares float64
	at      time.Time
	known   bool
}

// outlookLasts is how long an outlook is used while nothing is reported of the engine: within it a stream
// makes a part of an event, and memory that is given back is seen that much later.
const outlookLasts = 50 * time.Millisecond

// least gives a bound below an engine's peak with one more stream. It is exact where the
// stream outlives the moment at which memory is highest, which is soon where memory is short.
func (o outlook) least(w *Want) hingeids.Tokens {
	if w.Expected >= o.until {
		return o.peak + w.Prompt + o.until
	}
	return o.peak
}

// outlookOf gives an engine's outlook, worked out anew if it is old.
func (f *Fleet) outlookOf(now time.Time, e *engine) outlook {
	o := &e.outlook
	if !o.known || now.Sub(o.at) > outlookLasts {
		list := f.loads(now, e)
		o.peak, o.until = peak(list)
		o.squares = squares(e.streams)
		o.at = now
		o.known = true
	}
	return *o
}

// loads gives the loads of an engine's streams, in memory that the next call uses again.
func (f *Fleet) loads(now time.Time, e *engine) []load {
	pace := f.paceOf(e)
	list := f.scratch[:0]
	for _, s := range e.streams {
		list = append(list, s.loadOf(now, pace))
	}
	f.scratch = list
	return list
}

func squares(list []*stream) float64 {
	sum := 0.0
	for _, s := range list {
		sum += float64(s.expected) * float64(s.expected)
	}
	return sum
}

// margin is the memory that is kept free for what an engine's streams, with one more, will be longer than their hints say.
// It grows with the root of their number, so that it is a larger share of a small engine, and with what the hints have
// been off by: where these are right, or answers are short beside their prompts, hardly any is needed.
func (f *Fleet) margin(e *engine, squares float64, w *Want) hingeids.Tokens {
	squares += float64(w.Expected) * float64(w.Expected)
	margin := marginFor * f.paces.hintsOff() * math.Sqrt(squares)
	return hingeids.Tokens(min(margin, mostMargin*float64(e.Memory)))
}
