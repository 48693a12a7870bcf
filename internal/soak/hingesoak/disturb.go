package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Random sources of the disturbances, so that the other faults of a seed are the same with and without them.
const (
	linksSource = 21 + iota
	stopsSource
	staleSource
	finalSource
	touchSource
)

// touchInterval is how often hosts are recorded as out of touch while a disturbance lasts.
const touchInterval = 50 * time.Millisecond

func checkDisturbances(o Options) error {
	for _, d := range o.Disturbances {
		if !slices.Contains(Disturbances(), d) {
			return eris.Errorf("disturbance is %q, want one of %v", d, Disturbances())
		}
	}
	return nil
}

// startDisturbances plays the disturbances of the seed until the context is done. playing ends when the last one has begun.
func (s *soak) startDisturbances(ctx context.Context, operator *operator, playing *sync.WaitGroup) {
	if len(s.options.Disturbances) == 0 {
		return
	}
	source := func(n uint64) *rand.Rand {
		return rand.New(rand.NewPCG(s.options.Seed, n))
	}
	if s.changes == nil {
		s.load.Go(func() {
			newTouchProber(s, source(touchSource)).run(ctx)
		})
	}
	if s.options.disturbs(DisturbedLinks) {
		playing.Go(func() {
			s.playLinks(ctx, planLinks(source(linksSource), s.options))
		})
	}
	if s.options.disturbs(DisturbedStops) {
		playing.Go(func() {
			s.playStops(ctx, operator, planStops(source(stopsSource), s.options))
		})
	}
	if s.options.disturbs(StaleOperators) {
		s.load.Go(func() {
			newStaleOperator(operator, source(staleSource)).run(ctx)
		})
	}
}

// calm reports whether nothing may begin at a moment of the run, so that hosts come in touch.
func (o Options) calm(at time.Duration) bool {
	return o.Changes && at%faultPeriod > faultyTime
}

func (s *soak) playLinks(ctx context.Context, faults []linkFault) {
	begin := time.Now()
	for _, f := range faults {
		if s.options.calm(f.at) {
			continue
		}
		if !sleepUntil(ctx, begin.Add(f.at)) {
			return
		}
		_, _ = fmt.Fprintf(s.options.Out, "%8.3f s %s\n", f.at.Seconds(), f)
		s.checker.countFault()
		s.fleet.faults.Go(func() {
			s.fleet.impairLinks(f)
		})
	}
}

// impairLinks applies a disturbance of links and returns after its end.
func (x *fleet) impairLinks(f linkFault) {
	paths := x.linkPaths(f)
	if f.mode == linkSilent {
		x.relay.silenceOpen(paths)
	} else {
		defer x.relay.impair(paths, f.impairment)()
	}
	for end := time.Now().Add(f.duration); ; time.Sleep(touchInterval) {
		x.recordLinkFault(f)
		if f.mode == linkSilent || time.Now().After(end) {
			return
		}
	}
}

// recordLinkFault records which hosts a disturbance of links takes out of touch: entry hosts without a sound path to a control
// host, and all hosts while links of control hosts to each other are disturbed.
func (x *fleet) recordLinkFault(f linkFault) {
	for _, other := range f.others {
		switch {
		case f.host.control && other.control:
			x.lost.touch()
		case f.host.control:
			x.recordOutOfTouch(other.index)
		case other.control || f.mode != linkCut:
			x.recordOutOfTouch(f.host.index)
		}
		if !f.host.control && !other.control && f.mode != linkCut {
			x.recordOutOfTouch(other.index)
		}
	}
}

func (x *fleet) hostOf(h hostRef) *process {
	if h.control {
		return x.controlHosts()[h.index]
	}
	return x.entries[h.index]
}

// linkPaths returns the paths that a disturbance of links affects.
func (x *fleet) linkPaths(f linkFault) []path {
	var out []path
	host := x.hostOf(f.host).settings.IP
	for _, other := range f.others {
		there := path{
			from: host,
			to:   x.hostOf(other).settings.IP,
		}
		back := path{
			from: there.to,
			to:   there.from,
		}
		if f.direction != oneWayOf {
			out = append(out, there)
		}
		if f.direction != oneWayTo {
			out = append(out, back)
		}
	}
	return out
}

// playStops stops entry hosts in the middle of changes. One with another fault is passed over.
func (s *soak) playStops(ctx context.Context, operator *operator, faults []stopFault) {
	begin := time.Now()
	for _, f := range faults {
		if s.options.calm(f.at) {
			continue
		}
		if !sleepUntil(ctx, begin.Add(f.at)) {
			return
		}
		p := s.fleet.entries[f.entry]
		if !p.mu.TryLock() {
			continue
		}
		_, _ = fmt.Fprintf(s.options.Out, "%8.3f s %s\n", f.at.Seconds(), f)
		s.checker.countFault()
		s.load.Go(func() {
			operator.sendNext(ctx, 1)
		})
		time.Sleep(f.after)
		p.signal(syscall.SIGSTOP)
		s.fleet.recordOutOfTouch(f.entry)
		s.fleet.faults.Go(func() {
			defer p.mu.Unlock()
			time.Sleep(f.duration)
			p.signal(syscall.SIGCONT)
			s.fleet.recordOutOfTouch(f.entry)
		})
	}
}

// playFinal kills all hosts around a change, takes a disk, and checks the reads after it. It waits until no host is lost.
func (s *soak) playFinal(ctx context.Context, operator *operator) {
	f := planFinal(rand.New(rand.NewPCG(s.options.Seed, finalSource)), s.options)
	all := make([]int, s.options.Controls)
	for i := range all {
		all[i] = i
	}
	s.fleet.controlDown.Lock()
	defer s.fleet.controlDown.Unlock()
	for !s.fleet.lost.admits(1, all, []int{f.strike.index}) {
		if !sleepUntil(ctx, time.Now().Add(admitInterval)) {
			return
		}
	}
	_, _ = fmt.Fprintf(s.options.Out, "%8.3f s %s\n", time.Since(s.startedAt).Seconds(), f)
	if f.afterAck {
		s.awaitNewAck(ctx)
	} else {
		s.load.Go(func() {
			operator.sendNext(ctx, 1)
		})
		time.Sleep(f.after)
	}
	s.checker.countFault()
	s.fleet.lost.begin(all...)
	s.fleet.injectLoss(f.strike, all)
	s.checkReads(ctx, operator)
}

// ackPerRoute is how much later than ackBound a change may be accepted for each route that it has.
const ackPerRoute = 3 * time.Millisecond

// awaitNewAck waits until one of the operators' changes is accepted.
func (s *soak) awaitNewAck(ctx context.Context) {
	before := s.checker.newestVersion()
	routes := min(s.options.Growth*int(before), maxRoutes)
	bound := contactBound + ackBound + time.Duration(routes)*ackPerRoute
	for begin := time.Now(); s.checker.newestVersion() == before; {
		if time.Since(begin) > bound {
			s.checker.recordViolation("a change is accepted", "", fmt.Sprintf("none within %v without a fault of control hosts", bound))
			return
		}
		if !sleepUntil(ctx, time.Now().Add(admitInterval)) {
			return
		}
	}
}

// touch records a fault that affects no single control host alone.
func (l *lossCount) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changedAt = time.Now()
}

func (x *fleet) recordOutOfTouch(entry int) {
	x.entries[entry].disturbance.touch(time.Now())
	x.checker.recordOutOfTouch(entry)
}

// touch records that the process was disturbed, other than by a signal.
func (d *disturbance) touch(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changedAt = now
}

// recordOutOfTouch excuses an entry host from changes for contactBound. As it isn't restarted, it keeps what was in force.
func (c *checker) recordOutOfTouch(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.inForce[entry]
	e.faultAt = time.Now()
	c.inForce[entry] = e
}

// dueVersion returns the newest version that was accepted applyBound ago, if the entry host has been in touch for contactBound, or
// zero. changedAt is when a fault of the control hosts last began or ended.
func (c *checker) dueVersion(entry int, now, changedAt time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.inForce[entry].faultAt) < contactBound || now.Sub(changedAt) < contactBound {
		return 0
	}
	for _, a := range slices.Backward(c.acceptances) {
		if now.Sub(a.at) >= applyBound {
			return a.version
		}
	}
	return 0
}

// touchProber checks that entry hosts that are in touch, or in touch again, know the routes of the changes that were accepted
// applyBound ago, also those accepted while they weren't in touch.
type touchProber struct {
	caller *caller
	random *rand.Rand
}

func newTouchProber(s *soak, random *rand.Rand) *touchProber {
	c := newCaller(s.fleet, s.checker, s.options.Seed, minCallers+2)
	c.name = "touch-prober"
	return &touchProber{
		caller: c,
		random: random,
	}
}

func (p *touchProber) run(ctx context.Context) {
	c := p.caller
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		entry := p.random.IntN(len(c.fleet.entries))
		if v := c.checker.dueVersion(entry, time.Now(), c.fleet.lost.lastChange()); v > 0 {
			c.sent++
			id := fmt.Sprintf("%s-%d", c.name, c.sent)
			status, ok := c.send(ctx, entry, id, ownRoute(v)+"x")
			if ok {
				c.checker.recordInForce(entry, v)
			}
			if status == http.StatusNotFound {
				c.checker.recordViolation("an accepted change is in force at hosts in touch again", id,
					fmt.Sprintf("entry host %d doesn't know the route of version %d", entry+1, v))
			}
		}
		sleepUntil(ctx, time.Now().Add(20*time.Millisecond))
	}
}

// staleLag is the age of the list of control hosts that a stale operator uses.
const staleLag = 3 * time.Second

// staleOperator sends changes to the control hosts of a list that is staleLag old, and reads there. Hosts that were replaced
// meanwhile may still run, and those that replace them aren't on the list.
type staleOperator struct {
	operator *operator
	random   *rand.Rand
	lists    []hostList
}

type hostList struct {
	at    time.Time
	hosts []*process
}

func newStaleOperator(o *operator, random *rand.Rand) *staleOperator {
	return &staleOperator{
		operator: o,
		random:   random,
	}
}

func (o *staleOperator) run(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := o.list(time.Now(), o.operator.fleet.controlHosts())
		address := hosts[o.random.IntN(len(hosts))].settings.ControlAddress
		if o.random.IntN(3) == 0 {
			o.send(ctx, address)
		} else {
			o.operator.readAt(ctx, address)
		}
		sleepUntil(ctx, time.Now().Add(time.Duration(50+o.random.IntN(200))*time.Millisecond))
	}
}

func (o *staleOperator) send(ctx context.Context, address string) {
	if o.operator.changes != nil {
		o.operator.changes.sendTo(ctx, o.random, address)
		return
	}
	v := o.operator.version.Add(1)
	if status, _, err := call(ctx, address, o.operator.put(v)); err == nil && status == http.StatusOK {
		o.operator.checker.recordAccepted(v)
	}
}

// sendTo draws a change and sends it once to one control host. The servers of a service that it adds don't start.
func (c *changes) sendTo(ctx context.Context, random *rand.Rand, address string) {
	x, _ := c.drawChange(random)
	newest := c.recordSent(time.Now(), x)
	if status, _, err := call(ctx, address, x.call); err == nil {
		c.recordAnswer(time.Now(), x, orderFirst, status, newest, address)
	}
}

// list notes the present hosts and returns those of staleLag ago, or the oldest known ones.
func (o *staleOperator) list(now time.Time, present []*process) []*process {
	o.lists = append(o.lists, hostList{
		at:    now,
		hosts: present,
	})
	for len(o.lists) > 1 && now.Sub(o.lists[1].at) >= staleLag {
		o.lists = o.lists[1:]
	}
	return o.lists[0].hosts
}
