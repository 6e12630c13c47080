// Package scriptedendpoint is a fake endpoint for tests of HTTP clients: each of its connections follows a script, which
// may send any bytes and close or reset the connection at any point.
package scriptedendpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Endpoint is a server whose connections follow a script.
type Endpoint struct {
	listener    net.Listener
	connections atomic.Int64
}

// Start starts an endpoint, which ends with the test. A connection is closed when its script ends.
func Start(t testing.TB, script func(*Conn)) *Endpoint {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &Endpoint{listener: listener}
	go e.accept(script)
	return e
}

// accept runs the script on each connection until the listener is closed.
func (e *Endpoint) accept(script func(*Conn)) {
	for {
		raw, err := e.listener.Accept()
		if err != nil {
			return
		}
		number := int(e.connections.Add(1)) - 1
		c := &Conn{TCPConn: raw.(*net.TCPConn), Number: number, Reader: bufio.NewReader(raw)}
		go func() {
			defer func() { _ = raw.Close() }()
			script(c)
		}()
	}
}

// Address returns the endpoint's host:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Connections returns the number of connections so far.
func (e *Endpoint) Connections() int { return int(e.connections.Load()) }

// Conn is the endpoint's side of a connection.
type Conn struct {
	*net.TCPConn
	Number int           // of the connection, from zero
	Reader *bufio.Reader // buffers what the client has sent
}

// ReadRequest reads a request with its body. It returns nil at the end of the connection.
func (c *Conn) ReadRequest() *http.Request {
	r, err := http.ReadRequest(c.Reader)
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

// WriteText writes a text. Errors are ignored: the client may have closed the connection.
func (c *Conn) WriteText(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// Reset resets the connection.
func (c *Conn) Reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// ReadToEnd waits until the client has closed the connection.
func (c *Conn) ReadToEnd() { _, _ = io.Copy(io.Discard, c.Reader) }
