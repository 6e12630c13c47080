package upstream

import (
	"bufio"
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rowanlink/internal/socket"
)

const (
	readBuffer = 4 << 10
	// maxHeadSize bounds the head of an answer, in bytes; what is longer is no answer.
	maxHeadSize = 64 << 10
)

// Keep-alive probes find an endpoint that went dark in the middle of an answer.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// errHeadTooLong ends the reading of an endless head.
var errHeadTooLong = errors.New("head of answer too long")

// connection is one connection to an endpoint.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	headBytesLeft int // bytes that may still be read of a head; negative: no bound
	closing       sync.Once

	idleSince time.Time
	idleUntil time.Time
	zone      string       // of the endpoint
	sentAt    atomic.Int64 // nanoseconds from steadyStart to the begin of a request without an answer; 0: none
}

// steadyStart is what times on the steady clock are counted from.
var steadyStart = time.Now()

// markSent notes that a request goes out.
func (c *connection) markSent() { c.sentAt.Store(int64(time.Since(steadyStart))) }

// markAnswered notes that an answer has come.
func (c *connection) markAnswered() { c.sentAt.Store(0) }

// unansweredFor is how long the endpoint has not answered a request; zero: none has gone out.
func (c *connection) unansweredFor(now time.Time) time.Duration {
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

// Read reads from the endpoint, within the bound on heads where one is being read.
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

// isQuiet looks, without waiting, whether the endpoint has sent nothing unasked and has not ended the connection.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet, _ := socket.Inspect(c.Conn)
	return quiet
}

// isUsable tells whether an idle connection can carry another request.
func (c *connection) isUsable(now time.Time) bool { return now.Before(c.idleUntil) && c.isQuiet() }

// closeOnce closes the connection. It may be called more than once and from any goroutine.
func (c *connection) closeOnce() { c.closing.Do(func() { closeQuietly(c.Conn) }) }

// dialer makes connections and learns how long the way to each zone is.
type dialer struct {
	timeout time.Duration
	raw     net.Dialer

	mu             *sync.Mutex
	meanRoundTrips map[string]time.Duration // by zone: how long connecting takes on average
	minRoundTrips  map[string]time.Duration // by zone: how long it takes at the least, as far as was seen of late
}

func newDialer(timeout, ackTimeout time.Duration) dialer {
	raw := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	raw.SetMultipathTCP(false)
	return dialer{timeout: timeout, raw: raw, mu: &sync.Mutex{},
		meanRoundTrips: map[string]time.Duration{}, minRoundTrips: map[string]time.Duration{}}
}

// dial connects within the time-out and twice the way.
func (d dialer) dial(ctx context.Context, address, zone string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout+2*d.meanRoundTrip(zone))
	defer cancel()
	begun := time.Now()
	raw, err := d.raw.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to endpoint")
	}
	d.recordRoundTrip(zone, time.Since(begun))
	c := newConnection(raw)
	c.zone = zone
	return c, nil
}

// meanRoundTrip is the known round trip to a zone; for one never reached, room for another continent.
func (d dialer) meanRoundTrip(zone string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if trip, known := d.meanRoundTrips[zone]; known {
		return trip
	}
	return d.timeout / 2
}

// recordRoundTrip takes a new reading into the round trips to a zone: the mean, and the least, which follows a longer way slowly.
func (d dialer) recordRoundTrip(zone string, took time.Duration) {
	const weight, upWeight = 4, 32
	d.mu.Lock()
	defer d.mu.Unlock()
	if least, known := d.minRoundTrips[zone]; known && took > least {
		d.minRoundTrips[zone] = least + (took-least)/upWeight
	} else {
		d.minRoundTrips[zone] = took
	}
	took = min(took, d.timeout)
	if trip, known := d.meanRoundTrips[zone]; known {
		took = trip + (took-trip)/weight
	}
	d.meanRoundTrips[zone] = took
}

// RoundTrips tells the least time that connecting to endpoints of a zone takes, by zone, as far as it was seen.
func (p *Pool) RoundTrips() map[string]time.Duration {
	p.dialer.mu.Lock()
	defer p.dialer.mu.Unlock()
	return maps.Clone(p.dialer.minRoundTrips)
}

// setAckTimeout bounds how long sent bytes may stay unacknowledged.
func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		millis := int(timeout / time.Millisecond)
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	return errors.CombineErrors(err, failed)
}
