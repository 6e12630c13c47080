package upstream

import (
	"time"

	"rowanlink/internal/socket"
)

// unacknowledgedAfter is how long, in addition to two round trips, sent data may stay unacknowledged before the
// endpoint is reported. The kernel of the endpoint's machine acknowledges data at once, however busy the endpoint is.
const unacknowledgedAfter = 250 * time.Millisecond

// UnacknowledgedEndpoints returns the IDs of the endpoints that have not acknowledged the data sent on at least one
// connection. The calls on these connections continue, since the data may have arrived.
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

// isUnacknowledged reports whether a request on the connection has awaited its response for some time, and data sent on
// the connection is still unacknowledged.
func (p *Pool) isUnacknowledged(now time.Time, c *connection) bool {
	if c.awaitingResponseFor(now) < unacknowledgedAfter+2*p.dialer.meanRoundTrip(c.zone) {
		return false
	}
	return socket.HasUnacknowledged(c.Conn)
}
