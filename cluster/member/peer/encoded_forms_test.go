package peer

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster/shardmap"
	"rowanlink/internal/wireschema"
)

// TestEncodedForms guards the messages between members of different versions against a renamed field.
func TestEncodedForms(t *testing.T) {
	want, err := os.ReadFile("testdata/encoded_forms.golden")
	require.NoError(t, err)
	got := wireschema.Describe(wireschema.CBOR, Transfer{}, TransferReply{}, []CustodyQuery{}, []shardmap.CustodyReply{})
	require.Equal(t, string(want), got)
}
