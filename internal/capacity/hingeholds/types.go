package hingeholds

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// AllocationKind is the kind of an allocation.
type AllocationKind string

// The kinds of allocations.
const (
	Running       AllocationKind = "running"
	Queued        AllocationKind = "queued"
	Reservation   AllocationKind = "reservation"
	ExportedCache AllocationKind = "exportedCache"
	Import        AllocationKind = "import"
)

// Allocation is an allocation of an engine for a request. Its Age is the time since it was
// made.
type Allocation struct {
	ID   hingeids.RequestID
	Kind AllocationKind
	Age  time.Duration
}

// Engine is an announced incarnation of an engine.
type Engine struct {
	ID          hingeids.ServerID
	Incarnation hingeids.Incarnation
	// Responsible is whether this host has to poll the engine.
	Responsible bool
}

// OwnershipQuery asks a host which of the requests are in its table.
type OwnershipQuery struct {
	Host hingeids.HostID
	IDs  []hingeids.RequestID
}

// Cancellation has an engine release all its allocations for a request.
type Cancellation struct {
	Engine hingeids.ServerID
	ID     hingeids.RequestID
}

// Output lists the calls and reports that a step requests.
type Output struct {
	// Polls lists the engines whose allocations have to be listed.
	Polls   []Engine
	Queries []OwnershipQuery
	Cancels []Cancellation
	// Stuck lists the cancels that have reached stuckAttempts.
	Stuck []Cancellation
	// Released lists the abandoned requests that have no allocation left.
	Released []Cancellation
}
