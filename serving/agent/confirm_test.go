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

// errCut is what a call to a voter that can't be reached comes to.
var errCut = errors.New("cut off")

// fakeVoters answer the question for their newest revision after 5 ms; those that are missing don't.
type fakeVoters map[string]register.Vote

func (f fakeVoters) ask(_ context.Context, address string, request *register.QueryRequest) (*register.Vote, error) {
	time.Sleep(5 * time.Millisecond)
	vote, ok := f[address]
	if !ok || !request.RevisionOnly {
		return nil, errCut
	}
	return &vote, nil
}

func votersAt(epoch uint64, addresses ...string) (set state.ReplicaSet) {
	set.Epoch = epoch
	for _, address := range addresses {
		set.Replicas = append(set.Replicas, state.Replica{ID: address, Address: address})
	}
	return set
}

func granted(revision uint64) register.Vote {
	return register.Vote{Result: register.Granted, Revision: revision}
}

// unconfirmed makes an agent that has just begun.
func unconfirmed() *standing {
	s := stand(8 * time.Second)
	s.board.Send(func(b *board) { b.confirmed = false })
	return s
}

// An agent is started again, and the first member that it meets is a core machine that is cut off from the others: it
// hands over a record from before. The proxy gets nothing of it until the newest one has come.
func TestRecordFromAMachineThatIsCutOffIsHeldBack(t *testing.T) {
	for _, test := range []struct {
		name   string
		voters fakeVoters
	}{
		{"the voters are those of the old record", fakeVoters{"b": granted(7), "c": granted(6)}},
		{"they have been replaced since", fakeVoters{
			"a": {Result: register.Granted, Revision: 5},
			"b": {Result: register.WrongReplica, CommittedVoters: newerVoters()},
			"d": granted(7), "e": granted(4)}},
		{"a change of the voters is half-way", fakeVoters{
			"a": granted(5), "b": {Result: register.Granted, Revision: 6, ProposedVoters: newerVoters()},
			"d": granted(7), "e": granted(4)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := unconfirmed()
				defer s.board.Stop()
				go s.agent.confirm(t.Context(), test.voters.ask)
				s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 5, Voters: votersAt(1, "a", "b", "c")})
				poll := s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberStarting))
				time.Sleep(500 * time.Millisecond)
				s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 6, Voters: votersAt(1, "a", "b", "c")})
				time.Sleep(500 * time.Millisecond)
				s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 7, Voters: votersAt(1, "a", "b", "c")})
				got := <-poll
				require.NoError(t, got.err)
				assert.Equal(t, uint64(7), got.response.Record.Revision)
				assert.Equal(t, time.Second+coalesce, got.after)
			})
		})
	}
}

func newerVoters() *state.ReplicaSet {
	set := votersAt(2, "d", "e", "f")
	return &set
}

// What is the newest already is told as soon as a majority has said so.
func TestNewestRecordIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := unconfirmed()
		defer s.board.Stop()
		s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 5, Voters: votersAt(1, "a", "b", "c")})
		go s.agent.confirm(t.Context(), fakeVoters{"a": granted(5), "c": granted(5)}.ask)
		got := <-s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberStarting))
		require.NoError(t, got.err)
		assert.Less(t, got.after, 20*time.Millisecond)
	})
}

// Without a majority the agent serves in the end with what it was handed.
func TestWithoutAMajorityTheRecordIsToldInTheEnd(t *testing.T) {
	for alone := range 2 {
		t.Run(fmt.Sprint(alone, " voters"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := unconfirmed()
				ctx, stop := context.WithCancel(t.Context())
				go s.run(ctx)
				defer func() {
					stop()
					time.Sleep(time.Minute)
					s.board.Stop()
				}()
				voters := fakeVoters{}
				if alone == 1 {
					voters["a"] = granted(9)
				}
				go s.agent.confirm(t.Context(), voters.ask)
				s.mesh.deliver(t, gossip.TableRecord, state.Record{Revision: 5, Voters: votersAt(1, "a", "b", "c")})
				got := <-s.poll(t.Context(), waiting(subscription.Cursor{}, state.MemberStarting))
				require.NoError(t, got.err)
				assert.Equal(t, uint64(5), got.response.Record.Revision)
				assert.InDelta(t, confirmWait.Seconds(), got.after.Seconds(), tickInterval.Seconds())
			})
		})
	}
}
