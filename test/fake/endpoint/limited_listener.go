package endpoint

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener resets connections beyond a maximum number.
type limitedListener struct {
	net.Listener
	maxConnections int64
	open           atomic.Int64
}

// limitConnections limits the open connections of a listener; zero: no limit.
func limitConnections(listener net.Listener, maxConnections int) net.Listener {
	if maxConnections <= 0 {
		return listener
	}
	return &limitedListener{Listener: listener, maxConnections: int64(maxConnections)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConnections {
			return &countedConn{Conn: connection, open: &l.open}, nil
		}
		l.open.Add(-1)
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset
		}
		_ = connection.Close()
	}
}

// countedConn is no longer counted once it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
