package state

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms compares the encoded form of the shared types with a golden file: they are stored on disk and
// exchanged between processes of different releases.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.CBOR,
		Record{}, Endpoint{}, Load{}, Member{}, Observation{}))
}
