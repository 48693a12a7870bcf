package hingepoison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// minPartRequests is the number of different requests under which servers must have crashed. One request that crashes servers
	// says nothing about its parts.
	minPartRequests = 2
	// popularCrashes is the number of crashes after which a popular part may be refused. To refuse it by mistake refuses most of a
	// service, and no request is left that could clear it.
	popularCrashes = 8
	// minPartSpan is the shortest time from the first to the last crash. The servers of a rack crash together, whatever they run, and the
	// parts of popular prompts are on all of them.
	minPartSpan = 30 * time.Millisecond
	// partTTL is how long after its last crash a part is kept. It is shorter than suspectTTL: a part stands in many requests, and
	// a new placer doesn't know which of them were completed.
	partTTL = 10 * time.Minute
	// maxTrackedParts bounds the parts in a detector.
	maxTrackedParts = 16384
	// maxEvaluated bounds the crashes of a part that a decision evaluates. After a power loss a popular part has hundreds.
	maxEvaluated = 128
	// verdictTTL is how long a decision on a part holds while no crash and no completion changes it: the rate of other crashes
	// in it changes with the time.
	verdictTTL = 100 * time.Millisecond
)

// parts finds parts of prompts that crash the servers that answer them (rule 7).
type parts struct {
	tracked map[hingeids.Fingerprint]*part
	// onServer are the parts that each crashed server had.
	onServer map[hingeids.ServerID]map[hingeids.Fingerprint]struct{}
	// revision is the number of changes of any part.
	revision uint64
	// completions are the recent ones of each service.
	completions map[hingeids.Service]*completions
	// requestCrashes is Detector.requestCrashes.
	requestCrashes func(id hingeids.ServerID, longest time.Duration) int
}

type part struct {
	service hingeids.Service
	// depth is the position of the part in the first prompt that was seen. Parts that stand later are shared by fewer requests.
	depth   int
	crashes map[hingeids.ServerID]*partCrash
	// lastCrash and completedAt are as in suspect.
	lastCrash   time.Time
	completedAt time.Time
	// lastLateReport is when the last report arrived of a crash longer than SettleTime ago. Hosts report such crashes to a new placer, each
	// at its own time.
	lastLateReport time.Time
	// heldSum is the sum of the crashes' held.
	heldSum time.Duration
	verdict verdict
	// statedPopular says that a host has reported the part as popular, assumedPopular is the last result of assumePopular.
	statedPopular  bool
	assumedPopular bool
}

// verdict is the last decision on a part.
type verdict struct {
	revision uint64
	at       time.Time
	last     time.Time
	blamed   bool
}

// partCrash is the crash of a server that had requests with a part.
type partCrash struct {
	// at is when the first host noticed it, held the shortest time for which the server had held one of the requests, longest
	// the longest.
	at       time.Time
	held     time.Duration
	longest  time.Duration
	requests map[hingeids.Fingerprint]struct{}
}

func newParts(requestCrashes func(hingeids.ServerID, time.Duration) int) *parts {
	return &parts{
		tracked:  make(map[hingeids.Fingerprint]*part),
		onServer: make(map[hingeids.ServerID]map[hingeids.Fingerprint]struct{}),

		requestCrashes: requestCrashes,
		completions:    make(map[hingeids.Service]*completions),
	}
}

// handleCrash records a crash against the parts of the request that the server had. It returns those for which it is new.
func (p *parts) handleCrash(now time.Time, c Crash) []hingeids.Fingerprint {
	at := now.Add(-c.Ago)
	if c.Ago > partTTL {
		return nil
	}
	var added []hingeids.Fingerprint
	for depth, fp := range c.Parts {
		x := p.tracked[fp]
		if x == nil {
			x = &part{
				service: c.Service,
				depth:   depth,
				crashes: make(map[hingeids.ServerID]*partCrash),
			}
			p.tracked[fp] = x
		}
		x.statedPopular = x.statedPopular || slices.Contains(c.Popular, fp)
		if c.Ago > SettleTime {
			x.lastLateReport = now
		}
		if at.After(x.completedAt) && x.add(at, c) {
			added = append(added, fp)
		}
		p.index(c.Server, fp)
	}
	p.revision++
	p.bound()
	return added
}

// index records that a crashed server had a part.
func (p *parts) index(id hingeids.ServerID, fp hingeids.Fingerprint) {
	on := p.onServer[id]
	if on == nil {
		on = make(map[hingeids.Fingerprint]struct{})
		p.onServer[id] = on
	}
	on[fp] = struct{}{}
}

// add records a crash, and reports whether it wasn't known for this server.
func (x *part) add(at time.Time, c Crash) bool {
	if at.After(x.lastCrash) {
		x.lastCrash = at
	}
	known := x.crashes[c.Server]
	if known == nil {
		x.heldSum += c.Held
		x.crashes[c.Server] = &partCrash{
			at:      at,
			held:    c.Held,
			longest: c.Held,
			requests: map[hingeids.Fingerprint]struct{}{
				c.Fingerprint: {},
			},
		}
		return true
	}
	if at.Before(known.at) {
		known.at = at
	}
	x.heldSum -= known.held - min(known.held, c.Held)
	known.held = min(known.held, c.Held)
	known.longest = max(known.longest, c.Held)
	known.requests[c.Fingerprint] = struct{}{}
	return false
}

// handleCompletion drops the earlier crashes of a part: a request with it was answered whole.
func (p *parts) handleCompletion(at time.Time, fp hingeids.Fingerprint) {
	x := p.tracked[fp]
	if x == nil || !at.After(x.completedAt) {
		return
	}
	x.completedAt = at
	for id, c := range x.crashes {
		if !c.at.After(at) {
			x.heldSum -= c.held
			delete(x.crashes, id)
			p.unindex(id, fp)
			p.revision++
		}
	}
	// Reports of other hosts on earlier crashes may still arrive: completedAt is kept until the part expires.
}

func (p *parts) unindex(id hingeids.ServerID, fp hingeids.Fingerprint) {
	delete(p.onServer[id], fp)
	if len(p.onServer[id]) == 0 {
		delete(p.onServer, id)
	}
}

// blamed reports whether the crashes under requests with a part are its own, and when the last one was. rate is the rate of
// crashes per server without the part.
func (p *parts) blamed(
	now time.Time, fp hingeids.Fingerprint, rate func(own map[hingeids.ServerID]*partCrash) float64,
) (time.Time, bool) {
	x := p.tracked[fp]
	if x == nil || len(x.crashes) < minCrashes {
		return time.Time{}, false
	}
	if v := x.verdict; v.revision != p.revision || now.Sub(v.at) >= verdictTTL {
		last, blamed := p.evaluate(now, fp, x, rate(x.crashes))
		x.verdict = verdict{
			revision: p.revision,
			at:       now,
			last:     last,
			blamed:   blamed,
		}
	}
	return x.verdict.last, x.verdict.blamed
}

// evaluate decides whether a part is blamed. A popular part needs minCrashes crashes that have no other suspect, and popularCrashes in all.
func (p *parts) evaluate(now time.Time, fp hingeids.Fingerprint, x *part, perServer float64) (time.Time, bool) {
	var first, last time.Time
	requests := make(map[hingeids.Fingerprint]struct{})
	p.assumePopular(now, fp, x)
	popular := p.isPopular(now, fp, x)
	evaluated, unexplained, count, chance := 0, 0, 0, 1.0
	for id, c := range x.crashes {
		if evaluated++; evaluated > maxEvaluated {
			break
		}
		if p.explainedByOther(now, fp, x, id, popular) {
			continue
		}
		unexplained++
		if popular && p.hasSuspect(now, x, id) {
			continue
		}
		count++
		chance *= -math.Expm1(-perServer * max(c.held, minHeld).Seconds())
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
		if c.at.After(last) {
			last = c.at
		}
		if len(requests) < minPartRequests {
			maps.Copy(requests, c.requests)
		}
	}
	if popular && unexplained < popularCrashes {
		return last, false
	}
	return last, count >= minCrashes && len(requests) >= minPartRequests && last.Sub(first) >= minPartSpan && chance < maxChance
}

// explainedByOther reports whether a crashed server had another part that is more likely the cause: one with more crashes; or of two
// with as many, the one that stands later in its prompt, since what only a few requests share is the difference between those under
// which servers crash and the others; or the one whose requests were there for a shorter time. A popular part is at most crashes, whatever
// their cause, so it explains a crash to one that isn't only if all its requests were there for a shorter time.
func (p *parts) explainedByOther(now time.Time, fp hingeids.Fingerprint, x *part, id hingeids.ServerID, popular bool) bool {
	for other := range p.onServer[id] {
		o := p.tracked[other]
		if other == fp || o == nil || o.crashes[id] == nil {
			continue
		}
		if cmp.Or(cmp.Compare(len(o.crashes), len(x.crashes)), cmp.Compare(o.depth, x.depth), cmp.Compare(x.heldSum, o.heldSum)) <= 0 {
			continue
		}
		if popular || o.crashes[id].longest < x.crashes[id].held || !p.isPopular(now, other, o) {
			return true
		}
	}
	return false
}

// hasSuspect reports whether a server on which a popular part crashed had a request, or a part that isn't popular, that has enough crashes to be
// refused itself, and a third of the popular part's. A suspect that was there before the popular part is none: what crashes
// servers does so soon after it came.
func (p *parts) hasSuspect(now time.Time, x *part, id hingeids.ServerID) bool {
	longest := x.crashes[id].longest
	needed := max(minCrashes, (len(x.crashes)+2)/3)
	for other := range p.onServer[id] {
		o := p.tracked[other]
		if o == nil || o.crashes[id] == nil || len(o.crashes) < needed || o.crashes[id].longest > longest {
			continue
		}
		if !p.isPopular(now, other, o) {
			return true
		}
	}
	return p.requestCrashes(id, longest) >= needed
}

// removeExpired forgets parts whose last crash is long ago.
func (p *parts) removeExpired(now time.Time) {
	for fp, x := range p.tracked {
		if now.Sub(x.lastCrash) > partTTL {
			p.forget(fp)
		}
	}
}

// bound enforces maxTrackedParts.
func (p *parts) bound() {
	if len(p.tracked) <= maxTrackedParts {
		return
	}
	for _, fp := range leastSuspect(p.tracked, maxTrackedParts/4, func(x *part) (int, time.Time) {
		return len(x.crashes), x.lastCrash
	}) {
		p.forget(fp)
	}
}

func (p *parts) forget(fp hingeids.Fingerprint) {
	for id := range p.tracked[fp].crashes {
		p.unindex(id, fp)
	}
	delete(p.tracked, fp)
}
