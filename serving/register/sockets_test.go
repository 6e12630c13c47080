package register_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/register"
	"rowanlink/serving/rpc"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

// listen opens the same free port on three loopback addresses. The listeners are closed by their servers.
func listen(t *testing.T) (listeners []net.Listener, port int) {
	t.Helper()
	for range 20 {
		first, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		port = first.Addr().(*net.TCPAddr).Port
		listeners = []net.Listener{first}
		for _, ip := range []net.IP{net.IPv4(127, 0, 0, 2), net.IPv4(127, 0, 0, 3)} {
			if next, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: port}); err == nil {
				listeners = append(listeners, next)
			}
		}
		if len(listeners) == 3 {
			return listeners, port
		}
		for _, each := range listeners {
			_ = each.Close()
		}
	}
	t.Fatal("no port is free on three addresses")
	return nil, 0
}

// TestNode_OverSocketsWithStores runs three nodes with real sockets and files.
func TestNode_OverSocketsWithStores(t *testing.T) {
	listeners, port := listen(t)
	log := zerolog.Nop()
	committed := make(chan state.Record, 64)
	var nodes []*register.Node
	for _, listener := range listeners {
		ip := listener.Addr().(*net.TCPAddr).IP.String()
		process := &settings.Process{
			IP:        ip,
			FirstPort: port,
			FirstRun:  true,
			Seeds:     []string{"127.0.0.1:80", "127.0.0.2:80", "127.0.0.3:80"},
		}
		storage := store.Open(t.TempDir(), &log)
		t.Cleanup(storage.Close)
		client := rpc.NewClient()
		t.Cleanup(client.Close)
		mux := http.NewServeMux()
		node, err := register.Start(t.Context(), register.NodeOptions{
			Settings:  process,
			Storage:   storage,
			Client:    client,
			Mux:       mux,
			Log:       &log,
			Committed: func(record state.Record) { committed <- record },
		})
		require.NoError(t, err)
		t.Cleanup(node.Close)
		server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
		server.Start()
		t.Cleanup(server.Close)
		nodes = append(nodes, node)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	document, err := state.NewConfiguration(4, []byte("{}"))
	require.NoError(t, err)
	record, err := nodes[1].Change(ctx, register.ReplaceConfiguration(0, document))
	require.NoError(t, err)
	assert.Equal(t, record, <-committed)
	read, err := nodes[2].Read(ctx)
	require.NoError(t, err)
	assert.Equal(t, document, read.Configuration)
	_, err = nodes[0].Change(ctx, register.SetEvacuation("z", true))
	require.NoError(t, err)
	assert.True(t, nodes[0].IsVoter())
}

func TestStart_RequiresOptions(t *testing.T) {
	_, err := register.Start(t.Context(), register.NodeOptions{})
	assert.Error(t, err)
}
