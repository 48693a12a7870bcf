package hingefleet

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type stream struct {
	id        StreamID
	owner     hingeids.HostID
	prefill   hingeids.ServerID
	decode    hingeids.ServerID
	prompt    hingeids.Tokens
	expected  hingeids.Tokens
	generated hingeids.Tokens
	// generatedAt is the time of the report of generated, or when the first token is expected.
	generatedAt time.Time
	// assignedAt is the time of the assignment; zero once the owner has reported the stream.
	assignedAt time.Time
	// placedAt is the time of the assignment by this fleet, zero if another placer made it.
	placedAt time.Time
	// prefillSince is the time of an assignment with a prefill engine; zero otherwise, and after
	// the first token.
	prefillSince time.Time
	lastReport   uint64
}

// owner is an entry host with the streams that it reported or that were assigned to it.
type owner struct {
	lastSeen time.Time
	streams  []*stream
}

// engineStreams is the streams of one engine. It is kept while the engine is missing from the
// list, since an engine without heartbeats for a moment still holds its streams.
type engineStreams struct {
	streams  []*stream
	forecast forecast
}

func (f *Fleet) engineStreams(id hingeids.ServerID) *engineStreams {
	es := f.streamsByEngine[id]
	if es == nil {
		es = &engineStreams{}
		f.streamsByEngine[id] = es
	}
	return es
}

func (f *Fleet) ownerOf(h hingeids.HostID) *owner {
	o := f.owners[h]
	if o == nil {
		o = &owner{}
		f.owners[h] = o
	}
	return o
}

func (f *Fleet) addStream(s *stream) {
	f.streams[s.id] = s
	o := f.ownerOf(s.owner)
	o.streams = append(o.streams, s)
	es := f.engineStreams(s.decode)
	es.streams = append(es.streams, s)
	f.streamsChanged(s.decode, es)
}

// streamsChanged notes that the streams of an engine have changed. The entry of an engine that was
// removed goes with its last stream.
func (f *Fleet) streamsChanged(id hingeids.ServerID, es *engineStreams) {
	es.forecast.valid = false
	e := f.engines[id]
	if e == nil && len(es.streams) == 0 {
		delete(f.streamsByEngine, id)
		return
	}
	f.markChanged(e)
}

// removeStream removes a stream and its pending prompt.
func (f *Fleet) removeStream(id StreamID) {
	s := f.streams[id]
	if s == nil {
		return
	}
	f.removePrompt(s)
	delete(f.streams, id)
	o, es := f.ownerOf(s.owner), f.engineStreams(s.decode)
	o.streams = withoutStream(o.streams, s)
	es.streams = withoutStream(es.streams, s)
	f.streamsChanged(s.decode, es)
}

func withoutStream(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (f *Fleet) removePrompt(s *stream) {
	if e := f.engines[s.prefill]; e != nil {
		e.prefillQueue.remove(s.id)
		f.markChanged(e)
	}
}

// HandleReport replaces what is known about an owner's streams (rule 8). Streams that the owner has
// reported before and no longer lists are removed; unreported assignments are kept.
func (f *Fleet) HandleReport(now time.Time, h hingeids.HostID, list []Progress) {
	f.reportCount++
	for _, p := range list {
		f.applyProgress(now, h, p)
	}
	o := f.ownerOf(h)
	o.lastSeen = now
	f.removeStreams(o, func(s *stream) bool {
		return s.lastReport != f.reportCount && s.assignedAt.IsZero()
	})
}

func (f *Fleet) removeStreams(o *owner, done func(s *stream) bool) {
	for i := len(o.streams) - 1; i >= 0; i-- {
		if s := o.streams[i]; done(s) {
			f.removeStream(s.id)
		}
	}
}

func (f *Fleet) applyProgress(now time.Time, h hingeids.HostID, p Progress) {
	s := f.streams[p.ID]
	if s == nil || s.decode != p.Decode || s.owner != h {
		f.removeStream(p.ID)
		s = &stream{
			id:          p.ID,
			owner:       h,
			decode:      p.Decode,
			generatedAt: now,
		}
		f.addStream(s)
	}
	if e := f.engines[p.Decode]; e != nil && p.Generated > s.generated && s.generated > 0 {
		f.observeDecodeRate(e, now.Sub(s.generatedAt), p.Generated-s.generated)
	}
	s.lastReport = f.reportCount
	s.prompt = p.Prompt
	s.expected = p.Expected
	s.assignedAt = time.Time{}
	if p.Generated > 0 {
		f.observeStart(now, s)
		f.removePrompt(s)
		s.generated = p.Generated
		s.generatedAt = now
	}
	f.streamsChanged(s.decode, f.engineStreams(s.decode))
}

// Cancel removes a stream or queued request whose caller has disconnected.
func (f *Fleet) Cancel(id StreamID) {
	f.removeStream(id)
	for i, req := range f.queue {
		if req.ID == id {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return
		}
	}
}

// expire removes assignments and owners that have timed out.
func (f *Fleet) expire(now time.Time) {
	if now.Sub(f.lastExpiry) < expireInterval {
		return
	}
	f.lastExpiry = now
	for h, o := range f.owners {
		silent := now.Sub(o.lastSeen) > ownerTimeout
		f.removeStreams(o, func(s *stream) bool {
			if s.assignedAt.IsZero() {
				return silent
			}
			return now.Sub(s.assignedAt) > assignmentTimeout
		})
		if silent && len(o.streams) == 0 {
			delete(f.owners, h)
		}
	}
}
