package hingestandin

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// handleService runs a call of a plain service. It counts the run under the
// call's Idempotency-Key and echoes the path and the body.
func (s *Server) handleService(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	s.updateCounts(func(c *Counts) {
		c.Requests++
	})
	if s.faults.consume(RefuseRequest) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "refused", false)
		return
	}
	s.mu.Lock()
	s.counts.Runs++
	runs := 1
	if key != "" {
		s.runs[key]++
		runs = s.runs[key]
	}
	s.mu.Unlock()
	switch {
	case s.crashIfPoisoned(string(ctx.Path())):
		return
	case s.faults.consume(CloseBeforeAnswer):
		_ = ctx.Conn().Close()
		return
	case s.faults.consume(Late):
		time.Sleep(lateDelay)
	case s.faults.consume(Stall):
		<-s.done
		return
	}
	reply(ctx, fasthttp.StatusOK, struct {
		Server hingeids.ServerID `json:"server"`
		Path   string            `json:"path"`
		Echo   string            `json:"echo"`
		Runs   int               `json:"runs"`
	}{
		Server: s.options.Server,
		Path:   string(ctx.Path()),
		Echo:   string(ctx.PostBody()),
		Runs:   runs,
	})
	if s.faults.consume(ForeignAnswer) {
		ctx.Response.Header.Set("X-Request-Id", "another-request.1.1")
	}
}
