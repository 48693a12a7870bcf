package hingecaller

import (
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// hopHeaders belong to one connection and are not handed on.
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

// handleService hands a call of a plain service on.
func (s *Server) handleService(ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string) {
	service, ok := s.config.Catalogue.ServiceFor(path)
	if !ok {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeUnknownService, 0,
			eris.Errorf("no service at %.200q", path)))
		return
	}
	who, err := s.askerOf(ctx)
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
	class.Priority = who.rank(class.Priority)
	sent := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(sent)
	ctx.Request.CopyTo(sent)
	for _, h := range hopHeaders {
		sent.Header.Del(h)
	}
	sent.Header.Set("X-Request-Id", id.String())
	who.sign(sent)
	request, end := s.watch(ctx, id, deadline)
	defer end()
	err = s.config.Services.Do(request, &hingedispatch.Call{
		Request:  id,
		Caller:   who.name,
		Class:    class,
		Service:  service,
		Key:      hingeids.IdempotencyKey(ctx.Request.Header.Peek("Idempotency-Key")),
		Arrived:  now,
		Deadline: deadline,
		Sent:     sent,
		Answer:   &ctx.Response,
		Print: hingepoison.FingerprintOf(sent.Body(), string(who.name), string(sent.Header.Method()),
			string(sent.RequestURI())),
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
	head(ctx, id, hingeverdict.Ran)
}

// handleKeys issues an idempotency key.
func (s *Server) handleKeys(ctx *fasthttp.RequestCtx, id hingeids.RequestID) {
	if !ctx.IsPost() {
		refuse(ctx, id, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMethodNotAllowed, 0,
			eris.New("keys take POST")))
		return
	}
	who, err := s.askerOf(ctx)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	key, err := s.config.Keys.Issue(ctx, who.name)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	head(ctx, id, hingeverdict.Ran)
	writeJSON(ctx, fasthttp.StatusOK, struct {
		Key hingeids.IdempotencyKey `json:"key"`
	}{
		Key: key,
	})
}
