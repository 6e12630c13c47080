package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testEndpoint is a server whose connections follow a script.
type testEndpoint struct {
	t           *testing.T
	listener    net.Listener
	connections atomic.Int64
}

// endpointConn is the endpoint's side of a connection.
type endpointConn struct {
	*net.TCPConn
	number int // of the connection, from zero
	reader *bufio.Reader
}

// newTestEndpoint starts an endpoint. A connection is closed when its script ends.
func newTestEndpoint(t *testing.T, script func(*endpointConn)) *testEndpoint {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &testEndpoint{t: t, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(e.connections.Add(1)) - 1
			c := &endpointConn{TCPConn: raw.(*net.TCPConn), number: number, reader: bufio.NewReader(raw)}
			go func() {
				defer func() { _ = raw.Close() }()
				script(c)
			}()
		}
	}()
	return e
}

// readRequest reads a request with its body; nil at the end of the connection.
func (p *endpointConn) readRequest() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

// write writes a text. The client may have closed the connection.
func (p *endpointConn) write(text string) { _, _ = io.WriteString(p.TCPConn, text) }

// reset resets the connection.
func (p *endpointConn) reset() {
	_ = p.SetLinger(0)
	_ = p.Close()
}

// readToEnd waits until the client has closed the connection.
func (p *endpointConn) readToEnd() { _, _ = io.Copy(io.Discard, p.reader) }

func (e *testEndpoint) address() string { return e.listener.Addr().String() }

// call returns a call to the endpoint with attempt ID "a1" and a minute left.
func (e *testEndpoint) call() *Call {
	return &Call{
		EndpointID:    "i-1",
		Address:       e.address(),
		Zone:          "near",
		Method:        http.MethodPost,
		RequestTarget: "/p/%2e%2e/x?q=1&&b",
		Host:          "host.example",
		Header:        http.Header{"X-Attempt-Id": {"a1"}, "X-Model": {"m"}},
		Body:          []byte("hello"),
		Deadline:      time.Now().Add(time.Minute),
	}
}

// doCall makes a call and reads the response to its end.
func doCall(t *testing.T, pool *Pool, call *Call) (*Response, string, *Failure) {
	t.Helper()
	response, failure := pool.Do(context.Background(), call)
	if failure != nil {
		return nil, "", failure
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	if err != nil {
		var failure *Failure
		require.ErrorAs(t, err, &failure)
		return response, string(body), failure
	}
	return response, string(body), nil
}

// testOptions leaves time for connecting on a busy test machine; tests of responses aren't about connecting.
var testOptions = Options{ConnectTimeout: 10 * time.Second}

const okResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nContent-Length: 4\r\n\r\nbody"
