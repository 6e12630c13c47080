package register

import (
	"github.com/cockroachdb/errors"

	"rowanlink/serving/state"
)

// ErrStateLost is returned by Storage.Load if a state was saved and can't be read any more. The replica then has to
// rejoin under a new ID, as after the loss of its disk.
var ErrStateLost = errors.New("saved state is damaged")

// AcceptorState is the durable state of a replica.
//
// Invariants, kept by prepare and accept (CASPaxos §2.2): Promised never decreases; Accepted never exceeds Promised;
// Proposal changes only together with Accepted.
type AcceptorState struct {
	ReplicaID string
	Promised  Ballot
	Accepted  Ballot // zero: nothing accepted yet; Proposal then has the genesis voters, or is empty
	Proposal  Proposal
	// Learned is the newest committed record that the replica has stored as a learner. Votes never include it: a voter
	// reports only what it has accepted itself.
	Learned state.Record
}

// durableRevision returns the highest revision on disk, accepted or learned.
func (s *AcceptorState) durableRevision() uint64 {
	return max(s.Proposal.Record.Revision, s.Learned.Revision)
}

// Storage keeps the state of one replica on disk.
type Storage interface {
	// Load returns the state that was saved last, and false if there is none, as on a new or replaced disk. It may
	// block on the disk for a long time. ErrStateLost is final; after other errors a later call may succeed.
	Load() (saved AcceptorState, found bool, err error)
	// Save returns once the state would survive a power failure. After an error the state may or may not have been
	// saved.
	Save(next AcceptorState) error
}

// transition is the result of applying one request to a replica's state. If save is set, next has to be durable before
// the vote is sent; otherwise the state is unchanged.
type transition struct {
	next AcceptorState
	vote Vote
	save bool
}

// vote returns a vote with the ballots that the replica has promised and accepted. A granted vote includes the accepted
// proposal, unless the accepted ballot equals knownBallot: the proposer then has the proposal already.
func (s *AcceptorState) vote(result VoteResult, knownBallot Ballot) Vote {
	vote := Vote{
		Result:   result,
		Promised: s.Promised,
		Accepted: s.Accepted,
	}
	if result == Granted && s.Accepted != knownBallot && !s.Accepted.IsZero() {
		proposal := s.Proposal
		vote.Proposal = &proposal
	}
	return vote
}

// prepare promises to accept no ballot below the request's. A repeated request gets the same answer.
func (s AcceptorState) prepare(request *PrepareRequest) transition {
	switch {
	case request.ReplicaID != s.ReplicaID:
		return transition{vote: Vote{Result: WrongReplica}}
	case request.Ballot.Before(s.Promised):
		return transition{vote: s.vote(Rejected, Ballot{})}
	case request.Ballot == s.Promised:
		return transition{vote: s.vote(Granted, request.KnownBallot)}
	}
	s.Promised = request.Ballot
	return transition{next: s, vote: s.vote(Granted, request.KnownBallot), save: true}
}

// accept accepts the request's proposal unless the replica has promised a higher ballot. A repeated request gets the
// same answer.
func (s AcceptorState) accept(request *AcceptRequest) transition {
	switch {
	case request.ReplicaID != s.ReplicaID:
		return transition{vote: Vote{Result: WrongReplica}}
	case request.Ballot.Before(s.Promised):
		return transition{vote: s.vote(Rejected, Ballot{})}
	case request.Ballot == s.Accepted:
		return transition{vote: s.vote(Granted, request.Ballot)}
	}
	s.Promised = request.Ballot
	s.Accepted = request.Ballot
	s.Proposal = request.Proposal
	if s.Learned.Revision <= s.Proposal.Record.Revision {
		s.Learned = state.Record{}
	}
	return transition{next: s, vote: s.vote(Granted, request.Ballot), save: true}
}

// learn stores a committed record that is newer than any on disk.
func (s AcceptorState) learn(record *state.Record) transition {
	if record.Revision <= s.durableRevision() {
		return transition{}
	}
	s.Learned = *record
	return transition{next: s, save: true}
}

// query answers a QueryRequest; it changes nothing.
func (s AcceptorState) query(request *QueryRequest) Vote {
	if request.ReplicaID != s.ReplicaID {
		return Vote{Result: WrongReplica}
	}
	if !request.RevisionOnly {
		return s.vote(Granted, request.KnownBallot)
	}
	vote := Vote{
		Result:   Granted,
		Promised: s.Promised,
		Accepted: s.Accepted,
		Revision: s.Proposal.Record.Revision,
	}
	if proposed := s.Proposal.Record.Voters; proposed.Epoch > request.Epoch {
		vote.ProposedVoters = &proposed
	}
	return vote
}

// removedFrom reports whether the replica was a voter and isn't in the committed set any more. A replica that has
// accepted a set of voters with itself in it doesn't count as removed until a later set is committed: the accepted set
// may itself be committed already.
func (s *AcceptorState) removedFrom(committed state.ReplicaSet) bool {
	accepted := s.Proposal.Record.Voters
	if len(accepted.Replicas) == 0 || committed.Contains(s.ReplicaID) {
		return false
	}
	if accepted.Contains(s.ReplicaID) {
		return accepted.Epoch < committed.Epoch
	}
	return accepted.Epoch <= committed.Epoch // it has accepted its own removal or a later proposal
}
