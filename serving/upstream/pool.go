// Package upstream sends requests to endpoints over HTTP/1.1: one request at a time on a connection, with idle
// connections reused, and no request ever sent twice by itself. The outcomes are those of package attempt; whether a
// request is retried is not decided here.
package upstream

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Defaults of a pool.
const (
	defaultMaxOpen        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
	defaultAckTimeout     = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection stays open whose endpoint doesn't announce its own timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutPercent of the idle time that an endpoint states is used; the rest is margin for a request in
	// transit.
	idleTimeoutPercent = 80
)

// Options are the parameters of a pool. Zero values stand for defaults.
type Options struct {
	MaxOpen        int           // connections to all endpoints together
	ConnectTimeout time.Duration // of a new connection, added to the measured round trip
	AckTimeout     time.Duration // after which a connection with unacknowledged data is broken
}

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  dialer

	mu         sync.Mutex
	byEndpoint map[string]*endpointConnections // by endpoint ID
	open       int                             // connections that are idle, in use or being established
	closed     bool
}

// endpointConnections holds the connections to one endpoint.
type endpointConnections struct {
	idle []*connection // the last used one is the last
	busy []*connection // in use, in no order
	open int           // idle, in use or being made
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.MaxOpen <= 0 {
		options.MaxOpen = defaultMaxOpen
	}
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.AckTimeout <= 0 {
		options.AckTimeout = defaultAckTimeout
	}
	return &Pool{
		options:    options,
		dialer:     newDialer(options.ConnectTimeout, options.AckTimeout),
		byEndpoint: map[string]*endpointConnections{},
	}
}

// Sweep closes idle connections that have expired or that their endpoint has closed. It is to be called every few
// seconds.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, connections := range p.byEndpoint {
		usable := connections.idle[:0]
		for _, c := range connections.idle {
			if c.isUsable(now) {
				usable = append(usable, c)
			} else {
				p.closeConnection(connections, c)
			}
		}
		clear(connections.idle[len(usable):])
		connections.idle = usable
		if connections.open == 0 {
			delete(p.byEndpoint, id)
		}
	}
}

// Close closes the idle connections, and those in use when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, connections := range p.byEndpoint {
		for _, c := range connections.idle {
			p.closeConnection(connections, c)
		}
		connections.idle = nil
	}
}

// Open returns the number of connections, idle or in use.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// acquire returns an idle connection that can be used or, without one, a free slot for a new connection, which counts
// as open from now on. If fresh is set, it returns no idle connection. It returns false if the limit of the endpoint or
// the pool is reached.
func (p *Pool) acquire(endpointID string, limit int, fresh bool, now time.Time) (c *connection, hasCapacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.byEndpoint[endpointID]
	if connections == nil {
		connections = &endpointConnections{}
		p.byEndpoint[endpointID] = connections
	}
	if !fresh {
		if c := p.popIdle(connections, now); c != nil {
			connections.busy = append(connections.busy, c)
			return c, true
		}
	}
	if limit > 0 && connections.open >= limit && !p.closeOldestIdle(connections) {
		return nil, false
	}
	if p.open >= p.options.MaxOpen && !p.closeOldestIdleOfAll() {
		return nil, false
	}
	connections.open++
	p.open++
	return nil, true
}

// popIdle returns the last used idle connection to an endpoint that can be used; nil if there is none. The caller
// holds the lock.
func (p *Pool) popIdle(connections *endpointConnections, now time.Time) *connection {
	for n := len(connections.idle); n > 0; n = len(connections.idle) {
		c := connections.idle[n-1]
		connections.idle[n-1] = nil
		connections.idle = connections.idle[:n-1]
		if c.isUsable(now) {
			return c
		}
		p.closeConnection(connections, c)
	}
	return nil
}

// closeOldestIdle closes the connection to an endpoint that has been idle longest. The caller holds the lock.
func (p *Pool) closeOldestIdle(connections *endpointConnections) bool {
	if len(connections.idle) == 0 {
		return false
	}
	first := connections.idle[0]
	connections.idle = append(connections.idle[:0], connections.idle[1:]...)
	p.closeConnection(connections, first)
	return true
}

// putIdle returns a connection whose request has ended cleanly to the pool.
func (p *Pool) putIdle(endpointID string, c *connection, idle time.Duration) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.byEndpoint[endpointID]
	if connections == nil {
		return
	}
	connections.removeBusy(c)
	if p.closed || idle <= 0 {
		p.closeConnection(connections, c)
		return
	}
	connections.idle = append(connections.idle, c)
}

// discard closes a connection in use and frees its slot. A nil connection stands for one that was not established.
func (p *Pool) discard(endpointID string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connections := p.byEndpoint[endpointID]; connections != nil {
		connections.removeBusy(c)
		p.closeConnection(connections, c)
	}
}

// addBusy records a connection that has been established and is in use.
func (p *Pool) addBusy(endpointID string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connections := p.byEndpoint[endpointID]; connections != nil {
		connections.busy = append(connections.busy, c)
	}
}

// removeBusy removes a connection from those in use, if it is one of them.
func (s *endpointConnections) removeBusy(c *connection) {
	if index := slices.Index(s.busy, c); index >= 0 {
		last := len(s.busy) - 1
		s.busy[index], s.busy[last] = s.busy[last], nil
		s.busy = s.busy[:last]
	}
}

// closeConnection closes a connection that is on no list any more. The caller holds the lock.
func (p *Pool) closeConnection(connections *endpointConnections, c *connection) {
	if c != nil {
		c.closeOnce()
	}
	connections.open--
	p.open--
}

// closeOldestIdleOfAll closes the connection that has been idle longest. The caller holds the lock.
func (p *Pool) closeOldestIdleOfAll() bool {
	var oldest *endpointConnections
	for _, connections := range p.byEndpoint {
		if len(connections.idle) == 0 {
			continue
		}
		if oldest == nil || connections.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = connections
		}
	}
	return oldest != nil && p.closeOldestIdle(oldest)
}

// closeQuietly closes a connection that is no longer needed, so an error has no meaning.
func closeQuietly(c net.Conn) { _ = c.Close() }
