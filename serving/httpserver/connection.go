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

// connection is a client's connection. It applies the read timeouts of the current configuration, which change while
// the server runs.
type connection struct {
	net.Conn
	listener  *listener
	closeOnce sync.Once
	state     atomic.Int32 // http.ConnState or stateServing
}

// stateServing is the state of a connection whose request's handler is running: reads have no timeout then.
const stateServing = http.ConnState(100)

// SetReadDeadline sets a deadline. If the server sets none, the timeout of the connection's state applies.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		deadline = c.listener.readDeadline(http.ConnState(c.state.Load()))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads from the client. A new or idle connection becomes active by it.
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

// startServing replaces the read timeout by a deadline for the request's body; zero: none.
func (c *connection) startServing(bodyDeadline time.Time) {
	c.state.Store(int32(stateServing))
	_ = c.Conn.SetReadDeadline(bodyDeadline) // a closed connection shows at the next read
}

// isIdle reports whether the connection carries no request and none has arrived.
func (c *connection) isIdle() bool {
	state := http.ConnState(c.state.Load())
	if state != http.StateNew && state != http.StateIdle {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return !ok || !socket.HasUnread(tcp)
}

// resetOnClose makes Close send a reset, so that nothing that was sent can look complete.
func (c *connection) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only if the connection is closed already
	}
}

// recordConnState is the server's callback for changes of a connection's state.
func recordConnState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*connection); ok {
		c.state.Store(int32(state))
	}
}

type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// connectionFromContext returns the connection of a request; nil in tests without one.
func connectionFromContext(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}
