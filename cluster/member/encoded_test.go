package member

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/internal/wireschema"
)

var update = flag.Bool("update", false, "rewrite the golden files of encoded forms")

// TestEncodedForms guards messages between members of different versions and the records under fleet/names against
// a renamed field.
func TestEncodedForms(t *testing.T) {
	for name, values := range map[string][]any{
		"custody": {shardmap.CustodyRecord{}},
		"handoff": {Transfer{}, TransferReply{}, []CustodyQuery{}, []shardmap.CustodyReply{}},
		"health":  {Query{}, rebalance.Report{}},
	} {
		t.Run(name, func(t *testing.T) {
			golden := filepath.Join("testdata", "encoded_"+name+".golden")
			got := wireschema.Describe(wireschema.CBOR, values...)
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}
