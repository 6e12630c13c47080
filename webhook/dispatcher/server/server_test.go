package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
)

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // the server may have closed it
	return listener
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func accept(t *testing.T, listener *limitListener) *clientConn {
	t.Helper()
	conn, err := listener.Accept()
	require.NoError(t, err)
	return conn.(*clientConn)
}

// Guards against losing a request that has arrived but isn't read yet, because its connection is closed to make room for
// another one.
func TestConnectionWithAnUnreadRequestIsNotEvicted(t *testing.T) {
	for _, limitReached := range []bool{false, true} {
		limited := newLimitListener(2, 1)
		limited.Listener = listenOnLoopback(t)
		firstClient := dial(t, limited)
		first := accept(t, limited)
		dial(t, limited)
		second := accept(t, limited)
		first.finishRequest()
		_, err := fmt.Fprint(firstClient, "POST") // its next request begins
		require.NoError(t, err)
		require.Eventually(t, func() bool { return socket.HasUnread(first.TCPConn) }, time.Second, time.Millisecond)
		second.finishRequest()
		if limitReached {
			time.Sleep((pendingGrace * 3 / 2).Duration()) // nothing is read meanwhile
			dial(t, limited)
			accept(t, limited)
		}
		assert.False(t, first.closed, "it has an unread request")
		assert.Equal(t, limitReached, second.closed, "it is closed only for another connection")
		received := make([]byte, 4)
		_, err = first.Read(received)
		assert.Equal(t, "POST <nil>", fmt.Sprint(string(received), " ", err))
	}
}

// Guards against a request that waits in vain for an answer from an event loop that has ended or is about to.
func TestStoppedDispatcherRejectsAtOnce(t *testing.T) {
	life := &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Stopped)
	inbox := inflight.New()
	inbox.AddDestination(3)
	settings := api.Settings{EventTypes: []api.EventType{{TTL: 9 * api.Second}}}
	catalog := config.Catalog{EventTypes: []string{"status"}}
	server := New(inbox, life, settings, catalog, 2, 1)
	listener := listenOnLoopback(t)
	go func() { _ = server.Serve(listener) }() // ends with the listener
	client := dial(t, listener)
	defer func() { assert.NoError(t, client.Close()) }()
	_, err := fmt.Fprint(client, "POST /api HTTP/1.1\r\nHost: a\r\nRequest-Id: a1\r\nRequest-Class: status\r\n"+
		"Request-Timeout-Ms: 9000\r\nX-Route-To: dest=3\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	defer func() { assert.NoError(t, response.Body.Close()) }()
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.True(t, response.Close, "its client is to use another dispatcher")
	assert.False(t, server.ClientsGone(), "the client may connect again")
}
