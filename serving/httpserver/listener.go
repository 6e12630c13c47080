package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// nearLimitPercent is the percentage of the maximum number of connections from which on connections are closed after
// their responses, instead of becoming idle.
const nearLimitPercent = 80

// listener accepts clients' connections up to a maximum number.
type listener struct {
	net.Listener
	readTimeouts   func() (header, idle time.Duration)
	maxConnections int
	onLimit        func() // called for each connection beyond the maximum

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newListener(
	raw net.Listener, maxConnections int, readTimeouts func() (header, idle time.Duration), onLimit func(),
) *listener {
	return &listener{
		Listener:       raw,
		readTimeouts:   readTimeouts,
		maxConnections: maxConnections,
		onLimit:        onLimit,
		open:           map[*connection]struct{}{},
	}
}

// Accept waits for a connection. A connection beyond the maximum is closed before anything is read from it, so its
// client may conclude that no request on it has run.
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
		_ = raw.Close() // an error loses no data: nothing was written
		l.onLimit()
	}
}

// admit registers a connection. It returns false if the maximum number of connections is open.
func (l *listener) admit(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConnections {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

// remove unregisters a connection that has been closed.
func (l *listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// isNearLimit reports whether so many connections are open that some should be closed after their responses.
func (l *listener) isNearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)*100 >= l.maxConnections*nearLimitPercent
}

// allIdle reports whether all open connections are idle (see connection.isIdle).
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

// readDeadline returns the deadline of a read that begins now on a connection in the given state; zero: none.
func (l *listener) readDeadline(state http.ConnState) time.Time {
	header, idle := l.readTimeouts()
	timeout := header
	switch state {
	case http.StateIdle:
		timeout = idle
	case stateServing:
		return time.Time{}
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}
