package register

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// The RPC methods that nodes call on each other.
var (
	prepareMethod  = rpc.Method[PrepareRequest, Vote]{Procedure: "/rowanlink.register.v1/Prepare"}
	acceptMethod   = rpc.Method[AcceptRequest, Vote]{Procedure: "/rowanlink.register.v1/Accept"}
	queryMethod    = rpc.Method[QueryRequest, Vote]{Procedure: "/rowanlink.register.v1/Query"}
	describeMethod = rpc.Method[DescribeRequest, Description]{Procedure: "/rowanlink.register.v1/Describe"}
)

// PrepareRequest asks a replica to promise that it will accept nothing below the ballot.
type PrepareRequest struct {
	ReplicaID   string `cbor:"1,keyasint"` // the replica that the request is meant for
	Ballot      Ballot `cbor:"2,keyasint"`
	KnownBallot Ballot `cbor:"3,keyasint"` // the proposer has this ballot's proposal: the vote may leave it out
	Epoch       uint64 `cbor:"4,keyasint"` // of the newest voters that the proposer knows to be committed
}

// AcceptRequest asks a replica to accept a proposal.
type AcceptRequest struct {
	ReplicaID string   `cbor:"1,keyasint"`
	Ballot    Ballot   `cbor:"2,keyasint"`
	Proposal  Proposal `cbor:"3,keyasint"`
	Epoch     uint64   `cbor:"4,keyasint"`
}

// QueryRequest asks a replica what it has accepted, without changing its state.
type QueryRequest struct {
	ReplicaID   string `cbor:"1,keyasint"`
	KnownBallot Ballot `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	// RevisionOnly asks for the revision of the accepted proposal instead of the proposal itself.
	RevisionOnly bool `cbor:"4,keyasint,omitempty"`
}

// VoteResult is the result of a request to a replica.
type VoteResult uint8

// Results of a request.
const (
	Granted      VoteResult = iota + 1 // promised, accepted, or answered
	Rejected                           // a higher ballot was promised
	WrongReplica                       // the replica at the address has another ID
)

// String returns the name of the result, or "unknown" for a value that only a newer release defines.
func (r VoteResult) String() string {
	names := [...]string{"none", "granted", "rejected", "wrong replica"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Vote is a replica's answer to PrepareRequest, AcceptRequest and QueryRequest.
type Vote struct {
	Result   VoteResult `cbor:"1,keyasint"`
	Promised Ballot     `cbor:"2,keyasint"`
	Accepted Ballot     `cbor:"3,keyasint"`
	Proposal *Proposal  `cbor:"4,keyasint,omitempty"` // of ballot Accepted; nil if none or known to the proposer
	// CommittedVoters is the newest set that the node knows to be committed, if its epoch is above the request's.
	CommittedVoters *state.ReplicaSet `cbor:"5,keyasint,omitempty"`
	// Revision and ProposedVoters answer a query with RevisionOnly: the revision of the accepted proposal, and its
	// voters if their epoch is above the request's.
	Revision       uint64            `cbor:"6,keyasint,omitempty"`
	ProposedVoters *state.ReplicaSet `cbor:"7,keyasint,omitempty"`
}

// DescribeRequest asks a node which voters it knows.
type DescribeRequest struct{}

// Description is what a node knows of the register. It may be out of date; a proposer that uses an old set of voters
// learns of a newer one from the votes.
type Description struct {
	CommittedVoters state.ReplicaSet `cbor:"1,keyasint"`           // the newest known set; empty: none
	Down            []string         `cbor:"2,keyasint,omitempty"` // addresses of voters that are down
	// Learner is the node's own replica if that is a learner which may become a voter, else zero.
	Learner         state.Replica `cbor:"3,keyasint,omitzero"`
	LearnerRevision uint64        `cbor:"4,keyasint,omitempty"` // the highest revision that Learner has on disk
}
