package core

import (
	"context"
	"sync"

	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// endpointConfirmer finds out by a health check whether the process at an endpoint's address accepts requests under the
// endpoint's ID. A process that is shutting down answers health checks with a status other than 200. endpointConfirmer
// is safe for concurrent use.
type endpointConfirmer struct {
	latest func() (state.Record, bool) // the newest committed record that this process knows
	check  func(ctx context.Context, endpoint state.Endpoint, path string) (state.Endpoint, error)

	mutex    sync.Mutex
	revision uint64         // of the record that routes was parsed from
	routes   *routing.Table // nil if the record has no valid configuration
}

// confirm returns the endpoint with the time that it still warms up. Errors are those of the HTTP call, and
// errUnconfirmed if the process doesn't accept requests under the ID or no path for the service's health checks is
// known.
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

// currentRoutes returns the routing table of the newest committed record; nil if there is no valid one. It parses a
// valid one only once for each revision of the record.
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
