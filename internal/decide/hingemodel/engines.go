package hingemodel

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type prefillEngine struct {
	current *Request
	waiting []*Request
	// version changes with current and invalidates the scheduled end of a prefill.
	version uint64
	serial  uint64
	cache   map[int]hingeids.Tokens
	// recent lists the cached prefixes, the least recently used first.
	recent     []int
	cached     hingeids.Tokens
	linkFreeAt time.Time
}

func newPrefillEngine() *prefillEngine {
	return &prefillEngine{
		cache: make(map[int]hingeids.Tokens),
	}
}

func (p *prefillEngine) load() (running, queued int, tokens hingeids.Tokens) {
	for _, r := range p.waiting {
		tokens += hingeids.Tokens(r.remaining)
	}
	if p.current != nil {
		running = 1
		tokens += hingeids.Tokens(p.current.remaining)
	}
	return running, len(p.waiting), tokens
}

func (p *prefillEngine) remove(r *Request) {
	if p.current == r {
		p.current = nil
		return
	}
	for i, w := range p.waiting {
		if w == r {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (m *model) startPrefill(r *Request, e EngineID) {
	p := m.prefills[e]
	r.state, r.engine, r.prefilled = prefilling, e, e
	r.cached = float64(min(p.cache[r.Prefix], r.PrefixTokens))
	r.remaining = float64(r.Prompt) - r.cached
	p.serial++
	r.queueSequence = p.serial
	p.waiting = append(p.waiting, r)
	m.schedulePrefill(e)
}

func (m *model) updatePrefillProgress(r *Request) {
	if r.state != prefilling || r.local || m.prefills[r.engine].current != r {
		return
	}
	done := min(r.remaining, m.now.Sub(r.started).Seconds()*m.run.Cluster.PrefillRate/m.slow[r.engine])
	r.remaining -= done
	r.computed += done
	r.started = m.now
}

// schedulePrefill selects the request that the engine works on and schedules the
// end of its prefill. Rule 2.
func (m *model) schedulePrefill(e EngineID) {
	p := m.prefills[e]
	if p.current != nil {
		m.updatePrefillProgress(p.current)
		p.waiting = append(p.waiting, p.current)
		p.current = nil
	}
	for _, r := range p.waiting {
		c := p.current
		if c == nil || r.priority > c.priority || r.priority == c.priority && r.queueSequence < c.queueSequence {
			p.current = r
		}
	}
	if p.current == nil {
		return
	}
	r := p.current
	for i, w := range p.waiting {
		if w == r {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	r.started = m.now
	p.version++
	version := p.version
	duration := r.remaining * m.slow[e] / m.run.Cluster.PrefillRate
	m.at(m.now.Add(seconds(duration)), func() {
		if p.version == version && p.current == r {
			m.finishPrefill(r)
		}
	})
}

func (m *model) finishPrefill(r *Request) {
	p := m.prefills[r.engine]
	r.computed += r.remaining
	r.remaining = 0
	p.current = nil
	r.state = ready
	m.cachePrefix(r.engine, r.Prefix, r.PrefixTokens)
	m.schedulePrefill(r.engine)
	m.scheduleEviction(r)
	m.emit(Event{
		Kind:    PrefillDone,
		Request: r,
		Engine:  r.engine,
		Cached:  hingeids.Tokens(r.cached),
	})
}

// scheduleEviction schedules the eviction of a finished KV cache. Rule 3.
func (m *model) scheduleEviction(r *Request) {
	version := r.version
	m.at(m.now.Add(m.run.Cluster.CacheRetention), func() {
		if r.version != version || r.state != ready && r.state != waitingSlot {
			return
		}
		m.countWasted(r, &m.result.EvictedTokens)
		m.release(r)
		r.state = arrived
		m.emit(Event{
			Kind:    Evicted,
			Request: r,
			Engine:  r.prefilled,
		})
	})
}

// cachePrefix adds a prefix to the cache as the most recently used, evicts others
// to make space, and reports the changes.
func (m *model) cachePrefix(e EngineID, prefix int, n hingeids.Tokens) {
	p := m.prefills[e]
	for i, x := range p.recent {
		if x == prefix {
			p.recent = append(p.recent[:i], p.recent[i+1:]...)
			break
		}
	}
	p.recent = append(p.recent, prefix)
	if p.cache[prefix] == 0 {
		p.cache[prefix] = n
		p.cached += n
		m.reportCacheEvent(PrefixStored, e, prefix, n)
	}
	for p.cached > m.run.Cluster.PrefixCacheTokens {
		oldest := p.recent[0]
		p.recent = p.recent[1:]
		p.cached -= p.cache[oldest]
		delete(p.cache, oldest)
		m.reportCacheEvent(PrefixDropped, e, oldest, 0)
	}
}

// reportCacheEvent schedules the delivery of a cache event or drops it. Rule 6.
func (m *model) reportCacheEvent(k EventKind, e EngineID, prefix int, n hingeids.Tokens) {
	if m.noise.IntN(10) == 0 {
		return
	}
	m.at(m.now.Add(m.run.Cluster.ReportDelay), func() {
		m.emit(Event{
			Kind:   k,
			Engine: e,
			Prefix: prefix,
			Tokens: n,
		})
	})
}

type decodeEngine struct {
	// held is the number of slots in use.
	held          int
	running       []*Request
	waiting       []*Request
	localPrefills []*Request
	// generated is the number of tokens, as of updatedAt, that the engine would
	// have generated for a request that decodes since the start of the run.
	generated float64
	updatedAt time.Time
	// version invalidates the scheduled finish of a request.
	version uint64
}

// tokenRate returns the decode rate in tokens per second for each request. Rules 1
// and 5.
func (m *model) tokenRate(e EngineID, d *decodeEngine) float64 {
	rate := 1 / (m.run.Cluster.tokenGap(d.held).Seconds() * m.slow[e])
	if len(d.localPrefills) > 0 {
		rate /= 2
	}
	return rate
}

// advance updates the number of generated tokens to now. It is called before the
// decode rate changes.
func (m *model) advance(d *decodeEngine) {
	e := m.idOf(d)
	d.generated += m.now.Sub(d.updatedAt).Seconds() * m.tokenRate(e, d)
	d.updatedAt = m.now
}

func (m *model) idOf(d *decodeEngine) EngineID {
	for i, x := range m.decodes {
		if x == d {
			return EngineID(i + len(m.prefills))
		}
	}
	return -1
}

// requestSlot acquires a decode slot, or queues the request for one. Rule 4.
func (m *model) requestSlot(r *Request, e EngineID, local bool) {
	d := m.decodes[int(e)-len(m.prefills)]
	r.engine, r.local = e, local
	if d.held >= m.run.Cluster.Slots {
		m.result.FullEngineRequests++
		r.state = waitingSlot
		d.waiting = append(d.waiting, r)
		return
	}
	m.acquireSlot(r, d)
}

func (m *model) acquireSlot(r *Request, d *decodeEngine) {
	m.advance(d)
	d.held++
	r.state = preparing
	r.version++
	if r.local {
		m.prefillLocally(r, d)
	} else {
		p := m.prefills[r.prefilled]
		begin := m.now
		if p.linkFreeAt.After(begin) {
			begin = p.linkFreeAt
		}
		p.linkFreeAt = begin.Add(seconds(float64(r.Prompt) / m.run.Cluster.LinkRate))
		m.atIfPreparing(r, p.linkFreeAt, func() { m.beginDecode(r, d) })
	}
	m.scheduleNextFinish(r.engine)
}

// prefillLocally prefills a request at its decode engine. Rule 5.
func (m *model) prefillLocally(r *Request, d *decodeEngine) {
	d.localPrefills = append(d.localPrefills, r)
	n := float64(len(d.localPrefills))
	duration := n * 2 * float64(r.Prompt) * m.slow[r.engine] / m.run.Cluster.PrefillRate
	m.atIfPreparing(r, m.now.Add(seconds(duration)), func() {
		m.advance(d)
		d.localPrefills = without(d.localPrefills, r)
		r.computed += float64(r.Prompt)
		m.beginDecode(r, d)
	})
}

// atIfPreparing schedules a call that is skipped if the request is no longer in
// the same preparing state.
func (m *model) atIfPreparing(r *Request, t time.Time, do func()) {
	version := r.version
	m.at(t, func() {
		if r.version == version && r.state == preparing {
			do()
		}
	})
}

func (m *model) beginDecode(r *Request, d *decodeEngine) {
	m.advance(d)
	r.state = decoding
	r.started = m.now
	r.startTokens = d.generated
	r.finishTokens = d.generated + float64(r.output)
	d.running = append(d.running, r)
	m.scheduleNextFinish(r.engine)
	m.emit(Event{
		Kind:    DecodeStarted,
		Request: r,
		Engine:  r.engine,
	})
}

// scheduleNextFinish schedules the finish of the request that the engine will
// finish first.
func (m *model) scheduleNextFinish(e EngineID) {
	d := m.decodes[int(e)-len(m.prefills)]
	d.version++
	if len(d.running) == 0 {
		return
	}
	first := d.running[0]
	for _, r := range d.running {
		if r.finishTokens < first.finishTokens {
			first = r
		}
	}
	version := d.version
	remaining := max(0, first.finishTokens-d.generated) / m.tokenRate(e, d)
	m.at(m.now.Add(seconds(remaining)), func() {
		if d.version == version {
			m.finish(first)
		}
	})
}

func (m *model) finish(r *Request) {
	tokenGap := time.Duration(float64(m.now.Sub(r.started)) / float64(r.output))
	m.releaseSlot(r)
	r.state = closed
	r.version++
	m.result.PrefillTokens += r.computed
	m.result.finished(r, tokenGap, m.now)
	m.emit(Event{
		Kind:     Finished,
		Request:  r,
		Engine:   r.engine,
		TokenGap: tokenGap,
		Output:   r.output,
	})
}

// releaseSlot frees the slot of a request, or removes the request from the queue
// for one. A freed slot goes to the waiting request of the highest priority.
func (m *model) releaseSlot(r *Request) {
	d := m.decodes[int(r.engine)-len(m.prefills)]
	m.advance(d)
	if r.state == waitingSlot {
		d.waiting = without(d.waiting, r)
		return
	}
	d.held--
	d.running = without(d.running, r)
	d.localPrefills = without(d.localPrefills, r)
	if len(d.waiting) > 0 {
		next := d.waiting[0]
		for _, w := range d.waiting {
			if w.priority > next.priority {
				next = w
			}
		}
		d.waiting = without(d.waiting, next)
		m.acquireSlot(next, d)
	}
	m.scheduleNextFinish(r.engine)
}

func without(list []*Request, r *Request) []*Request {
	for i, x := range list {
		if x == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
