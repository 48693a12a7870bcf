package hingemetrics

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Health tracks whether a process is ready for requests, for the load balancer, and
// whether it is alive, for the supervisor. A process that waits for its configuration
// is alive but not ready. Its methods are safe for concurrent use.
type Health struct {
	events *hingeevents.Recorder
	// maxStall is the longest time between two iterations of the control loop.
	maxStall time.Duration

	mu            sync.Mutex
	unmet         []string
	ready         bool
	lastIteration time.Time
}

// NewHealth returns the health of a process that becomes ready when every condition is
// met. The process counts as hung if the control loop hasn't called RecordIteration for
// more than maxStall. A false positive terminates every stream, so maxStall should be
// many times the loop's longest sleep.
func NewHealth(events *hingeevents.Recorder, maxStall time.Duration, now time.Time, conditions ...string) *Health {
	return &Health{
		events:        events,
		maxStall:      maxStall,
		unmet:         slices.Clone(conditions),
		ready:         len(conditions) == 0,
		lastIteration: now,
	}
}

// SetCondition records whether a condition is met, and records an event if the process's
// readiness changes. The condition may be one that NewHealth didn't name.
func (h *Health) SetCondition(now time.Time, condition string, met bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.Index(h.unmet, condition)
	if met && i >= 0 {
		h.unmet = slices.Delete(h.unmet, i, i+1)
	}
	if !met && i < 0 {
		h.unmet = append(h.unmet, condition)
	}
	ready := len(h.unmet) == 0
	if ready == h.ready {
		return
	}
	h.ready = ready
	if ready {
		h.events.Record(now, hingeevents.ProcessReady, hingeevents.Fields{})
		return
	}
	h.events.Record(now, hingeevents.ProcessUnready, hingeevents.Fields{
		Detail: condition,
	})
}

// Ready reports whether the process accepts requests, and lists the unmet
// conditions, separated by commas.
func (h *Health) Ready() (ready bool, unmet string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready, strings.Join(h.unmet, ", ")
}

// RecordIteration records an iteration of the control loop.
func (h *Health) RecordIteration(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastIteration = now
}

// Alive reports whether the last iteration of the control loop is at most
// maxStall ago.
func (h *Health) Alive(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastIteration) <= h.maxStall
}
