package core

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

// saveInterval is the time between two saves of the table. Changes since the last one are lost in a power failure,
// but for those of endpoints that were persisted.
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

// endpointSaver keeps the copy of the endpoints on disk up to date. Endpoints that accept no new requests are saved
// when persist is called, before that is acknowledged; all other changes are saved periodically. persist and
// startPeriodicSaves may be called concurrently with run, which owns the other fields.
type endpointSaver struct {
	table    endpointSource // nil before startPeriodicSaves
	store    endpointStore
	log      *zerolog.Logger
	position uint64 // of the table at the last save; zero: the next save is a snapshot
	failing  bool   // the last save failed
	// departures outlive the table's, and a snapshot of the table contains them.
	departures departures
	waiting    waitingSaves
	wake       chan struct{} // a save waits
	restored   chan restoredEndpoints
}

// restoredEndpoints is what the periodic saves begin with.
type restoredEndpoints struct {
	table endpointSource
	saved []state.Endpoint // by earlier processes
}

func newEndpointSaver(store endpointStore, log *zerolog.Logger) *endpointSaver {
	return &endpointSaver{
		store:      store,
		log:        log,
		departures: newDepartures(),
		wake:       make(chan struct{}, 1),
		restored:   make(chan restoredEndpoints, 1),
	}
}

// persist saves endpoints that accept no new requests and returns once they would survive a loss of power. Concurrent
// calls share transactions. Errors are errcode.NotPersisted: the endpoints may or may not have been saved.
func (s *endpointSaver) persist(ctx context.Context, list []state.Endpoint) error {
	result := make(chan error, 1)
	if !s.waiting.add(list, result) {
		return errcode.NotPersisted.With("too many saves wait for the disk")
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errcode.NotPersisted.With("%v", ctx.Err())
	}
}

// startPeriodicSaves begins the periodic saves of a table. The departures among the endpoints that earlier processes
// have saved stay on disk. Before this call only persist writes: a snapshot of the table would remove endpoints that
// aren't restored yet. It is called once.
func (s *endpointSaver) startPeriodicSaves(table endpointSource, saved []state.Endpoint) {
	s.restored <- restoredEndpoints{table: table, saved: saved}
}

// run saves until the context ends.
func (s *endpointSaver) run(ctx context.Context) {
	var periodic <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.saveWaiting()
		case restored := <-s.restored:
			s.table = restored.table
			s.recordSaved(restored.saved)
			ticker := time.NewTicker(saveInterval)
			defer ticker.Stop()
			periodic = ticker.C
		case <-periodic:
			s.save()
		}
	}
}

// recordSaved records the departures among endpoints that an earlier process has saved.
func (s *endpointSaver) recordSaved(saved []state.Endpoint) {
	for _, endpoint := range saved {
		if endpoint.State != state.EndpointAccepting {
			s.departures.record(time.Now(), endpoint)
		}
	}
	s.departures.setSaved(saved, true)
}

// saveWaiting saves all endpoints that wait in one transaction, and answers the calls. What is on disk already isn't
// written again: on a slow disk an endpoint that repeats its call is answered at once.
func (s *endpointSaver) saveWaiting() {
	list, results := s.waiting.take()
	changes := store.EndpointChanges{}
	for _, endpoint := range list {
		if !s.departures.isSaved(endpoint) {
			changes.Changed = append(changes.Changed, s.departures.record(time.Now(), endpoint))
		}
	}
	var err error
	if len(changes.Changed) > 0 {
		err = s.write(changes)
	}
	if err != nil {
		err = errcode.NotPersisted.With("%v", err)
	}
	for _, result := range results {
		result <- err
	}
}

// save saves the changes since the last save.
func (s *endpointSaver) save() {
	delta, ok := s.table.ChangesSince(s.position)
	expired := s.departures.removeExpired(time.Now())
	if !ok || delta.Position == s.position && len(expired) == 0 {
		return
	}
	changes := store.EndpointChanges{Removed: expired, Snapshot: delta.Complete}
	for _, endpoint := range delta.Changed {
		changes.Changed = append(changes.Changed, s.departures.record(time.Now(), endpoint))
	}
	for _, id := range delta.Removed {
		if !s.departures.contains(id) {
			changes.Removed = append(changes.Removed, id)
		}
	}
	if changes.Snapshot {
		changes.Changed = append(changes.Changed, s.departures.all()...)
	}
	if s.write(changes) == nil {
		s.position = delta.Position
	}
}

// write writes changes. After an error it is unknown what is on disk, and the next save of the table is a snapshot.
func (s *endpointSaver) write(changes store.EndpointChanges) error {
	err := s.store.Save(changes)
	if err != nil {
		s.position = 0
		s.departures.setSaved(s.departures.all(), false)
		s.logFailure(err)
		return err
	}
	s.departures.setSaved(changes.Changed, true)
	s.failing = false
	return nil
}

// logFailure logs the first of several consecutive failures.
func (s *endpointSaver) logFailure(err error) {
	if !s.failing {
		event.EndpointStoreFailed.Log(s.log).Err(err).Send()
	}
	s.failing = true
}
