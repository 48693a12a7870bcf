package hingefleet

import (
	"math"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// estimate is a figure that is learned from readings. The first reading stands for itself, the next ones move it
// by equal parts, and later ones by a fixed weight: whatever was believed before the first
// reading is forgotten with it.
type estimate struct {
	value    float64
	readings int
}

func (e *estimate) take(reading, weight float64) {
	e.readings++
	e.value += max(weight, 1/float64(e.readings)) * (reading - e.value)
}

// takeUpper is the same for what a sound engine does: readings above the figure count for more than those below, so that it
// stands where one in five is above it, and engines that have turned slow don't pull it down.
func (e *estimate) takeUpper(reading, weight float64) {
	if e.readings > 0 && reading < e.value {
		weight /= upperShare
		e.readings++
		e.value += weight * (reading - e.value)
		return
	}
	e.take(reading, weight)
}

// upperShare is how much more a reading above the figure counts in takeUpper.
const upperShare = 4

// or gives the figure, or another before anything was read.
func (e *estimate) or(other float64) float64 {
	if e.readings == 0 {
		return other
	}
	return e.value
}

// paces are what was learned of the engines of a fleet together (rule 9). An engine that has shown nothing
// yet is taken to be like the others.
type paces struct {
	// decode is the tokens that an engine makes a second for one stream, least the fewest that
	// keep callers' events on time.
	decode estimate
	least  float64
	// gap is the longest pause between events that was last asked for, zero if any may be.
	gap time.Duration
	// read is the prompt tokens that an engine reads a second.
	read estimate
	// prompt is the tokens of a prompt.
	prompt estimate
	// start is the seconds from a grant to the first event beside the reading of the prompt, as most
	// streams have it: the prompts ahead, the ways, the transfer and the making of the event.
	start estimate
	// off is the mean square of what answers were longer or shorter than expected, in shares of that.
	off estimate
}

const (
	// paceWeight is the weight of a new reading of an engine's pace. One reading spans
	// half a second; five of them move the pace to two thirds of a change.
	paceWeight = 0.2
	// fleetWeight is the same for the figures of all engines together: some twenty
	// readings, so that the readings of one slow engine don't stand for all.
	fleetWeight = 0.05
	// aboveLeast is how many times faster than its operator's longest pause asks for an engine is taken to be before
	// anything was read: one that only just keeps to it leaves no room for company.
	aboveLeast = 4
	// unknownPace is taken where nothing is known at all, in tokens a second, and unknownRead for prompts:
	// a middle, by proportion, of engines from 50 to 2,000 and from 5,000 to 100,000. It stands until the
	// first event or the first prompt has been seen.
	unknownPace = 300
	unknownRead = 25000
	// unknownOff is by how much, as a share, answers are taken to differ from their hints before any has ended: hints that are right at the
	// median and off by a factor of two as often as not. mostOff bounds one answer, so that a hint of one token doesn't
	// speak for all.
	unknownOff = 0.75
	mostOff    = 4
	// startWeight is the weight of a new reading of how long a stream takes to begin: some ten
	// streams, the time in which a queue builds up.
	startWeight = 0.1
	// shortestSpan is the shortest time between two reports that says something of the pace:
	// shorter ones measure the events' own rhythm.
	shortestSpan = 100 * time.Millisecond
)

// made is the tokens that an engine is taken to make a second.
func (p *paces) made() float64 {
	if p.least > 0 {
		return p.decode.or(aboveLeast * p.least)
	}
	return p.decode.or(unknownPace)
}

// reads is the prompt tokens that an engine is taken to read a second.
func (p *paces) reads() float64 {
	return p.read.or(unknownRead)
}

// reading is how long an engine of the usual pace reads a prompt.
func (p *paces) reading(t hingeids.Tokens) time.Duration {
	return spanOf(float64(t) / p.reads())
}

// usualReading is the same for a prompt of the mean size.
func (p *paces) usualReading() time.Duration {
	return spanOf(p.prompt.or(0) / p.reads())
}

// hintsOff is by how much, as a share, answers differ from what was expected of them.
func (p *paces) hintsOff() float64 {
	return math.Sqrt(p.off.or(unknownOff * unknownOff))
}

// learnLength takes the whole length of an answer.
func (p *paces) learnLength(expected, made hingeids.Tokens) {
	off := float64(made-expected) / float64(max(expected, 1))
	off = min(off, mostOff)
	p.off.take(off*off, fleetWeight)
}

// starting is how long a stream takes from its grant to its first event.
func (p *paces) starting(prompt hingeids.Tokens) time.Duration {
	return p.reading(prompt) + spanOf(p.start.or(prefillStart.Seconds()))
}

// learnStart takes the first event of a stream that was placed here.
func (f *Fleet) learnStart(now time.Time, s *stream) {
	if s.placed.IsZero() {
		return
	}
	took := now.Sub(s.placed) - f.paces.reading(s.prompt)
	f.paces.start.takeUpper(max(took, 0).Seconds(), startWeight)
	s.placed = time.Time{}
}

func (f *Fleet) learnPace(e *engine, took time.Duration, made hingeids.Tokens) {
	if took < shortestSpan {
		return
	}
	reading := float64(made) / took.Seconds()
	e.pace.take(reading, paceWeight)
	f.paces.decode.take(reading, fleetWeight)
}

func spanOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
