package hingecaller

import (
	"context"
	"sync"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// requests are the requests in progress, so that all can be ended at once.
type requests struct {
	mu      sync.Mutex
	cancels map[hingeids.RequestID]context.CancelFunc
}

func (r *requests) add(id hingeids.RequestID, cancel context.CancelFunc) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = make(map[hingeids.RequestID]context.CancelFunc)
	}
	r.cancels[id] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, id)
	}
}

func (r *requests) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel()
	}
}

// EndLife gives every request in progress its final answer. Others have
// declared this life over and cancel what engines hold for it: without this,
// a caller would wait for tokens that never come. Requests are refused until
// the next life begins, since one under the old life would be cancelled too.
func (s *Server) EndLife() {
	s.betweenLives.Store(true)
	s.requests.cancelAll()
}

// BeginLife names later requests by another life.
func (s *Server) BeginLife(l hingeids.Instance) {
	if *s.life.Load() == l {
		return
	}
	s.life.Store(&l)
	s.betweenLives.Store(false)
}
