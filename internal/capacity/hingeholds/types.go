package hingeholds

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Kind is the kind of an allocation.
type Kind string

// The kinds of allocations.
const (
	Running       Kind = "running"
	Queued        Kind = "queued"
	Reservation   Kind = "reservation"
	ExportedCache Kind = "exportedCache"
	Import        Kind = "import"
)

// Hold is an allocation of an engine for a request. Its Age is the time since it was
// made.
type Hold struct {
	ID   hingeids.RequestID
	Kind Kind
	Age  time.Duration
}

// Engine is an announced incarnation of an engine.
type Engine struct {
	ID          hingeids.ServerID
	Incarnation hingeids.Incarnation
	// Mine is whether this host has to poll the engine.
	Mine bool
}

// Question asks a host which of the requests are in its table.
type Question struct {
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
	// Poll lists the engines whose allocations have to be listed.
	Poll   []Engine
	Ask    []Question
	Cancel []Cancellation
	// Stuck lists the cancels that have reached stuckAttempts.
	Stuck []Cancellation
	// Gone lists the abandoned requests that have no allocation left.
	Gone []Cancellation
}
