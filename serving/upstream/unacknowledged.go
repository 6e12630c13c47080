package upstream

import (
	"time"

	"rowanlink/internal/socket"
)

// unacknowledgedAfter and two round trips is how long sent bytes may stay unacknowledged before their endpoint is in
// doubt. The network's own acknowledgements come at once, however busy the endpoint is.
const unacknowledgedAfter = 250 * time.Millisecond

// UnacknowledgedEndpoints returns the IDs of the endpoints that have not acknowledged what was sent to them on some connection.
// Their calls go on: they may have arrived.
func (p *Pool) UnacknowledgedEndpoints(now time.Time) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.byEndpoint {
		for _, c := range at.busy {
			if p.isUnacknowledged(now, c) {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// isUnacknowledged tells whether what was sent on a connection is unacknowledged for long.
func (p *Pool) isUnacknowledged(now time.Time, c *connection) bool {
	if c.unansweredFor(now) < unacknowledgedAfter+2*p.dialer.meanRoundTrip(c.zone) {
		return false
	}
	return socket.HasUnacknowledged(c.Conn)
}
