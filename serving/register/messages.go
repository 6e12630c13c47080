package register

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// The calls between replicas.
var (
	prepareMethod  = rpc.Method[PrepareRequest, Vote]{Procedure: "/rowanlink.register.v1/Prepare"}
	acceptMethod   = rpc.Method[AcceptRequest, Vote]{Procedure: "/rowanlink.register.v1/Accept"}
	queryMethod    = rpc.Method[QueryRequest, Vote]{Procedure: "/rowanlink.register.v1/Query"}
	describeMethod = rpc.Method[DescribeRequest, Description]{Procedure: "/rowanlink.register.v1/Describe"}
)

// PrepareRequest asks a replica to promise that it will accept nothing below the ballot.
type PrepareRequest struct {
	ReplicaID   string `cbor:"1,keyasint"` // whom it is meant for
	Ballot      Ballot `cbor:"2,keyasint"`
	KnownBallot Ballot `cbor:"3,keyasint"` // the vote leaves out the proposal of this ballot
	Epoch       uint64 `cbor:"4,keyasint"` // of the set that the proposer takes for established
}

// AcceptRequest asks a replica to accept a proposal.
type AcceptRequest struct {
	ReplicaID string   `cbor:"1,keyasint"`
	Ballot    Ballot   `cbor:"2,keyasint"`
	Proposal  Proposal `cbor:"3,keyasint"`
	Epoch     uint64   `cbor:"4,keyasint"`
}

// QueryRequest asks a replica what it has accepted. It promises nothing and saves nothing.
type QueryRequest struct {
	ReplicaID   string `cbor:"1,keyasint"`
	KnownBallot Ballot `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	// RevisionOnly asks for the revision of what was accepted in place of the proposal.
	RevisionOnly bool `cbor:"4,keyasint,omitempty"`
}

// VoteResult is a replica's answer in short.
type VoteResult uint8

// The verdicts.
const (
	Granted      VoteResult = iota + 1 // promised, accepted, or answered
	Rejected                           // a higher ballot was promised
	WrongReplica                       // the replica that was asked for is not here
)

// String names the verdict, also one that this program doesn't know.
func (v VoteResult) String() string {
	names := [...]string{"none", "granted", "rejected", "wrong replica"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Vote is a replica's answer to all three requests.
type Vote struct {
	Result   VoteResult `cbor:"1,keyasint"`
	Promised Ballot     `cbor:"2,keyasint"`
	Accepted Ballot     `cbor:"3,keyasint"`
	Proposal *Proposal  `cbor:"4,keyasint,omitempty"` // of Accepted; nil where the proposer knows it or there is none
	// CommittedVoters is the newest set that the voter knows to be established, where it is newer than the request's.
	CommittedVoters *state.ReplicaSet `cbor:"5,keyasint,omitempty"`
	// Revision and Proposed answer a brief query: the revision of what was accepted, and its set of replicas where that
	// is newer than the request's.
	Revision       uint64            `cbor:"6,keyasint,omitempty"`
	ProposedVoters *state.ReplicaSet `cbor:"7,keyasint,omitempty"`
}

// DescribeRequest asks a process for the replicas that it knows.
type DescribeRequest struct{}

// Description tells the newest set of replicas that a process knows to be established. It may be out of date;
// whoever uses an old set meets a newer one in the votes.
type Description struct {
	CommittedVoters state.ReplicaSet `cbor:"1,keyasint"`           // empty: none known yet
	Down            []string         `cbor:"2,keyasint,omitempty"` // addresses of replicas that the process takes for down
	// Learner is the process's own replica where that is a learner which may become a voter; else zero.
	Learner         state.Replica `cbor:"3,keyasint,omitzero"`
	LearnerRevision uint64        `cbor:"4,keyasint,omitempty"` // the highest revision that Own has on disk
}
