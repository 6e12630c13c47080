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
	listener *listener
	closing  sync.Once
	phase    atomic.Int32 // http.ConnState, or phaseServing
}

// phaseServing is the phase of a connection whose request's handler runs: reads are not limited then.
const phaseServing = http.ConnState(100)

// SetReadDeadline sets a deadline. Where the server asks for none, the time limit of the connection's phase holds.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		deadline = c.listener.limit(http.ConnState(c.phase.Load()))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads. A connection that rested does so no longer once something has been read.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.phase.CompareAndSwap(int32(http.StateIdle), int32(http.StateActive)) {
		c.phase.CompareAndSwap(int32(http.StateNew), int32(http.StateActive))
	}
	return n, err
}

// Close closes the connection, once.
func (c *connection) Close() (err error) {
	c.closing.Do(func() {
		err = c.Conn.Close()
		c.listener.forget(c)
	})
	return err
}

// serve lifts the limits on reads while a request is served, but for one on its body.
func (c *connection) serve(bodyUntil time.Time) {
	c.phase.Store(int32(phaseServing))
	_ = c.Conn.SetReadDeadline(bodyUntil) // a closed connection shows at the next read
}

// resting tells whether the connection carries no request and none has come.
func (c *connection) resting() bool {
	phase := http.ConnState(c.phase.Load())
	if phase != http.StateNew && phase != http.StateIdle {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return !ok || !socket.Unread(tcp)
}

// reset makes the connection's close a reset, so that nothing that was sent can look complete.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // where it fails the connection is gone already
	}
}

// listener hands out the clients' connections and keeps count of them.
type listener struct {
	net.Listener
	limits func() (headerWait, idle time.Duration)
	most   int
	full   func() // called when a connection is turned away

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newListener(raw net.Listener, most int, limits func() (headerWait, idle time.Duration), full func()) *listener {
	return &listener{Listener: raw, limits: limits, most: most, full: full, open: map[*connection]struct{}{}}
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
		l.full()
	}
}

func (l *listener) admit(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.most {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *listener) forget(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// crowded tells whether so many connections are open that some should be given back.
func (l *listener) crowded() bool {
	const percent = 80
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)*100 >= l.most*percent
}

// quiet tells whether no connection carries a request or has one waiting.
func (l *listener) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if !c.resting() {
			return false
		}
	}
	return true
}

// limit is when a read in a phase ends.
func (l *listener) limit(phase http.ConnState) time.Time {
	headerWait, idle := l.limits()
	wait := headerWait
	switch phase {
	case http.StateIdle:
		wait = idle
	case phaseServing:
		return time.Time{}
	}
	if wait <= 0 {
		return time.Time{}
	}
	return time.Now().Add(wait)
}

// noteState is the server's word on a connection's phase.
func noteState(raw net.Conn, phase http.ConnState) {
	if c, ok := raw.(*connection); ok {
		c.phase.Store(int32(phase))
	}
}

type connectionKey struct{}

// withConnection makes a request's connection known to its handler.
func withConnection(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, raw)
}

// connectionOf is the connection of a request; nil in tests that use none.
func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}
