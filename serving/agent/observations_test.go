package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints/exchange"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// TestObservationForwarder_GroupsByReceiver checks that observations go to the receiver of the endpoint's heartbeats or, if
// the receiver isn't live, to all core members.
func TestObservationForwarder_GroupsByReceiver(t *testing.T) {
	forwarder := &observationForwarder{
		members: func() []state.Member {
			return []state.Member{
				{Name: "a", Role: state.RoleAgent, Address: "a:1"},
				{Name: "c1", Role: state.RoleCore, Address: "c1:1"},
				{Name: "c2", Role: state.RoleCore, Address: "c2:1"},
			}
		},
		receiversOf: func([]string) map[string]string { return map[string]string{"e1": "c1", "e2": "down"} },
	}
	one, two := state.Observation{EndpointID: "e1", Failures: 1}, state.Observation{EndpointID: "e2", Failures: 2}
	assert.Equal(t, map[string][]state.Observation{"c1:1": {one, two}, "c2:1": {two}},
		forwarder.groupByAddress([]state.Observation{one, two}))
}

func TestObservationForwarder_Forwards(t *testing.T) {
	received := make(chan *exchange.ObserveRequest, 1)
	mux := http.NewServeMux()
	exchange.ObserveMethod.Serve(mux, func(_ context.Context, r *exchange.ObserveRequest) (*exchange.ObserveResponse, error) {
		received <- r
		return &exchange.ObserveResponse{}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rpc.NewClient()
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	forwarder := &observationForwarder{
		observer:    "a",
		client:      client,
		members:     func() []state.Member { return []state.Member{{Name: "c", Role: state.RoleCore, Address: address}} },
		receiversOf: func([]string) map[string]string { return nil },
		callSlots:   make(chan struct{}, 1),
	}
	observations := []state.Observation{{EndpointID: "e", Unacknowledged: true}}
	forwarder.forward(t.Context(), nil)
	forwarder.forward(t.Context(), observations)
	assert.Equal(t, &exchange.ObserveRequest{Observer: "a", Observations: observations}, <-received)
}

func TestPoll_ForwardsObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(time.Second)
		defer a.stateActor.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		request := newWaitingRequest(subscription.Cursor{}, state.MemberReady)
		request.Observations = []state.Observation{{EndpointID: "e", Failures: 1}}
		ended := a.poll(ctx, request)
		synctest.Wait()
		require.Len(t, a.observations, 1)
		assert.Equal(t, request.Observations, <-a.observations)
		cancel()
		<-ended
	})
}
