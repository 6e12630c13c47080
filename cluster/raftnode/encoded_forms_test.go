package raftnode

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms guards what stands beside a command in each entry of the raft log.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile("testdata/encoded_forms.golden")
	require.NoError(t, err)
	require.Equal(t, string(golden), wireschema.Describe(wireschema.CBOR, entryHeader{}))
}
