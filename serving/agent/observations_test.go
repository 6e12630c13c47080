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

// TestObservationsGoToWhoJudges: to the receiver of the endpoint's heartbeats or, without it, to all cores.
func TestObservationsGoToWhoJudges(t *testing.T) {
	o := &observations{
		members: func() []state.Member {
			return []state.Member{{Name: "a", Role: state.RoleAgent, Address: "a:1"},
				{Name: "c1", Role: state.RoleCore, Address: "c1:1"}, {Name: "c2", Role: state.RoleCore, Address: "c2:1"}}
		},
		receiver: func([]string) map[string]string { return map[string]string{"e1": "c1", "e2": "down"} },
	}
	one, two := state.Observation{EndpointID: "e1", Failures: 1}, state.Observation{EndpointID: "e2", Failures: 2}
	assert.Equal(t, map[string][]state.Observation{"c1:1": {one, two}, "c2:1": {two}},
		o.byAddress([]state.Observation{one, two}))
}

func TestObservationsArePassedOn(t *testing.T) {
	taken := make(chan *exchange.ObserveRequest, 1)
	mux := http.NewServeMux()
	exchange.Observe.Serve(mux, func(_ context.Context, r *exchange.ObserveRequest) (*exchange.ObserveResponse, error) {
		taken <- r
		return &exchange.ObserveResponse{}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rpc.NewClient()
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	o := &observations{observer: "a", client: client, calls: make(chan struct{}, 1),
		members:  func() []state.Member { return []state.Member{{Name: "c", Role: state.RoleCore, Address: address}} },
		receiver: func([]string) map[string]string { return nil }}
	seen := []state.Observation{{EndpointID: "e", Unacknowledged: true}}
	o.pass(t.Context(), nil)
	o.pass(t.Context(), seen)
	assert.Equal(t, &exchange.ObserveRequest{Observer: "a", Observations: seen}, <-taken)
}

func TestAPollHandsObservationsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stand(time.Second)
		defer s.board.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		request := waiting(subscription.Cursor{}, state.MemberReady)
		request.Observations = []state.Observation{{EndpointID: "e", Failures: 1}}
		ended := s.poll(ctx, request)
		synctest.Wait()
		require.Len(t, s.noted, 1)
		assert.Equal(t, request.Observations, <-s.noted)
		cancel()
		<-ended
	})
}
