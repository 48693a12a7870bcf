package hingesoak

import (
	"fmt"
	"slices"
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

// requestRecord has the runs and refusals of one request.
type requestRecord struct {
	atMostOnce bool
	runs       int
	// refused reports that the caller received a refusal as not run, which excludes later runs.
	refused bool
}

// checker records what callers, servers and operators observe, and checks the
// guarantees (rule 5).
type checker struct {
	startedAt time.Time

	mu       sync.Mutex
	requests map[string]*requestRecord
	poisons  map[string]*poisonRecord
	accepted uint64
	result   Report
}

func newChecker(startedAt time.Time) *checker {
	return &checker{
		startedAt: startedAt,
		requests:  make(map[string]*requestRecord),
		poisons:   make(map[string]*poisonRecord),
	}
}

// recordCrash counts a server crash under the poison request with the path.
func (b *checker) recordCrash(path, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.poisons[path]
	if p == nil {
		p = &poisonRecord{}
		b.poisons[path] = p
	}
	b.result.Crashes++
	p.crashes++
	if p.crashes == detectionCrashes {
		p.thirdCrashAt = time.Now()
	}
	if p.crashes <= detectionCrashes || time.Since(p.thirdCrashAt) < propagationTime {
		return
	}
	p.lateCrashes++
	if p.lateCrashes > maxLateCrashes {
		b.addViolation("a poison request is blocked", path, fmt.Sprintf("%s is the %dth server that crashed under it", server, p.crashes))
	}
}

// recordViolation adds a violated guarantee to the report.
func (b *checker) recordViolation(guarantee, id, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addViolation(guarantee, id, detail)
}

func (b *checker) addViolation(guarantee, id, detail string) {
	b.result.Violations = append(b.result.Violations, Violation{
		Guarantee: guarantee,
		At:        time.Since(b.startedAt),
		RequestID: id,
		Detail:    detail,
	})
}

func (b *checker) countFault() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Faults++
}

// recordRequest registers a request. It is called before the request is sent.
func (b *checker) recordRequest(id string, atMostOnce bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Sent++
	b.requests[id] = &requestRecord{
		atMostOnce: atMostOnce,
	}
}

// recordRun counts a run of a request at a server.
func (b *checker) recordRun(id, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.requests[id]
	if e == nil {
		b.addViolation("servers run only requests that were sent", id, "at "+server)
		return
	}
	e.runs++
	if e.atMostOnce && e.runs > 1 {
		b.addViolation("a request runs at most once", id, fmt.Sprintf("run %d, at %s", e.runs, server))
	}
	if e.refused {
		b.addViolation("a request refused as not run never runs", id, "it runs at "+server+" after it was refused")
	}
}

// refused records that a caller received a refusal as not run.
func (b *checker) refused(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Refused++
	e := b.requests[id]
	e.refused = true
	if e.atMostOnce && e.runs > 0 {
		b.addViolation("a request refused as not run never runs", id, fmt.Sprintf("status %d after it has run", status))
	}
}

func (b *checker) countAnswer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Answered++
}

// detectable returns the paths of the poison requests with enough crashes to be detected, sorted.
func (b *checker) detectable() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for path, p := range b.poisons {
		if p.crashes >= detectionCrashes {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out
}

// pickLifted returns the path of one detectable poison request, and its number of
// crashes. It expects the request to run again.
func (b *checker) pickLifted() (path string, crashes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for path, p := range b.poisons {
		if p.crashes >= detectionCrashes {
			// The operator has lifted the block, so further crashes are no violation.
			p.thirdCrashAt = time.Now()
			return path, p.crashes
		}
	}
	return "", 0
}

func (b *checker) crashesOf(path string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poisons[path].crashes
}

// recordAccepted counts an accepted change of the configuration.
func (b *checker) recordAccepted(v uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Changes++
	b.accepted = max(b.accepted, v)
}

func (b *checker) newestVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

func (b *checker) report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.result
}
