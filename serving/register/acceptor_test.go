package register

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// memoryStorage keeps the last state that it took.
type memoryStorage struct {
	refuses bool
	saved   AcceptorState
}

func (s *memoryStorage) Load() (AcceptorState, bool, error) { return s.saved, true, nil }

func (s *memoryStorage) Save(next AcceptorState) error {
	if s.refuses {
		return errors.New("the disk takes nothing")
	}
	s.saved = next
	return nil
}

// TestNoVoteThatIsNotOnDisk: a replica whose disk refuses neither promises nor accepts, and remembers neither.
func TestNoVoteThatIsNotOnDisk(t *testing.T) {
	log := zerolog.Nop()
	storage := &memoryStorage{}
	acceptor := NewAcceptor(storage, &log)
	t.Cleanup(acceptor.Close)
	ctx := context.Background()
	require.NoError(t, acceptor.Install(ctx, AcceptorState{ReplicaID: "r"}, true))
	first, second := Ballot{Number: 1, Proposer: "p"}, Ballot{Number: 2, Proposer: "p"}
	prepare := func(ballot Ballot) (*Vote, error) {
		return acceptor.Prepare(ctx, &PrepareRequest{ReplicaID: "r", Ballot: ballot})
	}
	vote, err := prepare(first)
	require.NoError(t, err)
	require.Equal(t, Granted, vote.Result)

	storage.refuses = true
	_, err = prepare(second)
	assert.Error(t, err)
	proposal := Proposal{Record: state.Record{Revision: 1}}
	_, err = acceptor.Accept(ctx, &AcceptRequest{ReplicaID: "r", Ballot: second, Proposal: proposal})
	assert.Error(t, err)
	known, _ := acceptor.State()
	assert.Equal(t, first, known.Promised, "what is in memory isn't ahead of the disk")
	assert.True(t, known.Accepted.IsZero())

	storage.refuses = false
	vote, err = acceptor.Accept(ctx, &AcceptRequest{ReplicaID: "r", Ballot: second, Proposal: proposal})
	require.NoError(t, err)
	assert.Equal(t, Granted, vote.Result)
	assert.Equal(t, second, storage.saved.Accepted)
}
