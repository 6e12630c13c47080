package site

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/config"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// copyFixture copies a folder that was written by release 63a0b91, and returns the path of the copy.
func copyFixture(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "compatibility", name))))
	return dir
}

// TestCompatibility_SentLog reads a sent log that was written by release 63a0b91. It has two records of "request-b", of
// which the later one is valid, and a removed record of a third request.
func TestCompatibility_SentLog(t *testing.T) {
	l, err := openSentLog(copyFixture(t, "sent"), 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.close() })

	first := sentRecord{
		Site:                "site-1",
		RequestID:           "request-a",
		ReceiverIncarnation: 5,
		SentAt:              1_700_000_000 * api.Second,
		Epoch:               6,
		Relay:               "relay-1",
		MayHaveRunBefore:    true,
	}
	second := first
	second.RequestID = "request-b"
	second.SentAt = 1_700_000_003 * api.Second
	second.Epoch = 8
	want := map[inflight.RequestID]sentRecord{"request-a": first, "request-b": second}
	assert.Equal(t, want, l.records)
	assert.ElementsMatch(t, []sentRecord{first, second}, l.forSite(config.Site{ID: "site-1", Relay: "relay-1"}))
}

// TestCompatibility_RelayJournal reads a relay's journal that was written by release 63a0b91. It has two checkpoints,
// of which the later one is valid, a delivery without a result, and a result that its origin has not acknowledged.
func TestCompatibility_RelayJournal(t *testing.T) {
	journal, err := openJournal(copyFixture(t, "relay"), 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = journal.Close() })
	r := &relayReceiver{journal: journal, recordIDs: map[stream.Delivery]api.WebhookID{}}

	checkpoint, records, err := r.readJournal()

	require.NoError(t, err)
	assert.Equal(t, stream.Checkpoint{
		Incarnation:  3,
		Generation:   stream.Generation{Epoch: 1, Number: 2},
		LastSequence: 7,
		Received:     2,
	}, checkpoint)
	require.Len(t, records, 2)
	assertPendingRecord(t, records[0])
	delivery := stream.Delivery{
		Message:     stream.MessageID{Origin: "m1", Incarnation: 11, Number: 2},
		Destination: 6,
	}
	assert.Equal(t, &relayRecord{
		Delivery: delivery,
		Result: &stream.Result{
			Delivery:   delivery,
			Outcome:    stream.DeadLettered,
			RetryAfter: 1500,
			Attempts:   3,
			MayHaveRun: true,
		},
	}, records[1])
}

func assertPendingRecord(t *testing.T, record *relayRecord) {
	t.Helper()
	assert.Equal(t, &relayRecord{
		Delivery: stream.Delivery{
			Message:     stream.MessageID{Origin: "m1", Incarnation: 11, Number: 1},
			Destination: 5,
		},
		RequestID:      "request-a",
		Webhook:        record.Webhook, // compared below in its decoded form
		Attempts:       2,
		FirstAttemptAt: 1_700_000_000 * api.Second,
		Zone:           1,
	}, record)
	webhook, err := inflight.DecodeWebhook(0, record.Webhook)
	require.NoError(t, err)
	assert.Equal(t, &inflight.Webhook{
		RequestID:   "request-a",
		Token:       "token-a",
		Body:        []byte("body-a"),
		EventType:   2,
		Tenant:      3,
		OrderingKey: 4,
		Destination: 5,
		Deadline:    4_102_444_800 * api.Second, // 2100-01-01
	}, webhook)
}
