package hingepoison

import (
	"maps"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// popularWindow is the time after which completions are counted anew. The counts before it are kept as long again.
	popularWindow = 30 * time.Second
	// maxCountedParts bounds the parts in a count, which ends early when it is reached. Most parts stand in one request only.
	maxCountedParts = 4096
)

// completions counts the complete answers of one service by the parts of their prompts.
type completions struct {
	// since is when the current count began.
	since             time.Time
	current, previous completionCount
}

type completionCount struct {
	answers int
	byPart  map[hingeids.Fingerprint]int
}

func (c *completions) add(now time.Time, parts []hingeids.Fingerprint) {
	if now.Sub(c.since) >= popularWindow || len(c.current.byPart) >= maxCountedParts {
		c.previous = c.current
		c.current = completionCount{
			byPart: make(map[hingeids.Fingerprint]int),
		}
		c.since = now
	}
	c.current.answers++
	for _, fp := range parts {
		c.current.byPart[fp]++
	}
}

// recent returns the number of recent complete answers, and of those to requests with a part.
func (c *completions) recent(now time.Time, fp hingeids.Fingerprint) (answers, withPart int) {
	if c == nil || now.Sub(c.since) >= 2*popularWindow {
		return 0, 0
	}
	return c.current.answers + c.previous.answers, c.current.byPart[fp] + c.previous.byPart[fp]
}

// isPopular reports whether half of the recent complete answers were to requests with a part.
func (c *completions) isPopular(now time.Time, fp hingeids.Fingerprint) bool {
	answers, withPart := c.recent(now, fp)
	return withPart > 0 && 2*withPart >= answers
}

// isPopular reports whether a part stands in half of the requests of its service that were completed recently. Of a service without
// completions, as after a change of the placer, it is what a host has said, or what assumePopular last found.
func (p *parts) isPopular(now time.Time, fp hingeids.Fingerprint, x *part) bool {
	c := p.completions[x.service]
	if answers, _ := c.recent(now, fp); answers == 0 {
		return x.statedPopular || x.assumedPopular
	}
	return c.isPopular(now, fp)
}

// assumePopular assumes that a part is popular if another one that stands later in the prompts was at half of its crashes, under several
// requests. It is used while nothing else is known.
func (p *parts) assumePopular(now time.Time, fp hingeids.Fingerprint, x *part) {
	x.assumedPopular = false
	if answers, _ := p.completions[x.service].recent(now, fp); answers > 0 || x.statedPopular {
		return
	}
	evaluated := 0
	for id := range x.crashes {
		if evaluated++; evaluated > maxEvaluated {
			return
		}
		for other := range p.onServer[id] {
			o := p.tracked[other]
			if o != nil && o.depth > x.depth && len(o.crashes) < len(x.crashes) && 2*len(o.crashes) >= len(x.crashes) && o.hasSeveralRequests() {
				x.assumedPopular = true
				return
			}
		}
	}
}

func (x *part) hasSeveralRequests() bool {
	requests := make(map[hingeids.Fingerprint]struct{})
	for _, c := range x.crashes {
		maps.Copy(requests, c.requests)
		if len(requests) >= minPartRequests {
			return true
		}
	}
	return false
}

// countCompletion counts a complete answer to a request with these parts.
func (p *parts) countCompletion(now time.Time, s hingeids.Service, parts []hingeids.Fingerprint) {
	c := p.completions[s]
	if c == nil {
		c = &completions{}
		p.completions[s] = c
	}
	c.add(now, parts)
}
