package handoff

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/ownership"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/test/fake/raftleader"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

const leaseTTL = api.Second

// newTestManager returns the manager of member "a", which owns no range. Only event type 1 is ordered.
func newTestManager(t *testing.T) *Manager {
	t.Helper()
	leader := raftleader.Start(t, leaseTTL, session.MaxConnections(1), raftleader.ReplyTruthfully)
	client := transport.NewClient("a", map[cluster.MemberID]string{"m1": leader.Addr})
	began := time.Now()
	clock := func() api.Micros { return api.Micros(time.Since(began).Microseconds()) }
	s := session.New(session.Config{Self: "a", Incarnation: 1, LeaseTTL: leaseTTL, MaxClockDrift: 0.05, Clock: clock,
		Leader: session.NewLeaderClient(client, []cluster.MemberID{"m1"}, rand.Float64)})
	t.Cleanup(func() {
		s.Close()
		client.Close()
	})
	owned := ownership.New(ownership.Config{Self: "a", LeaseTTL: leaseTTL, Clock: clock, OnChange: func() {}})
	owned.SetSession(s)
	require.Eventually(t, s.IsActive, 20*time.Second, time.Millisecond)
	owned.TrackSession()
	store, err := custody.Open(t.TempDir(), 1, leaseTTL, func(shardmap.WebhookID) bool { return false })
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, store.Close()) })
	return New(Config{
		Ownership: owned,
		Custody:   store,
		Peers:     peer.NewClient(client),
		EventType: func(id api.EventTypeID) api.EventType { return api.EventType{Ordered: id == 1} },
	})
}

// mapOwnedBy returns a shard map with a single range, which owner serves.
func mapOwnedBy(t *testing.T, owner cluster.MemberID) *shardmap.Map {
	t.Helper()
	shardMap := shardmap.New(nil)
	var err error
	shardMap.Ranges, err = shardmap.EvenRanges(1, []shardmap.MemberWeight{{Member: owner, Weight: 1}})
	require.NoError(t, err)
	shardMap.Ranges[0].Epoch, shardMap.Ranges[0].Status = 1, shardmap.OwnerServing
	return shardMap
}

func requestIDs(webhooks []eventloop.Parked) (ids []inflight.RequestID) {
	for _, w := range webhooks {
		ids = append(ids, w.RequestID)
	}
	return ids
}

// Guards against a webhook that is handed off while an earlier one with its ordering key is in doubt: it could be
// delivered before the earlier one.
func TestBatchByPeer_KeepsOrderBehindInDoubtWebhook(t *testing.T) {
	m := newTestManager(t)
	parked := func(id inflight.RequestID, key api.OrderingKey, event api.EventTypeID, inDoubt bool) eventloop.Parked {
		w := &inflight.Webhook{RequestID: id, Destination: 7, OrderingKey: key, EventType: event}
		return eventloop.Parked{Webhook: w, MayBeElsewhere: inDoubt}
	}
	all := m.batchByPeer(mapOwnedBy(t, "b"), []eventloop.Parked{
		parked("first of key 1", 1, 1, false),
		parked("in doubt", 1, 1, true),
		parked("behind it", 1, 1, false),
		parked("of another key", 2, 1, false),
		parked("of the key, not ordered", 1, 0, false),
	})
	require.Contains(t, all, cluster.MemberID("b"))
	assert.Equal(t, []inflight.RequestID{"first of key 1", "of another key", "of the key, not ordered"},
		requestIDs(all["b"].offers[0]))
	assert.Len(t, all, 1)
}

// The range of a webhook in doubt has moved to another member. The webhook is not offered to that member, since there
// could be two custodians then; the member that it was offered to before is queried.
func TestBatchByPeer_QueriesTargetOfOutstandingOffer(t *testing.T) {
	m := newTestManager(t)
	id := custody.IDOf("offered")
	err := m.Custody.Update([]shardmap.WebhookID{id}, func(table *shardmap.CustodyTable) {
		table.BeginOffer(id, inflight.Now()+api.Second, shardmap.Offer{To: "b"})
	})
	require.NoError(t, err)
	w := &inflight.Webhook{RequestID: "offered", Destination: 7}
	pending := []eventloop.Parked{{Webhook: w, MayBeElsewhere: true}}
	all := m.batchByPeer(mapOwnedBy(t, "c"), pending)
	assert.Equal(t, []inflight.RequestID{"offered"}, requestIDs(all["b"].queries))
	assert.NotContains(t, all, cluster.MemberID("c"))

	all = m.batchByPeer(mapOwnedBy(t, "b"), pending)
	assert.Equal(t, []inflight.RequestID{"offered"}, requestIDs(all["b"].offers[0]), "same incarnation of the directory")
	assert.Empty(t, all["b"].queries)
}

func TestBatch_IsBounded(t *testing.T) {
	b := batches{}.forPeer("b")
	for range MaxBatch + 1 {
		b.addOffer(eventloop.Parked{}, 5)
		b.addQuery(eventloop.Parked{})
	}
	assert.Len(t, b.offers[5], MaxBatch)
	assert.Len(t, b.queries, MaxBatch)
	assert.Equal(t, []shardmap.MoveID{5}, b.moves)
}

// TestClose_WaitsForCallsInFlight closes a manager while a query to a peer that doesn't reply is in flight.
func TestClose_WaitsForCallsInFlight(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	m := newTestManager(t)
	client := transport.NewClient("a", map[cluster.MemberID]string{"b": listener.Addr().String()})
	t.Cleanup(client.Close)
	m.Peers = peer.NewClient(client)
	id := custody.IDOf("offered")
	err = m.Custody.Update([]shardmap.WebhookID{id}, func(table *shardmap.CustodyTable) {
		table.BeginOffer(id, inflight.Now()+100*api.Second, shardmap.Offer{To: "b"})
	})
	require.NoError(t, err)
	w := &inflight.Webhook{RequestID: "offered", Destination: 7, Deadline: inflight.Now() + 100*api.Second}
	b := &batch{queries: []eventloop.Parked{{Webhook: w, MayBeElsewhere: true}}}

	require.True(t, m.tryStartBatch("b"))
	var ended atomic.Bool
	go func() {
		m.sendBatch(mapOwnedBy(t, "c"), "b", b)
		ended.Store(true)
	}()
	connection, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	assert.False(t, ended.Load(), "the query is in flight")
	m.Close()
	assert.Empty(t, m.inProgress)
	assert.False(t, m.tryStartBatch("b"), "no batch is started any more")
}
