package exchange

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// TestAMarkedEndpointIsTold: once two agents have told of it, the other members hear that an endpoint fails.
func TestAMarkedEndpointIsTold(t *testing.T) {
	f := &fakeMesh{live: []state.Member{{Name: "core-1"}}}
	x := start(t, f)
	for _, id := range []string{"e", "e2", "e3"} {
		x.Table().ReceiveHeartbeat(id, endpoints.Heartbeat{Service: "s", Address: id + ":1", Sequence: 3})
	}
	mux := http.NewServeMux()
	x.Serve(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rpc.NewClient()
	defer client.Close()
	for told, observer := range []string{"agent-1", "agent-2"} {
		require.Len(t, f.told(), 0, "after %d", told)
		_, err := ObserveMethod.Call(t.Context(), client, strings.TrimPrefix(server.URL, "http://"), &ObserveRequest{
			Observer: observer, Observations: []state.Observation{{EndpointID: "e", Failures: 2}, {EndpointID: "other"}}})
		require.NoError(t, err)
	}
	require.Len(t, f.told(), 1)
	endpoint, err := endpoints.Decode(f.told()[0].Value)
	require.NoError(t, err)
	assert.True(t, endpoint.Failing)
}
