package member

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms compares the encoding of the package's messages with the golden file, so that a rename in Go can't
// change what members of different versions send each other.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.golden"))
	require.NoError(t, err)
	forms := wireschema.Describe(wireschema.CBOR,
		heartbeatRequest{},
		heartbeatResponse{},
		pushResponse{},
		compareRequest{},
		compareResponse{},
		transferRequest{},
		transferResponse{},
		endpointState{},
	)
	assert.Equal(t, string(golden), forms)
}
