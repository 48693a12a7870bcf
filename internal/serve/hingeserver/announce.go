package hingeserver

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

func (s *Server) handleAnnouncements(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/v1/announce" || !ctx.IsPost() {
		ctx.Error(`{"error":{"message":"POST /v1/announce is what this address takes"}}`, fasthttp.StatusNotFound)
		return
	}
	a, err := hingeannounce.Parse(ctx.PostBody())
	var refused *hingeannounce.ParseError
	switch {
	case errors.As(err, &refused):
		ctx.Error(refused.Error(), fasthttp.StatusBadRequest)
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	default:
		s.shared.members.Announce(a)
	}
}
