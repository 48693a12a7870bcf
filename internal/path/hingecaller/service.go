package hingecaller

import (
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

func (s *Server) handleService(ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string) {
	service, ok := s.config.Catalogue.ServiceFor(path)
	if !ok {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeUnknownService, 0,
			eris.Errorf("no service is configured for the path %.200q", path)))
		return
	}
	requester, err := s.identify(ctx)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	now := s.config.Now()
	class := s.config.Catalogue.Classify("", service, path, string(ctx.Method()))
	deadline, err := deadlineOf(ctx, class, now)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	class.Priority = requester.effectivePriority(class.Priority)
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	ctx.Request.CopyTo(outgoing)
	for _, h := range hopHeaders {
		outgoing.Header.Del(h)
	}
	outgoing.Header.Set("X-Request-Id", id.String())
	requester.setCallerHeader(outgoing)
	requestCtx, release := s.watch(ctx, id, deadline)
	defer release()
	err = s.config.Services.Do(requestCtx, &hingedispatch.Call{
		Request:        id,
		Caller:         requester.name,
		Class:          class,
		Service:        service,
		Key:            hingeids.IdempotencyKey(ctx.Request.Header.Peek("Idempotency-Key")),
		Arrived:        now,
		Deadline:       deadline,
		ReplicaRequest: outgoing,
		Response:       &ctx.Response,
		Fingerprint: hingepoison.FingerprintOf(outgoing.Body(), string(requester.name), string(outgoing.Header.Method()),
			string(outgoing.RequestURI())),
	})
	if err != nil {
		ctx.Response.Reset()
		refuse(ctx, id, err)
		return
	}
	for _, h := range hopHeaders {
		ctx.Response.Header.Del(h)
	}
	ctx.Response.Header.ResetConnectionClose()
	setAnswerHeaders(ctx, id, hingeverdict.Ran)
}

// handleKeys issues an idempotency key.
func (s *Server) handleKeys(ctx *fasthttp.RequestCtx, id hingeids.RequestID) {
	if !ctx.IsPost() {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMethodNotAllowed, 0,
			eris.New("key requests must use POST")))
		return
	}
	requester, err := s.identify(ctx)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	key, err := s.config.Keys.Issue(ctx, requester.name)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	setAnswerHeaders(ctx, id, hingeverdict.Ran)
	writeJSON(ctx, fasthttp.StatusOK, struct {
		Key hingeids.IdempotencyKey `json:"key"`
	}{
		Key: key,
	})
}
