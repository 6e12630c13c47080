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

func someNews(life uint64) *news {
	return newNews(life, endpoints.NewTable(endpoints.Options{Self: "a", BeatInterval: time.Second}))
}

func endpoint(id string, sequence uint64) state.Endpoint {
	return state.Endpoint{ID: id, Service: "s", Address: id + ":80", Sequence: sequence, Slots: 1}
}

// knowledge is what a proxy makes of the answers.
type knowledge struct {
	cursor    subscription.Cursor
	revision  uint64
	endpoints map[string]uint64 // sequence by ID
	loads     map[string]state.Load
}

func nothingKnown() *knowledge {
	return &knowledge{endpoints: map[string]uint64{}, loads: map[string]state.Load{}}
}

func (k *knowledge) take(response *subscription.Response) {
	if response.Complete {
		*k = *nothingKnown()
	}
	k.cursor = response.Cursor
	if response.Record != nil {
		k.revision = response.Record.Revision
	}
	for _, each := range response.Endpoints {
		k.endpoints[each.ID] = each.Sequence
	}
	for _, id := range response.Forgotten {
		delete(k.endpoints, id)
	}
	for _, load := range response.Loads {
		k.loads[load.EndpointID] = load
	}
}

func TestNewsComesOnce(t *testing.T) {
	n, proxy := someNews(7), nothingKnown()
	n.setSynced()
	first, more := n.since(at(0), proxy.cursor)
	require.True(t, more, "the first answer comes even if it is empty")
	assert.True(t, first.Complete)
	proxy.take(first)
	_, more = n.since(at(0), proxy.cursor)
	assert.False(t, more)

	n.takeRecord(&state.Record{Revision: 3})
	n.takeEndpoint(at(0), endpoint("e", 1))
	n.takeLoad(state.Load{EndpointID: "e", Queued: 2})
	n.takeProxies(subscription.Proxies{Live: 4})
	second, more := n.since(at(0), proxy.cursor)
	require.True(t, more)
	assert.Equal(t, subscription.Proxies{Live: 4}, second.Proxies)
	proxy.take(second)
	assert.Equal(t, uint64(3), proxy.revision)
	assert.Equal(t, map[string]uint64{"e": 1}, proxy.endpoints)
	assert.Equal(t, 2, proxy.loads["e"].Queued)
	_, more = n.since(at(0), proxy.cursor)
	assert.False(t, more)
}

func TestRecordsNeverGoBack(t *testing.T) {
	n := someNews(7)
	assert.True(t, n.takeRecord(&state.Record{Revision: 3}))
	for _, revision := range []uint64{3, 2, 0} {
		assert.False(t, n.takeRecord(&state.Record{Revision: revision}))
	}
	assert.Equal(t, uint64(3), n.record.Revision)
}

func TestAnAnswerThatWasLostIsGivenAgain(t *testing.T) {
	n, proxy := someNews(7), nothingKnown()
	n.setSynced()
	first, _ := n.since(at(0), proxy.cursor)
	proxy.take(first)
	n.takeEndpoint(at(0), endpoint("e", 1))
	_, more := n.since(at(0), proxy.cursor) // lost on the way
	require.True(t, more)
	n.takeEndpoint(at(0), endpoint("f", 1))
	again, more := n.since(at(0), proxy.cursor)
	require.True(t, more)
	proxy.take(again)
	assert.Equal(t, map[string]uint64{"e": 1, "f": 1}, proxy.endpoints)
}

func TestARestartedAgentLeavesTheProxyWhatItHasUntilItIsInSync(t *testing.T) {
	proxy := nothingKnown()
	before := someNews(7)
	before.setSynced()
	before.takeEndpoint(at(0), endpoint("e", 1))
	before.takeEndpoint(at(0), endpoint("old", 1))
	first, _ := before.since(at(0), proxy.cursor)
	proxy.take(first)

	after := someNews(8)
	response, more := after.since(at(0), proxy.cursor)
	require.True(t, more)
	assert.False(t, response.Complete)
	proxy.take(response)
	after.takeEndpoint(at(0), endpoint("f", 1))
	response, _ = after.since(at(0), proxy.cursor)
	proxy.take(response)
	assert.Len(t, proxy.endpoints, 3)

	after.takeEndpoint(at(0), endpoint("e", 2))
	after.setSynced()
	response, more = after.since(at(0), proxy.cursor)
	require.True(t, more)
	assert.True(t, response.Complete)
	proxy.take(response)
	assert.Equal(t, map[string]uint64{"e": 2, "f": 1}, proxy.endpoints)
}

// TestProxyEndsUpWithWhatTheAgentKnows: whatever comes in and whichever answers are lost.
func TestProxyEndsUpWithWhatTheAgentKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, proxy := someNews(7), nothingKnown()
		want := map[string]uint64{}
		revision := uint64(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				id := rapid.SampledFrom([]string{"e", "f", "g"}).Draw(t, "id")
				sequence := rapid.Uint64Range(1, 9).Draw(t, "sequence")
				n.takeEndpoint(at(0), endpoint(id, sequence))
				want[id] = max(want[id], sequence)
			case 2:
				taken := rapid.Uint64Range(1, 9).Draw(t, "revision")
				n.takeRecord(&state.Record{Revision: taken})
				revision = max(revision, taken)
			case 3:
				n.setSynced()
			default:
				lost := rapid.Bool().Draw(t, "lost")
				if response, more := n.since(at(0), proxy.cursor); more && !lost {
					proxy.take(response)
				}
			}
		}
		for range 2 {
			if response, more := n.since(at(0), proxy.cursor); more {
				proxy.take(response)
			}
		}
		assert.Equal(t, want, proxy.endpoints)
		assert.Equal(t, revision, proxy.revision)
		_, more := n.since(at(0), proxy.cursor)
		assert.False(t, more)
	})
}

func TestLoadsAreBounded(t *testing.T) {
	table := newLoadTable()
	for i := range loadsMost + 10 {
		table.take(state.Load{EndpointID: string(rune(i + 1000)), Measurement: 1})
	}
	assert.Len(t, table.kept, loadsMost)
	assert.Len(t, table.since(0), loadsMost)
	assert.False(t, table.take(table.since(table.position - 1)[0]), "the same again is no news")
}
