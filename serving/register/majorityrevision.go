package register

import (
	"context"

	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// QueryFunc sends a query to the node at an address, for a process that has no replica itself.
type QueryFunc func(ctx context.Context, address string, request *QueryRequest) (*Vote, error)

// QueryOverRPC returns a QueryFunc that calls nodes over rpc.
func QueryOverRPC(client *rpc.Client) QueryFunc {
	return func(ctx context.Context, address string, request *QueryRequest) (*Vote, error) {
		return queryMethod.Call(ctx, client, address, request)
	}
}

// MajorityRevision returns the highest revision that any voter of an answering majority has accepted, and false if no
// majority answers. Each change that was acknowledged before the call has at most that revision: a majority has
// accepted the change, and any two majorities of a set have a voter in common. The given set may be out of date: voters
// that know a newer set return it, and then a majority of that set has to answer too.
func MajorityRevision(ctx context.Context, query QueryFunc, set state.ReplicaSet) (revision uint64, known bool) {
	revisions := newRevisionQuery(set)
	answers := make(chan revisionAnswer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for pending := 0; ; {
		for _, replica := range revisions.takeUnqueried() {
			pending++
			request := &QueryRequest{ReplicaID: replica.ID, Epoch: revisions.committedEpoch, RevisionOnly: true}
			go queryRevision(ctx, query, replica, request, answers)
		}
		if revisions.hasQuorum() {
			return revisions.revision, true
		}
		if pending == 0 {
			return 0, false
		}
		select {
		case answer := <-answers:
			pending--
			revisions.add(answer)
		case <-ctx.Done():
			return 0, false
		}
	}
}

// revisionAnswer is one replica's answer; the vote is nil if there was no answer.
type revisionAnswer struct {
	id   string
	vote *Vote
}

// queryRevision queries one replica and sends its answer to the channel, unless the context ends first.
func queryRevision(
	ctx context.Context, query QueryFunc, replica state.Replica, request *QueryRequest, answers chan<- revisionAnswer,
) {
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vote, err := query(callContext, replica.Address, request)
	if err != nil {
		vote = nil
	}
	select {
	case answers <- revisionAnswer{id: replica.ID, vote: vote}:
	case <-ctx.Done():
	}
}

// revisionQuery counts the answers to queries with RevisionOnly. It does no I/O.
type revisionQuery struct {
	sets           map[uint64]state.ReplicaSet // by epoch: the sets of which a majority has to answer
	committedEpoch uint64                      // the highest epoch of a set known to be committed
	queried        map[string]bool             // by replica ID
	answered       map[string]bool             // by replica ID
	revision       uint64                      // the highest revision among the answers
}

func newRevisionQuery(set state.ReplicaSet) *revisionQuery {
	return &revisionQuery{
		sets:           map[uint64]state.ReplicaSet{set.Epoch: set},
		committedEpoch: set.Epoch,
		queried:        map[string]bool{},
		answered:       map[string]bool{},
	}
}

// takeUnqueried returns the replicas that haven't been queried yet, and marks them as queried.
func (q *revisionQuery) takeUnqueried() (replicas []state.Replica) {
	for _, set := range q.sets {
		for _, replica := range set.Replicas {
			if !q.queried[replica.ID] {
				q.queried[replica.ID] = true
				replicas = append(replicas, replica)
			}
		}
	}
	return replicas
}

// add counts an answer. A committed set replaces all older ones. A set that is only proposed may or may not be
// committed, so a majority of it has to answer in addition.
func (q *revisionQuery) add(answer revisionAnswer) {
	vote := answer.vote
	if vote == nil {
		return
	}
	if vote.CommittedVoters != nil {
		q.observeCommitted(*vote.CommittedVoters)
	}
	if vote.Result != Granted {
		return
	}
	if vote.ProposedVoters != nil && vote.ProposedVoters.Epoch > q.committedEpoch {
		q.sets[vote.ProposedVoters.Epoch] = *vote.ProposedVoters
	}
	q.answered[answer.id] = true
	q.revision = max(q.revision, vote.Revision)
}

// observeCommitted adds a newer committed set and drops the sets of lower epochs.
func (q *revisionQuery) observeCommitted(set state.ReplicaSet) {
	if set.Epoch <= q.committedEpoch {
		return
	}
	q.committedEpoch = set.Epoch
	q.sets[set.Epoch] = set
	for epoch := range q.sets {
		if epoch < set.Epoch {
			delete(q.sets, epoch)
		}
	}
}

// hasQuorum reports whether a majority of each set has answered.
func (q *revisionQuery) hasQuorum() bool {
	answered := func(id string) bool { return q.answered[id] }
	for _, set := range q.sets {
		if len(set.Replicas) == 0 || countVoters(set, answered) < set.Quorum() {
			return false
		}
	}
	return true
}
