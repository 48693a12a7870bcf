package hingesoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// The needs of servers, which they state in their answers: a rate limit; that they leave, after which they restart under
// another name; and, with each request that they refuse, that they want none of its host for refusePause.
const (
	limit  kind = "limit"
	leave  kind = "leave"
	refuse kind = "refuse"
)

// planNeeds generates the needs of the servers (rule 8). They have a random source of their own, so that the faults of a
// seed are the same with and without needs.
func planNeeds(random *rand.Rand, o Options) []fault {
	var out []fault
	at := 300 * time.Millisecond
	for at < o.Duration {
		f := fault{
			at:       at,
			kind:     []kind{limit, limit, leave, refuse}[random.IntN(4)],
			index:    random.IntN(len(serverKinds)),
			duration: time.Duration(8000+random.IntN(6000)) * time.Millisecond,
		}
		if f.kind == limit {
			f.limit = []hingeids.RequestsPerSecond{0.5, 1, 3, 8}[random.IntN(4)]
		}
		out = append(out, f)
		at += time.Duration(500+random.IntN(2000)) * time.Millisecond
	}
	return out
}

// need is what a server is in need of. The zero value is nothing.
type need struct {
	limit   hingeids.RequestsPerSecond
	leaves  bool
	refuses bool
}

// setNeed begins a need of a server, which ends after its duration. A server has one need at a time.
func (x *server) setNeed(f fault) {
	if *x.need.Load() != (need{}) {
		return
	}
	n := &need{
		limit:   f.limit,
		leaves:  f.kind == leave,
		refuses: f.kind == refuse,
	}
	x.need.Store(n)
	x.checker.setNeed(x.name(), *n)
	time.AfterFunc(f.duration, x.endNeed)
}

// endNeed ends the server's need. A server that leaves restarts under another name.
func (x *server) endNeed() {
	name := x.name()
	n := x.need.Swap(&need{})
	if n.leaves {
		x.restarts.Add(1)
	}
	x.checker.setNeed(name, need{})
}

// state sets the headers of an answer that state what the server is in need of.
func (x *server) state(h http.Header, id string) {
	n := *x.need.Load()
	notice := hingenotice.Notice{
		RateLimit: n.limit,
		Leaving:   n.leaves,
	}
	if notice == (hingenotice.Notice{}) {
		return
	}
	wire.SetNotice(h, notice)
	if x.answersArrive() {
		x.checker.recordTold(x.name(), id)
	}
}

// refuse refuses a request, if the server is in need of that, and reports whether it did.
func (x *server) refuse(w http.ResponseWriter, id string) bool {
	if !x.need.Load().refuses {
		return false
	}
	wire.SetNotExecuted(w.Header())
	wire.SetNotice(w.Header(), hingenotice.Notice{
		Backoff: refusePause,
	})
	w.WriteHeader(http.StatusServiceUnavailable)
	if x.answersArrive() {
		x.checker.recordHostRefused(x.name(), id)
	}
	return true
}

// answersArrive reports whether the proxy of the server forwards its answers at once.
func (x *server) answersArrive() bool {
	return *x.proxy.mode.Load() == passThrough
}

const (
	// limitWindow is the time over which the requests to a limited server are counted, settleTime the time after which
	// a new limit applies, and obeyTime the one after which a host that has received an answer obeys it.
	limitWindow = 4 * time.Second
	settleTime  = 3 * time.Second
	obeyTime    = 500 * time.Millisecond
	// limitFactor and limitSlack are what is allowed above a limit.
	limitFactor = 1.5
	limitSlack  = 5
	// leaveTime is how long after a server has stated that it leaves callers' requests may still be sent there.
	leaveTime = 2 * time.Second
	// refusePause is the pause that a server in need asks for, in which pauseSlack requests of the host are allowed.
	refusePause = 3 * time.Second
	pauseSlack  = 2
)

// needRecord is what one server has stated, to which entry hosts, and which requests it got.
type needRecord struct {
	need
	namedAt time.Time
	// toldAt is when each entry host first received the statement since its last fault.
	toldAt   map[int]time.Time
	arrivals []arrival
	// pauses are the entry hosts that the server wants no requests of.
	pauses map[int]*pause
}

type arrival struct {
	at    time.Time
	entry int
}

type pause struct {
	since    time.Time
	arrivals int
}

// setNeed records that a server has another need, or none.
func (c *checker) setNeed(server string, n need) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == (need{}) {
		delete(c.needs, server)
		return
	}
	c.needs[server] = &needRecord{
		need:    n,
		namedAt: time.Now(),
		toldAt:  make(map[int]time.Time),
		pauses:  make(map[int]*pause),
	}
}

// recordTold records that the answer to a request carries the server's statement.
func (c *checker) recordTold(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, r := c.needs[server], c.requests[id]
	if n == nil || r == nil {
		return
	}
	if _, told := n.toldAt[r.entry]; !told {
		n.toldAt[r.entry] = time.Now()
	}
}

// recordHostRefused records that a server has refused a request and wants no further one of its entry host.
func (c *checker) recordHostRefused(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, r := c.needs[server], c.requests[id]
	if n == nil || r == nil {
		return
	}
	if p := n.pauses[r.entry]; p == nil || time.Since(p.since) > refusePause {
		n.pauses[r.entry] = &pause{
			since: time.Now(),
		}
	}
}

// recordHostFault excuses an entry host from what it was told before a restart or a freeze.
func (c *checker) recordHostFault(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce[entry] = inForce{
		faultAt: time.Now(),
	}
	for _, n := range c.needs {
		delete(n.toldAt, entry)
		delete(n.pauses, entry)
	}
}

// recordArrival checks a request that has reached a server against what the server has stated.
func (c *checker) recordArrival(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, r := c.needs[server], c.requests[id]
	if n == nil || r == nil {
		return
	}
	now := time.Now()
	switch {
	case n.limit > 0:
		c.checkLimit(now, n, server, id, r.entry)
	case n.leaves:
		if told, found := n.toldAt[r.entry]; found && r.sentAt.Sub(told) > leaveTime {
			c.addViolation("a server that leaves gets no requests", id,
				fmt.Sprintf("%s: sent %v after it has told the host", server, r.sentAt.Sub(told)))
		}
	case n.refuses:
		p := n.pauses[r.entry]
		if p == nil || now.Sub(p.since) < obeyTime || now.Sub(p.since) > refusePause {
			return
		}
		p.arrivals++
		if p.arrivals == pauseSlack+1 {
			c.addViolation("a server that asks for a pause is left alone", id,
				fmt.Sprintf("%s: request %d of the host within %v", server, p.arrivals, now.Sub(p.since)))
		}
	}
}

// checkLimit counts the requests to a limited server. The caller holds the lock.
func (c *checker) checkLimit(now time.Time, n *needRecord, server, id string, entry int) {
	n.arrivals = slices.DeleteFunc(append(n.arrivals, arrival{
		at:    now,
		entry: entry,
	}), func(a arrival) bool {
		return now.Sub(a.at) >= limitWindow
	})
	if now.Sub(n.namedAt) < settleTime+limitWindow {
		return
	}
	counted := 0
	for _, a := range n.arrivals {
		if told, found := n.toldAt[a.entry]; found && a.at.Sub(told) > obeyTime {
			counted++
		}
	}
	if most := limitFactor*float64(n.limit)*limitWindow.Seconds() + limitSlack; float64(counted) > most {
		c.addViolation("a server gets no more than its rate limit", id,
			fmt.Sprintf("%s: %d requests in %v at a limit of %v", server, counted, limitWindow, n.limit))
		n.arrivals = nil
	}
}
