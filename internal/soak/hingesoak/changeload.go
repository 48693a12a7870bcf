package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// changeCaller sends requests on the routes that changes concern.
type changeCaller struct {
	caller  *caller
	changes *changes
	slow    bool
}

func newChangeCaller(c *changes, n int) *changeCaller {
	x := newCaller(c.fleet, c.checker, c.options.Seed, 1000+n)
	x.name = fmt.Sprint("change-caller-", n)
	return &changeCaller{
		caller:  x,
		changes: c,
		slow:    n >= changeCallers,
	}
}

func (x *changeCaller) run(ctx context.Context) {
	defer x.caller.client.CloseIdleConnections()
	for ctx.Err() == nil {
		x.sendOne(ctx)
		sleepUntil(ctx, time.Now().Add(time.Duration(x.caller.random.IntN(40))*time.Millisecond))
	}
}

func (x *changeCaller) sendOne(ctx context.Context) {
	prefix := slowPrefix
	if !x.slow {
		prefix = x.changes.pickPrefix(x.caller.random)
	}
	entry := x.caller.random.IntN(len(x.changes.fleet.entries))
	x.caller.sent++
	id := fmt.Sprintf("%s-%d", x.caller.name, x.caller.sent)
	x.changes.begin(time.Now(), id, probe{
		entry:  entry,
		prefix: prefix,
	})
	status, _ := x.caller.send(ctx, entry, id, prefix+"x")
	if ctx.Err() == nil {
		x.changes.end(time.Now(), id, status)
	}
}

// pickPrefix draws a route: a fixed or moved one, or, mostly newer ones, one that was added or is barred.
func (c *changes) pickPrefix(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch random.IntN(8) {
	case 0:
		return fixedPrefix
	case 1, 2, 3:
		if len(c.added) > 0 {
			return pickNewer(random, c.added)
		}
	case 4:
		if len(c.barred) > 0 {
			return pickNewer(random, c.barred)
		}
	}
	return movedRoute(random.IntN(movedRoutes))
}

// pickNewer draws one of a list; the last ones are the most frequent.
func pickNewer(random *rand.Rand, all []string) string {
	recent := min(len(all), 8)
	if random.IntN(4) == 0 {
		recent = len(all)
	}
	return all[len(all)-1-random.IntN(recent)]
}
