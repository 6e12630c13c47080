package relay

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms checks that the encoding of transmitted messages does not change, such as by a renamed field.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR, OpenMessage{}, ResultsMessage{})
}
