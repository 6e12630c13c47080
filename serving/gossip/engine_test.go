package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

// tombstoneValue is the value of tombstones.
var tombstoneValue = []byte("deleted")

// newTestEngine returns the engine of member m0 in zone z0. Its peers are spread over the zones z0 and z1 of the local
// region and the zone y0 of another region.
func newTestEngine(peers int) *Engine {
	e := New(Options{Name: "m0", Zone: "z0", Region: "z", Random: rand.New(rand.NewPCG(1, 1)),
		IsTombstone: func(entry Entry) bool { return string(entry.Value) == string(tombstoneValue) }})
	locations := []Peer{{Zone: "z0", Region: "z"}, {Zone: "z1", Region: "z"}, {Zone: "y0", Region: "y"}}
	var all []Peer
	for i := 1; i <= peers; i++ {
		peer := locations[i%len(locations)]
		peer.Name, peer.Address = fmt.Sprintf("m%d", i), fmt.Sprintf("m%d:1", i)
		all = append(all, peer)
	}
	e.SetPeers(all)
	return e
}

func endpointEntry(key string, version uint64) Entry {
	return Entry{Table: TableEndpoints, Key: key, Version: NewVersion(version, 0), Value: []byte("v")}
}

func TestEngine_NewerVersionWins(t *testing.T) {
	e := newTestEngine(0)
	var seen []uint64
	e.Subscribe(TableEndpoints, func(entry Entry) { seen = append(seen, entry.Version.Major) })
	for _, version := range []uint64{2, 1, 2, 5, 3} {
		e.PutLocal(startTime, endpointEntry("k", version))
	}
	got, ok := e.Get(TableEndpoints, "k")
	assert.True(t, ok)
	assert.Equal(t, uint64(5), got.Version.Major)
	assert.Equal(t, []uint64{2, 5}, seen)
}

func TestTakeOutgoing_CoalescesChanges(t *testing.T) {
	e := newTestEngine(9)
	for version := uint64(1); version <= 50; version++ {
		e.PutLocal(startTime, endpointEntry("k", version))
	}
	assert.Empty(t, e.TakeOutgoing(startTime), "not before coalesceDelay")
	sent := e.TakeOutgoing(startTime.Add(coalesceDelay))
	require.NotEmpty(t, sent)
	byZone := map[string]int{}
	for _, envelope := range sent {
		require.Len(t, envelope.Message.Entries, 1, "only the newest entry of a key")
		assert.Equal(t, uint64(50), envelope.Message.Entries[0].Version.Major)
		byZone[envelope.To.Zone]++
	}
	assert.Equal(t, map[string]int{"z0": 2, "z1": 1, "y0": 1}, byZone)
	assert.Empty(t, e.TakeOutgoing(startTime.Add(time.Second)))
}

func TestTakeOutgoing_ForwardsWithinTheRegionOnly(t *testing.T) {
	e := newTestEngine(9)
	e.Receive(startTime, Message{From: "m3", Entries: []Entry{endpointEntry("k", 1)}})
	for _, envelope := range e.TakeOutgoing(startTime.Add(coalesceDelay)) {
		assert.Equal(t, "z", envelope.To.Region)
		assert.NotEqual(t, "m3", envelope.To.Name, "not returned to its sender")
	}
}

func TestEphemeralEntries_StayInTheRegionAndExpire(t *testing.T) {
	e := newTestEngine(9)
	e.PutLocal(startTime, Entry{Table: TableLoads, Key: "k", Version: NewVersion(1, 0)})
	sent := e.TakeOutgoing(startTime.Add(coalesceDelay))
	require.NotEmpty(t, sent)
	for _, envelope := range sent {
		assert.Equal(t, "z", envelope.To.Region)
	}
	assert.Equal(t, newTestEngine(9).Summary(), e.Summary(), "they are not part of the digests")
	e.TakeOutgoing(startTime.Add(ephemeralLifetime + sweepInterval))
	assert.Zero(t, e.Len(TableLoads))
}

func TestTakeOutgoing_SendsBurstsInFewMessages(t *testing.T) {
	e := newTestEngine(9)
	messages := 0
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		e.PutLocal(startTime.Add(at), endpointEntry("k", uint64(at)+1))
		if len(e.TakeOutgoing(startTime.Add(at))) > 0 {
			messages++
		}
	}
	assert.Less(t, messages, 5*14)
	assert.Greater(t, messages, 5*5)
}

func TestTakeOutgoing_OffersLongAndManyValues(t *testing.T) {
	e := newTestEngine(9)
	long := endpointEntry("long", 1)
	long.Value = make([]byte, maxPushedValue+1)
	e.PutLocal(startTime, long)
	offered := e.TakeOutgoing(startTime.Add(coalesceDelay))[0].Message
	assert.Empty(t, offered.Entries)
	require.Len(t, offered.Offers, 1)

	other := newTestEngine(9)
	wanted := other.RequestMissing(startTime, offered.Offers)
	assert.Equal(t, offered.Offers, wanted)
	assert.Empty(t, other.RequestMissing(startTime, offered.Offers), "it is in flight already")
	assert.Equal(t, wanted, other.RequestMissing(startTime.Add(requestTimeout), offered.Offers), "the request timed out")
	other.Receive(startTime, Message{From: "m1", Entries: e.CollectEntries(wanted)})
	assert.Empty(t, other.RequestMissing(startTime.Add(time.Second), offered.Offers))

	for i := range maxPushedEntries + 1 {
		e.PutLocal(startTime, endpointEntry(fmt.Sprint(i), 1))
	}
	many := e.TakeOutgoing(startTime.Add(time.Second))[0].Message
	assert.Empty(t, many.Entries)
	assert.Len(t, many.Offers, maxPushedEntries+1)
}

func TestTombstones_ExpireForGood(t *testing.T) {
	e := newTestEngine(3)
	e.PutLocal(startTime, endpointEntry("k", 1))
	end := endpointEntry("k", 2)
	end.Value = tombstoneValue
	e.PutLocal(startTime, end)
	e.TakeOutgoing(startTime.Add(TombstoneRetention - time.Second))
	assert.Equal(t, 1, e.Len(TableEndpoints), "retained for repairs")
	after := startTime.Add(TombstoneRetention + sweepInterval)
	e.TakeOutgoing(after)
	assert.Zero(t, e.Len(TableEndpoints))

	assert.Empty(t, e.Receive(after, Message{From: "m1", Entries: []Entry{endpointEntry("k", 1), end}}))
	assert.Equal(t, []Header{end.Header()}, e.ExpiredHeaders([]Entry{end}))
	stale := newTestEngine(3)
	stale.PutLocal(startTime, endpointEntry("k", 1))
	found := e.CompareBuckets(stale.ListDifferingBuckets(e.Digest(nil)))
	assert.Equal(t, []Entry{end}, found.Send, "a member that has missed the tombstone gets it")
	newer := Message{From: "m1", Entries: []Entry{endpointEntry("k", 3)}}
	assert.Len(t, e.Receive(after, newer), 1, "a newer version of the key")
}

func TestExpiredEntries_AreBounded(t *testing.T) {
	e := newTestEngine(0)
	for i := range maxExpiredEntries + 10 {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		e.PutLocal(now, endpointEntry(fmt.Sprint(i), 1))
		e.Expire(now, TableEndpoints, fmt.Sprint(i))
	}
	assert.Len(t, e.expired.byID, maxExpiredEntries)
	_, ok := e.ExpiredVersion(TableEndpoints, "0")
	assert.False(t, ok, "the oldest entry was removed first")
}

// TestRetry_UsesAnotherPath makes each receiver of a push unresponsive in turn. The retry must reach another member of
// its zone, both directly and by relay through a third zone, and retries must end.
func TestRetry_UsesAnotherPath(t *testing.T) {
	first := newTestEngine(12)
	first.PutLocal(startTime, endpointEntry("k", 1))
	sent := len(first.TakeOutgoing(startTime.Add(coalesceDelay)))
	require.Equal(t, 4, sent)
	for index := range sent {
		t.Run(fmt.Sprintf("push %d", index), func(t *testing.T) {
			e := newTestEngine(12)
			e.PutLocal(startTime, endpointEntry("k", 1))
			lost := e.TakeOutgoing(startTime.Add(coalesceDelay))[index]
			now := startTime.Add(500 * time.Millisecond)
			e.MarkUnresponsive(now, lost.To.Name)
			e.Retry(now, lost)
			retried := e.TakeOutgoing(now.Add(maxCoalesceDelay))
			direct, relayed := 0, 0
			for _, envelope := range retried {
				assert.NotEqual(t, lost.To.Name, envelope.To.Name)
				if len(envelope.Message.Relay) > 0 {
					assert.Equal(t, []string{lost.To.Zone}, envelope.Message.Relay)
					relayed++
					continue
				}
				assert.Equal(t, lost.To.Zone, envelope.To.Zone)
				direct++
			}
			assert.Equal(t, 1, direct, "another member of the zone")
			assert.Equal(t, 1, relayed, "a third zone forwards it")
			for retries := 0; len(retried) > 0; retries++ {
				require.Less(t, retries, maxDeliveryRetries, "retries are bounded")
				now = now.Add(time.Second)
				for _, envelope := range retried {
					e.Retry(now, envelope)
				}
				retried = e.TakeOutgoing(now.Add(maxCoalesceDelay))
			}
		})
	}
}

func TestReceive_RelaysKnownEntries(t *testing.T) {
	e := newTestEngine(12)
	entry := endpointEntry("k", 1)
	e.Receive(startTime, Message{From: "m3", Entries: []Entry{entry}})
	e.TakeOutgoing(startTime.Add(time.Second))
	e.Receive(startTime.Add(time.Second), Message{From: "m3", Entries: []Entry{entry}, Relay: []string{"y0"}})
	sent := e.TakeOutgoing(startTime.Add(2 * time.Second))
	require.Len(t, sent, 1)
	assert.Equal(t, "y0", sent[0].To.Zone)
	assert.Empty(t, sent[0].Message.Relay)
}

// TestRepair_MakesTablesEqual generates two engines with arbitrary contents. It checks that one repair makes them
// equal, and that no difference is found between them afterwards.
func TestRepair_MakesTablesEqual(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := []*Engine{newTestEngine(3), newTestEngine(3)}
		for range rapid.IntRange(0, 60).Draw(rt, "entries") {
			entry := endpointEntry(fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "key")),
				uint64(rapid.IntRange(1, 6).Draw(rt, "version")))
			entry.Table = rapid.SampledFrom(repairedTables[:]).Draw(rt, "table")
			switch to := rapid.IntRange(0, 2).Draw(rt, "to"); to {
			case 2:
				engines[0].PutLocal(startTime, entry)
				engines[1].PutLocal(startTime, entry)
			default:
				engines[to].PutLocal(startTime, entry)
			}
		}
		one, other := engines[0], engines[1]
		found := one.CompareBuckets(other.ListDifferingBuckets(one.Digest(one.DifferingTables(other.Summary()))))
		other.Receive(startTime, Message{From: "m1", Entries: found.Send})
		one.Receive(startTime, Message{From: "m1", Entries: other.CollectEntries(found.Missing)})
		require.Equal(rt, one.Summary(), other.Summary())
		for _, table := range repairedTables {
			require.Equal(rt, one.Len(table), other.Len(table))
			one.All(table, func(entry Entry) bool {
				got, ok := other.Get(table, entry.Key)
				require.True(rt, ok)
				require.Equal(rt, entry.Version, got.Version)
				return true
			})
		}
		require.Empty(rt, one.DifferingTables(other.Summary()))
		require.Empty(rt, other.ListDifferingBuckets(one.Digest(nil)))
	})
}

// TestReceive_IgnoresInvalidNumbers checks that invalid table and bucket numbers from other members are ignored.
func TestReceive_IgnoresInvalidNumbers(t *testing.T) {
	e := newTestEngine(3)
	bad := Entry{Table: 99, Key: "k", Version: NewVersion(1, 0)}
	assert.Empty(t, e.Receive(startTime, Message{From: "x", Entries: []Entry{bad, {}}}))
	assert.Empty(t, e.RequestMissing(startTime, []Header{bad.Header(), {}}))
	assert.Empty(t, e.CollectEntries([]Header{bad.Header(), {}}))
	assert.Empty(t, e.ListDifferingBuckets([]TableDigest{{Table: 99}, {Table: TableMembers, Sums: []uint32{1}}}))
	assert.Empty(t, e.CompareBuckets([]BucketContents{{Table: 99}, {Table: TableMembers, Bucket: -5},
		{Table: TableMembers, Headers: []Header{bad.Header()}}}))
	e.ExpireTombstone(startTime, bad.Header())
}

// TestReceive_NoForwardEntriesAreNotPushedOn checks that the entries of a NoForward message are stored and included in
// the digests like others but not pushed further, and that a requested relay is still carried out.
func TestReceive_NoForwardEntriesAreNotPushedOn(t *testing.T) {
	e := newTestEngine(6)
	entry := endpointEntry("k", 1)
	before := e.Summary()
	assert.Len(t, e.Receive(startTime, Message{From: "m3", Entries: []Entry{entry}, NoForward: true}), 1)
	assert.NotEqual(t, before, e.Summary())
	assert.True(t, e.NextSendTime().IsZero())
	e.Receive(startTime, Message{From: "m3", Entries: []Entry{entry}, NoForward: true, Relay: []string{"y0"}})
	assert.False(t, e.NextSendTime().IsZero())
}
