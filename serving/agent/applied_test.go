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

// awaitApplied starts a wait until the proxy has applied an endpoint's version, and returns the channel for its result.
func (a *testAgent) awaitApplied(endpoint state.Endpoint) <-chan error {
	result := make(chan error, 1)
	header := gossip.Header{Table: gossip.TableEndpoints, Key: endpoint.ID, Version: endpoints.VersionOf(endpoint)}
	go func() { result <- a.agent.awaitApplied(context.Background(), []gossip.Header{header}) }()
	return result
}

// TestAwaitApplied_ReturnsOnceTheProxyHasPolledAgain guards against a confirmation before the proxy has applied the entry.
// That the agent has the entry, or has sent it to the proxy, doesn't prove it; the proxy's next poll does.
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
		assert.Empty(t, confirmed, "the agent doesn't have the entry")
		a.members.deliver(t, gossip.TableEndpoints, departed)
		second := <-a.poll(t.Context(), newWaitingRequest(first.response.Cursor, state.MemberReady))
		require.NoError(t, second.err)
		require.Len(t, second.response.Endpoints, 1)
		synctest.Wait()
		assert.Empty(t, confirmed, "the proxy hasn't polled since the response, and may not have applied it")
		ctx, cancel := context.WithCancel(t.Context())
		third := a.poll(ctx, newWaitingRequest(second.response.Cursor, state.MemberReady))
		assert.NoError(t, <-confirmed)
		assert.NoError(t, <-a.awaitApplied(departed), "the proxy has already shown that it applied the entry")
		cancel()
		<-third
		synctest.Wait()
		time.Sleep(pollTimeout)
		departed.ID = "other"
		assert.NoError(t, <-a.awaitApplied(departed), "no proxy is running")
	})
}

// TestAwaitApplied_IsBounded guards against a wait that never ends because the proxy is suspended.
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
