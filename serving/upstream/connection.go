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
	readBufferSize = 4 << 10 // in bytes
	// maxHeadSize bounds the status line and headers of a response, in bytes.
	maxHeadSize = 64 << 10
)

// errHeadTooLong means that a response's status line and headers exceed maxHeadSize.
var errHeadTooLong = errors.New("response headers too long")

// connection is a connection to an endpoint.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	headBytesLeft int // bytes that may still be read while headers are being read; negative: no limit
	closing       sync.Once

	idleSince time.Time
	idleUntil time.Time
	zone      string       // of the endpoint
	sentAt    atomic.Int64 // when the request that awaits its response was sent, as nanoseconds since clockStart; 0: none
}

// clockStart is the time from which sentAt counts. Differences to it are measured by the monotonic clock.
var clockStart = time.Now()

// markSent records that a request is being sent.
func (c *connection) markSent() { c.sentAt.Store(int64(time.Since(clockStart))) }

// markResponded records that no request awaits its response any more.
func (c *connection) markResponded() { c.sentAt.Store(0) }

// awaitingResponseFor returns for how long a request has awaited its response; zero if none does.
func (c *connection) awaitingResponseFor(now time.Time) time.Duration {
	sent := c.sentAt.Load()
	if sent == 0 {
		return 0
	}
	return now.Sub(clockStart) - time.Duration(sent)
}

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw, headBytesLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
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

// isQuiet reports, without waiting, whether the endpoint has sent no unsolicited data and has not closed the
// connection. Only such a connection can carry a request.
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
