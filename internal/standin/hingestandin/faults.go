package hingestandin

import (
	"sync"
	"sync/atomic"
	"time"
)

// Fault is the name of a fault that can be injected.
type Fault string

// The faults. Each applies to one request per count, except Silent, which
// applies to all connections that are open when it is set.
const (
	// Stall stops a stream halfway, or withholds the answer of a service call,
	// with the connection open.
	Stall Fault = "stall"
	// Silent drops all further data on the open connections; new ones work.
	Silent Fault = "silent"
	// Late delays the answer by two seconds.
	Late Fault = "late"
	// ForeignAnswer answers with another request's id and text.
	ForeignAnswer Fault = "foreign"
	// CloseBeforeAnswer runs a service call and closes the connection without an answer.
	CloseBeforeAnswer Fault = "closeBefore"
	// CutStream closes the connection in the middle of a stream, without an end mark.
	CutStream Fault = "cutStream"
	// NoEndMark ends the HTTP response halfway through a stream, without an end mark.
	NoEndMark Fault = "noEndMark"
	// RefuseRequest refuses a request before it runs.
	RefuseRequest Fault = "refuse"
	// EvictExport evicts the exported KV cache immediately.
	EvictExport Fault = "loseCache"
)

const lateDelay = 2 * time.Second

type faults struct {
	silenceCount atomic.Int64
	mu           sync.Mutex
	remaining    map[Fault]int
}

// SetFault injects a fault into the next count requests to which it applies.
// It replaces an earlier count of the same fault.
func (s *Server) SetFault(f Fault, count int) {
	if f == Silent {
		s.faults.silenceCount.Add(1)
		return
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.remaining == nil {
		s.faults.remaining = make(map[Fault]int)
	}
	s.faults.remaining[f] = count
}

// consume reports whether the fault is set, and decrements its count.
func (f *faults) consume(name Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining[name] == 0 {
		return false
	}
	f.remaining[name]--
	return true
}
