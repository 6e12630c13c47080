package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// errUnreachable is the error of a call to a voter that can't be reached.
var errUnreachable = errors.New("unreachable")

// fakeVoters holds the voters' answers by address. A voter answers a query for its newest revision after 5 ms and further
// 0.1 ms for each revision, so that voters with older revisions answer first. Queries to other addresses fail.
type fakeVoters map[string]register.Vote

func (f fakeVoters) query(_ context.Context, address string, request *register.QueryRequest) (*register.Vote, error) {
	vote, ok := f[address]
	time.Sleep(5*time.Millisecond + time.Duration(vote.Revision)*100*time.Microsecond)
	if !ok || !request.RevisionOnly {
		return nil, errUnreachable
	}
	return &vote, nil
}

func newReplicaSet(epoch uint64, addresses ...string) (set state.ReplicaSet) {
	set.Epoch = epoch
	for _, address := range addresses {
		set.Replicas = append(set.Replicas, state.Replica{ID: address, Address: address})
	}
	return set
}

func newGrantedVote(revision uint64) register.Vote {
	return register.Vote{Result: register.Granted, Revision: revision}
}

// newUnconfirmedAgent returns an agent that has just started and whose record isn't confirmed yet.
func newUnconfirmedAgent() *testAgent {
	a := newTestAgent(8 * time.Second)
	a.stateActor.Send(func(s *agentState) { s.confirmed = false })
	return a
}

// An agent restarts, and the first member that it reaches is a core member partitioned from the voters, which transfers an
// outdated record. The proxy must get no update until the newest record has arrived.
func TestConfirmRecord_WithholdsRecordFromPartitionedMember(t *testing.T) {
	for _, test := range []struct {
		name   string
		voters fakeVoters
	}{
		{"the voters are those of the outdated record", fakeVoters{"b": newGrantedVote(7), "c": newGrantedVote(6)}},
		{"the voters have been replaced since", fakeVoters{
			"a": {Result: register.Granted, Revision: 5},
			"b": {Result: register.WrongReplica, CommittedVoters: newSuccessorVoters()},
			"d": newGrantedVote(7), "e": newGrantedVote(4)}},
		{"a replacement of the voters is in progress", fakeVoters{
			"a": newGrantedVote(5), "b": {Result: register.Granted, Revision: 6, ProposedVoters: newSuccessorVoters()},
			"d": newGrantedVote(7), "e": newGrantedVote(4)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newUnconfirmedAgent()
				defer a.stateActor.Stop()
				go a.confirmRecord(t.Context(), test.voters.query)
				a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 5, Voters: newReplicaSet(1, "a", "b", "c")})
				poll := a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberStarting))
				time.Sleep(500 * time.Millisecond)
				a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 6, Voters: newReplicaSet(1, "a", "b", "c")})
				time.Sleep(500 * time.Millisecond)
				a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 7, Voters: newReplicaSet(1, "a", "b", "c")})
				got := <-poll
				require.NoError(t, got.err)
				assert.Equal(t, uint64(7), got.response.Record.Revision)
				assert.Equal(t, time.Second+coalesceDelay, got.elapsed)
			})
		})
	}
}

func newSuccessorVoters() *state.ReplicaSet {
	set := newReplicaSet(2, "d", "e", "f")
	return &set
}

// If the agent's first record is the newest one, it is published as soon as a majority has confirmed that.
func TestConfirmRecord_ReleasesTheNewestRecordAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newUnconfirmedAgent()
		defer a.stateActor.Stop()
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 5, Voters: newReplicaSet(1, "a", "b", "c")})
		go a.confirmRecord(t.Context(), fakeVoters{"a": newGrantedVote(5), "c": newGrantedVote(5)}.query)
		got := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberStarting))
		require.NoError(t, got.err)
		assert.Less(t, got.elapsed, 20*time.Millisecond)
	})
}

// Without a majority the agent publishes the record that it has after confirmationTimeout.
func TestConfirmRecord_ReleasesAfterTheTimeoutWithoutAMajority(t *testing.T) {
	for answering := range 2 {
		t.Run(fmt.Sprint(answering, " voters"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newUnconfirmedAgent()
				ctx, stop := context.WithCancel(t.Context())
				go a.run(ctx)
				defer func() {
					stop()
					time.Sleep(time.Minute)
					a.stateActor.Stop()
				}()
				voters := fakeVoters{}
				if answering == 1 {
					voters["a"] = newGrantedVote(9)
				}
				go a.confirmRecord(t.Context(), voters.query)
				a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 5, Voters: newReplicaSet(1, "a", "b", "c")})
				got := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberStarting))
				require.NoError(t, got.err)
				assert.Equal(t, uint64(5), got.response.Record.Revision)
				assert.InDelta(t, confirmationTimeout.Seconds(), got.elapsed.Seconds(), tickInterval.Seconds())
			})
		})
	}
}
