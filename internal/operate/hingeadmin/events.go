package hingeadmin

import (
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/observe/hingetimeline"
)

func (h *Handler) events(c *fasthttp.RequestCtx) {
	since, err := numberArgument(c, "since")
	if err != nil {
		respondError(c, err)
		return
	}
	respond(c, h.source(int64(since)))
}

func (h *Handler) explain(c *fasthttp.RequestCtx) {
	request, err := hingeids.ParseRequestID(string(c.QueryArgs().Peek("request")))
	if err != nil {
		respondError(c, malformed(err))
		return
	}
	s := h.source(0)
	timeline := hingetimeline.Merge([]hingetimeline.Source{s}, nil)
	s.Events = timeline.Explain(request).Events
	if s.Events == nil {
		s.Events = []hingeevents.Event{}
	}
	respond(c, s)
}

func (h *Handler) source(since int64) hingetimeline.Source {
	kept := h.Events.Events()
	s := hingetimeline.Source{
		Instance: h.Events.Instance(),
		Events:   make([]hingeevents.Event, 0, len(kept)),
		// If an event older than since is retained, no event since then was dropped.
		Dropped: h.Events.Dropped() && (len(kept) == 0 || kept[0].Stamp.Wall >= since),
	}
	for _, e := range kept {
		if e.Stamp.Wall >= since {
			s.Events = append(s.Events, e)
		}
	}
	return s
}
