// Package upstream carries requests to endpoints: one request at a time on a connection, connections kept and
// used again, and nothing ever sent twice by itself. What came of a request is told in the words of
// serving/attempt; whether it may go again is not decided here.
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
	// defaultIdleTimeout is how long a connection is kept whose endpoint does not say when it closes idle ones.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutPercent of the idle time that an endpoint states is used; the rest is room for a request on its way.
	idleTimeoutPercent = 80
)

// Options of a pool. Zero values stand for defaults.
type Options struct {
	MaxOpen        int           // connections to all endpoints together
	ConnectTimeout time.Duration // for a new connection, added to the known round trip
	AckTimeout     time.Duration // a connection whose bytes stay unacknowledged that long is broken
}

// Pool holds the connections to all endpoints. It is safe for use by several goroutines.
type Pool struct {
	options Options
	dialer  dialer

	mu         sync.Mutex
	byEndpoint map[string]*endpointConnections // by endpoint ID
	open       int
	closed     bool
}

// endpointConnections holds the connections to one endpoint.
type endpointConnections struct {
	idle []*connection // the one used last is last
	busy []*connection // in use, in no order
	open int           // idle, in use or being made
}

// New makes an empty pool.
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

// Sweep closes idle connections that have rested too long or whose endpoint has ended them. It is to be called
// every few seconds.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.byEndpoint {
		kept := at.idle[:0]
		for _, c := range at.idle {
			if c.isUsable(now) {
				kept = append(kept, c)
			} else {
				p.closeConnection(at, c)
			}
		}
		clear(at.idle[len(kept):])
		at.idle = kept
		if at.open == 0 {
			delete(p.byEndpoint, id)
		}
	}
}

// Close closes the idle connections, and those in use as their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, at := range p.byEndpoint {
		for _, c := range at.idle {
			p.closeConnection(at, c)
		}
		at.idle = nil
	}
}

// Open tells how many connections there are, idle or in use.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// acquire returns an idle connection that can be used, or room for a new one, which counts as open from now on. With
// fresh it returns room only. It returns false where the endpoint's or the pool's limit is reached.
func (p *Pool) acquire(endpointID string, limit int, fresh bool, now time.Time) (c *connection, room bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.byEndpoint[endpointID]
	if at == nil {
		at = &endpointConnections{}
		p.byEndpoint[endpointID] = at
	}
	if !fresh {
		if c := p.popIdle(at, now); c != nil {
			at.busy = append(at.busy, c)
			return c, true
		}
	}
	if limit > 0 && at.open >= limit && !p.closeOldestIdle(at) {
		return nil, false
	}
	if p.open >= p.options.MaxOpen && !p.closeOldestIdleOfAll() {
		return nil, false
	}
	at.open++
	p.open++
	return nil, true
}

// popIdle returns the idle connection to an endpoint that was used last and can be used again; nil: there is none.
// The caller holds the lock.
func (p *Pool) popIdle(at *endpointConnections, now time.Time) *connection {
	for n := len(at.idle); n > 0; n = len(at.idle) {
		c := at.idle[n-1]
		at.idle[n-1] = nil
		at.idle = at.idle[:n-1]
		if c.isUsable(now) {
			return c
		}
		p.closeConnection(at, c)
	}
	return nil
}

// closeOldestIdle closes the connection to an endpoint that has been idle longest. The caller holds the lock.
func (p *Pool) closeOldestIdle(at *endpointConnections) bool {
	if len(at.idle) == 0 {
		return false
	}
	first := at.idle[0]
	at.idle = append(at.idle[:0], at.idle[1:]...)
	p.closeConnection(at, first)
	return true
}

// putIdle puts a connection back whose request has ended cleanly.
func (p *Pool) putIdle(endpointID string, c *connection, idle time.Duration) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.byEndpoint[endpointID]
	if at == nil {
		return
	}
	at.removeBusy(c)
	if p.closed || idle <= 0 {
		p.closeConnection(at, c)
		return
	}
	at.idle = append(at.idle, c)
}

// discard closes a connection in use and gives its place back. A nil connection stands for one that never came up.
func (p *Pool) discard(endpointID string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := p.byEndpoint[endpointID]; at != nil {
		at.removeBusy(c)
		p.closeConnection(at, c)
	}
}

// addBusy notes a connection that has come up and is in use.
func (p *Pool) addBusy(endpointID string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := p.byEndpoint[endpointID]; at != nil {
		at.busy = append(at.busy, c)
	}
}

// removeBusy takes a connection off the list of those in use, if it is there.
func (s *endpointConnections) removeBusy(c *connection) {
	if index := slices.Index(s.busy, c); index >= 0 {
		last := len(s.busy) - 1
		s.busy[index], s.busy[last] = s.busy[last], nil
		s.busy = s.busy[:last]
	}
}

// closeConnection closes a connection that is on no list any more. The caller holds the lock.
func (p *Pool) closeConnection(at *endpointConnections, c *connection) {
	if c != nil {
		c.closeOnce()
	}
	at.open--
	p.open--
}

// closeOldestIdleOfAll closes the connection that has been idle longest. The caller holds the lock.
func (p *Pool) closeOldestIdleOfAll() bool {
	var oldest *endpointConnections
	for _, at := range p.byEndpoint {
		if len(at.idle) == 0 {
			continue
		}
		if oldest == nil || at.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = at
		}
	}
	return oldest != nil && p.closeOldestIdle(oldest)
}

// closeQuietly closes a connection of which nothing more is wanted, so that an error of closing tells nothing.
func closeQuietly(c net.Conn) { _ = c.Close() }
