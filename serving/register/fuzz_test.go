package register

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// encoded is a message as it goes over the wire.
func encoded(f *testing.F, message any) []byte {
	data, err := cbor.Marshal(message)
	require.NoError(f, err)
	return data
}

// stable checks that a message that was read means the same when it is written and read again.
func stable[Message any](t *testing.T, read *Message) {
	t.Helper()
	written, err := cbor.Marshal(read)
	require.NoError(t, err)
	var again Message
	require.NoError(t, cbor.Unmarshal(written, &again))
	rewritten, err := cbor.Marshal(again)
	require.NoError(t, err)
	assert.Equal(t, written, rewritten)
}

// fuzzState is a replica that has promised more than it has accepted.
func fuzzState() AcceptorState {
	set := state.ReplicaSet{Epoch: 2, Replicas: []state.Replica{{ID: "r1", Address: "a:1"}, {ID: "r2"}, {ID: "r3"}}}
	return AcceptorState{ReplicaID: "r1", Promised: Ballot{9, "p"}, Accepted: Ballot{7, "q"},
		Proposal: Proposal{Record: state.Record{Revision: 5, Voters: set}}}
}

// FuzzRequests: whatever asks a replica for its vote, it goes back on no promise, and its answer can be sent.
func FuzzRequests(f *testing.F) {
	own := fuzzState()
	f.Add(encoded(f, PrepareRequest{ReplicaID: "r1", Ballot: Ballot{10, "p"}, KnownBallot: own.Accepted, Epoch: 2}))
	f.Add(encoded(f, AcceptRequest{ReplicaID: "r1", Ballot: Ballot{10, "p"}, Proposal: own.Proposal, Epoch: 2}))
	f.Add(encoded(f, QueryRequest{ReplicaID: "r1", Epoch: 2}))
	f.Add(encoded(f, PrepareRequest{ReplicaID: "r2", Ballot: Ballot{^uint64(0), "z"}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		before := fuzzState()
		var prepare PrepareRequest
		if cbor.Unmarshal(data, &prepare) == nil {
			stable(t, &prepare)
			checkStep(t, before, prepare.ReplicaID, before.prepare(&prepare))
		}
		var accept AcceptRequest
		if cbor.Unmarshal(data, &accept) == nil {
			stable(t, &accept)
			decided := before.accept(&accept)
			checkStep(t, before, accept.ReplicaID, decided)
			if decided.save {
				assert.Equal(t, accept.Ballot, decided.next.Accepted)
				assert.False(t, accept.Ballot.Before(before.Promised))
			}
		}
		var query QueryRequest
		if cbor.Unmarshal(data, &query) == nil {
			stable(t, &query)
			vote := before.query(&query)
			stable(t, &vote)
		}
	})
}

func checkStep(t *testing.T, before AcceptorState, asked string, decided transition) {
	stable(t, &decided.vote)
	assert.Equal(t, asked != before.ReplicaID, decided.vote.Result == WrongReplica)
	if !decided.save {
		return
	}
	assert.Equal(t, Granted, decided.vote.Result)
	assert.False(t, decided.next.Promised.Before(before.Promised), "a promise is taken back")
	assert.False(t, decided.next.Promised.Before(decided.next.Accepted))
	assert.False(t, decided.next.Accepted.Before(before.Accepted))
	assert.Equal(t, before.ReplicaID, decided.next.ReplicaID)
}

// FuzzVotes: whatever a replica votes, the round stays consistent and what is known goes forward only.
func FuzzVotes(f *testing.F) {
	own := fuzzState()
	proposal := own.Proposal
	f.Add(encoded(f, Vote{Result: Granted, Promised: own.Promised, Accepted: own.Accepted, Proposal: &proposal}), uint8(0))
	f.Add(encoded(f, Vote{Result: Granted, CommittedVoters: &proposal.Record.Voters}), uint8(1))
	f.Add(encoded(f, Vote{Result: 200, Accepted: Ballot{1 << 63, "x"}}), uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, place uint8) {
		var vote Vote
		if cbor.Unmarshal(data, &vote) != nil {
			return
		}
		stable(t, &vote)
		assert.NotEmpty(t, vote.Result.String())
		before := learnedState{highestBallotNumber: 7, committedVoters: own.Proposal.Record.Voters, highestAccepted: AcceptedProposal{own.Accepted, own.Proposal}}
		after := before
		after.observeVote(&vote)
		assert.GreaterOrEqual(t, after.highestBallotNumber, before.highestBallotNumber)
		assert.GreaterOrEqual(t, after.committedVoters.Epoch, before.committedVoters.Epoch)
		assert.NotEmpty(t, after.committedVoters.Replicas)
		assert.False(t, after.highestAccepted.Ballot.Before(before.highestAccepted.Ballot))
		tally := newPrepareTally(before.committedVoters, before.highestAccepted)
		for index, replica := range before.committedVoters.Replicas {
			if index == int(place)%3 {
				tally.add(replica.ID, &vote)
			} else {
				tally.add(replica.ID, nil)
			}
		}
		assert.False(t, tally.hasQuorum(), "one vote of three is a majority")
		assert.False(t, tally.isCommitted())
		tally.config().replicas()
	})
}
