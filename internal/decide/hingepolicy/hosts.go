package hingepolicy

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/decide/hingemodel"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
)

// allocator simulates the allocators of decode slots. All hosts share it, so
// that its counts are always current.
type allocator struct {
	slots   int
	held    map[hingemodel.EngineID]int
	engines map[*hingemodel.Request]hingemodel.EngineID
	refused int
}

func newAllocator(slots int) *allocator {
	return &allocator{
		slots:   slots,
		held:    make(map[hingemodel.EngineID]int),
		engines: make(map[*hingemodel.Request]hingemodel.EngineID),
	}
}

func (a *allocator) grant(q *hingemodel.Request, e hingemodel.EngineID) bool {
	if a.held[e] >= a.slots {
		a.refused++
		return false
	}
	a.held[e]++
	a.engines[q] = e
	return true
}

func (a *allocator) release(q *hingemodel.Request) {
	if e, ok := a.engines[q]; ok {
		a.held[e]--
		delete(a.engines, q)
	}
}

// Hosts simulates several entry hosts that share engines. Each has its own queue
// and view, and learns of the others' requests only from delayed load reports. The
// shared allocator prevents two hosts from using the same slot.
type Hosts struct {
	hosts []*Policy
}

// NewHosts returns n entry hosts.
func NewHosts(n int, workload hingemodel.Workload, c hingemodel.Cluster, w hingeplace.Weights) *Hosts {
	h := &Hosts{}
	shared := newAllocator(c.Slots)
	for range n {
		p := New(workload, c, w)
		p.allocator = shared
		h.hosts = append(h.hosts, p)
	}
	return h
}

// hostOf returns the host to which the load balancer sends a request.
func (h *Hosts) hostOf(q *hingemodel.Request) *Policy {
	return h.hosts[q.ID.Sequence%uint64(len(h.hosts))]
}

// HandleArrival passes the request to its host.
func (h *Hosts) HandleArrival(now time.Time, q *hingemodel.Request, actions *hingemodel.Actions) {
	h.hostOf(q).HandleArrival(now, q, actions)
}

// HandleEvent passes an event of a request to its host, and an event of an engine
// to all hosts.
func (h *Hosts) HandleEvent(now time.Time, e hingemodel.Event, actions *hingemodel.Actions) {
	if e.Request != nil {
		h.hostOf(e.Request).HandleEvent(now, e, actions)
		return
	}
	for _, p := range h.hosts {
		p.HandleEvent(now, e, actions)
	}
}

// HandleReport passes the report to all hosts.
func (h *Hosts) HandleReport(now time.Time, r hingemodel.LoadReport, actions *hingemodel.Actions) {
	for _, p := range h.hosts {
		p.HandleReport(now, r, actions)
	}
}

// Tick calls Tick of all hosts.
func (h *Hosts) Tick(now time.Time, actions *hingemodel.Actions) {
	for _, p := range h.hosts {
		p.Tick(now, actions)
	}
}
