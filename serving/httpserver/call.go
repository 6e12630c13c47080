package httpserver

import (
	"slices"
	"strconv"

	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

// Range of the priority that is sent to endpoints; the smallest number is the highest priority.
const (
	highestPriority = 0
	lowestPriority  = 9
)

// newCall returns the call that sends the request to the chosen endpoint.
func (f *forwarder) newCall(choice placement.Choice) *upstream.Call {
	endpoint := choice.Endpoint
	call := &upstream.Call{
		EndpointID:    endpoint.ID,
		Address:       endpoint.Address,
		Zone:          endpoint.Zone,
		Method:        f.httpRequest.Method,
		RequestTarget: requestTarget(f.httpRequest),
		Host:          f.httpRequest.Host,
		Header:        f.httpRequest.Header,
		Body:          f.body,
		HasBody:       f.hasBody,
		Resent:        slices.Contains(f.triedEndpoints, endpoint.ID),
		Deadline:      f.deadline,
		LastEventID:   f.stream.lastEventID,
	}
	service, known := f.table.Service(endpoint.Service)
	if known {
		call.MaxConnections = f.server.options.ConnectionShare(service)
		if service.Engine != nil {
			call.Priority = priority(f.route)
		}
	}
	if f.route.Idempotent() {
		call.ProgressTimeout = firstByteTimeout(service, choice)
		call.MayAbandon = f.mayAbandonAttempt
	}
	return call
}

// priority returns the priority that is sent to endpoints: the route's precedence, limited to the range that endpoints
// accept. The operator's precedence alone ranks requests, not their size.
func priority(route *routing.Route) string {
	return strconv.Itoa(min(max(route.Precedence, highestPriority), lowestPriority))
}
