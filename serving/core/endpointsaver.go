package core

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

// saveInterval is the time between two saves. Changes since the last one are lost in a power failure.
const saveInterval = time.Second

// endpointStore is a copy of the endpoints on disk; store.EndpointStore implements it.
type endpointStore interface {
	Load() ([]state.Endpoint, error)
	Save(changes store.EndpointChanges) error
}

// endpointSource is a table of endpoints whose changes can be read; endpoints.SharedTable implements it.
type endpointSource interface {
	ChangesSince(since uint64) (endpoints.Delta, bool)
}

// endpointSaver keeps the copy of the endpoints on disk up to date. The copy is used only by the next start of the
// process.
type endpointSaver struct {
	table    endpointSource
	store    endpointStore
	log      *zerolog.Logger
	position uint64 // of the table at the last save; zero: the next save is a snapshot
	failing  bool   // the last save failed
}

// run saves periodically until the context ends.
func (s *endpointSaver) run(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.save()
		}
	}
}

// save saves the changes since the last save.
func (s *endpointSaver) save() {
	delta, ok := s.table.ChangesSince(s.position)
	if !ok || delta.Position == s.position {
		return
	}
	changes := store.EndpointChanges{Removed: delta.Removed, Snapshot: delta.Complete}
	for _, endpoint := range delta.Changed {
		if endpoint.State == state.EndpointDeparted {
			changes.Removed = append(changes.Removed, endpoint.ID)
			continue
		}
		changes.Changed = append(changes.Changed, endpoint)
	}
	if err := s.store.Save(changes); err != nil {
		s.position = 0
		s.logFailure(err)
		return
	}
	s.position = delta.Position
	s.failing = false
}

// logFailure logs the first of several consecutive failures.
func (s *endpointSaver) logFailure(err error) {
	if !s.failing {
		event.EndpointStoreFailed.Log(s.log).Err(err).Send()
	}
	s.failing = true
}
