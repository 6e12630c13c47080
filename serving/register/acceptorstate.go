package register

import (
	"github.com/cockroachdb/errors"

	"rowanlink/serving/state"
)

// ErrStateLost is what Storage.Load returns where something was saved and can't be read any more. The replica has then
// lost its disk.
var ErrStateLost = errors.New("saved state is damaged")

// AcceptorState is what a replica must not forget.
type AcceptorState struct {
	ReplicaID string
	Promised  Ballot
	Accepted  Ballot // zero: nothing accepted; the record then holds the first set of replicas, or nothing
	Proposal  Proposal
	// Learned is the newest committed record that the replica has kept as a learner. It takes part in no vote: as a
	// voter the replica answers for what it has accepted alone.
	Learned state.Record
}

// durableRevision returns the highest revision that is on disk, accepted or learned.
func (s *AcceptorState) durableRevision() uint64 {
	return max(s.Proposal.Record.Revision, s.Learned.Revision)
}

// Storage keeps a replica's state on disk.
type Storage interface {
	// Load returns what was saved last; found is false where nothing was, as on a new or replaced disk. It may wait for
	// the disk for long. ErrStateLost is final; after other errors, another try may succeed.
	Load() (saved AcceptorState, found bool, err error)
	// Save returns once the state would survive a loss of power. After an error the state may or may not be saved.
	Save(next AcceptorState) error
}

// transition is one decision of a replica: the state to be saved before the vote is given. Where save is false, nothing
// has changed.
type transition struct {
	next AcceptorState
	vote Vote
	save bool
}

// vote answers with what the replica has promised and accepted, without the proposal where it is known.
func (s *AcceptorState) vote(verdict VoteResult, known Ballot) Vote {
	vote := Vote{Result: verdict, Promised: s.Promised, Accepted: s.Accepted}
	if verdict == Granted && s.Accepted != known && !s.Accepted.IsZero() {
		proposal := s.Proposal
		vote.Proposal = &proposal
	}
	return vote
}

// prepare decides on a PrepareRequest.
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

// accept decides on an AcceptRequest.
func (s AcceptorState) accept(request *AcceptRequest) transition {
	switch {
	case request.ReplicaID != s.ReplicaID:
		return transition{vote: Vote{Result: WrongReplica}}
	case request.Ballot.Before(s.Promised):
		return transition{vote: s.vote(Rejected, Ballot{})}
	case request.Ballot == s.Accepted:
		return transition{vote: s.vote(Granted, request.Ballot)}
	}
	s.Promised, s.Accepted, s.Proposal = request.Ballot, request.Ballot, request.Proposal
	if s.Learned.Revision <= s.Proposal.Record.Revision {
		s.Learned = state.Record{}
	}
	return transition{next: s, vote: s.vote(Granted, request.Ballot), save: true}
}

// learn keeps a committed record that is newer than what is held.
func (s AcceptorState) learn(record *state.Record) transition {
	if record.Revision <= s.durableRevision() {
		return transition{}
	}
	s.Learned = *record
	return transition{next: s, save: true}
}

// query answers a QueryRequest.
func (s AcceptorState) query(request *QueryRequest) Vote {
	if request.ReplicaID != s.ReplicaID {
		return Vote{Result: WrongReplica}
	}
	if !request.RevisionOnly {
		return s.vote(Granted, request.KnownBallot)
	}
	vote := Vote{Result: Granted, Promised: s.Promised, Accepted: s.Accepted, Revision: s.Proposal.Record.Revision}
	if proposed := s.Proposal.Record.Voters; proposed.Epoch > request.Epoch {
		vote.ProposedVoters = &proposed
	}
	return vote
}
