package custody

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// TestCompatibility_CustodyFolder reads a custody directory written by release 63a0b91. If an upgrade lost the record
// of a webhook in doubt, or of a binding reply, two members could deliver the webhook. The webhook "ended" is not
// pending in this test, so its record loses the offer when it is recovered.
func TestCompatibility_CustodyFolder(t *testing.T) {
	const (
		incarnation = uint64(17660094067705403347)
		ttl         = 4_102_444_800 * api.Second // in the year 2100
	)
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/compatibility/names")))

	s := openStore(t, dir, 1, "offered", "arriving")

	assert.Equal(t, incarnation, s.Incarnation)
	assert.Equal(t, 4, s.table.Len())
	want := map[inflight.RequestID]shardmap.CustodyRecord{
		"offered": {
			Handoff:  1,
			Present:  true,
			Deadline: ttl,
			Offer: shardmap.Offer{
				To:          "m2",
				Incarnation: 3,
				Move:        5,
				Range:       6,
				Epoch:       7,
				SentAt:      1_700_000_000 * api.Second,
				Uncertain:   true,
			},
		},
		"ended":    {Handoff: 1, Deadline: ttl},
		"arriving": {Handoff: 2, Present: true, Deadline: ttl},
		"asked":    {RejectedUpTo: 4, Deadline: ttl},
	}
	for requestID, record := range want {
		record.ID = IDOf(requestID)
		saved := s.SnapshotRecord(record.ID)
		assert.True(t, saved.Exists, requestID)
		assert.Equal(t, record, saved.Record, requestID)
	}
	assert.True(t, s.IsInDoubt("offered"))
	assert.False(t, s.IsInDoubt("ended"))
}
