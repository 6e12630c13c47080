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
	// recordWait bounds the wait for the record, which names the paths of health checks. By then all endpoints that
	// live have sent heartbeats.
	recordWait = 2 * time.Second
	recordPoll = 20 * time.Millisecond
	// probesAtOnce bounds the health checks under way.
	probesAtOnce = 16
)

// restoredTable is a table of endpoints that some are restored to.
type restoredTable interface {
	ChangesSince(since uint64) (endpoints.Delta, bool)
	Restore(kept state.Endpoint) bool
}

// restorer brings back, after a loss of all memory, the endpoints that have not sent a heartbeat yet. What was kept on
// disk may be out of date by any time, so that each is asked before: whether it lives, under the same ID, and how long
// it is cold. Nobody is asked where other members have told of the endpoints meanwhile.
type restorer struct {
	self   string
	store  endpointStore
	latest func() (state.Record, bool) // the newest committed record
	table  restoredTable
	put    func(state.Endpoint) // tells the other members
	ask    func(ctx context.Context, kept state.Endpoint, path string) (state.Endpoint, error)
	log    *zerolog.Logger
}

// run restores once.
func (r *restorer) run(ctx context.Context) {
	kept, err := r.store.Load()
	if err != nil {
		event.EndpointStoreFailed.Log(r.log).Err(err).Send()
		return
	}
	if len(kept) == 0 {
		return
	}
	table := r.awaitRouting(ctx)
	if table == nil {
		return
	}
	missing := r.missing(kept)
	restored := r.confirm(ctx, missing, table)
	if len(missing) > 0 {
		event.EndpointsRestored.Log(r.log).Int("kept", len(kept)).Int("asked", len(missing)).
			Int("restored", restored).Send()
	}
}

// awaitRouting returns the routing in force; nil where none is known in time.
func (r *restorer) awaitRouting(ctx context.Context) *routing.Table {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	ticks := time.NewTicker(recordPoll)
	defer ticks.Stop()
	for {
		if record, known := r.latest(); known {
			return routingOf(record)
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// routingOf reads a record's configuration; nil where there is none.
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

// missing returns those of the endpoints kept that this member received the heartbeats of, that took requests, and
// that nobody has told of since the start. One that was closing has said so for an end that may have come.
func (r *restorer) missing(kept []state.Endpoint) (missing []state.Endpoint) {
	delta, _ := r.table.ChangesSince(0)
	known := make(map[string]bool, len(delta.Changed))
	for _, endpoint := range delta.Changed {
		known[endpoint.ID] = true
	}
	for _, endpoint := range kept {
		if endpoint.Receiver == r.self && endpoint.State == state.EndpointAccepting && !known[endpoint.ID] {
			missing = append(missing, endpoint)
		}
	}
	return missing
}

// confirm asks the endpoints and takes those in that are confirmed. It returns their number.
func (r *restorer) confirm(ctx context.Context, missing []state.Endpoint, table *routing.Table) (restored int) {
	var waiting sync.WaitGroup
	var mutex sync.Mutex
	places := make(chan struct{}, probesAtOnce)
	for _, endpoint := range missing {
		service, known := table.Service(endpoint.Service)
		if !known || service.HealthPath == "" {
			continue
		}
		places <- struct{}{}
		waiting.Go(func() {
			defer func() { <-places }()
			confirmed, err := r.ask(ctx, endpoint, service.HealthPath)
			if err != nil || !r.table.Restore(confirmed) {
				return
			}
			r.put(confirmed)
			mutex.Lock()
			restored++
			mutex.Unlock()
		})
	}
	waiting.Wait()
	return restored
}
