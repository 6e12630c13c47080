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

var begun = time.Unix(1000, 0)

// tombstoneValue marks entries that say that their key is gone.
var tombstoneValue = []byte("gone")

// testEngine makes an engine of member 0 in zone z0, with so many peers dealt out to the zones z0 and z1 of its
// region and y0 of another.
func testEngine(peers int) *Engine {
	e := New(Options{Name: "m0", Zone: "z0", Region: "z", Random: rand.New(rand.NewPCG(1, 1)),
		IsTombstone: func(entry Entry) bool { return string(entry.Value) == string(tombstoneValue) }})
	places := []Peer{{Zone: "z0", Region: "z"}, {Zone: "z1", Region: "z"}, {Zone: "y0", Region: "y"}}
	var all []Peer
	for i := 1; i <= peers; i++ {
		peer := places[i%len(places)]
		peer.Name, peer.Address = fmt.Sprintf("m%d", i), fmt.Sprintf("m%d:1", i)
		all = append(all, peer)
	}
	e.SetPeers(all)
	return e
}

func endpointEntry(key string, version uint64) Entry {
	return Entry{Table: TableEndpoints, Key: key, Version: NewVersion(version, 0), Value: []byte("v")}
}

func TestNewerVersionWins(t *testing.T) {
	e := testEngine(0)
	var seen []uint64
	e.Subscribe(TableEndpoints, func(entry Entry) { seen = append(seen, entry.Version.Major) })
	for _, version := range []uint64{2, 1, 2, 5, 3} {
		e.PutLocal(begun, endpointEntry("k", version))
	}
	got, ok := e.Get(TableEndpoints, "k")
	assert.True(t, ok)
	assert.Equal(t, uint64(5), got.Version.Major)
	assert.Equal(t, []uint64{2, 5}, seen)
}

func TestChangesAreCoalesced(t *testing.T) {
	e := testEngine(9)
	for version := uint64(1); version <= 50; version++ {
		e.PutLocal(begun, endpointEntry("k", version))
	}
	assert.Empty(t, e.TakeOutgoing(begun), "not yet")
	sent := e.TakeOutgoing(begun.Add(coalesce))
	require.NotEmpty(t, sent)
	byZone := map[string]int{}
	for _, envelope := range sent {
		require.Len(t, envelope.Message.Entries, 1, "only the newest of a key")
		assert.Equal(t, uint64(50), envelope.Message.Entries[0].Version.Major)
		byZone[envelope.To.Zone]++
	}
	assert.Equal(t, map[string]int{"z0": 2, "z1": 1, "y0": 1}, byZone)
	assert.Empty(t, e.TakeOutgoing(begun.Add(time.Second)))
}

func TestWhatOthersSentStaysInTheRegion(t *testing.T) {
	e := testEngine(9)
	e.Receive(begun, Message{From: "m3", Entries: []Entry{endpointEntry("k", 1)}})
	for _, envelope := range e.TakeOutgoing(begun.Add(coalesce)) {
		assert.Equal(t, "z", envelope.To.Region)
		assert.NotEqual(t, "m3", envelope.To.Name, "not back to its sender")
	}
}

func TestLoadsStayInTheRegionAndExpire(t *testing.T) {
	e := testEngine(9)
	e.PutLocal(begun, Entry{Table: TableLoads, Key: "k", Version: NewVersion(1, 0)})
	sent := e.TakeOutgoing(begun.Add(coalesce))
	require.NotEmpty(t, sent)
	for _, envelope := range sent {
		assert.Equal(t, "z", envelope.To.Region)
	}
	assert.Equal(t, testEngine(9).Summary(), e.Summary(), "they are no part of the digests")
	e.TakeOutgoing(begun.Add(ephemeralSpan + sweepInterval))
	assert.Zero(t, e.Len(TableLoads))
}

func TestStormIsSentInFewMessages(t *testing.T) {
	e := testEngine(9)
	sendings := 0
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		e.PutLocal(begun.Add(at), endpointEntry("k", uint64(at)+1))
		if len(e.TakeOutgoing(begun.Add(at))) > 0 {
			sendings++
		}
	}
	assert.Less(t, sendings, 5*14)
	assert.Greater(t, sendings, 5*5)
}

func TestLongAndManyValuesAreOfferedFirst(t *testing.T) {
	e := testEngine(9)
	long := endpointEntry("long", 1)
	long.Value = make([]byte, offerAbove+1)
	e.PutLocal(begun, long)
	offered := e.TakeOutgoing(begun.Add(coalesce))[0].Message
	assert.Empty(t, offered.Entries)
	require.Len(t, offered.Offers, 1)

	other := testEngine(9)
	wanted := other.RequestMissing(begun, offered.Offers)
	assert.Equal(t, offered.Offers, wanted)
	assert.Empty(t, other.RequestMissing(begun, offered.Offers), "it is on its way already")
	assert.Equal(t, wanted, other.RequestMissing(begun.Add(requestSpan), offered.Offers), "it was lost")
	other.Receive(begun, Message{From: "m1", Entries: e.CollectEntries(wanted)})
	assert.Empty(t, other.RequestMissing(begun.Add(time.Second), offered.Offers))

	for i := range offerAllAbove + 1 {
		e.PutLocal(begun, endpointEntry(fmt.Sprint(i), 1))
	}
	many := e.TakeOutgoing(begun.Add(time.Second))[0].Message
	assert.Empty(t, many.Entries)
	assert.Len(t, many.Offers, offerAllAbove+1)
}

func TestTombstonesExpireForGood(t *testing.T) {
	e := testEngine(3)
	e.PutLocal(begun, endpointEntry("k", 1))
	end := endpointEntry("k", 2)
	end.Value = tombstoneValue
	e.PutLocal(begun, end)
	e.TakeOutgoing(begun.Add(TombstoneRetention - time.Second))
	assert.Equal(t, 1, e.Len(TableEndpoints), "kept for repairs")
	after := begun.Add(TombstoneRetention + sweepInterval)
	e.TakeOutgoing(after)
	assert.Zero(t, e.Len(TableEndpoints))

	assert.Empty(t, e.Receive(after, Message{From: "m1", Entries: []Entry{endpointEntry("k", 1), end}}))
	assert.Equal(t, []Header{end.Header()}, e.ExpiredHeaders([]Entry{end}))
	stale := testEngine(3)
	stale.PutLocal(begun, endpointEntry("k", 1))
	found := e.CompareBuckets(stale.ListDifferingBuckets(e.Digest(nil)))
	assert.Equal(t, []Entry{end}, found.Send, "who has missed the end is told")
	assert.Len(t, e.Receive(after, Message{From: "m1", Entries: []Entry{endpointEntry("k", 3)}}), 1, "a newer life")
}

func TestGravesAreBounded(t *testing.T) {
	e := testEngine(0)
	for i := range graveLimit + 10 {
		now := begun.Add(time.Duration(i) * time.Millisecond)
		e.PutLocal(now, endpointEntry(fmt.Sprint(i), 1))
		e.Forget(now, TableEndpoints, fmt.Sprint(i))
	}
	assert.Len(t, e.graves.byID, graveLimit)
	_, ok := e.ExpiredVersion(TableEndpoints, "0")
	assert.False(t, ok, "the oldest went first")
}

// TestLostPushGoesAnotherWay takes each of the receivers in turn for one that does not answer.
func TestLostPushGoesAnotherWay(t *testing.T) {
	first := testEngine(12)
	first.PutLocal(begun, endpointEntry("k", 1))
	sent := len(first.TakeOutgoing(begun.Add(coalesce)))
	require.Equal(t, 4, sent)
	for point := range sent {
		t.Run(fmt.Sprintf("push %d", point), func(t *testing.T) {
			e := testEngine(12)
			e.PutLocal(begun, endpointEntry("k", 1))
			lost := e.TakeOutgoing(begun.Add(coalesce))[point]
			now := begun.Add(500 * time.Millisecond)
			e.MarkUnresponsive(now, lost.To.Name)
			e.Retry(now, lost)
			again := e.TakeOutgoing(now.Add(coalesceMost))
			direct, relayed := 0, 0
			for _, envelope := range again {
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
			assert.Equal(t, 1, relayed, "a third zone passes it on")
			for tries := 0; len(again) > 0; tries++ {
				require.Less(t, tries, deliveryRetries, "no endless trying")
				now = now.Add(time.Second)
				for _, envelope := range again {
					e.Retry(now, envelope)
				}
				again = e.TakeOutgoing(now.Add(coalesceMost))
			}
		})
	}
}

func TestRelayPassesOnWhatItKnows(t *testing.T) {
	e := testEngine(12)
	entry := endpointEntry("k", 1)
	e.Receive(begun, Message{From: "m3", Entries: []Entry{entry}})
	e.TakeOutgoing(begun.Add(time.Second))
	e.Receive(begun.Add(time.Second), Message{From: "m3", Entries: []Entry{entry}, Relay: []string{"y0"}})
	sent := e.TakeOutgoing(begun.Add(2 * time.Second))
	require.Len(t, sent, 1)
	assert.Equal(t, "y0", sent[0].To.Zone)
	assert.Empty(t, sent[0].Message.Relay)
}

// TestRepairMakesEqual draws two engines with any histories. One comparison between them makes them equal, and equal
// ones have nothing to tell each other.
func TestRepairMakesEqual(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		engines := []*Engine{testEngine(3), testEngine(3)}
		for range rapid.IntRange(0, 60).Draw(draw, "entries") {
			entry := endpointEntry(fmt.Sprint(rapid.IntRange(0, 20).Draw(draw, "key")),
				uint64(rapid.IntRange(1, 6).Draw(draw, "version")))
			entry.Table = rapid.SampledFrom(repaired[:]).Draw(draw, "table")
			switch to := rapid.IntRange(0, 2).Draw(draw, "to"); to {
			case 2:
				engines[0].PutLocal(begun, entry)
				engines[1].PutLocal(begun, entry)
			default:
				engines[to].PutLocal(begun, entry)
			}
		}
		one, other := engines[0], engines[1]
		found := one.CompareBuckets(other.ListDifferingBuckets(one.Digest(one.DifferingTables(other.Summary()))))
		other.Receive(begun, Message{From: "m1", Entries: found.Send})
		one.Receive(begun, Message{From: "m1", Entries: other.CollectEntries(found.Missing)})
		require.Equal(draw, one.Summary(), other.Summary())
		for _, table := range repaired {
			require.Equal(draw, one.Len(table), other.Len(table))
			one.All(table, func(entry Entry) bool {
				got, ok := other.Get(table, entry.Key)
				require.True(draw, ok)
				require.Equal(draw, entry.Version, got.Version)
				return true
			})
		}
		require.Empty(draw, one.DifferingTables(other.Summary()))
		require.Empty(draw, other.ListDifferingBuckets(one.Digest(nil)))
	})
}

// TestHostileMessagesDoNoHarm: numbers of tables and buckets that don't exist are passed over.
func TestHostileMessagesDoNoHarm(t *testing.T) {
	e := testEngine(3)
	bad := Entry{Table: 99, Key: "k", Version: NewVersion(1, 0)}
	assert.Empty(t, e.Receive(begun, Message{From: "x", Entries: []Entry{bad, {}}}))
	assert.Empty(t, e.RequestMissing(begun, []Header{bad.Header(), {}}))
	assert.Empty(t, e.CollectEntries([]Header{bad.Header(), {}}))
	assert.Empty(t, e.ListDifferingBuckets([]TableDigest{{Table: 99}, {Table: TableMembers, Sums: []uint32{1}}}))
	assert.Empty(t, e.CompareBuckets([]BucketContents{{Table: 99}, {Table: TableMembers, Bucket: -5},
		{Table: TableMembers, Headings: []Header{bad.Header()}}}))
	e.ExpireTombstone(begun, bad.Header())
}
