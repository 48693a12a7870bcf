package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// changeOperator sends changes. Two at once draw their versions from the same numbers and send to different hosts.
type changeOperator struct {
	changes *changes
	random  *rand.Rand
}

func newChangeOperator(c *changes, n int) *changeOperator {
	return &changeOperator{
		changes: c,
		random:  rand.New(rand.NewPCG(c.options.Seed, uint64(2000+n))),
	}
}

const (
	// maxTries is how often a change without a clear answer is sent.
	maxTries = 20
	// retryPause is the pause before it is sent again.
	retryPause = 100 * time.Millisecond
)

// run sends changes until ctx is done. The servers of added services run until serverCtx is done.
func (o *changeOperator) run(ctx, serverCtx context.Context) {
	for ctx.Err() == nil {
		x, name := o.changes.drawChange(o.random)
		startServers := o.prepareServers(serverCtx, name)
		for try := 0; try < maxTries && ctx.Err() == nil && !o.send(ctx, x, orderFirst); try++ {
			sleepUntil(ctx, time.Now().Add(retryPause))
		}
		startServers()
		o.sendFurther(ctx)
		sleepUntil(ctx, time.Now().Add(o.pause()))
	}
}

// pause draws the time between two changes: mostly less than applyBound, often longer. In each third seed changes follow each other
// so that a host that is cut off or suspended for a little over applyBound has missed one.
func (o *changeOperator) pause() time.Duration {
	if o.changes.options.Seed%3 == 0 {
		return time.Duration(o.random.IntN(300)) * time.Millisecond
	}
	if o.random.IntN(3) == 0 {
		return applyBound + time.Duration(200+o.random.IntN(1500))*time.Millisecond
	}
	return time.Duration(o.random.IntN(900)) * time.Millisecond
}

// prepareServers starts the servers of an added service before the change, with it, or by the function that it returns.
func (o *changeOperator) prepareServers(ctx context.Context, name hingeids.Service) func() {
	if name == "" {
		return func() {}
	}
	start := func() {
		o.changes.startFresh(ctx, o.random, name)
	}
	switch o.random.IntN(3) {
	case 0:
		start()
		sleepUntil(ctx, time.Now().Add(time.Duration(o.random.IntN(1500))*time.Millisecond))
	case 1:
		start()
	default:
		return start
	}
	return func() {}
}

// startFresh starts the servers of an added service. In a run with late reports some of theirs are late.
func (c *changes) startFresh(ctx context.Context, random *rand.Rand, name hingeids.Service) {
	var servers []*server
	for i := range serversPerService {
		x := c.newServer(name, i)
		if c.options.LateReports && random.IntN(2) == 0 {
			x.reports.begin(fault{
				reports:  1 + random.IntN(4),
				again:    random.IntN(2) == 0,
				duration: time.Duration(1200+random.IntN(4000)) * time.Millisecond,
			})
		}
		if err := x.start(ctx, c.fleet); err != nil {
			_, _ = fmt.Fprintln(c.options.Out, err)
			continue
		}
		servers = append(servers, x)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fresh[name] = servers
}

// sendFurther sends what must change nothing: a change again, an older one, other content under the version held, and what is
// invalid.
func (o *changeOperator) sendFurther(ctx context.Context) {
	if x := o.changes.acked(o.random, true); x != nil && o.random.IntN(3) == 0 {
		o.send(ctx, x, orderAgain)
	}
	if x := o.changes.acked(o.random, false); x != nil && o.random.IntN(4) == 0 {
		o.send(ctx, x, orderOlder)
	}
	if x := o.changes.acked(o.random, true); x != nil && o.random.IntN(4) == 0 {
		o.sendBarred(ctx, o.changes.drawOther(x.version), orderOther)
	}
	if o.random.IntN(3) == 0 {
		o.sendBarred(ctx, o.changes.drawInvalid(), orderInvalid)
	}
}

// sendBarred sends what must not be obeyed to a few control hosts.
func (o *changeOperator) sendBarred(ctx context.Context, x *change, kind order) {
	for range 1 + o.random.IntN(2) {
		o.send(ctx, x, kind)
	}
}

// send sends a change once, to any control host, and reports whether it was acknowledged. Some answers are lost.
func (o *changeOperator) send(ctx context.Context, x *change, kind order) bool {
	c := o.changes
	hosts := c.fleet.controlHosts()
	host := hosts[o.random.IntN(len(hosts))]
	callCtx, stop := context.WithTimeout(ctx, callTimeout)
	if o.random.IntN(6) == 0 {
		stop()
		callCtx, stop = context.WithTimeout(ctx, time.Duration(1+o.random.IntN(30))*time.Millisecond)
	}
	defer stop()
	newest := c.recordSent(time.Now(), x)
	status, _, err := call(callCtx, host.settings.ControlAddress, x.call)
	if err != nil {
		// Nothing is known: the change may be accepted.
		return false
	}
	return c.recordAnswer(time.Now(), x, kind, status, newest, host.name)
}

// drawChange returns the next version, and the service that it adds, if any.
func (c *changes) drawChange(random *rand.Rand) (*change, hingeids.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += uint64(1 + random.IntN(7))
	fresh := hingeids.Service("")
	if len(c.history.changes) > 0 {
		fresh = c.draft.mutate(random, c.version)
	}
	x := c.draft.change(c.version)
	if own := ownPrefix(addedPrefix, c.version); x.has(own) {
		c.added = append(c.added, own)
	}
	if own := ownPrefix(freshPrefix, c.version); x.has(own) {
		c.added = append(c.added, own)
	}
	return x, fresh
}

func (c *changes) drawOther(version uint64) *change {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.barred = append(c.barred, ownPrefix(barredPrefix, version))
	return c.draft.other(c.random, version)
}

func (c *changes) drawInvalid() *change {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += uint64(1 + c.random.IntN(3))
	c.barred = append(c.barred, ownPrefix(barredPrefix, c.version))
	return c.draft.invalid(c.random, c.version)
}

// acked returns the newest acknowledged change, or an older valid one, or nil.
func (c *changes) acked(random *rand.Rand, newest bool) *change {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.history.due(time.Now(), 0)
	var older []*change
	for _, x := range c.history.changes {
		switch {
		case x.barred != "":
		case x.version == due && newest:
			return x
		case x.version < due:
			older = append(older, x)
		}
	}
	if newest || len(older) == 0 {
		return nil
	}
	return older[random.IntN(len(older))]
}

// recordSent records that a change is sent, and returns the highest valid version that was sent before.
func (c *changes) recordSent(now time.Time, x *change) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newestSent()
	if x.sentAt.IsZero() {
		c.history.addSent(now, x)
	}
	return newest
}

func (c *changes) newestSent() uint64 {
	newest := uint64(0)
	for _, x := range c.history.changes {
		if x.barred == "" {
			newest = max(newest, x.version)
		}
	}
	return newest
}

// recordAnswer judges the answer to an operator, and reports whether it acknowledges the change. A refusal of a change that is
// sent again counts as one of that only if no newer one was sent before; else it is one of a valid change.
func (c *changes) recordAnswer(now time.Time, x *change, kind order, status int, newest uint64, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == orderAgain && newest > x.version {
		kind = orderOlder
	}
	if guarantee := judgeAnswer(kind, status); guarantee != "" {
		c.checker.recordViolation(guarantee, "", fmt.Sprintf("%s: version %d, sent as %s, is answered with status %d", host, x.version, kind, status))
	}
	if status != http.StatusOK || x.barred != "" {
		return false
	}
	if x.ackedAt.IsZero() {
		x.ackedAt = now
		c.checker.recordAccepted(x.version)
	}
	return true
}

// sendNext draws a version, sends it once and reports whether it was accepted.
func (c *changes) sendNext(ctx context.Context) bool {
	c.mu.Lock()
	o := &changeOperator{
		changes: c,
		random:  rand.New(rand.NewPCG(c.random.Uint64(), 0)),
	}
	c.mu.Unlock()
	// A service that it adds gets no servers, so that its route is judged by 404 only.
	x, _ := c.drawChange(o.random)
	return o.send(ctx, x, orderFirst)
}

const (
	// readPause is the pause between two reads at a control host, which don't wait for each other: some are sent to a host
	// while it is suspended or starts.
	readPause = 200 * time.Millisecond
	// readTimeout is longer than a suspension.
	readTimeout = 8 * time.Second
)

var readClient = &http.Client{
	Timeout: readTimeout,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// read reads the configuration at the ith control host until the context is done.
func (c *changes) read(ctx context.Context, i int) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for ctx.Err() == nil {
		host := c.fleet.controlHosts()[i]
		reads.Go(func() {
			c.readAt(ctx, host.settings.ControlAddress)
		})
		sleepUntil(ctx, time.Now().Add(readPause))
	}
}

// readAt reads from one control host and judges the answer. It returns false, and what was answered, if the host returned none.
func (c *changes) readAt(ctx context.Context, address string) (bool, string) {
	sentAt := time.Now()
	status, body, err := callBy(ctx, readClient, address, wire.Get())
	if err != nil || status != http.StatusOK {
		return false, fmt.Sprintf("status %d %s, %v", status, tail(string(body)), err)
	}
	v, err := wire.Version(body)
	if err != nil {
		c.checker.recordViolation(readAsSent, "", fmt.Sprintf("%s: %v", address, err))
		return true, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, bound := range []time.Duration{applyBound, 0} {
		if guarantee, detail := c.history.judgeRead(sentAt, bound, v, body); guarantee != "" {
			c.checker.recordViolation(guarantee, "", address+": "+detail)
			break
		}
	}
	return true, ""
}

// readBack reads the configuration at each control host for the contact time, at the end. Each must return it.
func (c *changes) readBack(ctx context.Context) {
	var reads sync.WaitGroup
	for _, p := range c.fleet.controlHosts() {
		reads.Go(func() {
			good, detail := 0, ""
			for end := time.Now().Add(contactBound); time.Now().Before(end) && ctx.Err() == nil; {
				ok, answer := c.readAt(ctx, p.settings.ControlAddress)
				if ok {
					good++
				} else {
					detail = answer
				}
				sleepUntil(ctx, time.Now().Add(retryPause))
			}
			if good == 0 {
				c.checker.recordViolation(readableAtTheEnd, "", p.name+": "+detail)
			}
		})
	}
	reads.Wait()
}
