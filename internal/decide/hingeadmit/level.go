package hingeadmit

import (
	"container/heap"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

type item struct {
	request Request
	level   *level
	flow    *flow
	// due orders the requests of a caller and the eligible callers of a level.
	due    time.Time
	expiry time.Time
	bucket int64
	// urgent is set when the deadline is near.
	urgent                 bool
	flowIndex, expiryIndex int
}

// flow is the queue of one caller in one level. An empty flow is kept until
// the level's virtual time has passed its tag: otherwise a caller that emptied
// its queue and returned could exceed its share.
type flow struct {
	caller hingeids.CallerID
	items  itemHeap
	work   time.Duration
	// tag is the virtual time up to which the flow has used its share.
	tag      float64
	eligible bool
	index    int
	// urgent counts the flow's requests whose deadline is near.
	urgent int
	// backloggedSince is when the flow last became non-empty, and dequeued its
	// recent drain.
	backloggedSince time.Time
	dequeued        window
}

// level holds the callers of one priority. Rule 3.
type level struct {
	priority   int
	flows      map[hingeids.CallerID]*flow
	eligible   flowHeap
	ineligible flowHeap
	virtual    float64
	work       time.Duration
	count      int
	active     int
	credit     time.Duration
	drains     []*targetDrain
	byDue      [bucketCount]time.Duration
	nextRetry  time.Time
}

func newLevel(priority int) *level {
	return &level{
		priority: priority,
		flows:    make(map[hingeids.CallerID]*flow),
		eligible: flowHeap{
			less: func(a, b *flow) bool { return a.items.list[0].due.Before(b.items.list[0].due) },
		},
		ineligible: flowHeap{
			less: func(a, b *flow) bool { return a.tag < b.tag },
		},
	}
}

// workAhead is the work that goes before a new request: the work that is due
// before it, but no more than fair shares allow.
func (l *level) workAhead(now time.Time, r Request) time.Duration {
	due := r.Deadline
	if r.FirstToken > 0 {
		due = r.Arrived.Add(r.FirstToken)
	}
	dueBefore := max(0, l.work-l.workDueAfter(now, due))
	active := l.active
	fairWork := max(r.Work, l.work/time.Duration(max(1, l.count)))
	if f := l.flows[r.Caller]; f != nil {
		fairWork += f.work + time.Duration(max(0, f.tag-l.virtual)*float64(time.Second))
		active = max(1, active)
	}
	return min(dueBefore, fairWork*time.Duration(active))
}

// ownWait is how long a new request waits behind those of the same caller. It
// uses the caller's measured drain, which includes the capacity that other
// callers leave: the callers waiting at one moment don't show how many will
// arrive.
func (l *level) ownWait(now time.Time, r Request) time.Duration {
	f := l.flows[r.Caller]
	if f == nil || len(f.items.list) == 0 || now.Sub(f.backloggedSince) < drainTimeConstant {
		return 0
	}
	return time.Duration(float64(f.work) / max(f.dequeued.recent(now), 0.01))
}

// lowerTag lowers the tag of a flow that is ahead of its share.
func (l *level) lowerTag(f *flow, tag float64) {
	if !f.eligible && tag < f.tag {
		f.tag = tag
		heap.Fix(&l.ineligible, f.index)
	}
}

func (l *level) setDue(it *item, due time.Time) {
	l.addDue(it, -it.request.Work)
	it.due = due
	it.bucket = bucket(due)
	l.addDue(it, it.request.Work)
	f := it.flow
	heap.Fix(&f.items, it.flowIndex)
	if f.eligible {
		heap.Fix(&l.eligible, f.index)
	}
}

func (l *level) push(now time.Time, it *item) {
	f := l.flows[it.request.Caller]
	if f == nil {
		f = &flow{
			caller: it.request.Caller,
			tag:    l.virtual,
			items: itemHeap{
				by: byDue,
			},
		}
		l.flows[f.caller] = f
		heap.Push(&l.ineligible, f)
	}
	it.flow = f
	if len(f.items.list) == 0 {
		l.active++
		f.backloggedSince = now
	}
	heap.Push(&f.items, it)
	f.work += it.request.Work
	l.work += it.request.Work
	it.bucket = bucket(it.due)
	l.addDue(it, it.request.Work)
	l.count++
	if f.eligible {
		heap.Fix(&l.eligible, f.index)
	}
}

// head returns the item that is next by rule 3. The level must not be empty.
func (l *level) head() *item {
	for {
		l.updateEligible()
		if len(l.eligible.list) > 0 {
			return l.eligible.list[0].items.list[0]
		}
		// All waiting callers are ahead of their share. Virtual time advances to the
		// first of them rather than leave the engines idle.
		l.virtual = max(l.virtual, l.ineligible.list[0].tag)
	}
}

// firstAccepted returns the first of the next few items that try accepts, or
// nil. After the head, the candidates are in heap order, which is nearly that
// of their due times.
func (l *level) firstAccepted(try func(Request) bool) *item {
	if it := l.head(); try(it.request) {
		return it
	}
	for _, f := range l.eligible.list[1:min(lookahead, len(l.eligible.list))] {
		if it := f.items.list[0]; try(it.request) {
			return it
		}
	}
	return nil
}

// updateEligible moves flows whose tag has been reached to the eligible ones,
// and deletes those that are empty.
func (l *level) updateEligible() {
	for len(l.ineligible.list) > 0 && l.ineligible.list[0].tag <= l.virtual {
		f := heap.Pop(&l.ineligible).(*flow)
		if len(f.items.list) == 0 {
			delete(l.flows, f.caller)
			continue
		}
		f.eligible = true
		heap.Push(&l.eligible, f)
	}
}

// charge charges a flow for a request. The caller removes the request
// afterwards.
func (l *level) charge(now time.Time, it *item) {
	f := it.flow
	work := it.request.Work.Seconds()
	f.dequeued.add(now, it.request.Work)
	l.virtual += work / float64(l.active)
	f.tag += work
	if f.urgent > 0 {
		f.tag = l.virtual
	}
	heap.Remove(&l.eligible, f.index)
	f.eligible = false
	heap.Push(&l.ineligible, f)
}

func (l *level) remove(it *item) {
	f := it.flow
	heap.Remove(&f.items, it.flowIndex)
	f.work -= it.request.Work
	l.work -= it.request.Work
	l.addDue(it, -it.request.Work)
	l.count--
	if it.urgent {
		f.urgent--
	}
	if len(f.items.list) == 0 {
		l.active--
		if f.eligible {
			heap.Remove(&l.eligible, f.index)
			f.eligible = false
			heap.Push(&l.ineligible, f)
		}
	} else if f.eligible {
		heap.Fix(&l.eligible, f.index)
	}
	if l.count == 0 {
		l.reset()
	}
}

// reset clears all shares once no request waits: there was capacity for all.
func (l *level) reset() {
	clear(l.flows)
	clear(l.ineligible.list)
	l.ineligible.list = l.ineligible.list[:0]
	l.virtual = 0
	l.credit = 0
}
