package core

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/state"
	"rowanlink/serving/store"
)

var errDiskFailure = errors.New("simulated disk failure")

// fakeEndpointStore is an endpointStore in memory, of which one call may fail.
type fakeEndpointStore struct {
	saved  map[string]state.Endpoint
	calls  int
	failAt int // number of the call that fails, counted from 1; 0: none
}

func (m *fakeEndpointStore) fails() bool {
	m.calls++
	return m.calls == m.failAt
}

func (m *fakeEndpointStore) Load() (list []state.Endpoint, err error) {
	if m.fails() {
		return nil, errDiskFailure
	}
	for _, endpoint := range m.saved {
		list = append(list, endpoint)
	}
	return list, nil
}

func (m *fakeEndpointStore) Save(changes store.EndpointChanges) error {
	if m.fails() {
		return errDiskFailure
	}
	if changes.Snapshot || m.saved == nil {
		m.saved = map[string]state.Endpoint{}
	}
	for _, endpoint := range changes.Changed {
		m.saved[endpoint.ID] = endpoint
	}
	for _, id := range changes.Removed {
		delete(m.saved, id)
	}
	return nil
}

const restoredDocument = `{"edition":3,"routings":[{"name":"fetch","station":"shop.example","lane_prefix":"/fetch/",
 "line_type":"repeatable","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":2}],
 "carriers":[{"name":"plain","health_path":"/health","conn_cap":100}],
 "limits":{"header_bytes":4096,"body_bytes":100000,"header_wait_ms":3000,"idle_ms":15000}}`

// committedRecord returns a function that returns a record with restoredDocument.
func committedRecord(t *testing.T) func() (state.Record, bool) {
	t.Helper()
	configuration, err := state.NewConfiguration(3, []byte(restoredDocument))
	require.NoError(t, err)
	return func() (state.Record, bool) { return state.Record{Revision: 1, Configuration: configuration}, true }
}

func savedEndpoint(id, receiver string, endpointState state.EndpointState) state.Endpoint {
	return state.Endpoint{
		ID:       id,
		Service:  "plain",
		Address:  id + ":80",
		Zone:     "z",
		State:    endpointState,
		Sequence: 7,
		Receiver: receiver,
	}
}

// savedEndpoints returns a store that has the endpoints.
func savedEndpoints(list ...state.Endpoint) *fakeEndpointStore {
	saved := &fakeEndpointStore{saved: map[string]state.Endpoint{}}
	for _, endpoint := range list {
		saved.saved[endpoint.ID] = endpoint
	}
	return saved
}

// restorerFixture is a restorer of the member m that records which endpoints it checks and publishes.
type restorerFixture struct {
	*endpointRestorer
	mutex     sync.Mutex // endpoints are checked concurrently
	checked   []string   // ID and path
	published []string   // ID
}

func newRestorerFixture(t *testing.T, saved *fakeEndpointStore, table *endpoints.SharedTable) *restorerFixture {
	t.Helper()
	log := zerolog.Nop()
	f := &restorerFixture{}
	f.endpointRestorer = &endpointRestorer{
		self:  "m",
		store: saved,
		table: table,
		publish: func(endpoint state.Endpoint) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.published = append(f.published, endpoint.ID)
		},
		confirmer: &endpointConfirmer{
			latest: committedRecord(t),
			check: func(_ context.Context, endpoint state.Endpoint, path string) (state.Endpoint, error) {
				f.mutex.Lock()
				f.checked = append(f.checked, endpoint.ID+path)
				f.mutex.Unlock()
				if endpoint.ID == "dead" {
					return endpoint, errUnconfirmed
				}
				endpoint.WarmupLeftMillis = 1500
				return endpoint, nil
			},
		},
		log: &log,
	}
	return f
}

func newTable(t *testing.T) *endpoints.SharedTable {
	t.Helper()
	table := endpoints.Start(endpoints.Options{Self: "m", HeartbeatInterval: time.Second}, time.Now)
	t.Cleanup(table.Stop)
	return table
}

func TestEndpointRestorer_RestoresConfirmedOnly(t *testing.T) {
	saved := savedEndpoints(
		savedEndpoint("live", "m", state.EndpointAccepting),
		savedEndpoint("dead", "m", state.EndpointAccepting),
		savedEndpoint("draining", "m", state.EndpointDraining),
		savedEndpoint("others", "n", state.EndpointAccepting),
		savedEndpoint("heartbeat", "m", state.EndpointAccepting),
	)
	table := newTable(t)
	table.ReceiveHeartbeat("heartbeat", endpoints.Heartbeat{
		Service:  "plain",
		Address:  "heartbeat:80",
		Zone:     "z",
		Sequence: 8,
	})
	f := newRestorerFixture(t, saved, table)
	f.run(t.Context())
	assert.ElementsMatch(t, []string{"live/health", "dead/health"}, f.checked)
	assert.Equal(t, []string{"draining", "live"}, f.published)
	var known []string
	for _, endpoint := range table.Live() {
		known = append(known, endpoint.ID)
		if endpoint.ID == "live" {
			assert.InDelta(t, 1500, endpoint.WarmupLeftMillis, 1000, "as the endpoint reports it")
		}
	}
	assert.Equal(t, []string{"heartbeat", "live"}, known)
}

// TestEndpointRestorer_FailingDisk checks that a disk that fails at the start is read again: otherwise acknowledged
// departures would be lost.
func TestEndpointRestorer_FailingDisk(t *testing.T) {
	saved := savedEndpoints(
		savedEndpoint("live", "m", state.EndpointAccepting),
		savedEndpoint("gone", "n", state.EndpointDeparted),
	)
	saved.failAt = 1
	f := newRestorerFixture(t, saved, newTable(t))
	f.run(t.Context())
	assert.Equal(t, []string{"live/health"}, f.checked)
	assert.Equal(t, []string{"gone", "live"}, f.published)
}

func TestEndpointRestorer_TimesOutWithoutRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		saved := savedEndpoints(savedEndpoint("live", "m", state.EndpointAccepting))
		table := endpoints.Start(endpoints.Options{Self: "m", HeartbeatInterval: time.Second}, time.Now)
		defer table.Stop()
		f := newRestorerFixture(t, saved, table)
		f.confirmer.latest = func() (state.Record, bool) { return state.Record{}, false }
		begun := time.Now()
		f.run(t.Context())
		assert.Empty(t, f.checked)
		assert.Equal(t, recordTimeout, time.Since(begun))
	})
}

// TestEndpointSaver_RecoversFromFailures checks, for each of the first four saves, that the next save writes everything
// if that one fails.
func TestEndpointSaver_RecoversFromFailures(t *testing.T) {
	for point := 1; point <= 4; point++ {
		table := newTable(t)
		saved := &fakeEndpointStore{failAt: point}
		log := zerolog.Nop()
		s := newEndpointSaver(saved, &log)
		s.table = table
		sendHeartbeat := func(id string, sequence uint64, draining bool) {
			table.ReceiveHeartbeat(id, endpoints.Heartbeat{
				Service:  "plain",
				Address:  id + ":80",
				Zone:     "z",
				Sequence: sequence,
				Draining: draining,
			})
		}
		sendHeartbeat("a", 1, false)
		s.save()
		sendHeartbeat("b", 1, false)
		s.save()
		sendHeartbeat("a", 2, true)
		s.save()
		table.Deregister("a")
		s.save()
		sendHeartbeat("c", 1, false)
		s.save()
		s.save()
		assert.Len(t, saved.saved, 3, "point %d", point)
		assert.Equal(t, state.EndpointDeparted, saved.saved["a"].State, "point %d", point)
		assert.Contains(t, saved.saved, "b")
		assert.Contains(t, saved.saved, "c")
		calls := saved.calls
		s.save()
		assert.Equal(t, calls, saved.calls, "nothing has changed")
	}
}

// TestHealthChecker checks which responses confirm an endpoint, and the time to warm up that is read from them.
func TestHealthChecker(t *testing.T) {
	for name, answer := range map[string]struct {
		status     int
		id         string
		warmupLeft string // header
		confirmed  bool
		expected   int64 // milliseconds
	}{
		"unchanged":     {http.StatusOK, "i-1", "0", true, 0},
		"warming up":    {http.StatusOK, "i-1", "1234.5", true, 1234},
		"no header":     {http.StatusOK, "i-1", "", true, 900},
		"another ID":    {http.StatusOK, "i-2", "0", false, 0},
		"unavailable":   {http.StatusServiceUnavailable, "i-1", "0", false, 0},
		"not a service": {http.StatusOK, "", "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, "/health", r.URL.Path)
				w.Header().Set(endpointIDHeader, answer.id)
				if answer.warmupLeft != "" {
					w.Header().Set(warmupLeftHeader, answer.warmupLeft)
				}
				w.WriteHeader(answer.status)
			}))
			defer server.Close()
			endpoint := state.Endpoint{
				ID:               "i-1",
				Address:          server.Listener.Addr().String(),
				WarmupLeftMillis: 900,
				Unresponsive:     true,
			}
			got, err := newHealthChecker().check(t.Context(), endpoint, "/health")
			if !answer.confirmed {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.False(t, got.Unresponsive)
			assert.Equal(t, answer.expected, got.WarmupLeftMillis)
		})
	}
}

func TestHealthChecker_DeadAddress(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	_, err := newHealthChecker().check(t.Context(), state.Endpoint{ID: "i-1", Address: address}, "/health")
	assert.Error(t, err)
}
