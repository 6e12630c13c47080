package transport

import (
	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// The paths that raft nodes serve, with the messages of request and response.
const (
	SessionPath  = "/fleet/session"     // SessionRequest, SessionResponse
	ProposePath  = "/fleet/propose"     // cluster.Command, ProposeResponse
	StatePath    = "/fleet/state"       // StateRequest, StateResponse
	IdentifyPath = "/fleet/keeper/who"  // NodeIdentity, NodeIdentity
	JoinPath     = "/fleet/keeper/join" // JoinRequest, no response
)

// SessionRequest renews a session or, with session 0, opens one. GrantDigest is the digest of the grants that the member
// believes the session holds.
type SessionRequest struct {
	Member      cluster.MemberID  `cbor:"1,keyasint"`
	Session     cluster.SessionID `cbor:"2,keyasint,omitempty"`
	Incarnation lease.Incarnation `cbor:"3,keyasint,omitempty"`
	GrantDigest lease.Digest      `cbor:"4,keyasint,omitempty"`
}

// SessionResponse is the leader's answer to a SessionRequest. TTL is the leader's session TTL, ErrorCode a code of
// fsm.ErrorCode. If the request's GrantDigest differs from that of the replicated lease table, Grants has all grants of
// the session.
type SessionResponse struct {
	Session   cluster.SessionID `cbor:"1,keyasint,omitempty"`
	TTL       api.Micros        `cbor:"2,keyasint"`
	ErrorCode uint16            `cbor:"3,keyasint,omitempty"`
	Grants    []lease.Grant     `cbor:"4,keyasint,omitempty"`
}

// ProposeResponse is the leader's answer to a cluster.Command: the component's result, or an error code of fsm.ErrorCode.
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

// StateResponse is the answer to a StateRequest. AppliedIndex is the index of the last log entry that the raft node had
// applied when it read the state.
type StateResponse struct {
	AppliedIndex  uint64             `cbor:"1,keyasint"`
	Components    []ComponentState   `cbor:"2,keyasint,omitempty"`
	FreeResources []cluster.Resource `cbor:"3,keyasint,omitempty"`
}

// ComponentState is the state of a component at a version. Data is a complete snapshot if BaseVersion is 0, else a delta
// from BaseVersion, see fsm.ApplyDelta.
type ComponentState struct {
	Component   cluster.ComponentID `cbor:"1,keyasint"`
	Version     uint64              `cbor:"2,keyasint"`
	Data        []byte              `cbor:"3,keyasint"`
	BaseVersion uint64              `cbor:"4,keyasint,omitempty"`
}

// NotLeaderResponse is the body of a response with status 421. Leader is empty if the raft node does not know the leader.
type NotLeaderResponse struct {
	Leader cluster.MemberID `cbor:"1,keyasint,omitempty"`
}

// NodeIdentity is what raft nodes exchange before one of them creates the raft group: a node's raft server id, whether
// its folder is empty, and the members that it is configured with.
type NodeIdentity struct {
	ServerID string             `cbor:"1,keyasint"`
	Empty    bool               `cbor:"2,keyasint,omitempty"`
	Members  []cluster.MemberID `cbor:"3,keyasint"`
}

// JoinRequest asks the leader to make a raft node's server a voter. AppliedIndex is the index of the last log entry that
// the server has applied.
type JoinRequest struct {
	Member       cluster.MemberID `cbor:"1,keyasint"`
	ServerID     string           `cbor:"2,keyasint"`
	AppliedIndex uint64           `cbor:"3,keyasint,omitempty"`
}
