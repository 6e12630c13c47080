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
func TestPlaceIsNotMadeByOneWhoseRequestHasCome(t *testing.T) {
	for _, full := range []bool{false, true} {
		on, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer on.Close()
		d := newDoor(2, 1)
		d.Listener = on
		dial := func() (client net.Conn) {
			client, err = net.Dial("tcp", on.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { client.Close() })
			return client
		}
		enter := func() *guest {
			c, err := d.Accept()
			require.NoError(t, err)
			return c.(*guest)
		}
		asking := dial()
		first := enter()
		dial()
		second := enter()
		first.answered()
		fmt.Fprint(asking, "POST") // its next request begins
		require.Eventually(t, func() bool { return socket.HasUnread(first.TCPConn) }, time.Second, time.Millisecond)
		if second.answered(); full {
			time.Sleep(inflight.Duration(mayBeMute * 3 / 2)) // this process gets to read nothing
			dial()
			enter()
		}
		assert.False(t, first.gone, "it has asked")
		assert.Equal(t, full, second.gone, "it goes only where its place is needed")
		said := make([]byte, 4)
		_, err = first.Read(said)
		assert.Equal(t, "POST <nil>", fmt.Sprint(string(said), " ", err))
	}
}

// Guards against a request that waits for an answer from a decider that has ended or is about to.
func TestWhenNothingIsTakenOnTheAnswerWaitsForNobody(t *testing.T) {
	life, x := &lifecycle.Lifecycle{}, inflight.New()
	life.Enter(lifecycle.Stopped)
	x.AddDestination(3)
	s := New(x, life, api.Settings{EventTypes: []api.EventType{{TTL: 9 * api.Second}}},
		config.Catalog{EventTypes: []string{"status"}}, 2, 1)
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(on)
	defer on.Close()
	c, err := net.Dial("tcp", on.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: a\r\nRequest-Id: a1\r\nRequest-Class: status\r\n"+
		"Request-Timeout-Ms: 9000\r\nX-Route-To: dest=3\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.True(t, resp.Close, "and its client is to go elsewhere")
	assert.False(t, s.Gone(), "it may come again on another connection")
}
