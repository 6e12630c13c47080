package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/gossip"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// awaitApplied starts a wait for an endpoint's version.
func (a *testAgent) awaitApplied(endpoint state.Endpoint) <-chan error {
	result := make(chan error, 1)
	header := gossip.Header{Table: gossip.TableEndpoints, Key: endpoint.ID, Version: endpoints.VersionOf(endpoint)}
	go func() { result <- a.agent.awaitApplied(context.Background(), []gossip.Header{header}) }()
	return result
}

// TestAwaitApplied_ReturnsOnceTheProxyHasPolledAgain guards against a confirmation before the proxy has applied the entry:
// that the response was sent, or that the agent has the entry, doesn't prove it.
func TestAwaitApplied_ReturnsOnceTheProxyHasPolledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(time.Second)
		defer a.stateActor.Stop()
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 1})
		time.Sleep(confirmationTimeout)
		first := <-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberReady))
		require.NoError(t, first.err)

		departed := state.Endpoint{ID: "e", State: state.EndpointDeparted, Sequence: 7}
		confirmed := a.awaitApplied(departed)
		synctest.Wait()
		assert.Empty(t, confirmed, "the agent doesn't have it")
		a.members.deliver(t, gossip.TableEndpoints, departed)
		second := <-a.poll(t.Context(), newWaitingRequest(first.response.Cursor, state.MemberReady))
		require.NoError(t, second.err)
		require.Len(t, second.response.Endpoints, 1)
		synctest.Wait()
		assert.Empty(t, confirmed, "the proxy hasn't shown that it has applied it")
		ctx, cancel := context.WithCancel(t.Context())
		third := a.poll(ctx, newWaitingRequest(second.response.Cursor, state.MemberReady))
		assert.NoError(t, <-confirmed)
		assert.NoError(t, <-a.awaitApplied(departed), "known already")
		cancel()
		<-third
		synctest.Wait()
		time.Sleep(pollTimeout)
		departed.ID = "other"
		assert.NoError(t, <-a.awaitApplied(departed), "no proxy runs")
	})
}

// TestAwaitApplied_IsBounded: a proxy that is suspended doesn't hold a call for good.
func TestAwaitApplied_IsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(time.Second)
		defer a.stateActor.Stop()
		a.members.deliver(t, gossip.TableRecord, state.Record{Revision: 1})
		time.Sleep(confirmationTimeout)
		<-a.poll(t.Context(), newWaitingRequest(subscription.Cursor{}, state.MemberReady))
		begun := time.Now()
		err := <-a.awaitApplied(state.Endpoint{ID: "e", State: state.EndpointDeparted, Sequence: 7})
		assert.True(t, errcode.NotApplied.Is(err), "%v", err)
		assert.Equal(t, maxAppliedWait, time.Since(begun))
	})
}
