package hingeproxy

import (
	"time"
)

// watchStall cancels an exchange without events for stallTimeout if another engine may resume the stream. If none
// may, the exchange continues, since the engine may still answer.
func (p *Proxy) watchStall(r *streamJob, stop func()) *stallWatch {
	s := &stallWatch{}
	mayResume := r.route.MayRetry() && r.runs+1 < r.route.Attempts
	s.timer = time.AfterFunc(stallTimeout, func() {
		if mayResume && p.reserveRetry(r.job) {
			stop()
			return
		}
		s.reset()
	})
	return s
}

// reserveRetry charges the retry of a stalled stream to the budget before its exchange is cancelled.
func (p *Proxy) reserveRetry(j *job) bool {
	if j.deadline.Sub(p.settings.Clock()) < stallTimeout || !p.spend(j, j.unpaidMessages()) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j.reserved = true
	return true
}

// stallWatch is the timer of an exchange.
type stallWatch struct {
	timer *time.Timer
}

func (s *stallWatch) reset() {
	s.timer.Reset(stallTimeout)
}

func (s *stallWatch) cancel() {
	s.timer.Stop()
}
