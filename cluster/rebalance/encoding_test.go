package rebalance

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms pins the forms of the raft log's commands, of the snapshot, and of the messages between members.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile("testdata/encoded-forms.txt")
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.CBOR, command{}, Progress{}, Report{}, MonitoredMove{}))
}
