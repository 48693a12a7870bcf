package hingeledger

import (
	"container/heap"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Limits bound a State. They must be the same on all replicas.
type Limits struct {
	// Entries and Bytes bound all keys.
	Entries int
	Bytes   hingeids.Bytes
	// CallerEntries and CallerBytes bound the keys of one caller, so that it can't
	// fill the ledger.
	CallerEntries int
	CallerBytes   hingeids.Bytes
	// AnswerBytes bounds a stored answer. Answers are not refused, so Bytes can be
	// exceeded by up to AnswerBytes for each claim in progress.
	AnswerBytes hingeids.Bytes
}

// DefaultLimits returns limits for an entry host with 256 MB of memory.
func DefaultLimits() Limits {
	return Limits{
		Entries:       200_000,
		Bytes:         96 << 20,
		CallerEntries: 20_000,
		CallerBytes:   12 << 20,
		AnswerBytes:   256 << 10,
	}
}

const maxRetention = 31 * 24 * time.Hour

// entryOverhead is what an entry counts, in bytes, besides its strings and answer. It
// includes a reserve for the temporary memory of a growing map: BenchmarkMemoryOfKeys gives 340, and a map
// takes up to twice its size while it grows.
const entryOverhead = 420

type usage struct {
	entries int
	bytes   hingeids.Bytes
}

// The two strings count twice because encoded contains a copy of them; answer is a
// slice of encoded.
func (e *entry) size() hingeids.Bytes {
	return hingeids.Bytes(entryOverhead + 2*len(e.id.caller) + 2*len(e.id.key) + len(e.answer))
}

// add creates an entry unless a limit is reached (rule 5).
func (s *State) add(c *Claim, p phase) (*entry, Kind) {
	u := s.callers[c.Caller]
	if u != nil && (u.entries >= s.limits.CallerEntries || u.bytes >= s.limits.CallerBytes) {
		return nil, CallerFull
	}
	if len(s.entries) >= s.limits.Entries || s.bytes >= s.limits.Bytes {
		return nil, Full
	}
	e := &entry{
		id: entryID{
			caller: c.Caller,
			key:    c.Key,
		},
		phase:   p,
		digest:  c.Digest,
		request: c.Request,
		until:   c.Until,
	}
	s.extendExpiry(e, c.Retention)
	e.checkAt = e.expires
	e.encode()
	s.insert(e)
	return e, Granted
}

func (s *State) insert(e *entry) {
	s.entries[e.id] = e
	s.updateUsage(e, 1)
	heap.Push(&s.queue, e)
}

// extendExpiry sets the earliest time at which the entry may be removed (rule 5).
func (s *State) extendExpiry(e *entry, retention time.Duration) {
	retention = min(max(retention, 0), maxRetention)
	e.expires = max(e.expires, s.now+int64(retention), min(e.until, s.now+int64(maxRetention)))
}

// An entry whose expiry was extended since it was queued is queued again.
func (s *State) expire() {
	for len(s.queue) > 0 && s.queue[0].checkAt < s.now {
		e := s.queue[0]
		if e.expires >= s.now {
			e.checkAt = e.expires
			heap.Fix(&s.queue, 0)
			continue
		}
		heap.Pop(&s.queue)
		s.updateUsage(e, -1)
		delete(s.entries, e.id)
	}
}

func (s *State) updateUsage(e *entry, sign int) {
	size := hingeids.Bytes(sign) * e.size()
	u := s.callers[e.id.caller]
	if u == nil {
		u = &usage{}
		s.callers[e.id.caller] = u
	}
	u.entries += sign
	u.bytes += size
	s.bytes += size
	if u.entries == 0 {
		delete(s.callers, e.id.caller)
	}
}

// A heap ordered by checkAt.
type expiryQueue []*entry

func (q expiryQueue) Len() int {
	return len(q)
}

func (q expiryQueue) Less(i, j int) bool {
	return q[i].checkAt < q[j].checkAt
}

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	*q = append(*q, x.(*entry))
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*q = old[:last]
	return e
}
