package policy

import "rowanlink/webhook/api"

// closeIdleConnections closes idle connections that keep other dispatchers out, as soon as the last call of an endpoint has
// ended, and reports whether it did. Endpoints of a kind that has recently refused a connection may accept only a few from
// all dispatchers together, and hundreds that stay idle for half a second exhaust that limit. It does nothing where the
// calls at the listed rate need a connection for each dispatcher.
func (p *Policy) closeIdleConnections(e *endpoint) bool {
	dispatchers := float64(p.settings.Dispatchers)
	concurrent := e.route.listedRate * e.route.meanLatency / float64(api.Second) * dispatchers
	accepted := max(connectionsPerCall*concurrent/float64(len(e.destination.endpoints)), minConnections)
	scarce := accepted < dispatchers && p.now < e.destination.kind.connectionLimitedUntil
	if !scarce || !e.listed || e.inFlight > 0 {
		return false
	}
	p.host.CloseIdleConnections(e.id)
	return true
}
