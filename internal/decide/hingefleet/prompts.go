package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// readWeight is the weight of a new reading of that pace: three prompts move it to two thirds
	// of a change, which is a third of a second at half load.
	readWeight = 0.3
	// paceFades is the time in which an engine that gets no prompts is again taken to be
	// as fast as the others, by two thirds: one that was slow would otherwise never be tried.
	paceFades = 3 * time.Second
	// leastService is the shortest time that says something of the pace: notes of several prompts come
	// together, and short ones are gathered until their reading has taken as long.
	leastService = 10 * time.Millisecond
	// slowest and fastest bound a reading, in shares of what the engines read: one stalled prompt
	// doesn't look like an hour's work, and two ends that were told of together not like none.
	slowest = 0.05
	fastest = 1.5
	// boundAfter is how many readings there must have been for that: what the first ones say is all that is known.
	boundAfter = 5
	// untried is how much faster than the others an engine is taken to be that hasn't read a prompt yet: of two that
	// look alike it is taken, so that each is known after its first prompt.
	untried = 1.05
	// handOver is what a prompt that comes to an idle engine takes beside its reading: the grant's way to
	// its owner, a connection, and the note's way back.
	handOver = 20 * time.Millisecond
	// unread is how long a prompt counts as waiting without a word of its end.
	unread = 3 * time.Second
)

// prompts is the work of an engine that prefills, as far as it was handed out here.
type prompts struct {
	waiting map[StreamID]prompt
	// usual is what was learned of all engines.
	usual *paces
	// pace is the tokens that it reads a second, learnedAt when that was last seen.
	pace      float64
	learnedAt time.Time
	// endedAt is when the last prompt's end was heard of.
	endedAt time.Time
	// readFrom is when the engine began on the tokens in readTokens, whose ends say nothing of the pace yet.
	readFrom   time.Time
	readTokens hingeids.Tokens
}

// prompt is one that waits or is being read.
type prompt struct {
	tokens hingeids.Tokens
	since  time.Time
}

func newPrompts(usual *paces) prompts {
	return prompts{
		waiting: make(map[StreamID]prompt),
		usual:   usual,
	}
}

func (q *prompts) add(now time.Time, id StreamID, t hingeids.Tokens) {
	q.waiting[id] = prompt{
		tokens: t,
		since:  now,
	}
}

func (q *prompts) drop(id StreamID) {
	delete(q.waiting, id)
}

// done takes the end of a prompt. Prompts are read one after the other, so what passed
// since the end before, or since this one came to an idle engine, is what it took.
func (q *prompts) done(now time.Time, id StreamID, read bool) {
	p, there := q.waiting[id]
	if !there {
		return
	}
	delete(q.waiting, id)
	if began := p.since.Add(handOver); began.After(q.endedAt) || q.readFrom.IsZero() {
		q.readFrom = hingeclock.Later(q.endedAt, began)
		q.readTokens = 0
	}
	q.endedAt = now
	if !read {
		q.readFrom = now
		q.readTokens = 0
		return
	}
	q.readTokens += p.tokens
	took := now.Sub(q.readFrom)
	if took < leastService {
		return
	}
	q.learn(now, float64(q.readTokens)/took.Seconds())
	q.readFrom = now
	q.readTokens = 0
}

// learn takes a reading of the pace.
func (q *prompts) learn(now time.Time, reading float64) {
	if usual := q.usual.reads(); q.usual.read.readings >= boundAfter {
		reading = min(max(reading, slowest*usual), fastest*usual)
	}
	if q.learnedAt.IsZero() {
		q.pace = reading
	} else {
		q.pace = q.paceAt(now)
		q.pace += readWeight * (reading - q.pace)
	}
	q.learnedAt = now
	q.usual.read.takeUpper(reading, readWeight)
}

// paceAt is the pace as far as it is still believed.
func (q *prompts) paceAt(now time.Time) float64 {
	believed := 1.0
	if passed := now.Sub(q.learnedAt); passed > 0 {
		believed = fading(passed, paceFades)
	}
	usual := q.usual.reads()
	if q.learnedAt.IsZero() {
		return untried * usual
	}
	return usual + believed*(q.pace-usual)
}

// backlog is how long the engine still reads at what it has. Of the time since its last end only as
// much counts as its oldest prompt takes: if it were further, an end would have been heard of.
func (q *prompts) backlog(now time.Time) time.Duration {
	sum := hingeids.Tokens(0)
	oldest := prompt{
		since: now,
	}
	oldestID := StreamID("")
	for id, p := range q.waiting {
		if now.Sub(p.since) > unread {
			delete(q.waiting, id)
			continue
		}
		sum += p.tokens
		// Of two that came at once the same is taken each time, whatever the order of the map.
		if p.since.Before(oldest.since) || p.since.Equal(oldest.since) && id < oldestID {
			oldest, oldestID = p, id
		}
	}
	at := now.Sub(hingeclock.Later(oldest.since, q.endedAt))
	return q.reading(now, sum) - min(at, q.reading(now, oldest.tokens))
}

// reading is how long the engine takes to read so many tokens.
func (q *prompts) reading(now time.Time, t hingeids.Tokens) time.Duration {
	return spanOf(float64(t) / q.paceAt(now))
}
