package hingesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// changeCallers is the number of callers on the routes that change, slowCallers that on the slow one.
	changeCallers = 8
	slowCallers   = 6
	// serversPerService is the number of servers of each service of changes.
	serversPerService = 2
	// faultPeriod is the time in which faults begin only within the first faultyTime, so that hosts come in touch.
	faultPeriod = 12 * time.Second
	faultyTime  = 4 * time.Second
	// steadyTime is the time after the faults, and contactBound, for which changes and requests go on.
	steadyTime = 6 * time.Second
	// usableTime is how long after its first acknowledged report a server may remain unused.
	usableTime = 3 * time.Second
)

// probe is a request on a route that changes concern.
type probe struct {
	entry  int
	prefix string
	sentAt time.Time
}

// group says by what an entry host's requests are counted: by the kind of their route, where the first routes have an empty
// prefix. For anyEntry requests on added routes are counted by the route.
type group struct {
	entry  int
	prefix string
}

const anyEntry = -1

// changes sends changes of all kinds, and requests on the routes that they concern, and judges what is observed.
type changes struct {
	fleet   *fleet
	checker *checker
	options Options

	mu      sync.Mutex
	random  *rand.Rand
	draft   *draft
	history history
	// version is the highest number that was drawn.
	version uint64
	probes  map[string]probe
	// effects are by entry host, and those of the process that was started at boots.
	effects []effects
	boots   []time.Time
	shares  map[group]*share
	slow    overtime
	// barred and added are the prefixes that were sent, in order.
	barred []string
	added  []string
	fresh  map[hingeids.Service][]*server
}

func newChanges(f *fleet, c *checker, o Options) *changes {
	return &changes{
		fleet:   f,
		checker: c,
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 11)),
		draft:   newDraft(),
		probes:  make(map[string]probe),
		effects: make([]effects, o.Entries),
		boots:   make([]time.Time, o.Entries),
		shares:  make(map[group]*share),
		fresh:   make(map[hingeids.Service][]*server),
	}
}

// startChanges starts the servers of the first services of changes.
func (s *soak) startChanges(ctx context.Context) error {
	s.changes = newChanges(s.fleet, s.checker, s.options)
	for _, name := range append(slices.Clone(movedServices), slowService) {
		for i := range serversPerService {
			x := s.changes.newServer(name, i)
			if name == slowService {
				x.answerTime = slowAnswerTime
			}
			if err := x.start(ctx, s.fleet); err != nil {
				return err
			}
			s.servers = append(s.servers, x)
		}
	}
	return nil
}

func (c *changes) newServer(name hingeids.Service, i int) *server {
	return &server{
		id:         fmt.Sprintf("%s-server-%d", name, i),
		checker:    c.checker,
		changes:    c,
		ownService: name,
	}
}

// runChanges starts operators, readers and callers, which end with the context.
func (s *soak) runChanges(ctx, serverCtx context.Context) {
	c := s.changes
	for i := range 1 + int(s.options.Seed%2) {
		s.load.Go(func() {
			newChangeOperator(c, i).run(ctx, serverCtx)
		})
	}
	for i := range s.options.Controls {
		s.load.Go(func() {
			c.read(ctx, i)
		})
	}
	for i := range changeCallers + slowCallers {
		s.load.Go(func() {
			newChangeCaller(c, i).run(ctx)
		})
	}
}

// calmFaults removes the faults that begin outside the faulty times, and all of each fourth seed.
func calmFaults(faults []fault, seed uint64) []fault {
	return slices.DeleteFunc(faults, func(f fault) bool {
		return seed%4 == 0 || f.at%faultPeriod > faultyTime
	})
}

// awaitSteady waits until the run has lasted its time, and long enough without faults.
func (s *soak) awaitSteady(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(contactBound+steadyTime))
	sleepUntil(ctx, s.startedAt.Add(s.options.Duration))
}

// begin registers a request before it is sent.
func (c *changes) begin(now time.Time, id string, p probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.sentAt = now
	c.probes[id] = p
}

// observe returns a request's observation without how it was handled. The caller holds the lock.
func (c *changes) observe(p probe) observation {
	startedAt, slack := c.fleet.entries[p.entry].disturbance.boot(p.sentAt)
	if !c.boots[p.entry].Equal(startedAt) {
		c.boots[p.entry], c.effects[p.entry] = startedAt, nil
	}
	o := observation{
		prefix:  p.prefix,
		sentAt:  p.sentAt,
		inTouch: c.fleet.inTouchSince(p.entry, p.sentAt),
	}
	if p.sentAt.After(startedAt) {
		o.obeyed = c.effects[p.entry].obeyed(p.sentAt, slack)
	}
	return o
}

// recordRun judges that a service runs a request.
func (c *changes) recordRun(now time.Time, id string, service hingeids.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.probes[id]
	if !found {
		return
	}
	o := c.observe(p)
	o.service = service
	c.report(id, p.entry)(c.history.judge(now, o))
	if e, found := c.history.effect(now, o); found && p.sentAt.After(c.boots[p.entry]) {
		c.effects[p.entry] = c.effects[p.entry].add(e)
	}
}

// end judges the answer to a request; the status is zero if there was none.
func (c *changes) end(now time.Time, id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.probes[id]
	o := c.observe(p)
	if status == 404 {
		c.report(id, p.entry)(c.history.judge(now, o))
	}
	due := c.history.due(p.sentAt, applyBound)
	if !o.inTouch || due == 0 {
		return
	}
	if p.prefix == slowPrefix {
		c.slow.add(now.Sub(p.sentAt), c.history.longestTimeout(p.prefix, due, now))
	}
	if g, counted := c.groupOf(p, now, due); counted {
		c.count(g, status == 200)
		each := group{
			entry: anyEntry,
		}
		if g.prefix != "" {
			each.prefix = p.prefix
		}
		c.count(each, status == 200)
	}
}

// count counts a request in a group. The caller holds the lock.
func (c *changes) count(g group, served bool) {
	if c.shares[g] == nil {
		c.shares[g] = &share{}
	}
	c.shares[g].add(served)
}

// groupOf returns by what a request is counted, and whether it is: its route is in force, and its servers are known. The
// caller holds the lock.
func (c *changes) groupOf(p probe, now time.Time, due uint64) (group, bool) {
	if !c.history.every(due, now, func(x *change) bool {
		return x.has(p.prefix)
	}) {
		return group{}, false
	}
	g := group{
		entry: p.entry,
	}
	switch {
	case p.prefix == fixedPrefix:
		return g, true
	case strings.HasPrefix(p.prefix, addedPrefix):
		g.prefix = addedPrefix
		return g, true
	case strings.HasPrefix(p.prefix, freshPrefix):
		g.prefix = freshPrefix
		name := hingeids.Service(strings.Trim(p.prefix, "/"))
		return g, c.usable(name, p.sentAt)
	}
	return group{}, false
}

// usable reports whether all servers of an added service are known at a moment.
func (c *changes) usable(name hingeids.Service, at time.Time) bool {
	servers := c.fresh[name]
	for _, x := range servers {
		first, late := x.reports.ackedAt.Load(), x.reports.lastLate.Load()
		if first == 0 || at.Sub(time.Unix(0, first)) < usableTime {
			return false
		}
		if late > 0 && at.Sub(time.Unix(0, late)) < silenceBound+2*reportInterval {
			return false
		}
	}
	return len(servers) > 0
}

// report returns a function that records a broken guarantee, if there is one. The caller holds the lock.
func (c *changes) report(id string, entry int) func(guarantee, detail string) {
	return func(guarantee, detail string) {
		if guarantee != "" {
			c.checker.recordViolation(guarantee, id, fmt.Sprintf("entry host %d: %s", entry+1, detail))
		}
	}
}

// judgeCounts judges what was counted over the whole run.
func (c *changes) judgeCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if detail := c.slow.judge(); detail != "" {
		c.checker.recordViolation(timeoutsAreKept, "", detail)
	}
	for g, added := range c.shares {
		first := c.shares[group{
			entry: g.entry,
		}]
		if g.prefix == "" || first == nil {
			continue
		}
		detail := judgeShares(*added, *first)
		switch {
		case detail == "":
		case g.entry == anyEntry:
			c.checker.recordViolation(eachAddedIsServed, "", g.prefix+": "+detail)
		default:
			c.report("", g.entry)(addedAreServed, g.prefix+"*: "+detail)
		}
	}
	c.printCounts()
}

// printCounts prints how often what is judged by counts was observed.
func (c *changes) printCounts() {
	total := make(map[string]share)
	for g, s := range c.shares {
		if g.entry == anyEntry {
			continue
		}
		t := total[g.prefix]
		t.requests += s.requests
		t.served += s.served
		total[g.prefix] = t
	}
	_, _ = fmt.Fprintf(c.options.Out, "changes: %d sent; steady state: first %+v, added %+v, fresh %+v; past their time limit %+v\n",
		len(c.history.changes), total[""], total[addedPrefix], total[freshPrefix], c.slow)
}

// recordChangeRun records that the server runs a request.
func (x *server) recordChangeRun(id string) {
	if x.changes != nil {
		x.changes.recordRun(time.Now(), id, x.ownService)
	}
}

// awaitAnswerTime waits for the time that the server's answers take, or until its caller has left.
func (x *server) awaitAnswerTime(ctx context.Context) {
	if x.answerTime > 0 {
		sleepUntil(ctx, time.Now().Add(x.answerTime))
	}
}

// pauseAfterRefusal is the pause of a server whose service may not be known yet.
func (x *server) pauseAfterRefusal(ctx context.Context) {
	if x.ownService != "" {
		sleepUntil(ctx, time.Now().Add(100*time.Millisecond))
	}
}
