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

func (p *Proxy) prefill(ctx context.Context, r *streamJob, id hingeids.ServerID, address string) (Cache, *hingeverdict.Error) {
	if address == "" {
		return Cache{}, p.notSent(id)
	}
	prefillCtx, stop := context.WithTimeout(ctx, prefillTimeout)
	defer stop()
	r.sentAt = p.settings.Clock()
	x, err := hingewire.Do(prefillCtx, p.settings.Dialer, address, r.message(p.dialect, ForwardInfo{
		Server:      id,
		Remaining:   p.remaining(r.job),
		PrefillOnly: true,
		LastEventID: r.relay.lastID,
	}))
	if err == nil || verdictOf(err).Verdict != hingeverdict.NotRun {
		r.messages++
	}
	if err != nil {
		return Cache{}, notRun(verdictOf(err).Code, err)
	}
	defer x.Close()
	reply := p.dialect.Reply(x.Response)
	p.recordNotice(r.job, id, true, reply, r.sentAt)
	if reply.ServerReplaced {
		return Cache{}, notRun(hingeverdict.CodeServerGone, eris.New("address belongs to another server"))
	}
	if x.Response.StatusCode != http.StatusOK || reply.ID != "" && reply.ID != r.info.ID {
		return Cache{}, notRun(hingeverdict.CodeServerRefused,
			eris.Errorf("prefill returned status %d", x.Response.StatusCode))
	}
	body, err := x.ReadBody(hingewire.MaxControlBytes, nil)
	if err != nil {
		return Cache{}, notRun(hingeverdict.CodeAnswerCut, err)
	}
	cache, err := p.dialect.Cache(address, body)
	if err != nil {
		return Cache{}, notRun(hingeverdict.CodeAnswerNotOurs, err)
	}
	return cache, nil
}

// notRun returns the error of a failed prefill. A prefill generates no part of an answer, so the request has not run,
// whatever the failure.
func notRun(code hingeverdict.Code, cause error) *hingeverdict.Error {
	return hingeverdict.New(hingeverdict.NotRun, code, minRetryAfter, cause)
}

// releaseCache frees an exported KV cache in the background (rule 5). It has its own context, since the caller may
// have disconnected.
func (p *Proxy) releaseCache(c Cache) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), freeTimeout)
		defer stop()
		method, path := p.dialect.FreeCall(c)
		x, err := hingewire.Do(ctx, p.settings.Dialer, c.Address, hingewire.OutgoingRequest{
			Method: method,
			Target: path,
			Host:   c.Address,
			Header: http.Header{},
		})
		if err != nil {
			// The engine frees the KV cache itself after its retention time.
			p.settings.Recorder.Record(p.settings.Clock(), hingeevents.CancelUnanswered, hingeevents.Fields{
				Detail: err.Error(),
			})
			return
		}
		x.Close()
	}()
}
