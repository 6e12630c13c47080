package introspect

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of the call with a golden file: rowanctl may be of another release than
// the process that it inspects.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR, Request{}, Report{})
}
