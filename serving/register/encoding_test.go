package register

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms compares the encoded form of all messages between replicas with a golden file: replicas of different
// releases exchange them, and proposals are stored on disk.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.CBOR,
		PrepareRequest{}, AcceptRequest{}, QueryRequest{}, Vote{}, DescribeRequest{}, Description{}))
}
