package hingefleet

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// stream is a stream in flight.
type stream struct {
	id       StreamID
	owner    hingeids.HostID
	prefill  hingeids.ServerID
	decode   hingeids.ServerID
	prompt   hingeids.Tokens
	expected hingeids.Tokens
	made     hingeids.Tokens
	// madeAt is when made was true, or when the first token is expected.
	madeAt time.Time
	// granted is when it was placed here; zero once its owner has reported it.
	granted time.Time
	// placed is when it was placed here with its prompt to be prefilled; zero otherwise, or once its first token has come.
	placed time.Time
	// named is the number of the report that named it last.
	named uint64
}

// owner is an entry host with the streams that it has reported or that were granted to it.
type owner struct {
	heardAt time.Time
	streams []*stream
}

// book is the streams of one engine. It outlives the engine's absence from the list: an engine
// that isn't heard for a moment still holds them.
type book struct {
	streams []*stream
	outlook outlook
}

func (f *Fleet) book(id hingeids.ServerID) *book {
	b := f.books[id]
	if b == nil {
		b = &book{}
		f.books[id] = b
	}
	return b
}

// dropBooks forgets the books of engines that are gone and hold nothing.
func (f *Fleet) dropBooks() {
	for id, b := range f.books {
		if f.engines[id] == nil && len(b.streams) == 0 {
			delete(f.books, id)
		}
	}
}

func (f *Fleet) ownerOf(h hingeids.HostID) *owner {
	o := f.owners[h]
	if o == nil {
		o = &owner{}
		f.owners[h] = o
	}
	return o
}

// enter puts a stream into the books.
func (f *Fleet) enter(s *stream) {
	f.streams[s.id] = s
	o := f.ownerOf(s.owner)
	o.streams = append(o.streams, s)
	b := f.book(s.decode)
	b.streams = append(b.streams, s)
	b.outlook.known = false
}

// forget drops a stream and what it has waiting at an engine that prefills.
func (f *Fleet) forget(id StreamID) {
	s := f.streams[id]
	if s == nil {
		return
	}
	f.dropPrompt(s)
	delete(f.streams, id)
	o, b := f.ownerOf(s.owner), f.book(s.decode)
	o.streams = without(o.streams, s)
	b.streams = without(b.streams, s)
	b.outlook.known = false
}

func without(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (f *Fleet) dropPrompt(s *stream) {
	if e := f.engines[s.prefill]; e != nil {
		e.prompts.drop(s.id)
	}
}

// Report takes what an owner says of all its streams (rule 8).
func (f *Fleet) Report(now time.Time, h hingeids.HostID, list []Progress) {
	f.reports++
	for _, p := range list {
		f.progress(now, h, p)
	}
	o := f.ownerOf(h)
	o.heardAt = now
	f.forgetThose(o, func(s *stream) bool {
		return s.named != f.reports && s.granted.IsZero()
	})
}

// forgetThose forgets an owner's streams that are over.
func (f *Fleet) forgetThose(o *owner, over func(s *stream) bool) {
	for i := len(o.streams) - 1; i >= 0; i-- {
		if s := o.streams[i]; over(s) {
			f.forget(s.id)
		}
	}
}

func (f *Fleet) progress(now time.Time, h hingeids.HostID, p Progress) {
	s := f.streams[p.ID]
	if s == nil || s.decode != p.Decode || s.owner != h {
		f.forget(p.ID)
		s = &stream{
			id:     p.ID,
			owner:  h,
			decode: p.Decode,
			madeAt: now,
		}
		f.enter(s)
	}
	if e := f.engines[p.Decode]; e != nil && p.Made > s.made && s.made > 0 {
		f.learnPace(e, now.Sub(s.madeAt), p.Made-s.made)
	}
	s.named = f.reports
	s.prompt = p.Prompt
	s.expected = p.Expected
	s.granted = time.Time{}
	if p.Made > 0 {
		f.learnStart(now, s)
		f.dropPrompt(s)
		s.made = p.Made
		s.madeAt = now
	}
	f.book(s.decode).outlook.known = false
}

// Cancel forgets a stream or a want whose caller is gone.
func (f *Fleet) Cancel(id StreamID) {
	f.forget(id)
	for i, w := range f.queue {
		if w.ID == id {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return
		}
	}
}

// expire forgets grants and owners that nobody speaks of any more.
func (f *Fleet) expire(now time.Time) {
	if now.Sub(f.expiredAt) < expireEvery {
		return
	}
	f.expiredAt = now
	for h, o := range f.owners {
		silent := now.Sub(o.heardAt) > ownerSilence
		f.forgetThose(o, func(s *stream) bool {
			if s.granted.IsZero() {
				return silent
			}
			return now.Sub(s.granted) > unreported
		})
		if silent && len(o.streams) == 0 {
			delete(f.owners, h)
		}
	}
}
