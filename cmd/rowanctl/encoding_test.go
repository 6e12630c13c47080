package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
	"rowanlink/serving/routing"
)

// TestEncodedForms compares the form of the JSON output with a golden file.
func TestEncodedForms(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "encoded_forms.txt"))
	require.NoError(t, err)
	assert.Equal(t, string(golden), wireschema.Describe(wireschema.JSON,
		acknowledgement{},
		documentSummary{},
		[]routing.ItemChange{},
		[]memberRow{},
		[]endpointRow{},
		[]replicaRow{},
		[]dutyRow{},
		[]versionRow{},
	))
}
