// Package encodedforms compares, for tests, the encoding of a package's messages and stored values with a golden file.
package encodedforms

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// AssertGolden compares the description of the values' types, see wireschema.Describe, with the file
// testdata/encoded_forms.golden of the tested package.
func AssertGolden(t *testing.T, format wireschema.Format, values ...any) {
	t.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.golden"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(format, values...))
}
