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

// limit is a need of a server: it names a rate limit in its answers.
const limit kind = "limit"

// planNeeds generates the needs of the servers (rule 8). They have a random source of their own, so that the faults of a
// seed are the same with and without needs.
func planNeeds(random *rand.Rand, o Options) []fault {
	var out []fault
	at := 300 * time.Millisecond
	for at < o.Duration {
		out = append(out, fault{
			at:       at,
			kind:     limit,
			index:    random.IntN(len(serverKinds)),
			duration: time.Duration(8000+random.IntN(6000)) * time.Millisecond,
			limit:    []hingeids.RequestsPerSecond{0.5, 1, 3, 8}[random.IntN(4)],
		})
		at += time.Duration(500+random.IntN(2000)) * time.Millisecond
	}
	return out
}

// setNeed begins a need of a server, which ends after its duration. A server has one need at a time.
func (x *server) setNeed(f fault) {
	if *x.notice.Load() != (hingenotice.Notice{}) {
		return
	}
	x.notice.Store(&hingenotice.Notice{
		RateLimit: f.limit,
	})
	x.checker.setNeed(x.name(), f.limit)
	time.AfterFunc(f.duration, x.endNeed)
}

func (x *server) endNeed() {
	x.notice.Store(&hingenotice.Notice{})
	x.checker.setNeed(x.name(), 0)
}

// state sets the headers of an answer that state what the server is in need of.
func (x *server) state(h http.Header, id string) {
	n := *x.notice.Load()
	if n == (hingenotice.Notice{}) {
		return
	}
	wire.SetNotice(h, n)
	if *x.proxy.mode.Load() == passThrough {
		x.checker.recordTold(x.name(), id)
	}
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
)

// needRecord is what one server has stated, to which entry hosts, and which requests it got.
type needRecord struct {
	limit   hingeids.RequestsPerSecond
	namedAt time.Time
	// toldAt is when each entry host first received the statement since its last fault.
	toldAt   map[int]time.Time
	arrivals []arrival
}

type arrival struct {
	at    time.Time
	entry int
}

// setNeed records that a server names another limit, or none.
func (c *checker) setNeed(server string, l hingeids.RequestsPerSecond) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == 0 {
		delete(c.needs, server)
		return
	}
	c.needs[server] = &needRecord{
		limit:   l,
		namedAt: time.Now(),
		toldAt:  make(map[int]time.Time),
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

// recordHostFault excuses an entry host from what it was told before a restart or a freeze.
func (c *checker) recordHostFault(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.needs {
		delete(n.toldAt, entry)
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
	n.arrivals = slices.DeleteFunc(append(n.arrivals, arrival{
		at:    now,
		entry: r.entry,
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
