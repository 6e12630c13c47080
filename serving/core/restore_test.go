package core

import (
	"context"
	"net/http"
	"net/http/httptest"
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

var errDisk = errors.New("disk refuses")

// memoryStore is a store of endpoints whose calls fail at numbered points.
type memoryStore struct {
	kept   map[string]state.Endpoint
	calls  int
	failAt int // number of the call that fails, from one
}

func (m *memoryStore) fails() bool {
	m.calls++
	return m.calls == m.failAt
}

func (m *memoryStore) Load() (list []state.Endpoint, err error) {
	if m.fails() {
		return nil, errDisk
	}
	for _, endpoint := range m.kept {
		list = append(list, endpoint)
	}
	return list, nil
}

func (m *memoryStore) Save(changes store.EndpointChanges) error {
	if m.fails() {
		return errDisk
	}
	if changes.Snapshot || m.kept == nil {
		m.kept = map[string]state.Endpoint{}
	}
	for _, endpoint := range changes.Changed {
		m.kept[endpoint.ID] = endpoint
	}
	for _, id := range changes.Removed {
		delete(m.kept, id)
	}
	return nil
}

const restoredDocument = `{"edition":3,"routings":[{"name":"fetch","station":"shop.example","lane_prefix":"/fetch/",
 "line_type":"repeatable","timeout_ms":5000,"target_ms":300,"precedence":1,"carrier":"plain","tries":2}],
 "carriers":[{"name":"plain","health_path":"/health","conn_cap":100}],
 "limits":{"header_bytes":4096,"body_bytes":100000,"header_wait_ms":3000,"idle_ms":15000}}`

func committed(t *testing.T) func() (state.Record, bool) {
	configuration, err := state.NewConfiguration(3, []byte(restoredDocument))
	require.NoError(t, err)
	return func() (state.Record, bool) { return state.Record{Revision: 1, Configuration: configuration}, true }
}

func kept(id, receiver string, as state.EndpointState) state.Endpoint {
	return state.Endpoint{ID: id, Service: "plain", Address: id + ":80", Zone: "z", State: as, Sequence: 7,
		Receiver: receiver}
}

// newRestorer makes a restorer of member m for a store; what it asks and tells is noted.
func newRestorer(t *testing.T, kept *memoryStore, table *endpoints.SharedTable) (r *restorer, asked, told *[]string) {
	log := zerolog.Nop()
	asked, told = &[]string{}, &[]string{}
	return &restorer{self: "m", store: kept, latest: committed(t), table: table, log: &log,
		put: func(endpoint state.Endpoint) { *told = append(*told, endpoint.ID) },
		ask: func(_ context.Context, endpoint state.Endpoint, path string) (state.Endpoint, error) {
			*asked = append(*asked, endpoint.ID+path)
			if endpoint.ID == "dead" {
				return endpoint, errNotConfirmed
			}
			endpoint.WarmupLeftMillis = 1500
			return endpoint, nil
		}}, asked, told
}

func newTable(t *testing.T) *endpoints.SharedTable {
	table := endpoints.Start(endpoints.Options{Self: "m", HeartbeatInterval: time.Second}, time.Now)
	t.Cleanup(table.Stop)
	return table
}

func TestOnlyConfirmedEndpointsComeBack(t *testing.T) {
	saved := &memoryStore{kept: map[string]state.Endpoint{}}
	for _, endpoint := range []state.Endpoint{kept("lives", "m", state.EndpointAccepting), kept("dead", "m", state.EndpointAccepting),
		kept("closing", "m", state.EndpointDraining), kept("others", "n", state.EndpointAccepting), kept("beat", "m", state.EndpointAccepting)} {
		saved.kept[endpoint.ID] = endpoint
	}
	table := newTable(t)
	table.ReceiveHeartbeat("beat", endpoints.Heartbeat{Service: "plain", Address: "beat:80", Zone: "z", Sequence: 8})
	r, asked, told := newRestorer(t, saved, table)
	r.run(t.Context())
	assert.ElementsMatch(t, []string{"lives/health", "dead/health"}, *asked)
	assert.Equal(t, []string{"lives"}, *told)
	var known []string
	for _, endpoint := range table.Live() {
		known = append(known, endpoint.ID)
		if endpoint.ID == "lives" {
			assert.InDelta(t, 1500, endpoint.WarmupLeftMillis, 1000, "its own word")
		}
	}
	assert.Equal(t, []string{"beat", "lives"}, known)
}

func TestNothingIsRestoredFromARefusingDisk(t *testing.T) {
	saved := &memoryStore{failAt: 1, kept: map[string]state.Endpoint{"lives": kept("lives", "m", state.EndpointAccepting)}}
	r, asked, _ := newRestorer(t, saved, newTable(t))
	r.run(t.Context())
	assert.Empty(t, *asked)
}

func TestRestoringGivesUpWithoutARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		saved := &memoryStore{kept: map[string]state.Endpoint{"lives": kept("lives", "m", state.EndpointAccepting)}}
		table := endpoints.Start(endpoints.Options{Self: "m", HeartbeatInterval: time.Second}, time.Now)
		defer table.Stop()
		r, asked, _ := newRestorer(t, saved, table)
		r.latest = func() (state.Record, bool) { return state.Record{}, false }
		begun := time.Now()
		r.run(t.Context())
		assert.Empty(t, *asked)
		assert.Equal(t, recordWait, time.Since(begun))
	})
}

// TestSaverAfterFaults has each save fail in turn; the one after it brings everything.
func TestSaverAfterFaults(t *testing.T) {
	for point := 1; point <= 4; point++ {
		table := newTable(t)
		saved := &memoryStore{failAt: point}
		log := zerolog.Nop()
		s := &saver{table: table, store: saved, log: &log}
		beat := func(id string, sequence uint64, closing bool) {
			table.ReceiveHeartbeat(id, endpoints.Heartbeat{Service: "plain", Address: id + ":80", Zone: "z", Sequence: sequence,
				Draining: closing})
		}
		beat("a", 1, false)
		s.save()
		beat("b", 1, false)
		s.save()
		beat("a", 2, true)
		s.save()
		table.Deregister("a")
		s.save()
		beat("c", 1, false)
		s.save()
		s.save()
		assert.Len(t, saved.kept, 2, "point %d", point)
		assert.Contains(t, saved.kept, "b")
		assert.Contains(t, saved.kept, "c")
		calls := saved.calls
		s.save()
		assert.Equal(t, calls, saved.calls, "nothing new, nothing written")
	}
}

// TestProbe has an endpoint's address answer in each of the ways that count.
func TestProbe(t *testing.T) {
	for name, answer := range map[string]struct {
		status    int
		id, cold  string
		confirmed bool
		coldLeft  int64
	}{
		"as it was":     {http.StatusOK, "i-1", "0", true, 0},
		"cold":          {http.StatusOK, "i-1", "1234.5", true, 1234},
		"says no span":  {http.StatusOK, "i-1", "", true, 900},
		"another one":   {http.StatusOK, "i-2", "0", false, 0},
		"leaving":       {http.StatusServiceUnavailable, "i-1", "0", false, 0},
		"not a service": {http.StatusOK, "", "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, "/health", r.URL.Path)
				w.Header().Set(endpointIDHeader, answer.id)
				if answer.cold != "" {
					w.Header().Set(coldLeftHeader, answer.cold)
				}
				w.WriteHeader(answer.status)
			}))
			defer server.Close()
			endpoint := state.Endpoint{ID: "i-1", Address: server.Listener.Addr().String(), WarmupLeftMillis: 900, Unresponsive: true}
			got, err := newProber().confirm(t.Context(), endpoint, "/health")
			if !answer.confirmed {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.False(t, got.Unresponsive)
			assert.Equal(t, answer.coldLeft, got.WarmupLeftMillis)
		})
	}
}

func TestProbeOfADeadAddressFails(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	_, err := newProber().confirm(t.Context(), state.Endpoint{ID: "i-1", Address: address}, "/health")
	assert.Error(t, err)
}
