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

// saveInterval is the time between two periodic saves of the table. A power failure loses the changes since the last
// one, except those that persist has saved.
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

// endpointSaver keeps the copy of the endpoints on disk up to date. It saves all changes of the table periodically. The
// states draining and departed may be acknowledged only once they are on disk, so persist saves them at once. persist
// and startPeriodicSaves may be called concurrently with run; only run uses table, position, failing and departures.
type endpointSaver struct {
	table    endpointSource // nil before startPeriodicSaves
	store    endpointStore
	log      *zerolog.Logger
	position uint64 // of the table's newest saved change; zero: the next save is a snapshot
	failing  bool   // the last save failed
	// departures keeps departed endpoints for longer than the table does. They are added to each snapshot of the table.
	departures departures
	waiting    waitingSaves
	wake       chan struct{} // receives a value when a call of persist waits
	starts     chan periodicSavesStart
}

// periodicSavesStart has the arguments of startPeriodicSaves, for run.
type periodicSavesStart struct {
	table endpointSource
	saved []state.Endpoint
}

func newEndpointSaver(store endpointStore, log *zerolog.Logger) *endpointSaver {
	return &endpointSaver{
		store:      store,
		log:        log,
		departures: newDepartures(),
		wake:       make(chan struct{}, 1),
		starts:     make(chan periodicSavesStart, 1),
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

// startPeriodicSaves begins the periodic saves of a table. It is called once, after the restore: a snapshot of the
// table would remove endpoints that aren't restored yet from the disk. Until then only persist writes. saved lists the
// endpoints that earlier processes have saved; those that are draining or departed stay on disk.
func (s *endpointSaver) startPeriodicSaves(table endpointSource, saved []state.Endpoint) {
	s.starts <- periodicSavesStart{table: table, saved: saved}
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
		case start := <-s.starts:
			s.table = start.table
			s.recordSavedDepartures(start.saved)
			ticker := time.NewTicker(saveInterval)
			defer ticker.Stop()
			periodic = ticker.C
		case <-periodic:
			s.save()
		}
	}
}

// recordSavedDepartures records the draining and departed ones among the endpoints that earlier processes have saved.
func (s *endpointSaver) recordSavedDepartures(saved []state.Endpoint) {
	for _, endpoint := range saved {
		if endpoint.State != state.EndpointAccepting {
			s.departures.record(time.Now(), endpoint)
		}
	}
	s.departures.setSaved(saved, true)
}

// saveWaiting saves the endpoints of all waiting calls of persist in one transaction, and returns its result to the
// calls. States that are on disk already aren't written again, so that an endpoint that repeats its call doesn't wait
// for a slow disk.
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

// save saves the table's changes since the last periodic save, and removes expired departures from the disk.
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

// write writes changes in one transaction. After an error it is unknown what is on disk, so the next periodic save
// writes a snapshot.
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
