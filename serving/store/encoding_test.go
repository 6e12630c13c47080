package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
	"rowanlink/serving/state"
)

// TestEncodedForms compares the encoded form of the stored rows with a golden file: a file outlives the release that
// wrote it.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.CBOR, storedProposal{}, state.Endpoint{}))
}
