package loadreport

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// fakeGossip returns a fixed assignment and records the gossiped entries.
type fakeGossip struct {
	assignment singleton.Assignment
	role       string
	scope      singleton.Scope
	entries    []gossip.Entry
}

func (f *fakeGossip) AcquireRole(name string, scope singleton.Scope) singleton.Assignment {
	f.role, f.scope = name, scope
	return f.assignment
}

func (f *fakeGossip) Put(entry gossip.Entry) { f.entries = append(f.entries, entry) }

const reportBody = `{"stage":"both","queued":1,"in_flight":12,"cache_used":41000,"cache_total":90000,"new":[]}`

// startEndpoint starts an endpoint with the handler.
func startEndpoint(t *testing.T, handler http.HandlerFunc) state.Endpoint {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return state.Endpoint{ID: address, Zone: "n1", Address: address, Slots: 64, Models: []state.Model{{Name: "m"}}}
}

func serveReport(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/report" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write([]byte(reportBody))
}

func newPoller(fake *fakeGossip, all ...state.Endpoint) *Poller {
	log := zerolog.Nop()
	return New(Options{Zone: "n1", Gossip: fake, Log: &log, Endpoints: func() []state.Endpoint { return all }})
}

func TestPollOnce_HolderPublishesLoads(t *testing.T) {
	fake := &fakeGossip{assignment: singleton.Assignment{Holder: "a", Epoch: 7, Local: true}}
	endpoint := startEndpoint(t, serveReport)
	newPoller(fake, endpoint).pollOnce(t.Context())
	assert.Equal(t, "loads/n1", fake.role)
	assert.Equal(t, singleton.Scope{Role: state.RoleAgent, Zone: "n1"}, fake.scope)
	require.Len(t, fake.entries, 1)
	entry := fake.entries[0]
	assert.Equal(t, gossip.NewVersion(7, 1), entry.Version)
	var load state.Load
	require.NoError(t, cbor.Unmarshal(entry.Value, &load))
	assert.Equal(t, state.Load{EndpointID: endpoint.ID, Queued: 1, Running: 12, CacheUsed: 41000, CacheTotal: 90000,
		Measurement: 1}, load)
}

func TestPollOnce_MembersWithoutRoleDoNotPoll(t *testing.T) {
	calls := 0
	fake := &fakeGossip{assignment: singleton.Assignment{Holder: "b", Epoch: 7}}
	endpoint := startEndpoint(t, func(http.ResponseWriter, *http.Request) { calls++ })
	newPoller(fake, endpoint).pollOnce(t.Context())
	assert.Zero(t, calls)
}

func TestSelectEndpoints_AcceptingModelsOfTheZone(t *testing.T) {
	fake := &fakeGossip{}
	good := state.Endpoint{ID: "good", Zone: "n1", Models: []state.Model{{Name: "m"}}}
	otherZone, withoutModel, draining, unresponsive := good, good, good, good
	otherZone.Zone = "n2"
	withoutModel.Models = nil
	draining.State = state.EndpointDraining
	unresponsive.Unresponsive = true
	selected := newPoller(fake, otherZone, withoutModel, good, draining, unresponsive).selectEndpoints()
	assert.Equal(t, []state.Endpoint{good}, selected)
}

// TestPollOnce_IgnoresFaultyResponses checks for each fault of one endpoint that the load of a healthy one is
// published.
func TestPollOnce_IgnoresFaultyResponses(t *testing.T) {
	faults := map[string]http.HandlerFunc{
		"status":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"no json":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"break":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"too long": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxReportBytes+1)) },
	}
	for name, fault := range faults {
		fake := &fakeGossip{assignment: singleton.Assignment{Epoch: 7, Local: true}}
		good := startEndpoint(t, serveReport)
		newPoller(fake, startEndpoint(t, fault), good).pollOnce(t.Context())
		require.Len(t, fake.entries, 1, name)
		assert.Equal(t, good.ID, fake.entries[0].Key, name)
	}
}

func TestChangeFilter_SuppressesSmallChanges(t *testing.T) {
	var filter changeFilter
	endpoint := state.Endpoint{ID: "e", Slots: 64}
	publishes := func(reported report) bool {
		filter.beginRound(7)
		_, published := filter.accept(endpoint, reported)
		return published
	}
	base := report{Running: 12, CacheUsed: 41000, CacheTotal: 90000}
	assert.True(t, publishes(base))
	small, large := base, base
	small.Running, large.Running = 14, 30
	assert.False(t, publishes(small))
	assert.True(t, publishes(large))
	for range republishRounds - 1 {
		assert.False(t, publishes(large))
	}
	assert.True(t, publishes(large), "published again before it expires")
	filter.retain(nil)
	assert.True(t, publishes(large), "an endpoint that had been removed")
	filter.beginRound(8)
	_, published := filter.accept(endpoint, large)
	assert.True(t, published, "a new epoch resets the filter")
	assert.Equal(t, uint64(1), filter.round)
}
