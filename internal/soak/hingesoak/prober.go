package hingesoak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// prober sends requests to entry hosts on the routes that versions have added.
type prober struct {
	caller *caller
}

func newProber(name string, f *fleet, c *checker, seed uint64) *prober {
	p := newCaller(f, c, seed, minCallers+1)
	p.name = name
	return &prober{
		caller: p,
	}
}

// run probes random entry hosts until the context is done: the newest accepted version, or one that has to be in force.
func (p *prober) run(ctx context.Context) {
	defer p.caller.client.CloseIdleConnections()
	for ctx.Err() == nil {
		p.probe(ctx, p.caller.random.IntN(len(p.caller.fleet.entries)), p.caller.random.IntN(2) == 0)
		sleepUntil(ctx, time.Now().Add(50*time.Millisecond))
	}
}

// probe sends one request, checks that the version is in force where it has to be, and reports whether it was answered.
func (p *prober) probe(ctx context.Context, entry int, due bool) bool {
	c := p.caller
	v, must := c.checker.pickVersion(entry, due, c.fleet.lost.lastChange())
	if v == 0 {
		return false
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	status, ok := c.send(ctx, entry, id, ownRoute(v)+"x")
	switch {
	case ok:
		c.checker.recordInForce(entry, v)
	case status == http.StatusNotFound && must != "":
		c.checker.recordViolation(must, id, fmt.Sprintf("entry host %d doesn't know the route of version %d", entry+1, v))
	}
	return ok
}

// checkInForce checks that every entry host serves the route of the newest version, which was accepted applyBound ago.
func (p *prober) checkInForce(ctx context.Context) {
	for i, e := range p.caller.fleet.entries {
		if !waitFor(ctx, applyBound, func() bool {
			return p.probe(ctx, i, true)
		}) {
			p.caller.checker.recordViolation("a route that was added is served", "", e.name+" doesn't serve that of the newest version")
		}
	}
}

// acceptance is a version and when it was accepted.
type acceptance struct {
	version uint64
	at      time.Time
}

// inForce is the newest version that an entry host is known to have obeyed since its last fault, which was at faultAt.
type inForce struct {
	version uint64
	faultAt time.Time
}

// pickVersion returns the newest accepted version, or if due is set the newest one that was accepted applyBound ago, and
// the guarantee that is violated if the entry host doesn't know its route, or "". changedAt is when the last loss began or ended.
func (c *checker) pickVersion(entry int, due bool, changedAt time.Time) (v uint64, must string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := len(c.acceptances) - 1; i >= 0; i-- {
		a := c.acceptances[i]
		if due && now.Sub(a.at) < applyBound {
			continue
		}
		e := c.inForce[entry]
		switch {
		case a.version <= e.version:
			must = "a version in force at a host stays in force"
		case now.Sub(a.at) >= applyBound && a.at.Sub(e.faultAt) >= contactBound && a.at.Sub(changedAt) >= contactBound:
			must = "an accepted change is in force within 2 s"
		}
		return a.version, must
	}
	return 0, ""
}

// recordInForce records that an entry host has served the route of a version.
func (c *checker) recordInForce(entry int, v uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.inForce[entry]
	e.version = max(e.version, v)
	c.inForce[entry] = e
}
