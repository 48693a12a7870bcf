package hingedispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
	"github.com/swifthinge/swifthinge/internal/path/hingerelay"
)

// Answer is a request's stream, whole over broken connections and lost engines.
// One goroutine reads it.
type Answer struct {
	dispatcher *Dispatcher
	ctx        context.Context
	work       *Work
	avoid      map[hingeids.ServerID]bool

	// entry is the present pass through the gate; entered says that it has to
	// be left.
	entry   Entry
	entered bool
	// admitted says that the gate has taken the request once; noSlot that no slot
	// was granted where it placed it.
	admitted bool
	noSlot   bool
	// exchange is the id of the present exchange, by rule 6.
	exchange hingeids.RequestID
	attempts int
	resumes  int
	// refused says that the gate has had the last word.
	refused bool
	// suspect says that servers have ended under the request; sentAt is when a server was sent it last.
	suspect bool
	sentAt  time.Time
	// before is the most that earlier exchanges may have done.
	before hingeverdict.Verdict

	prefiller hingeengine.Target
	prefillID hingeids.RequestID
	cache     *hingeengine.Cache
	cachedAt  time.Time

	decoder hingeengine.Target
	stream  *hingeengine.Stream
	// next is the index of the token that is due.
	next     int
	first    hingerelay.Event
	hasFirst bool
	ended    bool

	// stored is the answer of an earlier run. claimed says that the ledger waits
	// to hear how this run ended, worked that its prompt was worked; by rule 7.
	stored  *Stored
	claimed bool
	worked  bool

	// firstAt is when the first token came.
	firstAt   time.Time
	gapFrom   time.Time
	gapTokens int
}

// Next gives the next token, io.EOF after the last, or a final error with a
// verdict. A token's bytes hold until the next call.
func (a *Answer) Next() (hingerelay.Event, error) {
	for {
		if a.hasFirst {
			a.hasFirst = false
			a.next++
			return a.first, nil
		}
		e, err := a.stream.Next()
		if err == nil {
			a.next++
			a.noteGap()
			return e, nil
		}
		if errors.Is(err, io.EOF) {
			a.finish(nil)
			return e, io.EOF
		}
		if err := a.mend(err); err != nil {
			a.finish(err)
			return e, err
		}
	}
}

// Stored is the answer of an earlier run, or nil if this is a run of its own. Then
// there is nothing else to read.
func (a *Answer) Stored() *Stored {
	return a.stored
}

// Keep keeps the answer for a resend, if its request runs at most once. It has
// to be called before the last of the answer is given: a caller that lost the
// end of it asks again at once.
func (a *Answer) Keep(s Stored) {
	if !a.claimed {
		return
	}
	a.claimed = false
	keepAnswer(a.ctx, a.dispatcher.Ledger, a.work.claim(), s)
}

// gapEvery is how many tokens make one report of an engine's token gap: often
// enough to find a slow engine within a second, seldom enough to cost nothing.
const gapEvery = 16

func (a *Answer) noteGap() {
	if a.gapTokens++; a.gapTokens < gapEvery {
		return
	}
	now := a.dispatcher.Now()
	a.dispatcher.Gate.TokenGap(a.entry, a.decoder, now.Sub(a.gapFrom)/gapEvery)
	a.gapFrom, a.gapTokens = now, 0
}

func (a *Answer) sent() hingeids.Tokens {
	return hingeids.Tokens(a.next)
}

// mend carries out rule 4 after a stream broke.
func (a *Answer) mend(cause error) error {
	a.record(hingeevents.StreamBroke, hingeevents.Fields{
		Server: a.decoder.Server,
		Count:  int64(a.next),
		Detail: cause.Error(),
	})
	a.stream.Close()
	next, final := a.afterFailure(cause, true)
	if final != nil {
		a.stream = nil
		a.dropStream(cause)
		return final
	}
	if next == hingeretry.Resume {
		if a.resume() {
			return nil
		}
		_, final = a.afterFailure(cause, false)
	}
	a.stream = nil
	a.dropStream(cause)
	if final != nil {
		return final
	}
	a.leave(0)
	return a.start()
}

// resume opens the stream again at the same engine, on a new connection.
func (a *Answer) resume() bool {
	d := a.dispatcher
	a.resumes++
	stream, err := d.Engines.Resume(a.ctx, a.decoder, a.exchange, a.next, d.Limits.TokenSilence)
	if err != nil {
		return false
	}
	a.stream = stream
	a.record(hingeevents.StreamResumed, hingeevents.Fields{
		Server: a.decoder.Server,
		Count:  int64(a.next),
	})
	return true
}

// dropStream ends the work at a decode engine that failed this request. The
// slot comes back only once the engine holds nothing for it, by rule 2.
func (a *Answer) dropStream(err error) {
	d, id, target := a.dispatcher, a.exchange, a.decoder
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	a.failed(target, err)
	d.Cancels.Cancel(target, id, func() {
		d.Slots.Release(id, target)
	})
	d.Owned.Disown(id)
}

// dropCache frees exported KV cache, if it was perhaps not imported.
func (a *Answer) dropCache() {
	if a.cache == nil {
		return
	}
	a.dispatcher.Meter.Wasted(a.cache.PromptTokens - a.cache.CachedTokens)
	a.cache = nil
	a.dispatcher.Cancels.Cancel(a.prefiller, a.prefillID, nil)
	a.dispatcher.Owned.Disown(a.prefillID)
}

func (a *Answer) leave(tokens int) {
	if a.entered {
		a.entered = false
		a.dispatcher.Gate.Leave(a.entry, tokens)
	}
}

// finish ends the answer, once, whole or not.
func (a *Answer) finish(err error) {
	if a.ended {
		return
	}
	a.ended = true
	d := a.dispatcher
	now := d.Now()
	took := now.Sub(a.work.Arrived)
	a.finished(now, err)
	if err == nil {
		a.stream.Close()
		a.stream = nil
		if a.suspect {
			d.Poisons.Passed(a.work.Print)
		}
		d.Slots.Release(a.exchange, a.decoder)
		d.Owned.Disown(a.exchange)
		a.leave(a.next)
		a.record(hingeevents.RequestAnswered, hingeevents.Fields{
			Server: a.decoder.Server,
			Took:   took,
			Count:  int64(a.next),
		})
		return
	}
	if a.stream != nil {
		a.dropStream(err)
	}
	a.dropCache()
	a.leave(0)
	a.record(hingeevents.RequestGivenUp, hingeevents.Fields{
		Took:   took,
		Count:  int64(a.next),
		Detail: err.Error(),
	})
}

// Close ends an answer that nobody reads to its end: its caller is gone.
func (a *Answer) Close() {
	a.finish(hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeCancelled, 0, errCallerGone))
}

var errCallerGone = errors.New("caller is gone")

func (a *Answer) record(n hingeevents.Number, f hingeevents.Fields) {
	f.Request = a.work.Request
	a.dispatcher.Recorder.Record(a.dispatcher.Now(), n, f)
}

func (a *Answer) recordPlaced(t hingeengine.Target, detail string) {
	a.record(hingeevents.RequestPlaced, hingeevents.Fields{
		Server: t.Server,
		Detail: detail,
	})
}
