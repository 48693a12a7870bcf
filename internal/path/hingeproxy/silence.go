package hingeproxy

import (
	"time"
)

// watchSilence ends an exchange that has gone silent, if another engine may go on
// with the stream. If none may, a silent engine is still the caller's best chance.
func (p *Proxy) watchSilence(r *run, stop func()) *silence {
	s := &silence{}
	mayMove := r.route.MayRepeat() && r.runs+1 < r.route.Attempts
	s.timer = time.AfterFunc(stallTime, func() {
		if mayMove && p.reserve(r.job) {
			stop()
			return
		}
		s.moved()
	})
	return s
}

// reserve takes a repeat from the budget for a stream that is about to be moved.
func (p *Proxy) reserve(j *job) bool {
	if j.deadline.Sub(p.settings.Clock()) < stallTime || !p.take(j, j.costs()) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j.reserved = true
	return true
}

// silence is the watch on an exchange.
type silence struct {
	timer *time.Timer
}

func (s *silence) moved() {
	s.timer.Reset(stallTime)
}

func (s *silence) end() {
	s.timer.Stop()
}
