package policy

import "rowanlink/webhook/api"

// closeIdleConnections closes an endpoint's idle connections if they may keep other dispatchers from connecting, and
// reports whether it did. EndTurn calls it as soon as the endpoint's last call has ended: where endpoints of the kind
// have recently refused a connection, each may accept only a few from all dispatchers together, and hundreds of
// connections that stay idle for half a second, until the periodic work, exhaust that limit. Connections are kept where
// the calls at the listed rate need one for each dispatcher.
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
