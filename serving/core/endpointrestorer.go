package core

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/event"
	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

const (
	// recordTimeout bounds the wait for the record, which has the paths of the health checks. By then all endpoints
	// that are running have sent heartbeats.
	recordTimeout      = 2 * time.Second
	recordPollInterval = 20 * time.Millisecond
	// maxConcurrentHealthChecks bounds the health checks in flight.
	maxConcurrentHealthChecks = 16
)

// endpointTable is the table that endpoints are restored to; endpoints.SharedTable implements it.
type endpointTable interface {
	ChangesSince(since uint64) (endpoints.Delta, bool)
	Restore(saved state.Endpoint) bool
}

// endpointRestorer restores saved endpoints after a start that found no other member with them. The copy on disk may be
// out of date, so each endpoint is first checked: whether it is running under the same ID, and how long it still warms
// up. Endpoints that have sent a heartbeat or that other members know are left out.
type endpointRestorer struct {
	self    string // name of the member
	store   endpointStore
	latest  func() (state.Record, bool) // the newest committed record
	table   endpointTable
	publish func(state.Endpoint) // to the other members
	check   func(ctx context.Context, saved state.Endpoint, path string) (state.Endpoint, error)
	log     *zerolog.Logger
}

// run restores the endpoints once.
func (r *endpointRestorer) run(ctx context.Context) {
	saved, err := r.store.Load()
	if err != nil {
		event.EndpointStoreFailed.Log(r.log).Err(err).Send()
		return
	}
	if len(saved) == 0 {
		return
	}
	routes := r.awaitRouting(ctx)
	if routes == nil {
		return
	}
	missing := r.selectMissing(saved)
	restored := r.restoreConfirmed(ctx, missing, routes)
	if len(missing) > 0 {
		event.EndpointsRestored.Log(r.log).
			Int("saved", len(saved)).
			Int("checked", len(missing)).
			Int("restored", restored).
			Send()
	}
}

// awaitRouting returns the present routing, nil if there is none or no record is known within recordTimeout.
func (r *endpointRestorer) awaitRouting(ctx context.Context) *routing.Table {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	ticker := time.NewTicker(recordPollInterval)
	defer ticker.Stop()
	for {
		if record, known := r.latest(); known {
			return routingOf(record)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
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

// selectMissing returns the saved endpoints whose heartbeats this member received, that took requests, and that aren't
// in the table. A draining endpoint has probably ended since.
func (r *endpointRestorer) selectMissing(saved []state.Endpoint) (missing []state.Endpoint) {
	delta, _ := r.table.ChangesSince(0)
	known := make(map[string]bool, len(delta.Changed))
	for _, endpoint := range delta.Changed {
		known[endpoint.ID] = true
	}
	for _, endpoint := range saved {
		wasReceivedHere := endpoint.Receiver == r.self
		wasAccepting := endpoint.State == state.EndpointAccepting
		if wasReceivedHere && wasAccepting && !known[endpoint.ID] {
			missing = append(missing, endpoint)
		}
	}
	return missing
}

// restoreConfirmed checks the endpoints and restores those that are confirmed. It returns their number.
func (r *endpointRestorer) restoreConfirmed(
	ctx context.Context, missing []state.Endpoint, routes *routing.Table,
) (restored int) {
	var checks sync.WaitGroup
	var mutex sync.Mutex // guards restored
	slots := make(chan struct{}, maxConcurrentHealthChecks)
	for _, endpoint := range missing {
		service, known := routes.Service(endpoint.Service)
		if !known || service.HealthPath == "" {
			continue
		}
		slots <- struct{}{}
		checks.Go(func() {
			defer func() { <-slots }()
			if !r.restore(ctx, endpoint, service.HealthPath) {
				return
			}
			mutex.Lock()
			restored++
			mutex.Unlock()
		})
	}
	checks.Wait()
	return restored
}

// restore checks one endpoint, restores it and publishes it. It reports whether the endpoint was restored.
func (r *endpointRestorer) restore(ctx context.Context, saved state.Endpoint, healthPath string) bool {
	confirmed, err := r.check(ctx, saved, healthPath)
	if err != nil || !r.table.Restore(confirmed) {
		return false
	}
	r.publish(confirmed)
	return true
}
