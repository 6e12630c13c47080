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

// endpoint is a server whose every connection follows a script.
type endpoint struct {
	t           *testing.T
	listener    net.Listener
	connections atomic.Int64
}

// peer is one connection as the endpoint sees it.
type peer struct {
	*net.TCPConn
	number int // of the connection, from zero
	reader *bufio.Reader
}

// newEndpoint starts an endpoint. A connection is closed when its script ends.
func newEndpoint(t *testing.T, script func(*peer)) *endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{t: t, listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(e.connections.Add(1)) - 1
			c := &peer{TCPConn: raw.(*net.TCPConn), number: number, reader: bufio.NewReader(raw)}
			go func() {
				defer raw.Close()
				script(c)
			}()
		}
	}()
	return e
}

// request reads one request with its body; nil at the connection's end.
func (p *peer) request() *http.Request {
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

// say writes bytes; a peer that has gone is no fault of the script.
func (p *peer) say(text string) { _, _ = io.WriteString(p.TCPConn, text) }

// reset makes the close of the connection a reset.
func (p *peer) reset() {
	_ = p.SetLinger(0)
	_ = p.Close()
}

// awaitEnd waits until the other side has closed.
func (p *peer) awaitEnd() { _, _ = io.Copy(io.Discard, p.reader) }

func (e *endpoint) address() string { return e.listener.Addr().String() }

// call is a request to the endpoint with id "a1" and plenty of time.
func (e *endpoint) call() *Call {
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

// outcome makes a call and reads its answer whole.
func outcome(t *testing.T, pool *Pool, call *Call) (*Response, string, *Failure) {
	t.Helper()
	answer, failure := pool.Do(context.Background(), call)
	if failure != nil {
		return nil, "", failure
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	if err != nil {
		var failure *Failure
		require.ErrorAs(t, err, &failure)
		return answer, string(body), failure
	}
	return answer, string(body), nil
}

// patient gives a connection of a busy test machine time to come up: no test of answers is one of connecting.
var patient = Options{ConnectTimeout: 10 * time.Second}

const okAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nContent-Length: 4\r\n\r\nbody"
