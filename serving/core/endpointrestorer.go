package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const (
	// recordTimeout bounds the wait for a committed record, whose configuration has the paths of the health checks. After
	// that time nothing needs to be checked: all endpoints that are running have sent heartbeats.
	recordTimeout      = 2 * time.Second
	recordPollInterval = 20 * time.Millisecond
	// loadRetryInterval is the time between two attempts to read the saved endpoints.
	loadRetryInterval = 500 * time.Millisecond
	// maxConcurrentHealthChecks bounds the health checks in flight.
	maxConcurrentHealthChecks = 16
)

// endpointTable is the table into which endpoints are restored; endpoints.SharedTable implements it.
type endpointTable interface {
	ChangesSince(since uint64) (endpoints.Delta, bool)
	Restore(saved state.Endpoint) bool
}

// endpointRestorer restores the saved endpoints after a start of the process.
//
// Endpoints that accept no new requests are published at once: that state was acknowledged to them, and other members
// may still have an older one. For endpoints that accepted requests the copy on disk may be out of date. Of these, the
// restorer considers only endpoints whose heartbeats this member received and that neither a heartbeat nor gossip has
// brought back into the table. It restores such an endpoint if a health check confirms that it runs under the same ID;
// the response also says how long it still warms up.
type endpointRestorer struct {
	self      string // name of this member
	store     endpointStore
	confirmer *endpointConfirmer
	table     endpointTable
	publish   func(state.Endpoint) // gossips an endpoint to the other members
	log       *zerolog.Logger
}

// run restores the endpoints once, and returns all saved ones. It returns nil if none are saved, or if ctx ends before
// the disk can be read.
func (r *endpointRestorer) run(ctx context.Context) (saved []state.Endpoint) {
	saved, loaded := r.load(ctx)
	if !loaded || len(saved) == 0 {
		return nil
	}
	departed := r.publishDepartures(saved)
	if departed > 0 {
		event.DeparturesPublished.Log(r.log).Int("departed", departed).Send()
	}
	if !r.awaitRecord(ctx) {
		return saved
	}
	missing := r.selectMissing(saved)
	restored := r.restoreConfirmed(ctx, missing)
	if len(missing) > 0 || departed > 0 {
		event.EndpointsRestored.Log(r.log).
			Int("saved", len(saved)).
			Int("departed", departed).
			Int("checked", len(missing)).
			Int("restored", restored).
			Send()
	}
	return saved
}

// load reads the saved endpoints, and tries again until the disk can be read. It returns false if ctx ends first.
func (r *endpointRestorer) load(ctx context.Context) ([]state.Endpoint, bool) {
	ticker := time.NewTicker(loadRetryInterval)
	defer ticker.Stop()
	for logged := false; ; logged = true {
		saved, err := r.store.Load()
		if err == nil {
			return saved, true
		}
		if !logged {
			event.EndpointStoreFailed.Log(r.log).Err(err).Send()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// publishDepartures publishes the saved endpoints that accept no new requests, and returns their number.
func (r *endpointRestorer) publishDepartures(saved []state.Endpoint) (published int) {
	for _, endpoint := range saved {
		if endpoint.State != state.EndpointAccepting {
			r.publish(endpoint)
			published++
		}
	}
	return published
}

// awaitRecord waits until this process knows a committed record, which has the paths of the health checks. It returns
// false after recordTimeout, or if ctx ends first.
func (r *endpointRestorer) awaitRecord(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	ticker := time.NewTicker(recordPollInterval)
	defer ticker.Stop()
	for {
		if _, known := r.confirmer.latest(); known {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// selectMissing returns the saved endpoints that accepted requests, whose heartbeats this member received, and that
// aren't in the table.
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

// restoreConfirmed restores the endpoints that a health check confirms, and returns their number.
func (r *endpointRestorer) restoreConfirmed(ctx context.Context, missing []state.Endpoint) int {
	var checks sync.WaitGroup
	var restored atomic.Int64
	slots := make(chan struct{}, maxConcurrentHealthChecks)
	for _, endpoint := range missing {
		slots <- struct{}{}
		checks.Go(func() {
			defer func() { <-slots }()
			if r.restore(ctx, endpoint) {
				restored.Add(1)
			}
		})
	}
	checks.Wait()
	return int(restored.Load())
}

// restore restores and publishes one endpoint if a health check confirms it, and reports whether it did.
func (r *endpointRestorer) restore(ctx context.Context, saved state.Endpoint) bool {
	confirmed, err := r.confirmer.confirm(ctx, saved)
	if err != nil || !r.table.Restore(confirmed) {
		return false
	}
	r.publish(confirmed)
	return true
}
