// Package upstream sends requests to endpoints over HTTP/1.1. A connection carries one request at a time, and idle
// connections are reused. The package never sends a request twice; its caller decides whether a request is retried, by
// the outcome of the attempt (package attempt).
package upstream

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Defaults of a pool.
const (
	defaultMaxConnections = 1024
	defaultConnectTimeout = 250 * time.Millisecond
	defaultAckTimeout     = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection stays open if its endpoint announces no timeout of its own.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutPercent is the percentage of the idle timeout announced by an endpoint after which an idle connection
	// is not used any more. The rest is a margin, so that a request doesn't arrive after the endpoint has closed the
	// connection.
	idleTimeoutPercent = 80
)

// Options are the parameters of a pool. A field that is zero stands for its default.
type Options struct {
	MaxConnections int           // connections to all endpoints together
	ConnectTimeout time.Duration // of a new connection, in addition to two measured round trips
	AckTimeout     time.Duration // after which the kernel closes a connection with unacknowledged data
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
	idle []*connection // in the order of their last use, the most recent one last
	busy []*connection // in use, in no order
	open int           // number of connections that are idle, in use or being established
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.MaxConnections <= 0 {
		options.MaxConnections = defaultMaxConnections
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

// Sweep closes idle connections that have expired or that their endpoint has closed. The caller should call it every
// few seconds.
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

// Close closes the idle connections at once, and the connections in use when their requests end.
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

// OpenConnections returns the number of connections that are idle, in use or being established.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// acquire returns an idle connection that can be used. If there is none, or if forceNew is set, it returns nil and true:
// the caller then establishes a connection, which acquire has already counted as open. It returns false if one more
// would exceed the limit of the endpoint or of the pool, and no idle connection can be closed instead.
func (p *Pool) acquire(endpointID string, limit int, forceNew bool, now time.Time) (c *connection, hasCapacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.byEndpoint[endpointID]
	if connections == nil {
		connections = &endpointConnections{}
		p.byEndpoint[endpointID] = connections
	}
	if !forceNew {
		if c := p.popIdle(connections, now); c != nil {
			connections.busy = append(connections.busy, c)
			return c, true
		}
	}
	if limit > 0 && connections.open >= limit && !p.closeOldestIdle(connections) {
		return nil, false
	}
	if p.open >= p.options.MaxConnections && !p.closeOldestIdleOfAll() {
		return nil, false
	}
	connections.open++
	p.open++
	return nil, true
}

// popIdle takes the most recently used idle connection that can still be used, and closes those that can't. It returns
// nil if there is none. The caller holds the lock.
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

// closeOldestIdle closes the one of an endpoint's connections that has been idle longest. It returns false if none is
// idle.
// The caller holds the lock.
func (p *Pool) closeOldestIdle(connections *endpointConnections) bool {
	if len(connections.idle) == 0 {
		return false
	}
	oldest := connections.idle[0]
	connections.idle = append(connections.idle[:0], connections.idle[1:]...)
	p.closeConnection(connections, oldest)
	return true
}

// putIdle makes a connection idle after its request has ended cleanly. The connection can be used again until
// idleTimeout has passed; if that is not positive, or the pool is closed, the connection is closed instead.
func (p *Pool) putIdle(endpointID string, c *connection, idleTimeout time.Duration) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.byEndpoint[endpointID]
	if connections == nil {
		return
	}
	connections.removeBusy(c)
	if p.closed || idleTimeout <= 0 {
		p.closeConnection(connections, c)
		return
	}
	connections.idle = append(connections.idle, c)
}

// discard closes a connection in use, which then no longer counts as open. A nil connection stands for one that was
// counted by acquire but not established.
func (p *Pool) discard(endpointID string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connections := p.byEndpoint[endpointID]; connections != nil {
		connections.removeBusy(c)
		p.closeConnection(connections, c)
	}
}

// addBusy adds a new connection to those in use.
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

// closeConnection closes a connection that the caller has removed from the lists, and no longer counts it as open. The
// connection may be nil (see discard). The caller holds the lock.
func (p *Pool) closeConnection(connections *endpointConnections, c *connection) {
	if c != nil {
		c.closeOnce()
	}
	connections.open--
	p.open--
}

// closeOldestIdleOfAll closes the connection that has been idle longest among those to all endpoints. It returns false
// if none is idle. The caller holds the lock.
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

// closeQuietly closes a connection and ignores errors, since the connection is no longer needed.
func closeQuietly(c net.Conn) { _ = c.Close() }
