package hingeadmin

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// ChangeID identifies a change. Resends of the change carry the same ID.
type ChangeID string

// Change is a configuration change, the body of POST /v1/changes.
type Change struct {
	ChangeID ChangeID `json:"changeId"`
	// ExpectedRevision is the revision that the change is based on. The change is
	// accepted only if this is still the newest revision.
	ExpectedRevision hingeids.Revision `json:"expectedRevision"`
	// Operator is the name recorded in the history.
	Operator string `json:"operator"`
	// Puts maps paths to new documents. Deletes lists paths to remove.
	Puts    map[string]string `json:"puts,omitempty"`
	Deletes []string          `json:"deletes,omitempty"`
}

// AcceptedChange describes an accepted change and the revision that it created.
type AcceptedChange struct {
	Revision hingeids.Revision `json:"revision"`
	ChangeID ChangeID          `json:"changeId"`
	Operator string            `json:"operator"`
	At       time.Time         `json:"at"`
	// Paths lists the items that the change put or deleted.
	Paths []string `json:"paths"`
	// Repeated reports that the change had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Snapshot is the configuration at a revision, the response body of GET /v1/configuration.
type Snapshot struct {
	Revision hingeids.Revision `json:"revision"`
	Items    map[string]string `json:"items"`
}

// History is the response body of GET /v1/history. Changes are ordered from newest to oldest.
type History struct {
	Changes []AcceptedChange `json:"changes"`
}

// Status is the response body of GET /v1/status: the cluster view of one entry host.
type Status struct {
	Host        hingeids.HostID      `json:"host"`
	Zone        hingeids.Zone        `json:"zone"`
	Incarnation hingeids.Incarnation `json:"incarnation"`
	// Ready reports whether the host accepts requests. Reason explains why it doesn't.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Draining reports that the host accepts no new requests. InProgress counts
	// the requests that it is still serving.
	Draining   bool `json:"draining"`
	InProgress int  `json:"inProgress"`
	// Leader is the known leader of the configuration log. It is empty when there
	// is no quorum.
	Leader hingeids.HostID `json:"leader,omitempty"`
	// Voting reports whether the host counts towards a quorum of the configuration
	// log. The replacement of a lost disk is complete only when this is set.
	Voting bool `json:"voting"`
	// Committed is the newest accepted revision known to this host.
	Committed hingeids.Revision `json:"committed"`
	Hosts     []HostStatus      `json:"hosts"`
	Servers   []ServerStatus    `json:"servers"`
}

// HostStatus is the state of an entry host as observed by the host that responds.
type HostStatus struct {
	Host hingeids.HostID `json:"host"`
	Zone hingeids.Zone   `json:"zone"`
	// Operators is the address for operators' commands. It is empty if the
	// settings don't contain one.
	Operators string `json:"operators,omitempty"`
	Disk      bool   `json:"disk"`
	Alive     bool   `json:"alive"`
	// SilentSince is the time of the last heartbeat of a host that is not alive.
	SilentSince time.Time            `json:"silentSince,omitzero"`
	Incarnation hingeids.Incarnation `json:"incarnation"`
	// Revision is the applied revision in the host's last report.
	Revision hingeids.Revision `json:"revision"`
	// LagsSince is the time since which the host's applied revision has been older
	// than the newest one.
	LagsSince time.Time `json:"lagsSince,omitzero"`
}

// ServerStatus is the state of a backend server as observed by an entry host.
type ServerStatus struct {
	Server  hingeids.ServerID `json:"server"`
	Kind    string            `json:"kind"`
	Zone    hingeids.Zone     `json:"zone"`
	Model   hingeids.Model    `json:"model,omitempty"`
	Service hingeids.Service  `json:"service,omitempty"`
	Running int               `json:"running"`
	Slots   hingeids.Slots    `json:"slots,omitempty"`
	// Granting reports whether requests may be placed on the server. For a decode
	// engine, this host must have received slots that it can grant.
	Granting bool `json:"granting"`
	// Listed reports whether the server is in the inventory. Servers that are not
	// receive no requests.
	Listed      bool      `json:"listed"`
	Leaving     bool      `json:"leaving"`
	SilentSince time.Time `json:"silentSince,omitzero"`
}

// DrainStatus is the response body of POST /v1/drain.
type DrainStatus struct {
	Draining   bool `json:"draining"`
	InProgress int  `json:"inProgress"`
}

// VoterChange is the body of POST /v1/voters. Exactly one of Admit and Remove is set.
type VoterChange struct {
	Admit  hingeids.HostID `json:"admit,omitempty"`
	Remove hingeids.HostID `json:"remove,omitempty"`
}

// Failure is the body of every error response.
type Failure struct {
	Code    hingeverdict.Code `json:"code"`
	Verdict string            `json:"verdict"`
	Error   string            `json:"error"`
	// Winner is the accepted change that caused a conflict.
	Winner *AcceptedChange `json:"winner,omitempty"`
	// Problems lists the validation errors of a change.
	Problems []hingetoml.Problem `json:"problems,omitempty"`
}
