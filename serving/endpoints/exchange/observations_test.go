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

// TestServe_GossipsEjection checks that an endpoint's ejection is gossiped once two agents have reported its failures.
func TestServe_GossipsEjection(t *testing.T) {
	f := &fakeGossip{live: []state.Member{{Name: "core-1"}}}
	x := startExchange(t, f)
	for _, id := range []string{"e", "e2", "e3"} {
		x.Table().ReceiveHeartbeat(id, endpoints.Heartbeat{Service: "s", Address: id + ":1", Sequence: 3})
	}
	mux := http.NewServeMux()
	x.Serve(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rpc.NewClient()
	defer client.Close()
	for reported, observer := range []string{"agent-1", "agent-2"} {
		require.Len(t, f.entries(), 0, "after %d reports", reported)
		_, err := ObserveMethod.Call(t.Context(), client, strings.TrimPrefix(server.URL, "http://"), &ObserveRequest{
			Observer: observer, Observations: []state.Observation{{EndpointID: "e", Failures: 2}, {EndpointID: "other"}}})
		require.NoError(t, err)
	}
	require.Len(t, f.entries(), 1)
	endpoint, err := endpoints.Decode(f.entries()[0].Value)
	require.NoError(t, err)
	assert.True(t, endpoint.Failing)
}
