package introspect

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of the call with a golden file: rowanctl and the process that it inspects
// may be of different releases.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR, Request{}, Report{})
}
