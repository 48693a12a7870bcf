package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

func (f *Fleet) grant(now time.Time, w *Want) (Decision, bool) {
	limit := memoryShare
	if !w.Moved && !w.Cached && !w.onTime(now) {
		limit = lateShare
	}
	if f.hopeless(w, limit) {
		return Decision{}, false
	}
	for _, r := range f.rooms(now, w) {
		if r.share > limit {
			continue
		}
		g, begins, ok := f.prepare(now, w, r.engine)
		if !ok {
			return Decision{}, false
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
	f.tried = append(f.tried, attempt{
		prompt:   w.Prompt,
		expected: w.Expected,
		limit:    limit,
		avoids:   len(w.Avoid) > 0,
	})
	return Decision{}, false
}

// attempt is a want that found no room in this step.
type attempt struct {
	prompt   hingeids.Tokens
	expected hingeids.Tokens
	limit    float64
	avoids   bool
}

// hopeless reports whether a smaller want has found no room in this step. At
// saturation hundreds wait, and to look at each engine for each of them would take a small
// host's whole time.
func (f *Fleet) hopeless(w *Want, limit float64) bool {
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
	f.streams[w.ID] = &stream{
		owner:    w.Owner,
		prefill:  g.Prefill,
		decode:   decode.Server,
		prompt:   w.Prompt,
		expected: w.Expected,
		madeAt:   begins,
		granted:  now,
	}
	decode.health.triedAt = now
	if g.Prefill == "" && !w.Cached {
		decode.readAt = now
	}
	if p := f.engines[g.Prefill]; p != nil {
		p.health.triedAt = now
		p.prompts.add(now, w.ID, w.Prompt)
	}
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
	switch {
	case p != nil:
		g.Prefill = p.Server
		return g, read.Add(prefillStart), true
	case f.mayRead(now, w, decode) && (w.lastCall(now) || !f.prefills(now, w)):
		return g, now.Add(ownReading*reading(w.Prompt) + prefillStart), true
	}
	return Grant{}, time.Time{}, false
}

// mayRead reports whether a decode engine may work a prompt between the tokens of its
// streams (rule 7).
func (f *Fleet) mayRead(now time.Time, w *Want, decode *engine) bool {
	if now.Sub(decode.readAt) < readRest {
		return false
	}
	if w.Gap == 0 || ownReading*reading(w.Prompt)+ownPause < w.Gap {
		return true
	}
	for _, s := range f.streams {
		if s.decode == decode.Server {
			return false
		}
	}
	return true
}

// lastCall reports whether a want can still be on time if a decode engine works its prompt, but
// not for much longer.
func (w *Want) lastCall(now time.Time) bool {
	takes := ownReading*reading(w.Prompt) + prefillStart
	left := w.Arrived.Add(w.Target).Sub(now.Add(takes))
	return !w.Moved && left > 0 && left < lastCallTime
}
