package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

func (f *Fleet) grant(now time.Time, w *Want) (Decision, bool) {
	limit := fullShare
	if !w.Moved && !w.Cached && !f.onTime(now, w) {
		limit = lateShare
	}
	if f.hopeless(now, w, limit) {
		return Decision{}, false
	}
	r, found := f.room(now, w, limit, nil)
	if !found {
		f.tried = append(f.tried, attempt{
			prompt:   w.Prompt,
			expected: w.Expected,
			limit:    limit,
			avoids:   len(w.Avoid) > 0,
		})
		return Decision{}, false
	}
	g, begins, ok := f.prepare(now, w, r.engine)
	if !ok {
		if r, ok = f.reader(now, w, limit); !ok {
			return Decision{}, false
		}
		g = Grant{
			Decode: r.engine.Server,
		}
		begins = now.Add(ownReading*f.paces.reading(w.Prompt) + prefillStart)
	}
	if limit == lateShare {
		f.turns.take(now, true)
	}
	f.take(now, w, r.engine, g, begins)
	return Decision{
		ID:     w.ID,
		Owner:  w.Owner,
		Grant:  g,
		Waited: now.Sub(w.Arrived),
		Peak:   int(100 * r.share),
	}, true
}

// attempt is a want that found no room in this step.
type attempt struct {
	prompt   hingeids.Tokens
	expected hingeids.Tokens
	limit    float64
	avoids   bool
}

// hopeless reports whether a smaller want has found no room in this step, or another no engine that
// could read its prompt. At saturation hundreds wait, and to look at each engine for each of them would take a small
// host's whole time.
func (f *Fleet) hopeless(now time.Time, w *Want, limit float64) bool {
	if f.unreadable && !w.Cached && len(w.Avoid) == 0 && !f.lastCall(now, w) {
		return true
	}
	for _, a := range f.tried {
		if !a.avoids && w.Prompt >= a.prompt && w.Expected >= a.expected && limit <= a.limit {
			return true
		}
	}
	return false
}

// take notes a grant in the engines' books.
func (f *Fleet) take(now time.Time, w *Want, decode *engine, g Grant, begins time.Time) {
	f.forget(w.ID)
	f.enter(&stream{
		id:       w.ID,
		owner:    w.Owner,
		prefill:  g.Prefill,
		decode:   decode.Server,
		prompt:   w.Prompt,
		expected: w.Expected,
		madeAt:   begins,
		granted:  now,
		placed:   placedAt(now, w, g),
	})
	decode.health.triedAt = now
	if g.Prefill == "" && !w.Cached {
		decode.readAt = now
	}
	if p := f.engines[g.Prefill]; p != nil {
		p.health.triedAt = now
		p.prompts.add(now, w.ID, w.Prompt)
	}
}

// placedAt is when a stream's way to its first token begins, if that is the usual one.
func placedAt(now time.Time, w *Want, g Grant) time.Time {
	if w.Cached || w.Moved || g.Prefill == "" {
		return time.Time{}
	}
	return now
}

// prepare chooses the prefill engine for a decode engine, and predicts the first token.
func (f *Fleet) prepare(now time.Time, w *Want, decode *engine) (Grant, time.Time, bool) {
	g := Grant{
		Decode: decode.Server,
	}
	if w.Cached {
		return g, now.Add(prefillStart), true
	}
	p, read := f.prefillFor(now, w, decode.Zone)
	if p == nil {
		return Grant{}, time.Time{}, false
	}
	g.Prefill = p.Server
	return g, read.Add(prefillStart), true
}

// reader gives a decode engine that works the prompt itself, where no engine that prefills can in time
// (rule 7). While the caller's first event isn't about to be late, only one with room for another stream like it
// does: reading stops an engine's streams, so that they hold their memory longer.
func (f *Fleet) reader(now time.Time, w *Want, limit float64) (room, bool) {
	hurry := f.lastCall(now, w) || !f.prefills(now, w)
	r, found := f.room(now, w, limit, func(e *engine, share float64) bool {
		return f.mayRead(now, w, e) && (hurry || f.paces.read.readings > 0 && share+size(w, e) <= limit)
	})
	f.unreadable = f.unreadable || !found && !hurry && len(w.Avoid) == 0
	return r, found
}

// size is the share of an engine's memory that a stream takes in the end.
func size(w *Want, e *engine) float64 {
	return share(w.Prompt+w.Expected, e)
}

// mayRead reports whether a decode engine may work a prompt between the tokens of its
// streams (rule 7).
func (f *Fleet) mayRead(now time.Time, w *Want, decode *engine) bool {
	if now.Sub(decode.readAt) < readRest*f.paces.usualReading() {
		return false
	}
	return w.Gap == 0 || f.pause(decode, f.paces.reading(w.Prompt)) < w.Gap || len(decode.streams) == 0
}

// pause is how long an engine's streams pause at most while it works a prompt that one which prefills reads in a time.
func (f *Fleet) pause(e *engine, reading time.Duration) time.Duration {
	return time.Duration(pauseMargin*ownReading*float64(reading)) + f.eventTime(e)
}

// eventTime is the time between two events at an engine that works no prompt, and their way.
func (f *Fleet) eventTime(e *engine) time.Duration {
	return spanOf(float64(e.Event)/f.paceOf(e)) + eventWay
}

// lastCall reports whether a want can still be on time if a decode engine works its prompt, but
// not for much longer.
func (f *Fleet) lastCall(now time.Time, w *Want) bool {
	takes := ownReading*f.paces.reading(w.Prompt) + prefillStart
	left := w.Arrived.Add(w.Target).Sub(now.Add(takes))
	return !w.Moved && left > 0 && left < lastCallTime
}
