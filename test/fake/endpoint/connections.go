package endpoint

import (
	"net"
	"sync"
	"sync/atomic"
)

// limited resets connections beyond the most that an endpoint takes.
type limited struct {
	net.Listener
	most int64
	open atomic.Int64
}

// limit bounds the connections of a listener; most 0: no bound.
func limit(listener net.Listener, most int) net.Listener {
	if most <= 0 {
		return listener
	}
	return &limited{Listener: listener, most: int64(most)}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: connection, open: &l.open}, nil
		}
		l.open.Add(-1)
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // resets
		}
		_ = connection.Close()
	}
}

// counted gives its place back when it is closed.
type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
