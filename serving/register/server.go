package register

import "context"

// server answers the calls of other processes to a node.
type server struct{ node *Node }

func (s *server) Prepare(ctx context.Context, request *PrepareRequest) (*Vote, error) {
	vote, err := s.node.acceptor.Prepare(ctx, request)
	return s.withCommittedVoters(vote, request.Epoch), err
}

func (s *server) Accept(ctx context.Context, request *AcceptRequest) (*Vote, error) {
	vote, err := s.node.acceptor.Accept(ctx, request)
	if err == nil && vote.Result == Granted {
		s.node.proposer.observeVoters(request.Proposal.CommittedVoters())
	}
	return s.withCommittedVoters(vote, request.Epoch), err
}

func (s *server) Query(ctx context.Context, request *QueryRequest) (*Vote, error) {
	vote, err := s.node.acceptor.Query(ctx, request)
	return s.withCommittedVoters(vote, request.Epoch), err
}

// withCommittedVoters adds the set of replicas in force where the caller goes by an older one.
func (s *server) withCommittedVoters(vote *Vote, epoch uint64) *Vote {
	if set := s.node.Voters(); vote != nil && set.Epoch > epoch {
		vote.CommittedVoters = &set
	}
	return vote
}

func (s *server) Describe(context.Context, *DescribeRequest) (*Description, error) {
	set := s.node.Voters()
	description := &Description{CommittedVoters: set}
	if own, ok := s.node.caughtUpLearner(); ok {
		description.Learner, description.LearnerRevision = own.replica, own.revision
	}
	for _, replica := range set.Replicas {
		if s.node.isAbsent(replica.Address) {
			description.Down = append(description.Down, replica.Address)
		}
	}
	return description, nil
}

var _ Server = (*server)(nil)
