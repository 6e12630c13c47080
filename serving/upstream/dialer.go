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

// Keep-alive probes detect an endpoint that fails in the middle of a response.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// dialer opens connections and measures the round trip to each zone.
type dialer struct {
	timeout time.Duration // beyond the round trips
	raw     net.Dialer

	mu             *sync.Mutex
	meanRoundTrips map[string]time.Duration // by zone: moving average of the time to connect
	minRoundTrips  map[string]time.Duration // by zone: the least time to connect, as far as seen lately
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

// dial connects within the time-out and twice the mean round trip to the zone.
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

// meanRoundTrip returns the mean round trip to a zone; for a zone that was never reached, half the time-out, which
// suffices for another continent.
func (d dialer) meanRoundTrip(zone string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mean, known := d.meanRoundTrips[zone]; known {
		return mean
	}
	return d.timeout / 2
}

// recordRoundTrip adds a measurement to the mean and to the minimum, which rises slowly if the path gets longer.
func (d dialer) recordRoundTrip(zone string, roundTrip time.Duration) {
	const weight, upWeight = 4, 32
	d.mu.Lock()
	defer d.mu.Unlock()
	if minimum, known := d.minRoundTrips[zone]; known && roundTrip > minimum {
		d.minRoundTrips[zone] = minimum + (roundTrip-minimum)/upWeight
	} else {
		d.minRoundTrips[zone] = roundTrip
	}
	roundTrip = min(roundTrip, d.timeout)
	if mean, known := d.meanRoundTrips[zone]; known {
		roundTrip = mean + (roundTrip-mean)/weight
	}
	d.meanRoundTrips[zone] = roundTrip
}

// RoundTrips returns, by zone, the least time that connecting to its endpoints has taken lately.
func (p *Pool) RoundTrips() map[string]time.Duration {
	p.dialer.mu.Lock()
	defer p.dialer.mu.Unlock()
	return maps.Clone(p.dialer.minRoundTrips)
}

// setAckTimeout bounds how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		millis := int(timeout / time.Millisecond)
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	return errors.CombineErrors(err, failed)
}
