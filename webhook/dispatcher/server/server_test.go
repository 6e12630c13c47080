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

// Guards against a request that has come and is lost because others need its connection's place.
func TestConnectionWhoseRequestHasComeIsNotEvicted(t *testing.T) {
	for _, full := range []bool{false, true} {
		on, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = on.Close() })
		l := newLimitListener(2, 1)
		l.Listener = on
		dial := func() (client net.Conn) {
			client, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", on.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = client.Close() })
			return client
		}
		enter := func() *clientConn {
			c, err := l.Accept()
			require.NoError(t, err)
			return c.(*clientConn)
		}
		asking := dial()
		first := enter()
		dial()
		second := enter()
		first.finishRequest()
		_, err = fmt.Fprint(asking, "POST") // its next request begins
		require.NoError(t, err)
		require.Eventually(t, func() bool { return socket.HasUnread(first.TCPConn) }, time.Second, time.Millisecond)
		if second.finishRequest(); full {
			time.Sleep((pendingGrace * 3 / 2).Duration()) // this process gets to read nothing
			dial()
			enter()
		}
		assert.False(t, first.closed, "it has asked")
		assert.Equal(t, full, second.closed, "it goes only where its place is needed")
		said := make([]byte, 4)
		_, err = first.Read(said)
		assert.Equal(t, "POST <nil>", fmt.Sprint(string(said), " ", err))
	}
}

// Guards against a request that waits for an answer from a event loop that has ended or is about to.
func TestStoppedDispatcherRejectsAtOnce(t *testing.T) {
	life, x := &lifecycle.Lifecycle{}, inflight.New()
	life.Enter(lifecycle.Stopped)
	x.AddDestination(3)
	s := New(x, life, api.Settings{EventTypes: []api.EventType{{TTL: 9 * api.Second}}},
		config.Catalog{EventTypes: []string{"status"}}, 2, 1)
	on, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(on) }() // ends with the listener
	t.Cleanup(func() { _ = on.Close() })
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", on.Addr().String())
	require.NoError(t, err)
	defer func() { assert.NoError(t, c.Close()) }()
	_, err = fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: a\r\nRequest-Id: a1\r\nRequest-Class: status\r\n"+
		"Request-Timeout-Ms: 9000\r\nX-Route-To: dest=3\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { assert.NoError(t, resp.Body.Close()) }()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.True(t, resp.Close, "and its client is to go elsewhere")
	assert.False(t, s.ClientsGone(), "it may come again on another connection")
}
