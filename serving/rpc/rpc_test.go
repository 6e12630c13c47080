package rpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

func TestCall_CarriesTypedMessages(t *testing.T) {
	method := Method[state.Endpoint, state.Load]{Procedure: "/rowanlink.test.v1/Measure"}
	mux := http.NewServeMux()
	method.Serve(mux, func(_ context.Context, endpoint *state.Endpoint) (*state.Load, error) {
		if endpoint.ID == "" {
			return nil, errors.New("no id")
		}
		return &state.Load{EndpointID: endpoint.ID, Running: endpoint.Slots}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	client := NewClient()
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	load, err := method.Call(t.Context(), client, address, &state.Endpoint{ID: "e", Slots: 3})
	require.NoError(t, err)
	assert.Equal(t, state.Load{EndpointID: "e", Running: 3}, *load)

	_, err = method.Call(t.Context(), client, address, &state.Endpoint{})
	assert.ErrorContains(t, err, "no id")
}
