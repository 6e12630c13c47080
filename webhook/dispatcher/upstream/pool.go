package upstream

import (
	"maps"
	"time"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// acquire returns the usable idle connection that was used last. If there is none, hasSpace reports whether a new one may
// be opened, which is then counted as open; an idle connection to another endpoint may be closed for it.
func (c *Client) acquire(e *endpoint) (idle *connection, hasSpace bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(e.idle); n > 0; n = len(e.idle) {
		idle, e.idle = e.idle[n-1], e.idle[:n-1]
		if c.isUsable(idle, inflight.Now()) {
			return idle, true
		}
		c.discard(idle)
	}
	if c.open >= c.maxOpen && !c.discardOldest() {
		return nil, false
	}
	c.open++
	return nil, true
}

func (c *Client) isUsable(idle *connection, now api.Micros) bool {
	return int64(now-idle.idleSince) < c.idleTimeout.Load() && idle.isQuiet()
}

// release returns a connection whose call has ended to the idle ones of its endpoint.
func (c *Client) release(e *endpoint, connection *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The deadline of the last call is removed: after it a check of the idle connection would fail as if it had ended.
	if err := connection.SetDeadline(time.Time{}); err != nil || c.closed {
		c.discard(connection)
		return
	}
	connection.idleSince = inflight.Now()
	e.idle = append(e.idle, connection)
}

// discard closes a connection; the caller holds the lock.
func (c *Client) discard(connection *connection) {
	_ = connection.Close() // nothing is read from it or written to it any more
	c.open--
}

// discardOldest makes space by closing the connection that has been idle for longest. It returns false if none is idle.
func (c *Client) discardOldest() bool {
	var oldest *endpoint
	for _, e := range c.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	c.discard(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

func (c *Client) discardIdle(e *endpoint) {
	for _, idle := range e.idle {
		c.discard(idle)
	}
	e.idle = nil
}

// CloseIdle closes all idle connections to an endpoint.
func (c *Client) CloseIdle(id api.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[id]; e != nil {
		c.discardIdle(e)
	}
}

// Sweep closes connections that have been idle for long, before the endpoint does so, and those that the endpoint has
// closed. It forgets removed endpoints once no call to them is in flight and their Retry-After has passed.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := inflight.Now()
	for _, e := range c.endpoints {
		c.sweepEndpoint(e, now)
		if e.gone && e.inFlight == 0 && now >= c.retryAfterUntil[e.route] {
			delete(c.endpoints, e.id)
		}
	}
	maps.DeleteFunc(c.retryAfterUntil, func(_ route, until api.Micros) bool { return now >= until })
}

func (c *Client) sweepEndpoint(e *endpoint, now api.Micros) {
	usable := e.idle[:0]
	for _, idle := range e.idle {
		if c.isUsable(idle, now) {
			usable = append(usable, idle)
		} else {
			c.discard(idle)
		}
	}
	e.idle = usable
}
