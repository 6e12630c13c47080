package store

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/serving/state"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of the stored rows with a golden file: a file outlives the release that
// wrote it.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR, storedProposal{}, state.Endpoint{})
}
