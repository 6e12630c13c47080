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

// connection is one client's connection. It gives the server's reads the time limits of the configuration in
// force, which change while the server runs.
type connection struct {
	net.Conn
	listener  *listener
	closeOnce sync.Once
	state     atomic.Int32 // http.ConnState, or stateServing
}

// stateServing is the phase of a connection whose request's handler runs: reads are not limited then.
const stateServing = http.ConnState(100)

// SetReadDeadline sets a deadline. Where the server asks for none, the time limit of the connection's phase holds.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		deadline = c.listener.readDeadline(http.ConnState(c.state.Load()))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads. A connection that rested does so no longer once something has been read.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(int32(http.StateIdle), int32(http.StateActive)) {
		c.state.CompareAndSwap(int32(http.StateNew), int32(http.StateActive))
	}
	return n, err
}

// Close closes the connection, once.
func (c *connection) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.listener.remove(c)
	})
	return err
}

// startServing lifts the limits on reads while a request is served, but for one on its body.
func (c *connection) startServing(bodyUntil time.Time) {
	c.state.Store(int32(stateServing))
	_ = c.Conn.SetReadDeadline(bodyUntil) // a closed connection shows at the next read
}

// isIdle tells whether the connection carries no request and none has come.
func (c *connection) isIdle() bool {
	phase := http.ConnState(c.state.Load())
	if phase != http.StateNew && phase != http.StateIdle {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return !ok || !socket.HasUnread(tcp)
}

// resetOnClose makes the connection's close a reset, so that nothing that was sent can look complete.
func (c *connection) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // where it fails the connection is gone already
	}
}

// listener hands out the clients' connections and keeps count of them.
type listener struct {
	net.Listener
	readTimeouts   func() (headerWait, idle time.Duration)
	maxConnections int
	onLimit        func() // called when a connection is turned away

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newListener(raw net.Listener, most int, limits func() (headerWait, idle time.Duration), full func()) *listener {
	return &listener{Listener: raw, readTimeouts: limits, maxConnections: most, onLimit: full, open: map[*connection]struct{}{}}
}

// Accept waits for a connection. Beyond the limit new ones are closed unread, which clients may take for a promise
// that nothing has run.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: raw, listener: l}
		if l.admit(c) {
			return c, nil
		}
		_ = raw.Close() // nothing is lost with it
		l.onLimit()
	}
}

func (l *listener) admit(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConnections {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// isNearLimit tells whether so many connections are open that some should be given back.
func (l *listener) isNearLimit() bool {
	const percent = 80
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)*100 >= l.maxConnections*percent
}

// allIdle tells whether no connection carries a request or has one waiting.
func (l *listener) allIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if !c.isIdle() {
			return false
		}
	}
	return true
}

// readDeadline is when a read in a phase ends.
func (l *listener) readDeadline(phase http.ConnState) time.Time {
	headerWait, idle := l.readTimeouts()
	wait := headerWait
	switch phase {
	case http.StateIdle:
		wait = idle
	case stateServing:
		return time.Time{}
	}
	if wait <= 0 {
		return time.Time{}
	}
	return time.Now().Add(wait)
}

// recordConnState is the server's word on a connection's phase.
func recordConnState(raw net.Conn, phase http.ConnState) {
	if c, ok := raw.(*connection); ok {
		c.state.Store(int32(phase))
	}
}

type connectionKey struct{}

// withConnection makes a request's connection known to its handler.
func withConnection(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// connectionFromContext is the connection of a request; nil in tests that use none.
func connectionFromContext(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}
