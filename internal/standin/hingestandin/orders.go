package hingestandin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

type order struct {
	Fence   hingeids.Fence     `json:"fence"`
	Kind    string             `json:"kind"`
	Model   hingeids.Model     `json:"model"`
	Version string             `json:"version"`
	Adapter string             `json:"adapter"`
	Role    hingeannounce.Kind `json:"role"`
}

// engineState is the part of an engine's state that orders change.
type engineState struct {
	version  string
	adapters []string
	loading  bool
	fence    hingeids.Fence
}

// An order is answered before the load is complete.
const loadDuration = 100 * time.Millisecond

func (s *Server) kind() hingeannounce.Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Kind
}

// handleOrder executes an order. An old fencing number is refused if the engine
// checks it, else the order is executed and counted in StaleOrders.
func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed", false)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Orders++
	if o.Fence < s.engineState.fence {
		if s.options.ChecksFence {
			s.counts.RefusedOrders++
			replyError(ctx, fasthttp.StatusConflict, "oldFence", false)
			return
		}
		s.counts.StaleOrders++
	}
	s.engineState.fence = max(s.engineState.fence, o.Fence)
	switch o.Kind {
	case "loadModel":
		s.startLoad(func() {
			s.options.Model, s.engineState.version = o.Model, o.Version
		})
	case "loadAdapter":
		s.startLoad(func() {
			s.engineState.adapters = append(s.engineState.adapters, o.Adapter)
		})
	case "changeRole":
		s.options.Kind = o.Role
	default:
		replyError(ctx, fasthttp.StatusBadRequest, "unknownOrder", false)
		return
	}
	reply(ctx, fasthttp.StatusOK, o)
}

func (s *Server) startLoad(apply func()) {
	s.engineState.loading = true
	time.AfterFunc(loadDuration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.engineState.loading = false
		apply()
	})
}

func (s *Server) handleState(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, struct {
		Model    hingeids.Model     `json:"model"`
		Version  string             `json:"version"`
		Adapters []string           `json:"adapters"`
		Role     hingeannounce.Kind `json:"role"`
		Loading  bool               `json:"loading"`
	}{
		Model:    s.options.Model,
		Version:  s.engineState.version,
		Adapters: s.engineState.adapters,
		Role:     s.options.Kind,
		Loading:  s.engineState.loading,
	})
}
