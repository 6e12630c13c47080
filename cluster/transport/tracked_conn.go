package transport

import (
	"errors"
	"net"

	"rowanlink/internal/socket"
)

var errConnWasClosed = errors.New("the connection was closed while idle")

// trackedConn is a client connection that knows whether the last request was written completely. It has one request at
// a time. It is its own local address: fasthttp gives a response only the address of its connection, and through it
// Client.Call reaches the connection.
type trackedConn struct {
	net.Conn
	isStarted    bool // a byte of the request was written, and nothing read since
	isIncomplete bool // the request was not written completely
}

// LocalAddr returns the connection itself.
func (c *trackedConn) LocalAddr() net.Addr { return c }

// Network implements net.Addr.
func (c *trackedConn) Network() string { return "tcp" }

// String implements net.Addr.
func (c *trackedConn) String() string { return c.Conn.LocalAddr().String() }

// Write writes a part of a request, unless the server has sent something or closed the connection: a request that is
// written to a closed connection could not be told from one that arrived.
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
