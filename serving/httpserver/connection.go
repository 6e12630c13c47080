package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rowanlink/internal/socket"
)

// connection is a client's connection. It applies the read timeouts of the current configuration; those of http.Server
// can't be changed while the server runs.
type connection struct {
	net.Conn
	listener  *listener
	closeOnce sync.Once
	state     atomic.Int32 // http.ConnState or stateServing
}

// stateServing is the state, in addition to those of net/http, of a connection whose request's handler is running. The
// timeouts for headers and idle connections don't apply to it.
const stateServing = http.ConnState(100)

// SetReadDeadline sets the deadline of reads. If net/http clears the deadline, the timeout for the connection's state
// applies instead.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		deadline = c.listener.readDeadline(http.ConnState(c.state.Load()))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads from the client. The first bytes make a new or idle connection active; net/http reports that state only
// after it has read the request's headers.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(int32(http.StateIdle), int32(http.StateActive)) {
		c.state.CompareAndSwap(int32(http.StateNew), int32(http.StateActive))
	}
	return n, err
}

// Close closes the connection. Later calls do nothing.
func (c *connection) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.listener.remove(c)
	})
	return err
}

// startServing records that a request's handler is running, and replaces the read timeout by a deadline for reading the
// body; zero: none.
func (c *connection) startServing(bodyDeadline time.Time) {
	c.state.Store(int32(stateServing))
	_ = c.Conn.SetReadDeadline(bodyDeadline) // fails only on a closed connection, which the next read reports
}

// isIdle reports whether no request on the connection is being read or handled and no unread data has arrived.
func (c *connection) isIdle() bool {
	state := http.ConnState(c.state.Load())
	if state != http.StateNew && state != http.StateIdle {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return !ok || !socket.HasUnread(tcp)
}

// resetOnClose makes Close reset the connection, so that the client doesn't take a truncated response for a complete
// one.
func (c *connection) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

// recordConnState records a connection's new state. It is the server's http.Server.ConnState callback.
func recordConnState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*connection); ok {
		c.state.Store(int32(state))
	}
}

type connectionKey struct{}

// withConnection adds a connection to the context of its requests. It is the server's http.Server.ConnContext callback.
func withConnection(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// connectionFromContext returns the connection of a request; nil in tests without one.
func connectionFromContext(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}
