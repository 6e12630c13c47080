package core

import (
	"context"
	"sync"

	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// endpointConfirmer asks processes by a health check whether they accept requests as an endpoint: by the protocol one
// that is leaving doesn't answer 200. It is safe for concurrent use.
type endpointConfirmer struct {
	latest func() (state.Record, bool) // the newest committed record
	check  func(ctx context.Context, endpoint state.Endpoint, path string) (state.Endpoint, error)

	mutex    sync.Mutex
	revision uint64         // of the record that routes is from
	routes   *routing.Table // nil: none that is valid
}

// confirm returns the endpoint with the time that it still warms up. It fails with errUnconfirmed or the error of the
// call, and where the path of its health checks isn't known.
func (c *endpointConfirmer) confirm(ctx context.Context, endpoint state.Endpoint) (state.Endpoint, error) {
	routes := c.currentRoutes()
	if routes == nil {
		return endpoint, errUnconfirmed
	}
	service, known := routes.Service(endpoint.Service)
	if !known || service.HealthPath == "" {
		return endpoint, errUnconfirmed
	}
	return c.check(ctx, endpoint, service.HealthPath)
}

// currentRoutes returns the routing of the newest committed record, which it parses once.
func (c *endpointConfirmer) currentRoutes() *routing.Table {
	record, known := c.latest()
	if !known {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.routes == nil || c.revision != record.Revision {
		c.revision = record.Revision
		c.routes = routingOf(record)
	}
	return c.routes
}

// routingOf parses a record's configuration. It returns nil if there is none or it is invalid.
func routingOf(record state.Record) *routing.Table {
	if record.Configuration.Version == 0 {
		return nil
	}
	document, err := record.Configuration.Decompress()
	if err != nil {
		return nil
	}
	table, err := routing.Parse(document)
	if err != nil {
		return nil
	}
	return table
}
