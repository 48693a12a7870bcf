package hingeplacer

import (
	"context"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// timeouts are the timeouts for detecting a silent placer.
type timeouts struct {
	// suspectAfter is how long a request may be unanswered before the placer is probed, or the request retransmitted.
	suspectAfter time.Duration
	// probe is the timeout of the probe or of the retransmission.
	probe time.Duration
	// backoff is how long a silent placer gets no requests, so that not every request waits for its timeout. It doubles
	// with each consecutive failure, up to maxBackoff.
	backoff    time.Duration
	maxBackoff time.Duration
}

// streamTimeouts are for streams. Most requests are answered within a round trip, and some are held (holdTimeout). The
// times allow for the retransmission of a lost packet and for scheduling delays of a tenth of a second.
var streamTimeouts = timeouts{
	suspectAfter: 60 * time.Millisecond,
	probe:        150 * time.Millisecond,
	backoff:      500 * time.Millisecond,
	maxBackoff:   2 * time.Second,
}

// callTimeouts are for requests to plain services, whose callers wait for a tenth of a second. The two together leave
// time to choose a replica locally. A false alarm costs little: other hosts don't know of one request.
var callTimeouts = timeouts{
	suspectAfter: 50 * time.Millisecond,
	probe:        50 * time.Millisecond,
	backoff:      300 * time.Millisecond,
	maxBackoff:   time.Second,
}

// client sends requests to placers and detects silent ones. The link detects a suspended or partitioned host only
// after seconds.
type client struct {
	link     hingelink.Link
	clock    func() time.Time
	timeouts timeouts

	mu      sync.Mutex
	placers map[hingeids.HostID]*placerState
}

type placerState struct {
	lastSeen time.Time
	// silentUntil is the time before which the placer gets no requests. failures is the number of consecutive failures.
	silentUntil time.Time
	failures    int
	probing     bool
	// silent is closed when the placer is found silent, which cancels the requests in flight.
	silent chan struct{}
}

func newClient(link hingelink.Link, clock func() time.Time, t timeouts) *client {
	return &client{
		link:     link,
		clock:    clock,
		timeouts: t,
		placers:  make(map[hingeids.HostID]*placerState),
	}
}

// state returns the state of a placer and creates it on first use. The caller holds the lock.
func (c *client) state(h hingeids.HostID) *placerState {
	s := c.placers[h]
	if s == nil {
		s = &placerState{
			silent: make(chan struct{}),
		}
		c.placers[h] = s
	}
	return s
}

func (c *client) isSilent(h hingeids.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock().Before(c.state(h).silentUntil)
}

// call sends a request to a placer. It fails early if the placer is found silent.
func (c *client) call(ctx context.Context, h hingeids.HostID, m hingelink.Method, body []byte) ([]byte, error) {
	sentAt := c.clock()
	var answer []byte
	err := c.do(ctx, h, func(ctx context.Context) error {
		probeTimer := time.AfterFunc(c.timeouts.suspectAfter, func() {
			c.probe(ctx, h, sentAt)
		})
		defer probeTimer.Stop()
		var err error
		answer, err = c.link.Call(ctx, h, m, body)
		return err
	})
	return answer, err
}

// do runs a request and records whether the placer answered. The request's context is cancelled if the placer is
// found silent.
func (c *client) do(ctx context.Context, h hingeids.HostID, request func(ctx context.Context) error) error {
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	silent := c.state(h).silent
	c.mu.Unlock()
	go func() {
		select {
		case <-silent:
			cancel()
		case <-requestCtx.Done():
		}
	}()
	err := request(requestCtx)
	if ctx.Err() == nil {
		c.recordResult(h, err)
	}
	return err
}

// probe checks a placer that hasn't answered anything since a request was sent. There is at most one probe in flight
// per placer, and it is cancelled with its request.
func (c *client) probe(ctx context.Context, h hingeids.HostID, sentAt time.Time) {
	c.mu.Lock()
	s := c.state(h)
	if s.probing || s.lastSeen.After(sentAt) || ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	s.probing = true
	c.mu.Unlock()
	probeCtx, cancel := context.WithTimeout(ctx, c.timeouts.probe)
	defer cancel()
	_, err := c.link.Call(probeCtx, h, methodProbe, nil)
	c.mu.Lock()
	s.probing = false
	c.mu.Unlock()
	if ctx.Err() == nil {
		c.recordResult(h, err)
	}
}

func (c *client) recordResult(h hingeids.HostID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(h)
	now := c.clock()
	if err == nil {
		s.lastSeen = now
		s.failures = 0
		return
	}
	if now.Before(s.silentUntil) {
		return
	}
	s.silentUntil = now.Add(min(c.timeouts.backoff<<min(s.failures, 4), c.timeouts.maxBackoff))
	s.failures++
	close(s.silent)
	s.silent = make(chan struct{})
}
