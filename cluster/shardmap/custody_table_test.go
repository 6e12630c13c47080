package shardmap

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

var nothingOutstanding = func(WebhookID) bool { return false }

func TestCustodyTable_ForkNumbersExceedTheOtherBranch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := webhookID(0)
		here, there := NewCustodyTable(nil, nothingOutstanding), NewCustodyTable(nil, nothingOutstanding)
		number, _ := here.BeginOffer(id, ttl, Offer{To: "b"})
		there.HandleOffer(id, number, ttl, 0, true)
		there.ConfirmStored(id)
		here.Fork(id)
		for range rapid.IntRange(0, 50).Draw(t, "handoffs") {
			number, _ = there.BeginOffer(id, ttl, Offer{To: "c"})
			there.HandleReply(id, number, CustodyNeverTaken)
		}
		assert.Greater(t, here.NextHandoff(id), there.NextHandoff(id))
		reply, outcome := here.HandleOffer(id, number, ttl, 0, true)
		assert.Equal(t, CustodyTaken, reply)
		assert.Equal(t, OfferNotTaken, outcome, "a member that meets both keeps one")
	})
}

func TestCustodyTable_RecordUnansweredForwardUsesTheSentNumber(t *testing.T) {
	id, table := webhookID(0), NewCustodyTable(nil, nothingOutstanding)
	number := table.NextHandoff(id)
	table.HandleQuery(id, number+1, ttl)
	require.True(t, table.RecordUnansweredForward(id, number, ttl, Offer{To: "b"}))
	offer, sent, isOutstanding := table.OutstandingOffer(id)
	assert.True(t, isOutstanding && offer.Uncertain)
	assert.Equal(t, number, sent)

	table = NewCustodyTable(nil, nothingOutstanding)
	_, outcome := table.HandleOffer(id, number+1, ttl, 0, true)
	require.Equal(t, OfferTaken, outcome)
	assert.False(t, table.RecordUnansweredForward(id, number, ttl, Offer{To: "b"}), "it has come back")
}

func TestCustodyTable_RollbackRestoresTheRecord(t *testing.T) {
	id, table := webhookID(0), NewCustodyTable(nil, nothingOutstanding)
	before, known := table.Lookup(id)
	table.HandleOffer(id, 1, ttl, 0, true)
	table.Rollback(id, before, known)
	assert.Zero(t, table.Len())
	table.HandleQuery(id, 3, ttl)
	before, known = table.Lookup(id)
	table.HandleOffer(id, 4, ttl, 0, true)
	table.Rollback(id, before, known)
	after, _ := table.Lookup(id)
	assert.Equal(t, before, after)
	reply, _ := table.HandleOffer(id, 3, ttl, 0, true)
	assert.Equal(t, CustodyNeverTaken, reply, "a rejection is binding")
}

func TestCustodyTable_ExpireKeepsRecordsForSlack(t *testing.T) {
	table := NewCustodyTable(nil, nothingOutstanding)
	table.HandleOffer(webhookID(0), 1, 10, 0, true)
	table.HandleOffer(webhookID(1), 1, 20, 0, true)
	table.Expire(12, 3)
	assert.Equal(t, 2, table.Len())
	table.Expire(13, 3)
	assert.Equal(t, 1, table.Len())
	reply, _ := table.HandleOffer(webhookID(0), 1, 10, 13, true)
	assert.Equal(t, CustodyNeverTaken, reply, "it has expired")
}

func TestNewCustodyTable_RecoversDoubtOfOutstandingWebhooks(t *testing.T) {
	offered := CustodyRecord{ID: webhookID(0), Handoff: 2, Present: true, Deadline: ttl, Offer: Offer{To: "b", Move: 7}}
	table := NewCustodyTable([]CustodyRecord{offered}, func(WebhookID) bool { return true })
	offer, _, _ := table.OutstandingOffer(offered.ID)
	assert.True(t, offer.Uncertain)
	assert.Equal(t, 1, table.CountOffersOfMove(7))
	assert.Equal(t, StayInDoubt, table.HandleReply(offered.ID, 2, CustodyRejected))
	assert.Equal(t, KeepCopy, table.HandleReply(offered.ID, 2, CustodyNeverTaken))
	table = NewCustodyTable([]CustodyRecord{offered}, nothingOutstanding)
	_, _, inDoubt := table.OutstandingOffer(offered.ID)
	assert.False(t, inDoubt)
}

// FuzzCustodyEncoding: what members journal and send to each other stays the same when it is decoded, encoded and
// decoded again.
func FuzzCustodyEncoding(f *testing.F) {
	for _, v := range []any{
		TransferredWebhook{ID: webhookID(0), Deadline: 5, FirstRunAt: api.Never, JournalEntry: []byte("x")},
		CustodyRecord{ID: webhookID(1), Handoff: 7, Present: true, Offer: Offer{To: "b", Move: 3, Uncertain: true}},
	} {
		raw, err := cbor.Marshal(v)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		requireStableEncoding[TransferredWebhook](t, raw)
		if record, ok := requireStableEncoding[CustodyRecord](t, raw); ok {
			table := NewCustodyTable([]CustodyRecord{record}, nothingOutstanding)
			table.HandleOffer(record.ID, record.Handoff, record.Deadline, 0, true)
		}
	})
}

// requireStableEncoding returns the decoded value, or false if the bytes can't be decoded.
func requireStableEncoding[T any](t *testing.T, raw []byte) (T, bool) {
	t.Helper()
	var value, again T
	if codec.Unmarshal(raw, &value) != nil {
		return value, false
	}
	encoded, err := codec.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, codec.Unmarshal(encoded, &again))
	assert.Equal(t, value, again)
	return value, true
}

func TestCustodyTable_InDoubtOfferIsNotOfferedElsewhere(t *testing.T) {
	id, table := webhookID(0), NewCustodyTable(nil, nothingOutstanding)
	number, ok := table.BeginOffer(id, ttl, Offer{To: "b", Incarnation: 1})
	require.True(t, ok)
	for _, o := range []Offer{{To: "c", Incarnation: 1}, {To: "b", Incarnation: 2}} {
		_, ok = table.BeginOffer(id, ttl, o)
		assert.False(t, ok)
	}
	again, ok := table.BeginOffer(id, ttl, Offer{To: "b", Incarnation: 1})
	assert.True(t, ok)
	assert.Equal(t, number, again)
}

func TestCustodyTable_RejectionAndHandoffNumbers(t *testing.T) {
	id, table := webhookID(0), NewCustodyTable(nil, nothingOutstanding)
	reply, outcome := table.HandleOffer(id, 1, ttl, 0, false)
	assert.Equal(t, CustodyRejected, reply)
	assert.Equal(t, OfferNotTaken, outcome)
	assert.Zero(t, table.Len())
	reply, mustJournal := table.HandleQuery(id, 5, ttl)
	assert.Equal(t, CustodyNeverTaken, reply)
	assert.True(t, mustJournal)
	assert.Equal(t, HandoffNumber(6), table.NextHandoff(id))
	_, outcome = table.HandleOffer(id, 6, ttl, 0, true)
	assert.Equal(t, OfferTaken, outcome)
}
