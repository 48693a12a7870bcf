package hingefollow

import (
	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// followRequest is a poll of a control host.
type followRequest struct {
	// Incarnation is the control host's incarnation when it sent Change, the number
	// of the last change that the follower has.
	Incarnation hingeids.Incarnation `cbor:"1,keyasint"`
	Change      uint64               `cbor:"2,keyasint"`
	// Version is the version of the follower's configuration.
	Version hingeversion.Version `cbor:"3,keyasint"`
	// ConfirmNewest requests a confirmation by the leader (rules 4 and 8).
	ConfirmNewest bool `cbor:"4,keyasint,omitempty"`
	// EntryHost is set if the follower accepts requests from callers.
	EntryHost bool `cbor:"5,keyasint,omitempty"`
	// VersionOnly requests a newer configuration's version without its content (rule 6).
	VersionOnly bool `cbor:"6,keyasint,omitempty"`
	// Members and Followers are the digests of the lists of control hosts and of
	// followers that the sender has from the control host. Unchanged lists aren't sent.
	Members   uint64 `cbor:"9,keyasint,omitempty"`
	Followers uint64 `cbor:"10,keyasint,omitempty"`
	// DigestsOnly requests the digests of changed records in place of the records
	// (rule 10).
	DigestsOnly bool `cbor:"11,keyasint,omitempty"`
	// Backup is the number of control hosts that the follower prefers to this one.
	Backup int `cbor:"12,keyasint,omitempty"`
	// Single marks a query of rule 8: the control host doesn't count the sender as
	// its follower.
	Single bool `cbor:"7,keyasint,omitempty"`
	// PoisonRequests is the revision of the follower's list of poison requests (rule 9).
	PoisonRequests uint64 `cbor:"8,keyasint,omitempty"`
	// Zone is the zone of an entry host.
	Zone hingeids.Zone `cbor:"13,keyasint,omitempty"`
	// Parts is set if the follower fetches a large configuration in parts (rule 13). Those of earlier versions don't.
	Parts bool `cbor:"14,keyasint,omitempty"`
}

// memberInfo is a control host as another one names it. Zone is empty if it isn't known.
type memberInfo struct {
	Host hingeids.HostID `cbor:"1,keyasint"`
	Zone hingeids.Zone   `cbor:"2,keyasint,omitempty"`
}

// followResponse is the response to a poll. It is complete in itself (rule 1).
type followResponse struct {
	Incarnation hingeids.Incarnation `cbor:"1,keyasint"`
	// Change is the number of the last change that the response contains.
	Change  uint64                 `cbor:"2,keyasint"`
	Records []hingeannounce.Record `cbor:"3,keyasint,omitempty"`
	// Digests are those of changed records that aren't in Records (rule 10).
	Digests []hingeannounce.Digest `cbor:"17,keyasint,omitempty"`
	// More is set if there are further changes (rule 11).
	More     bool                   `cbor:"18,keyasint,omitempty"`
	Document *hingeversion.Document `cbor:"4,keyasint,omitempty"`
	Leader   hingeids.HostID        `cbor:"5,keyasint,omitempty"`
	// ControlHosts is nil if the follower has the list.
	ControlHosts []memberInfo `cbor:"6,keyasint,omitempty"`
	// Version is the version of the newest configuration, also if Document is nil.
	Version hingeversion.Version `cbor:"12,keyasint,omitempty"`
	// FollowerSet are the entry hosts that follow the control host; it is sent only
	// to control hosts that don't have it. EntryHosts counts the entry hosts of all control hosts.
	FollowerSet     FollowerSet   `cbor:"15,keyasint,omitempty"`
	EntryHosts      int           `cbor:"7,keyasint,omitempty"`
	NewestConfirmed bool          `cbor:"8,keyasint,omitempty"`
	HasLeader       bool          `cbor:"9,keyasint,omitempty"`
	Term            uint64        `cbor:"10,keyasint,omitempty"`
	Zone            hingeids.Zone `cbor:"11,keyasint,omitempty"`
	// Large is set if Document is nil because it is too large (rule 13).
	Large bool `cbor:"19,keyasint,omitempty"`
	// PoisonRequests is the list of poison requests if it is newer than the
	// follower's, otherwise nil.
	PoisonRequests *hingepoison.List `cbor:"16,keyasint,omitempty"`
}
