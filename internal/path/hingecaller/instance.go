package hingecaller

import (
	"context"
	"sync"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// requests holds the cancel functions of the requests in progress. It is safe for
// concurrent use.
type requests struct {
	mu      sync.Mutex
	cancels map[hingeids.RequestID]context.CancelFunc
}

func (r *requests) add(id hingeids.RequestID, cancel context.CancelFunc) (remove func()) {
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

// EndInstance cancels all requests in progress and refuses new ones until
// StartInstance is called with another instance. It is called when the other
// hosts have declared this instance ended and cancel its requests at the
// engines, so that no more tokens would arrive.
func (s *Server) EndInstance() {
	s.instanceEnded.Store(true)
	s.requests.cancelAll()
}

// StartInstance starts another instance, whose id later requests carry. It has no
// effect if the instance is the current one.
func (s *Server) StartInstance(instance hingeids.Instance) {
	if *s.instance.Load() == instance {
		return
	}
	s.instance.Store(&instance)
	s.instanceEnded.Store(false)
}
