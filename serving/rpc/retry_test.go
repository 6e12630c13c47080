package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

var measure = Method[state.Endpoint, state.Load]{Procedure: "/rowanlink.test.v1/Measure"}

// breakingServer starts a server that closes, or resets, the connection instead of responding to request number
// breakAt.
func breakingServer(t *testing.T, breakAt int32, reset bool) (address string, requests *atomic.Int32) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int32{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveUntilBroken(connection.(*net.TCPConn), breakAt, reset, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveUntilBroken(connection *net.TCPConn, breakAt int32, reset bool, requests *atomic.Int32) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if requests.Add(1) == breakAt {
			if reset {
				_ = connection.SetLinger(0)
			}
			return
		}
		// An empty CBOR map is a complete response.
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/cbor\r\nContent-Length: 1\r\n\r\n\xa0")
	}
}

// TestCall_IsNotRetried checks that the client doesn't retry a call that gets no response, neither on a new connection
// nor on a reused one: whether to retry is the caller's decision.
func TestCall_IsNotRetried(t *testing.T) {
	for _, test := range []struct {
		name    string
		breakAt int32
		reset   bool
	}{
		{"closed on a new connection", 1, false}, {"reset on a new connection", 1, true},
		{"closed on a reused connection", 2, false}, {"reset on a reused connection", 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, requests := breakingServer(t, test.breakAt, test.reset)
			client := NewClient()
			defer client.Close()
			for number := int32(1); number <= test.breakAt; number++ {
				_, err := measure.Call(t.Context(), client, address, &state.Endpoint{ID: "e"})
				assert.Equal(t, number == test.breakAt, err != nil, "%v", err)
			}
			assert.Equal(t, test.breakAt, requests.Load())
		})
	}
}

// TestCall_LateResponseReachesNoOtherCall checks that calls after one that timed out get their own responses, not the
// late one.
func TestCall_LateResponseReachesNoOtherCall(t *testing.T) {
	mux := http.NewServeMux()
	release := make(chan struct{})
	measure.Serve(mux, func(_ context.Context, endpoint *state.Endpoint) (*state.Load, error) {
		if endpoint.ID == "late" {
			<-release
		}
		return &state.Load{EndpointID: endpoint.ID}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := NewClient()
	defer client.Close()
	_, err := measure.Call(t.Context(), client, address, &state.Endpoint{ID: "before"})
	require.NoError(t, err, "the connection is reused")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = measure.Call(ctx, client, address, &state.Endpoint{ID: "late"})
	require.Error(t, err)
	close(release)
	for range 20 {
		load, err := measure.Call(t.Context(), client, address, &state.Endpoint{ID: "next"})
		require.NoError(t, err)
		assert.Equal(t, "next", load.EndpointID)
	}
}
