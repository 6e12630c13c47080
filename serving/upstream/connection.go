package upstream

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/internal/socket"
)

const (
	readBuffer = 4 << 10
	// maxHeadSize bounds the status line and headers of a response, in bytes.
	maxHeadSize = 64 << 10
)

// errHeadTooLong ends the reading of a response's headers.
var errHeadTooLong = errors.New("response headers too long")

// connection is a connection to an endpoint.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	headBytesLeft int // bytes that may still be read of the headers; negative: no limit
	closing       sync.Once

	idleSince time.Time
	idleUntil time.Time
	zone      string       // of the endpoint
	sentAt    atomic.Int64 // start of the request without a response, in nanoseconds since steadyStart; 0: there is none
}

// steadyStart is the reference of monotonic times.
var steadyStart = time.Now()

// markSent records that a request is sent.
func (c *connection) markSent() { c.sentAt.Store(int64(time.Since(steadyStart))) }

// markResponded records that a response has arrived.
func (c *connection) markResponded() { c.sentAt.Store(0) }

// awaitingResponseFor returns how long a request has been without a response; zero if there is no such request.
func (c *connection) awaitingResponseFor(now time.Time) time.Duration {
	sent := c.sentAt.Load()
	if sent == 0 {
		return 0
	}
	return now.Sub(steadyStart) - time.Duration(sent)
}

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw, headBytesLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read reads from the endpoint, within the limit on headers while they are being read.
func (c *connection) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p)
	if c.headBytesLeft > 0 {
		c.headBytesLeft = max(c.headBytesLeft-n, 0)
	}
	return n, err
}

// isQuiet reports, without waiting, whether the endpoint has sent nothing unsolicited and has not closed the
// connection.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet, _ := socket.Inspect(c.Conn)
	return quiet
}

// isUsable reports whether an idle connection can carry another request.
func (c *connection) isUsable(now time.Time) bool { return now.Before(c.idleUntil) && c.isQuiet() }

// closeOnce closes the connection. It may be called more than once and from any goroutine.
func (c *connection) closeOnce() { c.closing.Do(func() { closeQuietly(c.Conn) }) }
