package stream

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/internal/wireschema"
)

// TestEncodedForms guards the stored and transmitted forms against changes by a renamed Go field.
func TestEncodedForms(t *testing.T) {
	want, err := os.ReadFile("testdata/encoded_forms.golden")
	require.NoError(t, err)
	forms := wireschema.Describe(wireschema.CBOR,
		Frame{}, OpenRequest{}, Ack{}, Result{}, Checkpoint{}, Generation{}, Delivery{}, MessageID{})
	assert.Equal(t, string(want), forms)
}
