package experiment

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// The JSON files that a run, a sweep and a comparison write keep their keys.
func TestEncodedForms(t *testing.T) {
	const golden = "testdata/encoded_forms.golden"
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	assert.Equal(t, string(want), wireschema.Describe(wireschema.JSON, Result{}, manifest{}, sweepRow{}, Comparison{}, OwnershipResult{}))
}
