package agent

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms compares the form of the directory's responses with a golden file.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.JSON, lookupAnswer{}, lookupError{}))
}
