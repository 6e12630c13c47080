package register

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// memoryStorage keeps the last saved state in memory.
type memoryStorage struct {
	fails bool
	saved AcceptorState
}

func (s *memoryStorage) Load() (AcceptorState, bool, error) { return s.saved, true, nil }

func (s *memoryStorage) Save(next AcceptorState) error {
	if s.fails {
		return errors.New("simulated disk failure")
	}
	s.saved = next
	return nil
}

// TestAcceptor_NoVoteBeforeDurable checks that a replica whose saves fail neither promises nor accepts, and that its
// state stays as it was.
func TestAcceptor_NoVoteBeforeDurable(t *testing.T) {
	log := zerolog.Nop()
	storage := &memoryStorage{}
	acceptor := NewAcceptor(storage, &log)
	t.Cleanup(acceptor.Close)
	ctx := t.Context()
	require.NoError(t, acceptor.Install(ctx, AcceptorState{ReplicaID: "r"}, true))
	first := Ballot{Number: 1, Proposer: "p"}
	second := Ballot{Number: 2, Proposer: "p"}
	prepare := func(ballot Ballot) (*Vote, error) {
		return acceptor.Prepare(ctx, &PrepareRequest{ReplicaID: "r", Ballot: ballot})
	}
	vote, err := prepare(first)
	require.NoError(t, err)
	require.Equal(t, Granted, vote.Result)

	storage.fails = true
	_, err = prepare(second)
	assert.Error(t, err)
	proposal := Proposal{Record: state.Record{Revision: 1}}
	_, err = acceptor.Accept(ctx, &AcceptRequest{ReplicaID: "r", Ballot: second, Proposal: proposal})
	assert.Error(t, err)
	known, _ := acceptor.State()
	assert.Equal(t, first, known.Promised, "the state in memory must equal the one on disk")
	assert.True(t, known.Accepted.IsZero())

	storage.fails = false
	vote, err = acceptor.Accept(ctx, &AcceptRequest{ReplicaID: "r", Ballot: second, Proposal: proposal})
	require.NoError(t, err)
	assert.Equal(t, Granted, vote.Result)
	assert.Equal(t, second, storage.saved.Accepted)
}
