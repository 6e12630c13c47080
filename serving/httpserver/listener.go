package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// nearLimitPercent of the maximum number of connections is where idle ones are to be closed.
const nearLimitPercent = 80

// listener accepts clients' connections up to a maximum number.
type listener struct {
	net.Listener
	readTimeouts   func() (headerWait, idle time.Duration)
	maxConnections int
	onLimit        func() // called for each connection beyond the maximum

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newListener(
	raw net.Listener, maxConnections int, readTimeouts func() (headerWait, idle time.Duration), onLimit func(),
) *listener {
	return &listener{
		Listener:       raw,
		readTimeouts:   readTimeouts,
		maxConnections: maxConnections,
		onLimit:        onLimit,
		open:           map[*connection]struct{}{},
	}
}

// Accept waits for a connection. Connections beyond the maximum are closed unread, from which clients may conclude that
// nothing has run.
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
		_ = raw.Close() // nothing was written
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

// isNearLimit reports whether so many connections are open that some should be closed after their responses.
func (l *listener) isNearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)*100 >= l.maxConnections*nearLimitPercent
}

// allIdle reports whether no connection carries a request or has an unread one.
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

// readDeadline returns the deadline of a read that begins now on a connection in the state; zero: none.
func (l *listener) readDeadline(state http.ConnState) time.Time {
	headerWait, idle := l.readTimeouts()
	timeout := headerWait
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
