package introspect

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms compares the encoded form of the call with a golden file: rowanctl may be of another release than
// the process that it inspects.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.CBOR, Request{}, Report{}))
}
