package upstream

import (
	"context"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Parameters of TCP keep-alive probes, which detect an endpoint that fails in the middle of a response.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// dialer opens connections and measures the round trip to each zone.
type dialer struct {
	timeout time.Duration // for connecting, in addition to two round trips
	raw     net.Dialer

	mu             *sync.Mutex
	meanRoundTrips map[string]time.Duration // by zone: moving average of the time to connect
	minRoundTrips  map[string]time.Duration // by zone: shortest recent time to connect
}

func newDialer(timeout, ackTimeout time.Duration) dialer {
	raw := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	raw.SetMultipathTCP(false)
	return dialer{
		timeout:        timeout,
		raw:            raw,
		mu:             &sync.Mutex{},
		meanRoundTrips: map[string]time.Duration{},
		minRoundTrips:  map[string]time.Duration{},
	}
}

// dial connects to an endpoint. It takes at most the timeout plus twice the mean round trip to the endpoint's zone.
func (d dialer) dial(ctx context.Context, address, zone string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout+2*d.meanRoundTrip(zone))
	defer cancel()
	startedAt := time.Now()
	raw, err := d.raw.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to endpoint")
	}
	d.recordRoundTrip(zone, time.Since(startedAt))
	c := newConnection(raw)
	c.zone = zone
	return c, nil
}

// meanRoundTrip returns the mean round trip to a zone. For a zone to which no connection has been established yet, it
// returns half the timeout, which suffices for another continent.
func (d dialer) meanRoundTrip(zone string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mean, known := d.meanRoundTrips[zone]; known {
		return mean
	}
	return d.timeout / 2
}

// recordRoundTrip adds a measurement to the moving average and to the minimum. A longer measurement raises the minimum
// only a little, so that it follows a path that has become longer but not a single slow connect.
func (d dialer) recordRoundTrip(zone string, roundTrip time.Duration) {
	const meanDivisor, riseDivisor = 4, 32
	d.mu.Lock()
	defer d.mu.Unlock()
	if minimum, known := d.minRoundTrips[zone]; known && roundTrip > minimum {
		d.minRoundTrips[zone] = minimum + (roundTrip-minimum)/riseDivisor
	} else {
		d.minRoundTrips[zone] = roundTrip
	}
	roundTrip = min(roundTrip, d.timeout)
	if mean, known := d.meanRoundTrips[zone]; known {
		roundTrip = mean + (roundTrip-mean)/meanDivisor
	}
	d.meanRoundTrips[zone] = roundTrip
}

// MinRoundTrips returns, by zone, the shortest time that connecting to the zone's endpoints has taken recently.
func (p *Pool) MinRoundTrips() map[string]time.Duration {
	p.dialer.mu.Lock()
	defer p.dialer.mu.Unlock()
	return maps.Clone(p.dialer.minRoundTrips)
}

// setAckTimeout sets TCP_USER_TIMEOUT: the kernel closes the connection if sent data stays unacknowledged for longer.
func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		millis := int(timeout / time.Millisecond)
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	return errors.CombineErrors(err, failed)
}
