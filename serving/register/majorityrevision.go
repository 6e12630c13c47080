package register

import (
	"context"

	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// QueryFunc carries the queries of a process without a replica; rpc carries them between processes.
type QueryFunc func(ctx context.Context, address string, request *QueryRequest) (*Vote, error)

// QueryOverRPC returns an Asker that calls replicas over rpc.
func QueryOverRPC(client *rpc.Client) QueryFunc {
	return func(ctx context.Context, address string, request *QueryRequest) (*Vote, error) {
		return queryMethod.Call(ctx, client, address, request)
	}
}

// MajorityRevision asks the voters for the newest revision that they have accepted. Every change that was acknowledged
// before the call has a revision that is not above it: a majority has accepted that change, and any two majorities of a
// set share a voter. The set may be out of date: voters that know a newer one tell it, and are then asked there too.
// It returns false where no majority answered before the context ended.
func MajorityRevision(ctx context.Context, ask QueryFunc, set state.ReplicaSet) (revision uint64, known bool) {
	survey := newRevisionQuery(set)
	answers := make(chan revisionAnswer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for waiting := 0; ; {
		for _, replica := range survey.takeUnqueried() {
			waiting++
			request := &QueryRequest{ReplicaID: replica.ID, Epoch: survey.committedEpoch, RevisionOnly: true}
			go func() {
				bounded, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				vote, err := ask(bounded, replica.Address, request)
				if err != nil {
					vote = nil
				}
				select {
				case answers <- revisionAnswer{id: replica.ID, vote: vote}:
				case <-ctx.Done():
				}
			}()
		}
		if survey.hasQuorum() {
			return survey.revision, true
		}
		if waiting == 0 {
			return 0, false
		}
		select {
		case answer := <-answers:
			waiting--
			survey.add(answer)
		case <-ctx.Done():
			return 0, false
		}
	}
}

// revisionAnswer is one replica's answer; a nil vote stands for none.
type revisionAnswer struct {
	id   string
	vote *Vote
}

// revisionQuery gathers answers to brief queries. It does no I/O.
type revisionQuery struct {
	sets           map[uint64]state.ReplicaSet // by epoch: those of which a majority has to answer
	committedEpoch uint64                      // the highest epoch of a set that is known to be established
	queried        map[string]bool
	answered       map[string]bool
	revision       uint64
}

func newRevisionQuery(set state.ReplicaSet) *revisionQuery {
	return &revisionQuery{sets: map[uint64]state.ReplicaSet{set.Epoch: set}, committedEpoch: set.Epoch, queried: map[string]bool{},
		answered: map[string]bool{}}
}

// takeUnqueried returns the replicas that are to be asked now, and counts them as asked.
func (s *revisionQuery) takeUnqueried() (replicas []state.Replica) {
	for _, set := range s.sets {
		for _, replica := range set.Replicas {
			if !s.queried[replica.ID] {
				s.queried[replica.ID] = true
				replicas = append(replicas, replica)
			}
		}
	}
	return replicas
}

// add takes an answer. A set that is established takes the place of all older ones; one that is only proposed may be
// in force, or not, and is asked beside them.
func (s *revisionQuery) add(answer revisionAnswer) {
	vote := answer.vote
	if vote == nil {
		return
	}
	if vote.CommittedVoters != nil && vote.CommittedVoters.Epoch > s.committedEpoch {
		s.committedEpoch = vote.CommittedVoters.Epoch
		s.sets[s.committedEpoch] = *vote.CommittedVoters
		for epoch := range s.sets {
			if epoch < s.committedEpoch {
				delete(s.sets, epoch)
			}
		}
	}
	if vote.Result != Granted {
		return
	}
	if vote.ProposedVoters != nil && vote.ProposedVoters.Epoch > s.committedEpoch {
		s.sets[vote.ProposedVoters.Epoch] = *vote.ProposedVoters
	}
	s.answered[answer.id] = true
	s.revision = max(s.revision, vote.Revision)
}

// hasQuorum tells whether a majority of each set has answered.
func (s *revisionQuery) hasQuorum() bool {
	for _, set := range s.sets {
		if len(set.Replicas) == 0 || countVoters(set, func(id string) bool { return s.answered[id] }) < set.Quorum() {
			return false
		}
	}
	return true
}
