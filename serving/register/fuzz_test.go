package register

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// encodeMessage returns the encoded form in which a message is sent.
func encodeMessage(f *testing.F, message any) []byte {
	f.Helper()
	data, err := cbor.Marshal(message)
	require.NoError(f, err)
	return data
}

// checkRoundTrip checks that a decoded message is the same after it was encoded and decoded again.
func checkRoundTrip[Message any](t *testing.T, read *Message) {
	t.Helper()
	written, err := cbor.Marshal(read)
	require.NoError(t, err)
	var again Message
	require.NoError(t, cbor.Unmarshal(written, &again))
	rewritten, err := cbor.Marshal(again)
	require.NoError(t, err)
	assert.Equal(t, written, rewritten)
}

// fuzzState returns a replica's state with a promise above the ballot that was accepted.
func fuzzState() AcceptorState {
	set := state.ReplicaSet{Epoch: 2, Replicas: []state.Replica{{ID: "r1", Address: "a:1"}, {ID: "r2"}, {ID: "r3"}}}
	return AcceptorState{
		ReplicaID: "r1",
		Promised:  Ballot{Number: 9, Proposer: "p"},
		Accepted:  Ballot{Number: 7, Proposer: "q"},
		Proposal:  Proposal{Record: state.Record{Revision: 5, Voters: set}},
	}
}

// FuzzRequests checks that no request makes a replica break a promise, and that each answer can be encoded.
func FuzzRequests(f *testing.F) {
	own := fuzzState()
	higher := Ballot{Number: 10, Proposer: "p"}
	highest := Ballot{Number: math.MaxUint64, Proposer: "z"}
	f.Add(encodeMessage(f, PrepareRequest{ReplicaID: "r1", Ballot: higher, KnownBallot: own.Accepted, Epoch: 2}))
	f.Add(encodeMessage(f, AcceptRequest{ReplicaID: "r1", Ballot: higher, Proposal: own.Proposal, Epoch: 2}))
	f.Add(encodeMessage(f, QueryRequest{ReplicaID: "r1", Epoch: 2}))
	f.Add(encodeMessage(f, PrepareRequest{ReplicaID: "r2", Ballot: highest}))
	f.Fuzz(func(t *testing.T, data []byte) {
		before := fuzzState()
		var prepare PrepareRequest
		if cbor.Unmarshal(data, &prepare) == nil {
			checkRoundTrip(t, &prepare)
			checkStep(t, before, prepare.ReplicaID, before.prepare(&prepare))
		}
		var accept AcceptRequest
		if cbor.Unmarshal(data, &accept) == nil {
			checkRoundTrip(t, &accept)
			decided := before.accept(&accept)
			checkStep(t, before, accept.ReplicaID, decided)
			if decided.save {
				assert.Equal(t, accept.Ballot, decided.next.Accepted)
				assert.False(t, accept.Ballot.Before(before.Promised))
			}
		}
		var query QueryRequest
		if cbor.Unmarshal(data, &query) == nil {
			checkRoundTrip(t, &query)
			vote := before.query(&query)
			checkRoundTrip(t, &vote)
		}
	})
}

// checkStep checks that a transition keeps the invariants of AcceptorState.
func checkStep(t *testing.T, before AcceptorState, requestedID string, decided transition) {
	t.Helper()
	checkRoundTrip(t, &decided.vote)
	assert.Equal(t, requestedID != before.ReplicaID, decided.vote.Result == WrongReplica)
	if !decided.save {
		return
	}
	assert.Equal(t, Granted, decided.vote.Result)
	assert.False(t, decided.next.Promised.Before(before.Promised), "a promise is broken")
	assert.False(t, decided.next.Promised.Before(decided.next.Accepted))
	assert.False(t, decided.next.Accepted.Before(before.Accepted))
	assert.Equal(t, before.ReplicaID, decided.next.ReplicaID)
}

// FuzzVotes checks that no vote makes a tally inconsistent or lowers anything in the learned state.
func FuzzVotes(f *testing.F) {
	own := fuzzState()
	proposal := own.Proposal
	withProposal := Vote{Result: Granted, Promised: own.Promised, Accepted: own.Accepted, Proposal: &proposal}
	f.Add(encodeMessage(f, withProposal), uint8(0))
	f.Add(encodeMessage(f, Vote{Result: Granted, CommittedVoters: &proposal.Record.Voters}), uint8(1))
	ofNewerRelease := Vote{Result: 200, Accepted: Ballot{Number: 1 << 63, Proposer: "x"}}
	f.Add(encodeMessage(f, ofNewerRelease), uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, voter uint8) {
		var vote Vote
		if cbor.Unmarshal(data, &vote) != nil {
			return
		}
		checkRoundTrip(t, &vote)
		assert.NotEmpty(t, vote.Result.String())
		before := learnedState{
			highestBallotNumber: 7,
			committedVoters:     own.Proposal.Record.Voters,
			highestAccepted:     AcceptedProposal{Ballot: own.Accepted, Proposal: own.Proposal},
		}
		after := before
		after.observeVote(&vote)
		assert.GreaterOrEqual(t, after.highestBallotNumber, before.highestBallotNumber)
		assert.GreaterOrEqual(t, after.committedVoters.Epoch, before.committedVoters.Epoch)
		assert.NotEmpty(t, after.committedVoters.Replicas)
		assert.False(t, after.highestAccepted.Ballot.Before(before.highestAccepted.Ballot))
		tally := newPrepareTally(before.committedVoters, before.highestAccepted)
		for index, replica := range before.committedVoters.Replicas {
			if index == int(voter)%3 {
				tally.add(replica.ID, &vote)
			} else {
				tally.add(replica.ID, nil)
			}
		}
		assert.False(t, tally.hasQuorum(), "one vote of three must not be a majority")
		assert.False(t, tally.isCommitted())
		tally.config().replicas()
	})
}
