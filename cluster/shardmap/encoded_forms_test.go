package shardmap

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms guards what is stored in the raft log, in snapshots and in the journal, and what members send to
// each other: no renamed Go field may change it.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile("testdata/encoded_forms.golden")
	require.NoError(t, err)
	got := wireschema.Describe(wireschema.CBOR, Map{}, command{}, TransferredWebhook{}, CustodyRecord{}, Decision{})
	require.Equal(t, string(golden), got)
}
