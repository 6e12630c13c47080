package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

func newTestPublisher(incarnation uint64) *publisher {
	return newPublisher(incarnation, endpoints.NewTable(endpoints.Options{Self: "a", HeartbeatInterval: time.Second}))
}

func newEndpoint(id string, sequence uint64) state.Endpoint {
	return state.Endpoint{ID: id, Service: "s", Address: id + ":80", Sequence: sequence, Slots: 1}
}

// proxyReplica is a proxy's copy of the published data, which it builds from the responses.
type proxyReplica struct {
	cursor    subscription.Cursor
	revision  uint64
	endpoints map[string]uint64 // sequence by ID
	loads     map[string]state.Load
}

func newProxyReplica() *proxyReplica {
	return &proxyReplica{endpoints: map[string]uint64{}, loads: map[string]state.Load{}}
}

func (r *proxyReplica) apply(response *subscription.Response) {
	if response.Complete {
		*r = *newProxyReplica()
	}
	r.cursor = response.Cursor
	if response.Record != nil {
		r.revision = response.Record.Revision
	}
	for _, endpoint := range response.Endpoints {
		r.endpoints[endpoint.ID] = endpoint.Sequence
	}
	for _, id := range response.Removed {
		delete(r.endpoints, id)
	}
	for _, load := range response.Loads {
		r.loads[load.EndpointID] = load
	}
}

func TestPublisher_DeliversEachUpdateOnce(t *testing.T) {
	p, proxy := newTestPublisher(7), newProxyReplica()
	p.setSynced()
	first, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor)
	require.True(t, hasUpdate, "the first response is sent even if it is empty")
	assert.True(t, first.Complete)
	proxy.apply(first)
	_, hasUpdate = p.updateSince(timeAfter(0), proxy.cursor)
	assert.False(t, hasUpdate)

	p.setRecord(&state.Record{Revision: 3})
	p.mergeEndpoint(timeAfter(0), newEndpoint("e", 1))
	p.setLoad(state.Load{EndpointID: "e", Queued: 2})
	p.setProxies(subscription.ProxyCounts{Live: 4})
	second, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor)
	require.True(t, hasUpdate)
	assert.Equal(t, subscription.ProxyCounts{Live: 4}, second.Proxies)
	proxy.apply(second)
	assert.Equal(t, uint64(3), proxy.revision)
	assert.Equal(t, map[string]uint64{"e": 1}, proxy.endpoints)
	assert.Equal(t, 2, proxy.loads["e"].Queued)
	_, hasUpdate = p.updateSince(timeAfter(0), proxy.cursor)
	assert.False(t, hasUpdate)
}

func TestPublisher_IgnoresOlderRecords(t *testing.T) {
	p := newTestPublisher(7)
	assert.True(t, p.setRecord(&state.Record{Revision: 3}))
	for _, revision := range []uint64{3, 2, 0} {
		assert.False(t, p.setRecord(&state.Record{Revision: revision}))
	}
	assert.Equal(t, uint64(3), p.record.Revision)
}

func TestPublisher_RepeatsALostUpdate(t *testing.T) {
	p, proxy := newTestPublisher(7), newProxyReplica()
	p.setSynced()
	first, _ := p.updateSince(timeAfter(0), proxy.cursor)
	proxy.apply(first)
	p.mergeEndpoint(timeAfter(0), newEndpoint("e", 1))
	_, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor) // lost in transit
	require.True(t, hasUpdate)
	p.mergeEndpoint(timeAfter(0), newEndpoint("f", 1))
	repeated, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor)
	require.True(t, hasUpdate)
	proxy.apply(repeated)
	assert.Equal(t, map[string]uint64{"e": 1, "f": 1}, proxy.endpoints)
}

func TestPublisher_SendsNoCompleteSnapshotBeforeItIsSynced(t *testing.T) {
	proxy := newProxyReplica()
	before := newTestPublisher(7)
	before.setSynced()
	before.mergeEndpoint(timeAfter(0), newEndpoint("e", 1))
	before.mergeEndpoint(timeAfter(0), newEndpoint("old", 1))
	first, _ := before.updateSince(timeAfter(0), proxy.cursor)
	proxy.apply(first)

	after := newTestPublisher(8)
	response, hasUpdate := after.updateSince(timeAfter(0), proxy.cursor)
	require.True(t, hasUpdate)
	assert.False(t, response.Complete)
	proxy.apply(response)
	after.mergeEndpoint(timeAfter(0), newEndpoint("f", 1))
	response, _ = after.updateSince(timeAfter(0), proxy.cursor)
	proxy.apply(response)
	assert.Len(t, proxy.endpoints, 3)

	after.mergeEndpoint(timeAfter(0), newEndpoint("e", 2))
	after.setSynced()
	response, hasUpdate = after.updateSince(timeAfter(0), proxy.cursor)
	require.True(t, hasUpdate)
	assert.True(t, response.Complete)
	proxy.apply(response)
	assert.Equal(t, map[string]uint64{"e": 2, "f": 1}, proxy.endpoints)
}

// TestPublisher_ProxyConverges checks that the proxy ends up with the agent's data, whatever is published in which order and
// whichever responses are lost.
func TestPublisher_ProxyConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, proxy := newTestPublisher(7), newProxyReplica()
		want := map[string]uint64{}
		revision := uint64(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				id := rapid.SampledFrom([]string{"e", "f", "g"}).Draw(t, "id")
				sequence := rapid.Uint64Range(1, 9).Draw(t, "sequence")
				p.mergeEndpoint(timeAfter(0), newEndpoint(id, sequence))
				want[id] = max(want[id], sequence)
			case 2:
				published := rapid.Uint64Range(1, 9).Draw(t, "revision")
				p.setRecord(&state.Record{Revision: published})
				revision = max(revision, published)
			case 3:
				p.setSynced()
			default:
				lost := rapid.Bool().Draw(t, "lost")
				if response, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor); hasUpdate && !lost {
					proxy.apply(response)
				}
			}
		}
		for range 2 {
			if response, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor); hasUpdate {
				proxy.apply(response)
			}
		}
		assert.Equal(t, want, proxy.endpoints)
		assert.Equal(t, revision, proxy.revision)
		_, hasUpdate := p.updateSince(timeAfter(0), proxy.cursor)
		assert.False(t, hasUpdate)
	})
}

func TestLoadTable_IsBounded(t *testing.T) {
	table := newLoadTable()
	for i := range maxLoads + 10 {
		table.update(state.Load{EndpointID: string(rune(i + 1000)), Measurement: 1})
	}
	assert.Len(t, table.entries, maxLoads)
	assert.Len(t, table.changesSince(0), maxLoads)
	assert.False(t, table.update(table.changesSince(table.position - 1)[0]), "an unchanged load is no update")
}
