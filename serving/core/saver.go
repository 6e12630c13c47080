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

// saveInterval is the time between two looks at what has changed of the endpoints. What came since the last is lost
// with the machine's power.
const saveInterval = time.Second

// endpointStore is a copy of the endpoints on disk; store.Endpoints is one.
type endpointStore interface {
	Load() ([]state.Endpoint, error)
	Save(changes store.EndpointChanges) error
}

// endpointSource is a table of endpoints whose changes can be followed; endpoints.Owner is one.
type endpointSource interface {
	ChangesSince(since uint64) (endpoints.Delta, bool)
}

// saver keeps the copy of the endpoints on disk up to date, without haste: only the process's next start needs it.
type saver struct {
	table    endpointSource
	store    endpointStore
	log      *zerolog.Logger
	position uint64 // of the table, as it was saved last; zero: the copy is to be made anew
	failing  bool
}

// run saves until the context ends.
func (s *saver) run(ctx context.Context) {
	ticks := time.NewTicker(saveInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			s.save()
		}
	}
}

// save saves what has changed since the last time.
func (s *saver) save() {
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
		s.noteFailure(err)
		return
	}
	s.position, s.failing = delta.Position, false
}

// noteFailure logs the first failure of several in a row.
func (s *saver) noteFailure(err error) {
	if !s.failing {
		event.EndpointStoreFailed.Log(s.log).Err(err).Send()
	}
	s.failing = true
}
