package transport

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// The paths that keepers hear on.
const (
	SessionPath  = "/fleet/session"
	ProposePath  = "/fleet/propose"
	StatePath    = "/fleet/state"
	IdentifyPath = "/fleet/keeper/who"
	JoinPath     = "/fleet/keeper/join"
)

// SessionRequest asks for a session to go on; with session 0, for one to be opened. Tally is of the grants that
// the member knows of.
type SessionRequest struct {
	Member      cluster.MemberID  `cbor:"1,keyasint"`
	Session     cluster.SessionID `cbor:"2,keyasint,omitempty"`
	Incarnation lease.Incarnation `cbor:"3,keyasint,omitempty"`
	GrantDigest lease.Digest      `cbor:"4,keyasint,omitempty"`
}

// SessionResponse is a keeper's yes, or which refusal (state.Code). Term is the one that the keeper counts.
// Holds is all that the session holds by the log, where its tally is another than the member's.
type SessionResponse struct {
	Session   cluster.SessionID `cbor:"1,keyasint,omitempty"`
	TTL       api.Micros        `cbor:"2,keyasint"`
	ErrorCode uint16            `cbor:"3,keyasint,omitempty"`
	Grants    []lease.Grant     `cbor:"4,keyasint,omitempty"`
}

// ProposeResponse is what became of a fleet.Command: the part's answer, or which refusal (state.Code).
type ProposeResponse struct {
	Result    []byte `cbor:"1,keyasint,omitempty"`
	ErrorCode uint16 `cbor:"2,keyasint,omitempty"`
	Index     uint64 `cbor:"3,keyasint"` // of its entry in the log
}

// StateRequest asks for each part that is newer than the version named, and which of the tasks are free.
// Changes is whether a part may come as what changed since that version.
type StateRequest struct {
	Versions        map[byte]uint64    `cbor:"1,keyasint,omitempty"`
	WantedResources []cluster.Resource `cbor:"2,keyasint,omitempty"`
	AcceptDeltas    bool               `cbor:"3,keyasint,omitempty"`
}

// StateResponse holds those that are; Index is how far the log's entries were applied where it was read.
type StateResponse struct {
	AppliedIndex  uint64             `cbor:"1,keyasint"`
	Components    []ComponentState   `cbor:"2,keyasint,omitempty"`
	FreeResources []cluster.Resource `cbor:"3,keyasint,omitempty"`
}

// ComponentState is one part as it was at a version: whole, or by state.Changed from what it was at Since.
type ComponentState struct {
	Component   byte   `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
	Data        []byte `cbor:"3,keyasint"`
	BaseVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// NotLeaderResponse goes with status 421: who leads, as far as is known.
type NotLeaderResponse struct {
	Leader cluster.MemberID `cbor:"1,keyasint,omitempty"`
}

// NodeIdentity is what a keeper says of itself: the name of its folder, whether the folder holds nothing yet, and who
// the keepers are by its file.
type NodeIdentity struct {
	ServerID string             `cbor:"1,keyasint"`
	Empty    bool               `cbor:"2,keyasint,omitempty"`
	Members  []cluster.MemberID `cbor:"3,keyasint"`
}

// JoinRequest asks the leader to take a keeper's folder into its midst; Applied is how far it has come.
type JoinRequest struct {
	Member       cluster.MemberID `cbor:"1,keyasint"`
	ServerID     string           `cbor:"2,keyasint"`
	AppliedIndex uint64           `cbor:"3,keyasint,omitempty"`
}
