package transport

import (
	"errors"
	"net"

	"rowanlink/internal/socket"
)

var errConnWasClosed = errors.New("the connection was closed while idle")

// trackedConn is a client connection that records whether its current request was written completely. It carries one
// request at a time. It also implements net.Addr and is its own local address: fasthttp gives Client.Call only the
// response's local address, and through that outcomeOf reaches the connection.
type trackedConn struct {
	net.Conn
	isStarted    bool // a part of the request was written, and nothing was read since
	isIncomplete bool // the last write failed or wrote only a part
}

// LocalAddr returns the connection itself.
func (c *trackedConn) LocalAddr() net.Addr { return c }

// Network implements net.Addr.
func (c *trackedConn) Network() string { return "tcp" }

// String implements net.Addr.
func (c *trackedConn) String() string { return c.Conn.LocalAddr().String() }

// Write writes a part of a request. It fails without writing if the server has closed the connection or sent something:
// a write to a connection that the server has closed can succeed, and the request would then seem to have arrived.
func (c *trackedConn) Write(p []byte) (int, error) {
	if isQuiet, _ := socket.Inspect(c.Conn); !isQuiet {
		c.isIncomplete = true
		if c.isStarted {
			return 0, net.ErrClosed
		}
		return 0, errConnWasClosed
	}
	n, err := c.Conn.Write(p)
	c.isIncomplete = n < len(p)
	c.isStarted = true
	return n, err
}

// Read reads a part of a response.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.isStarted = false
	return c.Conn.Read(p)
}
