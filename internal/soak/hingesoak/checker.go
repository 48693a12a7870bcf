package hingesoak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// poisonRecord counts the server crashes under one poison request.
type poisonRecord struct {
	// lateCrashes counts the crashes later than propagationTime after the third one.
	crashes      int
	lateCrashes  int
	thirdCrashAt time.Time
}

// After detectionCrashes crashes and propagationTime for the hosts to report them to
// each other, a poison request may crash at most maxLateCrashes more servers.
const (
	detectionCrashes = 3
	maxLateCrashes   = 3
	propagationTime  = 3 * time.Second
)

type requestRecord struct {
	atMostOnce bool
	// entry is the index of the entry host that it was sent to.
	entry  int
	sentAt time.Time
	runs   int
	// refused is set once the caller has received a refusal that says that the request
	// wasn't run; the request must not run afterwards.
	refused bool
}

// checker records what callers, servers and operators observe, and checks the
// guarantees (rule 5).
type checker struct {
	startedAt time.Time

	mu       sync.Mutex
	requests map[string]*requestRecord
	poisons  map[string]*poisonRecord
	// needs has the servers in need by name.
	needs    map[string]*needRecord
	accepted uint64
	// acceptances are in the order of their times; inForce is by the index of the entry host.
	acceptances []acceptance
	inForce     map[int]inForce
	result      Report
}

func newChecker(startedAt time.Time) *checker {
	return &checker{
		startedAt: startedAt,
		requests:  make(map[string]*requestRecord),
		poisons:   make(map[string]*poisonRecord),
		needs:     make(map[string]*needRecord),
		inForce:   make(map[int]inForce),
	}
}

func (c *checker) recordCrash(path, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.poisons[path]
	if p == nil {
		p = &poisonRecord{}
		c.poisons[path] = p
	}
	c.result.Crashes++
	p.crashes++
	if p.crashes == detectionCrashes {
		p.thirdCrashAt = time.Now()
	}
	if p.crashes <= detectionCrashes || time.Since(p.thirdCrashAt) < propagationTime {
		return
	}
	p.lateCrashes++
	if p.lateCrashes > maxLateCrashes {
		c.addViolation("a poison request is blocked", path, fmt.Sprintf("%s is the %dth server that crashed under it", server, p.crashes))
	}
}

func (c *checker) recordViolation(guarantee, id, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guarantee, id, detail)
}

func (c *checker) addViolation(guarantee, id, detail string) {
	c.result.Violations = append(c.result.Violations, Violation{
		Guarantee: guarantee,
		At:        time.Since(c.startedAt),
		RequestID: id,
		Detail:    detail,
	})
}

func (c *checker) countFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Faults++
}

// recordRequest registers a request. It is called before the request is sent.
func (c *checker) recordRequest(id string, entry int, atMostOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Sent++
	c.requests[id] = &requestRecord{
		atMostOnce: atMostOnce,
		entry:      entry,
		sentAt:     time.Now(),
	}
}

func (c *checker) recordRun(id, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.addViolation("servers run only requests that were sent", id, "at "+server)
		return
	}
	r.runs++
	if r.atMostOnce && r.runs > 1 {
		c.addViolation("a request runs at most once", id, fmt.Sprintf("run %d, at %s", r.runs, server))
	}
	if r.refused {
		c.addViolation("a request refused as not run never runs", id, "it runs at "+server+" after it was refused")
	}
}

// recordRefusal records that a caller received a refusal, which says that the request
// wasn't run.
func (c *checker) recordRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Refused++
	r := c.requests[id]
	r.refused = true
	if r.atMostOnce && r.runs > 0 {
		c.addViolation("a request refused as not run never runs", id, fmt.Sprintf("status %d after it has run", status))
	}
}

func (c *checker) countAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Answered++
}

// detectable returns the paths of the poison requests with enough crashes to be detected, or the parts, sorted.
func (c *checker) detectable(parts bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for path, p := range c.poisons {
		if p.crashes >= detectionCrashes && strings.HasPrefix(path, poisonPart) == parts {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out
}

// pickLifted returns the path of one detectable poison request, and its number of
// crashes. It expects the request to run again.
func (c *checker) pickLifted() (path string, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for path, p := range c.poisons {
		if p.crashes >= detectionCrashes && !strings.HasPrefix(path, poisonPart) {
			// The operator has lifted the block, so further crashes are no violation.
			p.thirdCrashAt = time.Now()
			return path, p.crashes
		}
	}
	return "", 0
}

func (c *checker) crashesOf(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poisons[path].crashes
}

func (c *checker) recordAccepted(v uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Changes++
	if v > c.accepted {
		c.accepted = v
		c.acceptances = append(c.acceptances, acceptance{
			version: v,
			at:      time.Now(),
		})
	}
}

// recordFinalRead records the time from the last fault to the first good read of a control host.
func (c *checker) recordFinalRead(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.FinalReads = append(c.result.FinalReads, after)
}

func (c *checker) newestVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

func (c *checker) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.result
}
