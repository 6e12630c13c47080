package transport

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// The paths that raft nodes serve.
const (
	SessionPath  = "/fleet/session"     // SessionRequest, SessionResponse
	ProposePath  = "/fleet/propose"     // cluster.Command, ProposeResponse
	StatePath    = "/fleet/state"       // StateRequest, StateResponse
	IdentifyPath = "/fleet/keeper/who"  // NodeIdentity, NodeIdentity
	JoinPath     = "/fleet/keeper/join" // JoinRequest, no response
)

// SessionRequest renews a session or, with session 0, opens one. GrantDigest is of the grants that the member knows of.
type SessionRequest struct {
	Member      cluster.MemberID  `cbor:"1,keyasint"`
	Session     cluster.SessionID `cbor:"2,keyasint,omitempty"`
	Incarnation lease.Incarnation `cbor:"3,keyasint,omitempty"`
	GrantDigest lease.Digest      `cbor:"4,keyasint,omitempty"`
}

// SessionResponse is the leader's answer to a SessionRequest. ErrorCode is as by fsm.ErrorCode, TTL the one that the
// leader uses. Grants are all that the session holds by the log, if the request's digest is not theirs.
type SessionResponse struct {
	Session   cluster.SessionID `cbor:"1,keyasint,omitempty"`
	TTL       api.Micros        `cbor:"2,keyasint"`
	ErrorCode uint16            `cbor:"3,keyasint,omitempty"`
	Grants    []lease.Grant     `cbor:"4,keyasint,omitempty"`
}

// ProposeResponse is the leader's answer to a cluster.Command: the component's result, or an error code as by
// fsm.ErrorCode.
type ProposeResponse struct {
	Result    []byte `cbor:"1,keyasint,omitempty"`
	ErrorCode uint16 `cbor:"2,keyasint,omitempty"`
	Index     uint64 `cbor:"3,keyasint"` // of the command's log entry
}

// StateRequest polls for the state of each component in Versions that is newer than that version, and for the wanted
// resources that nobody holds. With AcceptDeltas a component's state may come as a delta from that version.
type StateRequest struct {
	Versions        map[cluster.ComponentID]uint64 `cbor:"1,keyasint,omitempty"`
	WantedResources []cluster.Resource             `cbor:"2,keyasint,omitempty"`
	AcceptDeltas    bool                           `cbor:"3,keyasint,omitempty"`
}

// StateResponse is the answer to a StateRequest. AppliedIndex is the index of the last entry that was applied when the
// state was read.
type StateResponse struct {
	AppliedIndex  uint64             `cbor:"1,keyasint"`
	Components    []ComponentState   `cbor:"2,keyasint,omitempty"`
	FreeResources []cluster.Resource `cbor:"3,keyasint,omitempty"`
}

// ComponentState is the state of a component at a version. Data is a complete snapshot if BaseVersion is 0, and else a
// delta from that version, see fsm.ApplyDelta.
type ComponentState struct {
	Component   cluster.ComponentID `cbor:"1,keyasint"`
	Version     uint64              `cbor:"2,keyasint"`
	Data        []byte              `cbor:"3,keyasint"`
	BaseVersion uint64              `cbor:"4,keyasint,omitempty"`
}

// NotLeaderResponse comes with status 421. Leader is empty if it is not known.
type NotLeaderResponse struct {
	Leader cluster.MemberID `cbor:"1,keyasint,omitempty"`
}

// NodeIdentity is a raft node's server id, whether its folder is empty, and the members that it is configured with.
type NodeIdentity struct {
	ServerID string             `cbor:"1,keyasint"`
	Empty    bool               `cbor:"2,keyasint,omitempty"`
	Members  []cluster.MemberID `cbor:"3,keyasint"`
}

// JoinRequest asks the leader to add a raft node's server to the configuration. AppliedIndex is the index of the last
// entry that the server has applied.
type JoinRequest struct {
	Member       cluster.MemberID `cbor:"1,keyasint"`
	ServerID     string           `cbor:"2,keyasint"`
	AppliedIndex uint64           `cbor:"3,keyasint,omitempty"`
}
