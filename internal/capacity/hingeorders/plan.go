package hingeorders

import (
	"slices"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Role is the role of an engine, such as "prefill" or "decode".
type Role string

// Kind is the kind of change that an order makes.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "loadModel"
	LoadAdapter Kind = "loadAdapter"
	ChangeRole  Kind = "changeRole"
)

// Order is an order to an engine. It is encoded as JSON.
type Order struct {
	Kind    Kind           `json:"kind"`
	Model   hingeids.Model `json:"model,omitempty"`
	Version string         `json:"version,omitempty"`
	Adapter string         `json:"adapter,omitempty"`
	Role    Role           `json:"role,omitempty"`
	// Bytes is the amount of data that the engine fetches from the weight store.
	Bytes hingeids.Bytes `json:"-"`
}

// DesiredState is the desired state of an engine. Empty fields are not changed.
type DesiredState struct {
	Engine  hingeids.ServerID
	Model   hingeids.Model
	Version string
	// Adapters are loaded in addition to the engine's present ones.
	Adapters []string
	Role     Role
	// ModelBytes is the size of the model's weights, AdapterBytes that of an
	// adapter.
	ModelBytes   hingeids.Bytes
	AdapterBytes hingeids.Bytes
}

// ActualState is the state that an engine reports.
type ActualState struct {
	Model    hingeids.Model
	Version  string
	Adapters []string
	Role     Role
	// Loading is set while a load is in progress, with BytesRemaining still to be
	// fetched.
	Loading        bool
	BytesRemaining hingeids.Bytes
}

// Engine is the part of an engine's announcement that orders need.
type Engine struct {
	ID          hingeids.ServerID
	Incarnation hingeids.Incarnation
	// ChecksFence is set if the engine refuses orders with a lower fencing number
	// than it has seen.
	ChecksFence bool
}

// nextOrder returns the next order that brings an engine closer to its desired
// state, and false if none is needed. The role is changed last, since a role may
// need the new model.
func nextOrder(desired DesiredState, actual ActualState) (Order, bool) {
	if desired.Model != "" && (desired.Model != actual.Model || desired.Version != actual.Version) {
		return Order{
			Kind:    LoadModel,
			Model:   desired.Model,
			Version: desired.Version,
			Bytes:   desired.ModelBytes,
		}, true
	}
	for _, adapter := range desired.Adapters {
		if !slices.Contains(actual.Adapters, adapter) {
			return Order{
				Kind:    LoadAdapter,
				Model:   actual.Model,
				Adapter: adapter,
				Bytes:   desired.AdapterBytes,
			}, true
		}
	}
	if desired.Role != "" && desired.Role != actual.Role {
		return Order{
			Kind: ChangeRole,
			Role: desired.Role,
		}, true
	}
	return Order{}, false
}
