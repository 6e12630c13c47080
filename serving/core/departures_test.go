package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

// slowStore is a store whose disk needs syncTime for each transaction.
type slowStore struct {
	fakeEndpointStore
	syncTime time.Duration
}

func (s *slowStore) Save(changes store.EndpointChanges) error {
	time.Sleep(s.syncTime)
	return s.fakeEndpointStore.Save(changes)
}

// runSaver runs a saver of a table until the test ends. earlier lists the endpoints that earlier processes have saved.
// It must be called within a synctest bubble.
func runSaver(t *testing.T, saved endpointStore, table endpointSource, earlier []state.Endpoint) *endpointSaver {
	t.Helper()
	log := zerolog.Nop()
	s := newEndpointSaver(saved, &log)
	go s.run(t.Context())
	s.startPeriodicSaves(table, earlier)
	return s
}

// TestEndpointSaver_DepartureOutlivesOlderStates guards against the loss of a departure from the disk: by an older
// state in the table, by a snapshot of the table, or when the table removes the departed endpoint.
func TestEndpointSaver_DepartureOutlivesOlderStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := endpoints.Start(endpoints.Options{Self: "m", HeartbeatInterval: time.Second}, time.Now)
		defer table.Stop()
		saved := savedEndpoints()
		s := runSaver(t, saved, table, []state.Endpoint{savedEndpoint("earlier", "n", state.EndpointDeparted)})
		table.ReceiveHeartbeat("e", endpoints.Heartbeat{Service: "plain", Address: "e:80", Sequence: 6})
		require.NoError(t, s.persist(t.Context(), []state.Endpoint{savedEndpoint("e", "m", state.EndpointDraining)}))
		assert.Equal(t, state.EndpointDraining, saved.saved["e"].State, "it is on disk before it is acknowledged")
		calls := saved.calls
		require.NoError(t, s.persist(t.Context(), []state.Endpoint{savedEndpoint("e", "m", state.EndpointDraining)}))
		assert.Equal(t, calls, saved.calls, "it is on disk already and not written again")
		time.Sleep(2 * saveInterval)
		assert.Equal(t, state.EndpointDraining, saved.saved["e"].State, "the table's older state doesn't replace it")
		assert.Contains(t, saved.saved, "earlier", "it stays, though the table's snapshot lacks it")

		table.Deregister("e")
		time.Sleep(2 * time.Minute)
		assert.Equal(t, state.EndpointDeparted, saved.saved["e"].State, "it stays, though the table has removed it")
		time.Sleep(departureRetention)
		assert.Empty(t, saved.saved)
	})
}

// TestEndpointSaver_PersistFailsWithTheDisk guards against an acknowledgement of a departure that the disk, full or
// stalled, hasn't stored.
func TestEndpointSaver_PersistFailsWithTheDisk(t *testing.T) {
	departed := []state.Endpoint{savedEndpoint("e", "m", state.EndpointDeparted)}
	for _, test := range []struct {
		name  string
		store *slowStore
	}{
		{"full", &slowStore{fakeEndpointStore: fakeEndpointStore{failAt: 1}}},
		{"stalled", &slowStore{syncTime: time.Minute}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := zerolog.Nop()
				s := newEndpointSaver(test.store, &log)
				go s.run(t.Context())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				assert.True(t, errcode.NotPersisted.Is(s.persist(ctx, departed)))
				time.Sleep(2 * time.Minute)
				assert.NoError(t, s.persist(t.Context(), departed), "it works again")
				assert.Contains(t, test.store.saved, "e")
			})
		})
	}
}

// TestEndpointSaver_ConcurrentDeparturesShareTransactions checks that 1,000 departures within a second, on a disk that
// needs 20 ms for a transaction, are acknowledged within a tenth of a second each.
func TestEndpointSaver_ConcurrentDeparturesShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		saved := &slowStore{syncTime: 20 * time.Millisecond}
		s := newEndpointSaver(saved, &log)
		go s.run(t.Context())
		var calls sync.WaitGroup
		for i := range 1000 {
			calls.Go(func() {
				begun := time.Now()
				departed := savedEndpoint(fmt.Sprint("e", i), "m", state.EndpointDeparted)
				assert.NoError(t, s.persist(t.Context(), []state.Endpoint{departed}))
				assert.Less(t, time.Since(begun), 100*time.Millisecond)
			})
			time.Sleep(time.Millisecond)
		}
		calls.Wait()
		assert.Len(t, saved.saved, 1000)
	})
}

// TestDepartures_Bounded checks that departures beyond maxRetainedDepartures are dropped after minDepartureRetention.
func TestDepartures_Bounded(t *testing.T) {
	d := newDepartures()
	start := time.Unix(0, 0)
	for i := range maxRetainedDepartures + 5 {
		d.record(start, savedEndpoint(fmt.Sprint("e", i), "m", state.EndpointDeparted))
	}
	assert.Empty(t, d.removeExpired(start.Add(minDepartureRetention)))
	assert.Len(t, d.removeExpired(start.Add(minDepartureRetention+1)), 5)
	assert.Len(t, d.removeExpired(start.Add(departureRetention+1)), maxRetainedDepartures)
}
