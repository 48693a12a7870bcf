package hingeproxy

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// prefill has an engine work the prompt.
func (p *Proxy) prefill(ctx context.Context, r *run, id hingeids.ServerID, address string) (Cache, *hingeverdict.Error) {
	if address == "" {
		return Cache{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, shortestRetry, nil)
	}
	one, stop := context.WithTimeout(ctx, prefillTime)
	defer stop()
	r.sentAt = p.settings.Clock()
	x, err := hingewire.Begin(one, address, r.sent(p.dialect, Sending{
		Server:  id,
		Left:    p.left(r.job),
		Prefill: true,
		After:   r.relay.last,
	}))
	if err == nil || verdictOf(err).Verdict != hingeverdict.NotRun {
		r.arrivals++
	}
	if err != nil {
		return Cache{}, notRun(verdictOf(err).Code, err)
	}
	defer x.Close()
	reply := p.dialect.Reply(x.Answer)
	if reply.Gone {
		return Cache{}, notRun(hingeverdict.CodeServerReplaced, eris.New("another server has the address"))
	}
	if x.Answer.StatusCode != http.StatusOK || reply.ID != "" && reply.ID != r.asked.ID {
		return Cache{}, notRun(hingeverdict.CodeServerRefused,
			eris.Errorf("prefill was answered with status %d", x.Answer.StatusCode))
	}
	body, err := x.Body()
	if err != nil {
		return Cache{}, notRun(hingeverdict.CodeAnswerTruncated, err)
	}
	cache, err := p.dialect.Cache(address, body)
	if err != nil {
		return Cache{}, notRun(hingeverdict.CodeAnswerMismatch, err)
	}
	return cache, nil
}

// notRun makes the error of a prefill: it produces no part of an answer, so the
// request itself has not run, whatever became of it.
func notRun(code hingeverdict.Code, cause error) *hingeverdict.Error {
	return hingeverdict.New(hingeverdict.NotRun, code, shortestRetry, cause)
}

// free gives an exported KV cache back (rule 5). The caller may be gone, so it has a
// context of its own.
func (p *Proxy) free(c Cache) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), freeTime)
		defer stop()
		method, path := p.dialect.Free(c)
		x, err := hingewire.Begin(ctx, c.Address, hingewire.Sent{
			Method: method,
			Target: path,
			Host:   c.Address,
			Header: http.Header{},
		})
		if err != nil {
			// It lapses within half a second.
			p.settings.Recorder.Record(p.settings.Clock(), hingeevents.CancelUnanswered, hingeevents.Fields{
				Detail: err.Error(),
			})
			return
		}
		x.Close()
	}()
}
