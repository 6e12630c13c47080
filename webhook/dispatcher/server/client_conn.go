package server

import (
	"container/list"
	"errors"
	"net"
	"os"
	"time"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// headEnd ends the head of an HTTP request.
const headEnd = "\r\n\r\n"

// clientConn is one client's connection. It counts the bytes of each request: if the Content-Length were less than what has
// arrived, the rest of the webhook would be read as another request.
type clientConn struct {
	*net.TCPConn
	listener *limitListener
	since    api.Micros // when it was put into its list
	list     *list.List // pending or idle; nil while the webhook that it carries is decided on
	element  *list.Element
	closed   bool
	webhooks int // carried so far, counted up to idleClasses-1

	received   int // bytes of this request
	headLength int // of this request, once its head is complete
	matched    int // bytes of headEnd that were received last
}

// moveTo puts the connection into a list, nil for none; the caller holds the listener's lock.
func (c *clientConn) moveTo(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = to
	if to != nil && !c.closed {
		c.since = inflight.Now()
		c.element = to.PushBack(c)
		c.listener.freed.Signal()
	}
}

// evict closes the connection, once; the caller holds the listener's lock.
func (c *clientConn) evict() {
	if c.closed {
		return
	}
	c.moveTo(nil)
	c.closed = true
	c.listener.open--
	c.listener.lastClosed = inflight.Now()
	c.listener.freed.Signal()
	_ = c.TCPConn.Close() // nobody reads from it or writes to it any more
}

// beginWebhook records that the connection waits for the answer to a webhook from now on, and so can't be evicted. It
// reports whether the connection is still open.
func (c *clientConn) beginWebhook() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.webhooks = min(c.webhooks+1, idleClasses-1)
	if !c.closed {
		c.moveTo(nil)
	}
	return !c.closed
}

// finishRequest records that the answer is written and the connection is idle. If too many connections are idle then, it
// closes one of them.
func (c *clientConn) finishRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.received = 0
	c.headLength = 0
	c.matched = 0
	if c.closed {
		return
	}
	c.moveTo(&c.listener.idle[c.webhooks])
	if !c.listener.hasTooManyIdle() {
		return
	}
	// longestIdle also moves connections whose next request has arrived to the pending ones, so the idle ones are counted
	// again.
	if victim := c.listener.longestIdle(); c.listener.hasTooManyIdle() {
		victim.evict()
	}
}

// beginRequest records that a request has arrived on an idle connection, and reports whether the connection is still open.
// Nothing of the request is read before that, so that no request is dropped after a part of it was read.
func (c *clientConn) beginRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed && c.list == &c.listener.idle[c.webhooks] {
		c.moveTo(&c.listener.pending)
	}
	return !c.closed
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.evict()
	return nil
}

// Read implements net.Conn. It also counts the bytes of the request and finds the end of its head.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.received == 0 {
		if err := c.waitForRequest(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(p)
	c.findHeadEnd(p[:n])
	c.received += n
	return n, err
}

// waitForRequest waits for the first byte of a request, and sets the deadline for the rest.
func (c *clientConn) waitForRequest() error {
	err := socket.WaitReadable(c.TCPConn)
	// A request that arrives at the moment of the deadline must not be lost.
	cameInTime := errors.Is(err, os.ErrDeadlineExceeded) && socket.HasUnread(c.TCPConn)
	if err != nil && !cameInTime {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return err
	}
	if !c.beginRequest() {
		return net.ErrClosed
	}
	return nil
}

func (c *clientConn) findHeadEnd(p []byte) {
	for i := 0; i < len(p) && c.headLength == 0; i++ {
		switch p[i] {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		if c.matched == len(headEnd) {
			c.headLength = c.received + i + 1
		}
	}
}

// hasExactly reports whether what has arrived is exactly one request, whose body has the given number of bytes.
func (c *clientConn) hasExactly(body int) bool {
	return c.headLength > 0 && c.received == c.headLength+body
}
