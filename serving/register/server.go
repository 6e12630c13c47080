package register

import "context"

// server answers the calls of other processes to a node.
type server struct{ node *Node }

var _ Server = (*server)(nil)

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

func (s *server) Describe(context.Context, *DescribeRequest) (*Description, error) {
	voters := s.node.Voters()
	description := &Description{CommittedVoters: voters}
	if own, ok := s.node.caughtUpLearner(); ok {
		description.Learner = own.replica
		description.LearnerRevision = own.revision
	}
	for _, voter := range voters.Replicas {
		if s.node.isDown(voter.Address) {
			description.Down = append(description.Down, voter.Address)
		}
	}
	return description, nil
}

// withCommittedVoters adds the newest committed voters to a vote if their epoch is above the caller's.
func (s *server) withCommittedVoters(vote *Vote, epoch uint64) *Vote {
	if voters := s.node.Voters(); vote != nil && voters.Epoch > epoch {
		vote.CommittedVoters = &voters
	}
	return vote
}
