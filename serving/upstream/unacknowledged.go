package upstream

import (
	"time"

	"rowanlink/internal/socket"
)

// unacknowledgedAfter plus two round trips is how long sent data may stay unacknowledged before the endpoint is
// suspected. TCP's acknowledgements arrive at once, however busy the endpoint is.
const unacknowledgedAfter = 250 * time.Millisecond

// UnacknowledgedEndpoints returns the IDs of the endpoints that have not acknowledged what was sent on some
// connection. Their calls continue, since the data may have arrived.
func (p *Pool) UnacknowledgedEndpoints(now time.Time) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, connections := range p.byEndpoint {
		for _, c := range connections.busy {
			if p.isUnacknowledged(now, c) {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// isUnacknowledged reports whether data sent on a connection has been unacknowledged for too long.
func (p *Pool) isUnacknowledged(now time.Time, c *connection) bool {
	if c.awaitingResponseFor(now) < unacknowledgedAfter+2*p.dialer.meanRoundTrip(c.zone) {
		return false
	}
	return socket.HasUnacknowledged(c.Conn)
}
