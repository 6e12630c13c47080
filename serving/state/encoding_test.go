package state

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of the shared types with a golden file: they are stored on disk and
// exchanged between processes of different releases.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR, Record{}, Endpoint{}, Load{}, Member{}, Observation{}, RolloutReport{}, RolloutLease{})
}
