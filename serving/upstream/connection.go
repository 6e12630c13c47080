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
	// mostHead bounds the head of an answer, in bytes; what is longer is no answer.
	mostHead = 64 << 10
)

// Keep-alive probes find an endpoint that went dark in the middle of an answer.
const (
	probeAfter    = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// errHeadTooLong ends the reading of an endless head.
var errHeadTooLong = errors.New("head of answer too long")

// connection is one connection to an endpoint.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	headLeft int // bytes that may still be read of a head; negative: no bound
	closing  sync.Once

	idleSince time.Time
	idleUntil time.Time
	zone      string       // of the endpoint
	sentAt    atomic.Int64 // nanoseconds from steadyStart to the begin of a request without an answer; 0: none
}

// steadyStart is what times on the steady clock are counted from.
var steadyStart = time.Now()

// begin notes that a request goes out.
func (c *connection) begin() { c.sentAt.Store(int64(time.Since(steadyStart))) }

// answered notes that an answer has come.
func (c *connection) answered() { c.sentAt.Store(0) }

// waiting is how long the endpoint has not answered a request; zero: none has gone out.
func (c *connection) waiting(now time.Time) time.Duration {
	sent := c.sentAt.Load()
	if sent == 0 {
		return 0
	}
	return now.Sub(steadyStart) - time.Duration(sent)
}

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: raw, headLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read reads from the endpoint, within the bound on heads where one is being read.
func (c *connection) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft = max(c.headLeft-n, 0)
	}
	return n, err
}

// quiet looks, without waiting, whether the endpoint has sent nothing unasked and has not ended the connection.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet, _ := socket.Look(c.Conn)
	return quiet
}

// usable tells whether an idle connection can carry another request.
func (c *connection) usable(now time.Time) bool { return now.Before(c.idleUntil) && c.quiet() }

// end closes the connection. It may be called more than once and from any goroutine.
func (c *connection) end() { c.closing.Do(func() { closeQuietly(c.Conn) }) }

// dialer makes connections and learns how long the way to each zone is.
type dialer struct {
	timeout time.Duration
	raw     net.Dialer

	mu    *sync.Mutex
	trips map[string]time.Duration // by zone: how long connecting takes on average
	least map[string]time.Duration // by zone: how long it takes at the least, as far as was seen of late
}

func newDialer(timeout, ackTimeout time.Duration) dialer {
	raw := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount,
		},
	}
	raw.SetMultipathTCP(false)
	return dialer{timeout: timeout, raw: raw, mu: &sync.Mutex{},
		trips: map[string]time.Duration{}, least: map[string]time.Duration{}}
}

// dial connects within the time-out and twice the way.
func (d dialer) dial(ctx context.Context, address, zone string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout+2*d.trip(zone))
	defer cancel()
	begun := time.Now()
	raw, err := d.raw.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to endpoint")
	}
	d.learn(zone, time.Since(begun))
	c := newConnection(raw)
	c.zone = zone
	return c, nil
}

// trip is the known round trip to a zone; for one never reached, room for another continent.
func (d dialer) trip(zone string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if trip, known := d.trips[zone]; known {
		return trip
	}
	return d.timeout / 2
}

// learn takes a new reading into the round trips to a zone: the mean, and the least, which follows a longer way slowly.
func (d dialer) learn(zone string, took time.Duration) {
	const weight, upWeight = 4, 32
	d.mu.Lock()
	defer d.mu.Unlock()
	if least, known := d.least[zone]; known && took > least {
		d.least[zone] = least + (took-least)/upWeight
	} else {
		d.least[zone] = took
	}
	took = min(took, d.timeout)
	if trip, known := d.trips[zone]; known {
		took = trip + (took-trip)/weight
	}
	d.trips[zone] = took
}

// RoundTrips tells the least time that connecting to endpoints of a zone takes, by zone, as far as it was seen.
func (p *Pool) RoundTrips() map[string]time.Duration {
	p.dialer.mu.Lock()
	defer p.dialer.mu.Unlock()
	return maps.Clone(p.dialer.least)
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
