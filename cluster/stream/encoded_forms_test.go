package stream

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms checks that the encoding of stored and transmitted values does not change, such as by a renamed field.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		Frame{}, OpenRequest{}, Ack{}, Result{}, Checkpoint{}, Generation{}, Delivery{}, MessageID{})
}
