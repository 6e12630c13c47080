package transport

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// startServer starts a server with one path, /x, and returns its address.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener := listen(t)
	s := NewServer(100, time.Second)
	s.Handle("/x", handler)
	go func() { _ = s.Serve(listener) }()          // it returns when the server is closed
	t.Cleanup(func() { _ = s.Close(time.Second) }) // a time-out does not matter: the test is over
	return listener.Addr().String()
}

// newTestClient returns a client of member a that knows the address of member b.
func newTestClient(t *testing.T, address string) *Client {
	t.Helper()
	client := NewClient("a", map[cluster.MemberID]string{"b": address})
	t.Cleanup(client.Close)
	return client
}

// startRawServer starts a TCP server that accepts one connection for each handler, in order, and returns its address.
func startRawServer(t *testing.T, handlers ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, handle := range handlers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// answerOnce reads a request and answers it.
func answerOnce(conn net.Conn, in *bufio.Reader) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
}

func TestClient_CallDecompressesResponse(t *testing.T) {
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(299)
		ctx.SetBody(append(ctx.Request.Body(), Sender(ctx)...))
	})
	random := make([]byte, 100_000)
	_, _ = rand.Read(random)
	for _, body := range [][]byte{nil, []byte("short"), bytes.Repeat([]byte("long"), 50_000), random} {
		response, err := newTestClient(t, address).Call("b", "/x", body, time.Second)
		require.NoError(t, err)
		require.Equal(t, 299, response.Status)
		require.ErrorIs(t, response.Decode(new(string)), ErrStatus)
		require.True(t, bytes.Equal(append(body, 'a'), response.Body))
	}
}

func TestClient_UnreachableMemberIsNotSent(t *testing.T) {
	listener := listen(t)
	require.NoError(t, listener.Close())
	for _, member := range []cluster.MemberID{"b", "c"} {
		_, err := newTestClient(t, listener.Addr().String()).Call(member, "/x", nil, time.Second)
		require.ErrorIs(t, err, ErrNotSent)
	}
}

func TestClient_RequestWithoutResponseHasUnknownOutcome(t *testing.T) {
	closesConnection := func(_ net.Conn, in *bufio.Reader) { _, _ = http.ReadRequest(in) }
	sendsHalf := func(conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	}
	sendsNothing := func(_ net.Conn, in *bufio.Reader) { _, _ = in.ReadString(0) }
	client := newTestClient(t, startRawServer(t, closesConnection, sendsHalf, sendsNothing))
	for range 3 {
		_, err := client.Call("b", "/x", []byte("body"), 200*time.Millisecond)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	}
}

// The server reads nothing, so that the socket buffers fill up and the request can't be written completely.
func TestClient_IncompleteRequestIsNotSent(t *testing.T) {
	random := make([]byte, MaxMessageSize)
	_, _ = rand.Read(random)
	done := make(chan struct{})
	defer close(done)
	client := newTestClient(t, startRawServer(t, func(net.Conn, *bufio.Reader) { <-done }))
	_, err := client.Call("b", "/x", random, 300*time.Millisecond)
	require.ErrorIs(t, err, ErrNotSent)
}

// A request written to a pooled connection that the server has closed could not be told from one that arrived. The client
// must notice the close before it writes, and use another connection.
func TestClient_ConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	client := newTestClient(t, startRawServer(t, answerOnce, answerOnce))
	for range 2 {
		_, err := client.Call("b", "/x", nil, time.Second)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	_, err := client.Call("b", "/x", nil, 100*time.Millisecond)
	require.Error(t, err)
}

func TestClient_SetAddressesAppliesToTheNextCall(t *testing.T) {
	one := startServer(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("one") })
	two := startServer(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("two") })
	client := newTestClient(t, one)
	response, err := client.Call("b", "/x", nil, time.Second)
	require.NoError(t, err)
	require.Equal(t, "one", string(response.Body))
	client.SetAddresses(map[cluster.MemberID]string{"b": two})
	response, err = client.Call("b", "/x", nil, time.Second)
	require.NoError(t, err)
	require.Equal(t, "two", string(response.Body))
}
